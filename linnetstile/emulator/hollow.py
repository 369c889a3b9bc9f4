"""Owns the hollow relay: the relay's own module, directory and watch, with calls carried in memory.

It does what `net.host.Host` does with events and actions, a tick apart, and what `net.egress.Egress` does
with connections as far as the module sees it: new ones cost a round trip, idle ones are used again,
`may_write` is asked before the first byte. Left out: the sockets, the journal's file (its entries are kept as
it would keep them), the hold before the last byte of an unsafe message, notices, and a second process.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .. import interface as api
from ..control import Relay
from ..net.discovery import Directory, Known, Watch
from ..net.egress import IDLE_SHARE
from ..net.host import CALLS_END_S, SERVE_ON_S
from .checker import Checker
from .destinations import Destination
from .discovery import Discovery, item
from .network import EmulatedAgent, Network, Traffic

CLOSED_S = CALLS_END_S + 0.1  # after the first sign of a planned restart the process ends at the latest

Shared = dict[tuple[Any, ...], Known]  # list entries that are alike are one object in all relays


class SharedDirectory(Directory):
    """The relay's directory; what it makes of an entry is taken from another relay's that is the same."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...], shared: Shared) -> None:
        super().__init__(kinds, zones)
        self.shared = shared

    def _known(self, item: dict[str, Any]) -> Known:
        key = (self.number(item["instanceId"]), *item.values())
        known = self.shared.get(key)
        if known is None:
            self.numbers -= item["instanceId"] not in self.by_name  # numbered again there
            known = self.shared[key] = super()._known(item)
        return known


@dataclass(slots=True)
class Attempt:
    at_ms: float
    endpoint: str
    zone: int


@dataclass(slots=True, eq=False)
class Entry:
    """A message taken on, as the journal keeps it."""

    id: int
    destination: int
    class_: int
    since_ms: float
    due_ms: float
    size: int
    tries: int = 0
    out: Attempt | None = None
    risk: Attempt | None = None
    attempts: int = 0  # sends of this process
    call: HollowCall | None = None


@dataclass(slots=True)
class Work:
    """What a relay has done, over all its processes."""

    turns: int = 0
    events: int = 0
    handle_s: float = 0.0  # real processor time in the module; never on the virtual clock
    ends: dict[str, int] = field(default_factory=lambda: {"delivered": 0, "returned": 0, "failed": 0})
    turned_away: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Surroundings:
    """What all relays of a world share."""

    network: Network
    discovery: Discovery
    destinations: list[Destination]
    checker: Checker
    zones: tuple[str, ...]
    pushed: bool
    delivered: Callable[[float], None]  # told the milliseconds since the message came in
    told: Callable[[int, int, int], None]  # relay, version before, version now
    shared: Shared = field(default_factory=dict)


class HollowRelay:
    def __init__(
        self, number: int, region: int, settings: api.Settings, around: Surroundings, seeds: random.Random
    ) -> None:
        self.number, self.region, self.settings, self.around = number, region, settings, around
        self.seeds = seeds  # of one process after the other
        self.work, self.traffic = Work(), Traffic()
        self.held: dict[int, Entry] = {}  # outlives the process, as the journal does
        self.calls: dict[HollowCall, None] = {}
        self.up = self.serving = False
        self.known: dict[str, Any] = {}  # the list as this relay had it last
        self.turn: asyncio.TimerHandle | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.closing: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.events: list[api.Event] = []
        self.idle: dict[int, list[float]] = {}
        self.last_turn = float("-inf")

    def now(self) -> float:
        return asyncio.get_running_loop().time() * 1000

    # -- life --------------------------------------------------------------------------------------------

    def start(self) -> None:
        """A new process, which takes up what the journal holds."""
        around, now = self.around, self.now()
        self.relay = Relay(self.settings, self.seeds.getrandbits(64))
        self.directory = SharedDirectory(
            tuple(kind.name for kind in self.settings.kinds), around.zones, around.shared
        )
        self.agent = EmulatedAgent(around.network, around.discovery, self.region, self.number)
        self.agent.traffic = self.traffic
        self.events, self.idle, self.last_turn = [], {}, now - self.settings.tick_ms
        self.up = self.serving = True
        self.version = -1
        around.checker.restarted(now, self.number)
        if self.known:
            self._listed(self.directory.apply(self.known))
        for entry in self.held.values():
            self._resume(entry, now)
        self._step()
        watch = Watch(self.agent, self.directory, self._listed, self.settings.relays, around.pushed)
        self.task = asyncio.get_running_loop().create_task(watch.run())

    def _resume(self, entry: Entry, now: float) -> None:
        entry.risk, entry.out, entry.attempts, entry.call = entry.risk or entry.out, None, 0, None
        risk, where = entry.risk, None
        if risk is not None:
            number = self.directory.number(risk.endpoint)
            where = api.Endpoint(number, entry.destination, api.Listing.READY, zone=risk.zone)
            self.around.checker.renumbered(entry.id, number)
        self._feed(
            api.Message(
                entry.id,
                entry.destination,
                entry.class_,
                entry.due_ms - now,
                size=entry.size,
                age_ms=now - entry.since_ms,
                tries=entry.tries,
                risk_age_ms=None if risk is None else now - risk.at_ms,
                risk=where,
            )
        )

    def kill(self) -> None:
        """The process is gone at once; its connections break, and what it called may still run."""
        if not self.up:
            return
        self.up = self.serving = False
        for call in list(self.calls):
            call.abandon()
        for timer in (self.turn, self.timer, self.closing):
            if timer is not None:
                timer.cancel()
        self.turn = self.timer = self.closing = None
        if self.task is not None:
            self.task.cancel()
        self.agent.close()
        self.known = self._list()
        self.around.checker.killed(self.now(), self.number)

    def close(self, ended: Callable[[], None]) -> None:
        """A planned restart: takes messages on for a little longer, ends calls, and calls `ended`."""
        if self.up:
            begun = self.now()
            self._feed(api.Closing(begun + CALLS_END_S * 1000))
            self._look_to_end(begun, ended)

    def _look_to_end(self, begun: float, ended: Callable[[], None]) -> None:
        past_s = (self.now() - begun) / 1000
        self.serving = self.serving and past_s < SERVE_ON_S
        if past_s >= CLOSED_S or past_s >= SERVE_ON_S and not self.held:
            self.closing = None
            self.kill()
            ended()
        else:
            self.closing = asyncio.get_running_loop().call_later(0.1, self._look_to_end, begun, ended)

    def _list(self) -> dict[str, Any]:
        """What its directory holds, in discovery's form."""
        lives = {api.Listing.READY: "ready", api.Listing.DRAINING: "draining"}
        items = [
            item(
                known.name,
                known.entry.destination,
                self.around.zones[known.entry.zone],
                known.entry.rate,
                lives[known.entry.listing],
                self.directory.kinds[known.entry.kind],
            )
            for known in self.directory.by_name.values()
        ]
        return {"generation": self.directory.version, "reset": True, "instances": items}

    # -- the module's turn: as net.host.Host has it ------------------------------------------------------

    def _feed(self, event: api.Event) -> None:
        self.events.append(event)
        if self.turn is None and self.up:
            wait = max(0.0, self.last_turn + self.settings.tick_ms - self.now()) / 1000
            self.turn = asyncio.get_running_loop().call_later(wait, self._step)

    def _step(self) -> None:
        if self.turn is not None:
            self.turn.cancel()
        now = self.now()
        self.turn, self.last_turn = None, now
        events, self.events = self.events, []
        began = time.perf_counter()
        actions = self.relay.handle(now, events)
        self.work.handle_s += time.perf_counter() - began
        self.work.turns += 1
        self.work.events += len(events)
        sends = list[api.Send]()
        for action in actions:
            if isinstance(action, api.Send):
                sends.append(action)
            else:
                self._act(action)
        if sends:
            self._call_out(sends)
        self.around.checker.look(now)

    def _call_out(self, sends: list[api.Send]) -> None:
        """A turn's sends to one endpoint share calls, up to its kind's batch."""
        by_endpoint = dict[int, list[api.Send]]()
        for send in sends:
            by_endpoint.setdefault(send.endpoint, []).append(send)
        for endpoint, mine in by_endpoint.items():
            known = self.directory.by_number.get(endpoint)
            until, keep = min(send.give_up_at_ms for send in mine), all(send.keep for send in mine)
            batch = 1 if known is None else self.settings.kinds[known.entry.kind].batch
            for first in range(0, len(mine), batch):
                group = [self.held[send.id] for send in mine[first : first + batch]]
                call = HollowCall(self, endpoint, known, group, until, keep)
                self.calls[call] = None
                call.begin()

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Refuse(ident):
                self._end(ident, "returned")
            case api.Fail(ident):
                self._end(ident, "failed")
            case api.SetTimer(delay):
                if self.timer is not None:
                    self.timer.cancel()
                self.timer = asyncio.get_running_loop().call_later(delay / 1000, self._wake)
            case api.Cancel(ident):
                if (entry := self.held.get(ident)) is not None and entry.call is not None:
                    entry.call.cut(api.Outcome.CANCELLED)
            case api.WatchList() | api.Log():
                pass
            case _:
                raise NotImplementedError(f"a hollow relay cannot {action!r}")

    def _wake(self) -> None:
        self.timer = None
        self._feed(api.TimerFired(0))

    def _listed(self, event: api.EndpointList) -> None:
        before, self.version = self.version, self.directory.version
        self.around.checker.listed(self.now(), self.number, event)
        if before != self.version:
            self.around.told(self.number, before, self.version)
        for entry in event.entries:
            if entry.listing is not api.Listing.READY:
                self.idle.pop(entry.id, None)
        self._feed(event)

    # -- messages ----------------------------------------------------------------------------------------

    def take(self, ident: int, destination: int, class_: int, size: int) -> bool:
        """From a client; False if the hold is full."""
        if len(self.held) >= self.settings.hold:
            self.work.turned_away += 1
            return False
        now, cls = self.now(), self.settings.classes[class_]
        entry = self.held[ident] = Entry(ident, destination, class_, now, now + cls.deadline_ms, size)
        self.around.checker.taken(now, self.number, ident, class_, destination, entry.due_ms)
        self._feed(api.Message(ident, destination, class_, cls.deadline_ms, size=size))
        return True

    def _end(self, ident: int, how: str) -> None:
        entry = self.held.pop(ident, None)
        if entry is not None:
            now = self.now()
            self.around.checker.ended(now, ident, how)
            self.work.ends[how] += 1
            if how == "delivered":
                self.around.delivered(now - entry.since_ms)

    # -- calls -------------------------------------------------------------------------------------------

    def warm(self, endpoint: int) -> bool:
        """Takes an idle connection to it, if there is one that is fresh."""
        oldest = self.now() - IDLE_SHARE * self.settings.idle_ms
        idle = self.idle.get(endpoint, [])
        while idle:
            if idle.pop() > oldest:
                return True
        return False

    def ended(self, entry: Entry, attempt: int, endpoint: int, ended: api.AttemptEnded, wrote: bool) -> None:
        """One message of a call."""
        outcome = ended.outcome
        self.work.outcomes[outcome.value] = self.work.outcomes.get(outcome.value, 0) + 1
        entry.call = None
        if wrote:
            if not outcome.proves_no_effect:
                entry.risk = entry.risk or entry.out
            entry.out = None
            self.around.checker.attempt_ended(self.now(), entry.id, outcome)
        if ended.finished:
            self._end(entry.id, "delivered")
        self._feed(ended)


class HollowCall:
    """One call, from its connection to its outcome: each step is a callback of the loop, not a task."""

    __slots__ = (
        "relay",
        "endpoint",
        "known",
        "group",
        "attempts",
        "until",
        "keep",
        "size",
        "sent",
        "kept",
        "begun",
        "written_ms",
        "timer",
        "over",
        "destination",
        "region",
        "caller",
    )

    def __init__(
        self,
        relay: HollowRelay,
        endpoint: int,
        known: Known | None,
        group: list[Entry],
        until_ms: float,
        keep: bool,
    ) -> None:
        self.relay, self.endpoint, self.known, self.group = relay, endpoint, known, group
        self.caller = relay.number
        self.attempts = [entry.attempts for entry in group]
        for entry in group:
            entry.attempts, entry.call = entry.attempts + 1, self
        self.until, self.keep, self.size = until_ms, keep, len(group)
        self.sent: list[Entry] = []
        self.kept: bool | None = None
        self.begun, self.over = relay.now(), False
        self.written_ms = 0.0  # when the destination wrote the answer
        self.timer: asyncio.TimerHandle | None = None

    # -- at the relay ------------------------------------------------------------------------------------

    def begin(self) -> None:
        loop, relay = asyncio.get_running_loop(), self.relay
        if self.known is None:
            loop.call_soon(self._finish, api.Outcome.NOT_SENT)
            return
        self.destination = relay.around.destinations[self.known.entry.destination]
        self.region = self.known.entry.zone
        self.kept = relay.warm(self.endpoint)
        if self.kept:
            self.timer = loop.call_at(self.until / 1000, self.cut, api.Outcome.TIMEOUT)
            self._write()
            return
        connect_ms = relay.settings.connect_timeout_ms or float("inf")
        self.timer = loop.call_at(
            min(self.until, self.begun + connect_ms) / 1000, self.cut, api.Outcome.TIMEOUT
        )
        relay.around.network.carry(relay.region, self.region, self._connects)

    def _connects(self) -> None:
        """At the destination."""
        accepted = self.destination.accepts(self.known.name if self.known is not None else "", self.caller)
        if accepted is not None:
            self._back(self._write if accepted else self._refused)

    def _refused(self) -> None:
        self.cut(api.Outcome.CONNECT_FAILED)

    def _write(self) -> None:
        if self.over or self.known is None:
            return
        relay, loop = self.relay, asyncio.get_running_loop()
        now, entry = relay.now(), self.known.entry
        self.sent = [
            each
            for each in self.group
            if relay.held.get(each.id) is each and relay.relay.may_write(now, each.id)
        ]
        if not self.sent:
            relay.idle.setdefault(self.endpoint, []).append(now)
            loop.call_soon(self._finish, api.Outcome.NOT_SENT)
            return
        for each in self.sent:
            relay.around.checker.wrote(now, relay.number, each.id, entry)
            each.tries, each.out = each.tries + 1, Attempt(now, self.known.name, entry.zone)
        if self.timer is not None and not self.kept:  # connecting has its own time-out
            self.timer.cancel()
            self.timer = loop.call_at(self.until / 1000, self.cut, api.Outcome.TIMEOUT)
        self.size = len(self.sent)
        relay.around.network.carry(relay.region, self.region, self._arrive)

    def _heard(self, outcome: api.Outcome, wait_ms: float, report: tuple[float, ...]) -> None:
        if self.over or self.known is None:
            return
        relay = self.relay
        if wait_ms:
            relay.around.checker.told_wait(
                relay.now(), relay.number, self.known.entry, self.written_ms, wait_ms
            )
        if self.keep:
            relay.idle.setdefault(self.endpoint, []).append(relay.now())
        self._finish(outcome, wait_ms, report)

    def cut(self, outcome: api.Outcome) -> None:
        """The call ends without an answer: given up, broken, or called off by the module."""
        self._finish(outcome if self.sent else api.Outcome.CONNECT_FAILED)

    def _finish(self, outcome: api.Outcome, wait_ms: float = 0.0, report: tuple[float, ...] = ()) -> None:
        if self.over:
            return
        self.abandon()
        relay = self.relay
        took = relay.now() - self.begun
        for entry, attempt in zip(self.group, self.attempts, strict=True):
            wrote = entry in self.sent
            fate = outcome if wrote or not self.sent else api.Outcome.NOT_SENT
            relay.ended(
                entry,
                attempt,
                self.endpoint,
                api.AttemptEnded(
                    entry.id,
                    attempt,
                    self.endpoint,
                    fate,
                    took,
                    wrote and fate is api.Outcome.OK,
                    wait_ms if wrote else 0.0,
                    False,
                    report if wrote else (),
                    self.kept,
                ),
                wrote,
            )

    def abandon(self) -> None:
        """Nobody hears of it any more."""
        self.over = True
        self.relay.calls.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()

    def _back(self, arrives: Callable[[], None]) -> None:
        self.relay.around.network.carry(self.region, self.relay.region, arrives)

    # -- at the destination ------------------------------------------------------------------------------

    def _arrive(self) -> None:
        if self.known is not None and self.known.name not in self.destination.endpoints:
            self.reset()
        else:
            self.destination.arrive(self)

    def answer(self, outcome: api.Outcome, wait_ms: float = 0.0, report: tuple[float, ...] = ()) -> None:
        self.written_ms = self.relay.now()
        self._back(lambda: self._heard(outcome, wait_ms, report))

    def reset(self) -> None:
        self._back(lambda: self.cut(api.Outcome.RESET))
