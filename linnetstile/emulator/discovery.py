"""Owns the emulated discovery: versions of the list, watches, calls worked off in turn, outages.

Beginning a watch, and the whole list, are work that is done for one call after the other; going on with a
watch is not. A call that waited too long is turned away with 503 (PROTOCOL, "Discovery").
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .network import AgentCall

GOES_ON_S = 0.2  # a watch goes on if the next call comes so soon after its last answer (PROTOCOL)

Item = dict[str, Any]  # an endpoint as the list has it


class Outage(Enum):
    """How a service is down."""

    REFUSING = "refusing"  # open calls break, new ones are refused
    SILENT = "silent"  # nothing comes back, also of what was open


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    calls_per_s: float = 400.0  # beginnings of watches and whole lists, worked off in turn
    wait_ms: float = 2000.0  # one that would wait longer is turned away after so long
    turned_away_cost: bool = True  # what is turned away is worked off all the same
    told_per_s: float = 0.0  # open watches told of news; 0: all at once


def discovery_for(settings: DiscoverySettings, pushed: bool) -> DiscoverySettings:
    """Where lists are pushed, each relay asks an agent of its own: no call waits for another relay's."""
    return replace(settings, calls_per_s=float("inf")) if pushed else settings


def item(
    name: str, destination: int, zone: str, rate: float, lifecycle: str = "ready", machine: str = "m1"
) -> Item:
    """An entry of the list in discovery's form."""
    return {
        "instanceId": name,
        "hostPort": "127.0.0.1:7070",
        "zone": zone,
        "machineType": machine,
        "cell": destination,
        "lifecycle": lifecycle,
        "weight": rate,
        "startedAtMs": 0,
    }


@dataclass(slots=True)
class Counts:
    calls: int = 0
    begun: int = 0  # calls worked off in turn
    turned_away: int = 0
    while_down: int = 0


class Discovery:
    """The one discovery of a fleet. The list is encoded once a version, and shared by all answers."""

    def __init__(self, settings: DiscoverySettings, items: Iterable[Item], region: int = 0) -> None:
        self.settings, self.region = settings, region
        self.items: dict[str, Item] = {each["instanceId"]: each for each in items}
        self.version = 1
        self.made_s: dict[int, float] = {1: float("-inf")}  # when each version came about
        self.changed: list[tuple[int, Item]] = []  # in order of versions
        self.counts = Counts()
        self.down: Outage | None = None
        self.free_at_s = 0.0  # when the calls that wait now have been worked off
        self.open: dict[AgentCall, asyncio.TimerHandle] = {}  # calls waiting for their turn, or for news
        self.watches: dict[AgentCall, int] = {}  # of them those that wait for news, and what they have
        self.answered_s: dict[int, float] = {}  # by relay
        self.bodies: dict[int, bytes] = {}  # of this version, by the version asked from; -1: whole

    # -- the list ----------------------------------------------------------------------------------------

    def change(self, items: Iterable[Item]) -> int:
        """Makes one new version of these entries, `gone` ones included, and tells open watches."""
        loop = asyncio.get_running_loop()
        self.version += 1
        self.made_s[self.version] = loop.time()
        for each in items:
            self.changed.append((self.version, each))
            if each["lifecycle"] == "gone":
                self.items.pop(each["instanceId"], None)
            else:
                self.items[each["instanceId"]] = each
        self.bodies.clear()
        if self.down is None:
            self._tell()
        return self.version

    def body(self, since: int) -> bytes:
        """The answer to one that has version `since`; whole if it is of another's counting, or none."""
        if since > self.version:
            since = -1
        if since not in self.bodies:
            found: dict[str, Item] = self.items if since < 0 else {}
            if since >= 0:
                for version, each in reversed(self.changed):
                    if version <= since:
                        break
                    found.setdefault(each["instanceId"], each)
            self.bodies[since] = json.dumps(
                {
                    "generation": self.version,
                    "reset": since < 0,
                    "instances": list(found.values()),
                },
                separators=(",", ":"),
            ).encode()
        return self.bodies[since]

    # -- calls -------------------------------------------------------------------------------------------

    def request(self, call: AgentCall) -> None:
        self.counts.calls += 1
        if self.down is not None:
            self.counts.while_down += 1
            if self.down is Outage.REFUSING:
                call.answer(503, b"")
            return
        query = parse_qs(urlsplit(call.target).query)
        since, hold_s = int(query.get("from", ["-1"])[0]), float(query.get("hold_ms", ["0"])[0]) / 1000
        now = asyncio.get_running_loop().time()
        if since >= 0 and now - self.answered_s.get(call.caller, float("-inf")) <= GOES_ON_S:
            self._look(call, since, hold_s)
        else:
            self._queue(call, since, hold_s, now)

    def _queue(self, call: AgentCall, since: int, hold_s: float, now: float) -> None:
        loop = asyncio.get_running_loop()
        work_s, wait_s = 1 / self.settings.calls_per_s, self.settings.wait_ms / 1000
        begins = max(now, self.free_at_s)
        if begins - now > wait_s:
            self.free_at_s += work_s * self.settings.turned_away_cost
            self.open[call] = loop.call_at(now + wait_s, self._turn_away, call)
        else:
            self.free_at_s = begins + work_s
            self.open[call] = loop.call_at(begins + work_s, self._look, call, since, hold_s)
            self.counts.begun += 1

    def _turn_away(self, call: AgentCall) -> None:
        self.counts.turned_away += 1
        del self.open[call]
        call.answer(503, b"")

    def _look(self, call: AgentCall, since: int, hold_s: float) -> None:
        """Its turn has come: it is answered now, or once there is news."""
        self.open.pop(call, None)
        if since != self.version or hold_s <= 0:
            self._answer(call, since)
        elif not call.closed:
            self.watches[call] = since
            self.open[call] = asyncio.get_running_loop().call_later(hold_s, self._answer, call, since)

    def _answer(self, call: AgentCall, since: int) -> None:
        timer = self.open.pop(call, None)
        if timer is not None:
            timer.cancel()
        self.watches.pop(call, None)
        if not call.closed:
            self.answered_s[call.caller] = asyncio.get_running_loop().time()
            call.answer(200, self.body(since))

    def _tell(self) -> None:
        loop = asyncio.get_running_loop()
        gap_s = 1 / self.settings.told_per_s if self.settings.told_per_s else 0.0
        for place, (call, since) in enumerate(list(self.watches.items())):
            if gap_s:
                self.watches.pop(call)
                self.open[call].cancel()
                self.open[call] = loop.call_later(place * gap_s, self._answer, call, since)
            else:
                self._answer(call, since)

    # -- outages -----------------------------------------------------------------------------------------

    def go_down(self, how: Outage) -> None:
        """What is open ends with it: it breaks, or is never heard of again."""
        self.down = how
        for call, timer in self.open.items():
            timer.cancel()
            if how is Outage.REFUSING:
                call.reset()
        self.open.clear()
        self.watches.clear()
        self.answered_s.clear()

    def come_back(self) -> None:
        self.down, self.free_at_s = None, asyncio.get_running_loop().time()
