"""Two processes of one relay: who makes the calls, and what one tells the other through the journal.

Each says in its file what it is at: "" while it starts, "serve" while calls are its own to make, "yield" once
it leaves them to a later process, and "stop" if it does so to end. See docs/design.md.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from .. import interface as api
from ..control import Relay
from . import clock
from .discovery import Directory
from .journal import Entry, Journal, JournalError
from .other_journal import OtherJournal

log = logging.getLogger(__name__)

LOOK_S = 0.02  # how often the other's file is looked at: what it was told binds this process within 100 ms
ALONE_S = 0.05  # how often a second process is looked for
TAKES = 40  # messages taken up at each look: that takes about half of the time until the next
HEIRS = ("serve", "yield")  # who may be left the calls by one that stops


class Replacement:
    def __init__(
        self,
        journal: Journal,
        relay: Relay,
        directory: Directory,
        turn: Callable[[list[api.Event]], None],
        take_up: Callable[[Entry], None],
        withdrawn: Callable[[str], None],
        reported_unready: Callable[[set[str]], None] = lambda names: None,
    ) -> None:
        self.journal, self.relay, self.directory = journal, relay, directory
        self.turn, self.take_up, self.withdrawn = turn, take_up, withdrawn
        self.reported_unready = reported_unready  # endpoints, as another process was told
        self.waits_said = False  # the other process knows of the waits that this one was told before
        self.serving = self.stopping = False
        self.mode = api.Mode.CALLS
        self.elsewhere = api.Elsewhere()
        self.heard: dict[tuple[int, int, str], list[list[object]]] = {}  # what others told of their lanes
        self.settled = False  # alone, with nothing left to take up

    @property
    def pair(self) -> bool:
        return bool(self.journal.living)

    @property
    def heir(self) -> bool:
        """Whether another process serves clients, so that this one may send its own to it."""
        return any(other.role == "serve" for other in self.journal.living)

    @property
    def look_s(self) -> float:
        return LOOK_S if self.pair or not self.settled else ALONE_S

    @property
    def first(self) -> bool:
        """Whether no earlier process lives: of two, one takes up what the dead have left."""
        return all(other.number > self.journal.number for other in self.journal.living)

    def follow(self) -> None:
        """Reads along, settles who makes the calls, and takes up what is ours now."""
        self.journal.look()
        if self.settled and not self.journal.others and self.journal.role == self._role():
            return
        self.settled = False
        for other in list(self.journal.others.values()):
            for ident in other.withdrawn_since():
                self.withdrawn(ident)
        if unready := self.journal.others.unready_since():
            self.reported_unready(unready)
        self._say_waits()
        self._decide()
        try:
            for other in list(self.journal.others.values()):
                self._take_up(other)
            for entry in self.journal.taken_back():
                self.take_up(entry)
            self.settled = self.journal.settle()
        except JournalError as error:
            log.error("what the other process left has to wait: %s", error)

    def _take_up(self, other: OtherJournal) -> None:
        """Some at a time: clients and calls go on meanwhile."""
        if other.dead and not self.first:
            return
        for entry in self.journal.ends_taken_up(other):
            self.take_up(entry)
        for entry in self.journal.others.to_take_up(other)[:TAKES]:
            mine = self.journal.taken_up(other, entry)
            if mine is not None:
                self.take_up(mine)

    # -- who makes the calls -----------------------------------------------------------------------------

    def _due(self) -> api.Mode:
        """One process at a time: the latest that serves and does not stop. One that starts makes none."""
        living, mine = self.journal.living, self.journal.number
        if any(
            other.role == "serve" and other.number > mine or self.stopping and other.role in HEIRS
            for other in living
        ):
            return api.Mode.HANDS_OVER
        still = [other for other in living if other.role == "serve" or not other.role and other.number < mine]
        return api.Mode.WAITS if still else api.Mode.CALLS

    def _decide(self) -> None:
        mode, events = self._due(), list[api.Event]()
        events += self._told()
        calls = [other.calls for other in self.journal.living if other.role in ("yield", "stop")]
        elsewhere = api.Elsewhere(tuple((int(dest), out) for each in calls for dest, out in each.items()))
        if elsewhere != self.elsewhere:
            events.append(elsewhere)
            self.elsewhere = elsewhere
        if mode is not self.mode:
            log.info("another process runs: %d; this one %s", len(self.journal.living), mode.value)
            events.append(api.Duty(mode))
            self.mode = mode
        if events:
            self.turn(events)
        self._say_role()

    def _told(self) -> list[api.Learned]:
        events = []
        # Also of one that has died since: what it was told binds whoever lives.
        for other in [each for each in self.journal.others.values() if each.met_living]:
            for (dest, name), told in other.lanes.items():
                if self.heard.get((other.number, dest, name)) is told:
                    continue
                known = self.directory.by_name.get(name) if name else None
                if name and known is None:
                    continue  # a route that is not listed here yet
                self.heard[other.number, dest, name] = told
                events.append(
                    api.Learned(
                        dest,
                        known.entry.id if known else -1,
                        tuple((str(field), float(value)) for field, value in told),
                    )
                )
        return events

    def _role(self) -> str:
        if self.mode is api.Mode.HANDS_OVER:
            return "stop" if self.stopping else "yield"
        return "serve" if self.serving else ""

    def _say_role(self) -> None:
        """What the other goes by: said after all that it needs to go on has been written."""
        role = self._role()
        if role == self.journal.role:
            return
        try:
            if role in ("yield", "stop"):
                self._say_lanes(None)
                self._say_calls()
            self.journal.says_role(role)
        except JournalError as error:
            log.error("%s", error)

    # -- what the other needs to know --------------------------------------------------------------------

    def after_turn(self, events: list[api.Event]) -> None:
        if not self.pair:
            return
        ends = [event for event in events if isinstance(event, api.AttemptEnded)]
        bad = {
            known.entry.destination
            for event in ends
            if event.outcome is not api.Outcome.OK
            and (known := self.directory.by_number.get(event.endpoint)) is not None
        }
        bad |= {
            held.msg.destination
            for event in events
            if isinstance(event, api.WaitTold)
            and event.wait_ms
            and (held := self.relay.board.held.get(event.id)) is not None
        }
        try:
            if bad:
                self._say_lanes(bad)
            if self.mode is api.Mode.HANDS_OVER:
                self._say_calls()
        except JournalError as error:
            log.error("%s", error)

    def _say_waits(self) -> None:
        """Once another process has appeared: it hears of later ones as they are told."""
        if self.waits_said == self.pair:
            return
        self.waits_said = self.pair
        if self.pair:
            try:
                self._say_lanes(self.relay.waiting_destinations(clock.now_ms()))
            except JournalError as error:
                log.error("%s", error)

    def _say_lanes(self, dests: set[int] | None) -> None:
        for learned in self.relay.known(dests):
            route = self.directory.by_number.get(learned.endpoint)
            if learned.endpoint < 0 or route is not None:
                told: list[list[object]] = [[name, value] for name, value in learned.figures]
                self.journal.says_lane(learned.destination, route.name if route else "", told)

    def _say_calls(self) -> None:
        out = {str(dest): calls for dest, calls in self.relay.calls_out().items()}
        if out != self.journal.calls:
            self.journal.says_calls(out)
