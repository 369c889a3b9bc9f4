"""The list of endpoints: as the configuration knew it, then as a watch on discovery tells it."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from ..interface import Endpoint, EndpointList, Listing, ListKind, ListUnanswered, Settings
from ..unready_reports import UnreadyReports
from .agent import Agent, AgentError, Silent
from .backoff import Backoff, Rounds
from .config import Address, address

log = logging.getLogger(__name__)

# What a silent watch misses counts as told 6 s after it fell silent. Until then the silence has to be noticed
# (HOLD_MS and LATE_S after the call at the latest), a call made (up to AGAIN_S later) and worked off.
HOLD_MS = 2000  # going on with a watch is cheap
OPENS_MS = 100  # of the call that begins one: its answer shows soon that the watch lives
SILENT_S = 2.5  # past the hold: an overbooked agent lets a call wait for 2 s; asking again adds to that
LATE_S = 1.0  # the same for a call that goes on with a watch: it waits for nothing but news
AGAIN_S = 0.7  # a fleet whose watches all fell silent does not come back as one
# Beginning a watch is work that discovery does for one relay after the other, also for those it kept waiting
# too long: a fleet's first calls, and those after a failure that all meet, are spread by so much a relay.
# A change counts as told 6 s after discovery could be reached, whatever failed before. So a call follows P
# at the latest after the one that failed began: P + 2 s of waiting + the call's own time fit into 6 s.
# N relays that come evenly over P are heard within 2 s if discovery works off N / (P + 2) calls a second.
SPREAD_S, SPREAD_MOST_S = 0.12, 3.85  # the latter is P
SOON_S = 2.0  # the most after a change of process or agent: news counts as told within 4 s of either
# After a change of address news counts as told 4 s later, so a call that was turned away does not wait for
# its turn in the round: pauses of so many seconds leave time for two more calls.
MOVED_S = 0.4, 1.2
FIRST_S, MOST_S = 0.05, 0.5  # pauses of a fleet of few after a failed call: they grow from one to the other
PUSHED_S = 0.05  # and where the agent pushes lists: what it has counts as told without being asked for
LISTINGS = {"ready": Listing.READY, "gone": Listing.GONE}  # whatever else gets nothing new


@dataclass(frozen=True, slots=True)
class Known:
    """An endpoint as listed; its number is ours and stays with its name while it is listed."""

    name: str
    entry: Endpoint
    address: Address

    @property
    def is_ready(self) -> bool:
        return self.entry.listing is Listing.READY


class Directory:
    """Names to numbers and addresses, and the version that the list has."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.kinds, self.zones = kinds, zones
        self.by_name: dict[str, Known] = {}
        self.by_number: dict[int, Known] = {}
        self.dests: dict[int, int] = {}  # destination -> how many endpoints of it are listed
        self.touched: set[str] = set()  # names of which the last answer may have changed something
        self.reports = UnreadyReports()  # of other processes of this relay; they go before the list
        self.left: set[int] = set()  # those that lost their last one, until somebody asks
        self.version = -1
        self.numbers = 0

    @classmethod
    def of(cls, settings: Settings, zones: tuple[str, ...]) -> Directory:
        return cls(tuple(kind.name for kind in settings.kinds), zones)

    def number(self, name: str) -> int:
        known = self.by_name.get(name)
        if known is None:
            self.numbers += 1
        return self.numbers if known is None else known.entry.id

    def zone(self, name: object) -> int:
        return self.zones.index(str(name)) if name in self.zones else 0

    def apply(self, raw: dict[str, Any], asked_ms: float = 0.0) -> EndpointList:
        """Takes an answer to a call that began then, but for entries that cannot be read; ValueError says
        that it is no list at all. 0: nobody was asked, so what other processes have reported still binds."""
        try:
            version, whole = int(raw["generation"]), bool(raw["reset"])
            items = list(raw["instances"])
        except (KeyError, TypeError, OverflowError) as error:
            raise ValueError(f"malformed list: {error!r}") from error
        if not whole and version < self.version:
            self.version = -1  # what this process has cannot be trusted either: the next call asks for all
            raise ValueError("changes up to an older version than is known")
        found = [known for known in map(self._readable, items) if known is not None]
        self.touched = self.reports.release(asked_ms)
        if whole:
            self.touched.update(self.by_name)
            self.left.update(self.dests)
            self.by_name.clear()
            self.by_number.clear()
            self.dests.clear()
        for known in found:
            self._lose(known.name)
            if known.entry.listing is not Listing.GONE:
                self.by_name[known.name] = self.by_number[known.entry.id] = known
                self.dests[known.entry.destination] = self.dests.get(known.entry.destination, 0) + 1
        self.version = version
        kind = ListKind.WHOLE if whole else ListKind.CHANGES
        released = self.touched.difference(known.name for known in found) if not whole else set()
        found += [self.by_name[name] for name in released if name in self.by_name]
        self.touched.update(known.name for known in found)
        return EndpointList(kind, tuple(map(self._reported, found)))

    def _reported(self, known: Known) -> Endpoint:
        """Its entry, as far as the list goes before what other processes have reported."""
        is_reported = known.is_ready and known.name in self.reports
        return replace(known.entry, listing=Listing.DRAINING) if is_reported else known.entry

    def report_unready(self, names: Iterable[str], now_ms: float) -> tuple[int, ...]:
        """Another process of this relay was told that these are not ready; the numbers of those that were."""
        ready = [known for name in names if (known := self.by_name.get(name)) and self._takes_new(known)]
        self.reports.report(names, now_ms)
        return tuple(known.entry.id for known in ready)

    def _takes_new(self, known: Known) -> bool:
        return known.is_ready and known.name not in self.reports

    def is_ready(self, name: str) -> bool:
        """Whether the list, if no report goes before it, says that it takes something new."""
        known = self.by_name.get(name)
        return known is not None and self._takes_new(known)

    def ready(self, number: int) -> Known | None:
        """The endpoint of that number, if it is listed and takes something new."""
        known = self.by_number.get(number)
        return known if known is not None and self._takes_new(known) else None

    def _lose(self, name: str) -> None:
        known = self.by_name.pop(name, None)
        if known is not None:
            del self.by_number[known.entry.id]
            dest = known.entry.destination
            self.dests[dest] -= 1
            if not self.dests[dest]:
                del self.dests[dest]
                self.left.add(dest)

    def lost(self) -> set[int]:
        """The destinations that have lost their last endpoint since this was last asked."""
        lost, self.left = {dest for dest in self.left if dest not in self.dests}, set()  # walks not all dests
        return lost

    def _readable(self, item: Any) -> Known | None:
        """Guards the others against one entry that cannot be read: where its endpoint is known already, that
        stands, but for what it says of its life."""
        try:
            return self._known(item)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            log.warning("discovery: an entry is passed over: %r", error)
        known = self.by_name.get(str(item.get("instanceId"))) if isinstance(item, dict) else None
        if known is None:
            return None
        listing = LISTINGS.get(str(item.get("lifecycle")), Listing.DRAINING)
        return replace(known, entry=replace(known.entry, listing=listing))

    def _known(self, item: dict[str, Any]) -> Known:
        name, kind, rate = str(item["instanceId"]), item.get("machineType"), float(item.get("weight", 0.0))
        if not 0 <= rate < 1e9:
            raise ValueError(f"{name}: weight {rate} makes no sense")
        entry = Endpoint(
            id=self.number(name),
            destination=int(item["cell"]),
            listing=LISTINGS.get(item["lifecycle"], Listing.DRAINING),
            kind=self.kinds.index(kind) if kind in self.kinds else 0,
            zone=self.zone(item.get("zone")),
            rate=rate,
        )
        return Known(name, entry, address(item["hostPort"]))


def names_of(known: dict[str, Any]) -> set[str]:
    """The endpoints of a list in discovery's form, as far as it can be read."""
    items = known.get("instances")
    return (
        {str(item.get("instanceId")) for item in items if isinstance(item, dict)}
        if isinstance(items, list)
        else set()
    )


class Watch:
    """Keeps the directory current; what fails keeps the version, so that nothing is missed."""

    def __init__(
        self,
        agent: Agent,
        directory: Directory,
        told: Callable[[EndpointList], None],
        relays: int = 1,
        pushed: bool = False,
    ) -> None:
        self.agent, self.directory, self.told = agent, directory, told
        self.goes_on = False  # the next call goes on with a watch that has begun
        self.moved = False  # to another agent, which has not answered yet
        self.on_unanswered: Callable[[ListUnanswered], None] = lambda how: None
        if pushed:  # the agent is this relay's own: nobody else is kept waiting
            self.spread_s, self.backoff = 0.0, Backoff(PUSHED_S, PUSHED_S)
        else:
            self.spread_s = min(SPREAD_MOST_S, SPREAD_S * relays)
            few = self.spread_s <= MOST_S
            self.backoff = Backoff(FIRST_S, MOST_S) if few else Rounds(self.spread_s, SPREAD_MOST_S)

    def hurry(self) -> None:
        """From here on news counts as told soon, whether it has come or not."""
        self.spread_s = min(SOON_S, self.spread_s)

    def move(self, agent: Agent) -> None:
        """Another agent counts its versions anew: what it has is asked for whole."""
        self.hurry()
        self.agent, self.directory.version, self.goes_on, self.moved = agent, -1, False, True

    async def run(self) -> None:
        await asyncio.sleep(random.uniform(0.0, self.spread_s))
        while True:
            asked = asyncio.get_running_loop().time()
            try:
                version, raw = self.directory.version, await self._ask()
                event = self.directory.apply(raw, 1000 * self.agent.asked_at_s)
                self.told(event)
                if version != self.directory.version:
                    log.info("discovery: version %d, %d entries", self.directory.version, len(event.entries))
                self.backoff.reset()  # and at once again: a late call would begin a new watch
                self.goes_on, self.moved = version >= 0, False
            except (AgentError, ValueError) as error:
                took_s = asyncio.get_running_loop().time() - asked
                log.warning("discovery: %s, after %.0f ms", error, 1000 * took_s)
                self.agent.discard()
                silent = isinstance(error, Silent)
                self.on_unanswered(ListUnanswered(self.agent.is_reached, silent))
                await self._pause(took_s, silent)
            except Exception:
                log.exception("discovery: a list could not be taken")
                await self._pause(asyncio.get_running_loop().time() - asked, silent=False)

    async def _pause(self, took_s: float, silent: bool) -> None:
        """After a failed call that took so long. What a watch waits for news is no part of that."""
        went_on, self.goes_on = self.goes_on, False
        if self.moved and self.spread_s > MOST_S:
            await self.agent.rest(random.uniform(*MOVED_S))
        elif not silent:
            await self.agent.rest(self.backoff.next_s(0.0 if went_on else took_s))
        elif went_on or self.spread_s <= MOST_S:
            await self.agent.rest(random.uniform(0.0, min(AGAIN_S, self.spread_s)))
        else:  # broken, not turned away: it keeps its place in the round, or gets one
            await self.agent.rest(self.backoff.wait_s(took_s))

    async def _ask(self) -> dict[str, Any]:
        target, seconds = "/v1/servers", SILENT_S
        if self.directory.version >= 0:
            hold_ms = HOLD_MS if self.goes_on else OPENS_MS
            target += f"?from={self.directory.version}&hold_ms={hold_ms}"
            seconds = hold_ms / 1000 + (LATE_S if self.goes_on else SILENT_S)
        status, body = await self.agent.ask("GET", target, b"", seconds)
        raw = json.loads(body) if status == 200 else None
        if not isinstance(raw, dict):
            raise ValueError(f"status {status}, {len(body)} bytes that are no list")
        return raw
