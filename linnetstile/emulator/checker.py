"""Owns the rules of the world: sees what relays are told and what they write, and nothing inside them.

Each rule is checked as the event happens; a breach ends the run. Times are milliseconds on the virtual clock.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from ..interface import Effect, Endpoint, EndpointList, Listing, ListKind, Outcome, Scope, Settings

LATE_MS = 350.0  # a message is lost so long after its time: 300 ms, and 50 on sockets (PROTOCOL)
LIMIT_MS = 50.0  # each time limit grows by so much on sockets (PROTOCOL)
HEED_MS = 100.0  # calls that come so soon after the answer with a wait get through (PROTOCOL)
READY_MS = 1500.0  # nothing is overdue until so long after a restarted relay is ready (PROTOCOL)


class Breach(AssertionError):
    """A rule was broken."""

    def __init__(self, now_ms: float, rule: str, relay: int, ident: int, text: str) -> None:
        super().__init__(f"{now_ms:.1f} ms: {rule}: relay {relay}, message {ident}: {text}")
        self.rule = rule


@dataclass(slots=True)
class Owed:
    """A message taken on."""

    relay: int
    class_: int
    destination: int
    due: float
    out: tuple[float, int, int] | None = None  # written when, to which endpoint, in which zone
    risk: tuple[float, int, int] | None = None  # the first attempt that may have run
    tries: int = 0
    ended: str = ""


@dataclass(slots=True)
class Told:
    """What one relay has been told."""

    entries: dict[int, Endpoint] = field(default_factory=dict)
    drained: dict[int, float] = field(default_factory=dict)  # endpoint -> since when nothing new may go there
    waits: dict[tuple[int, int], list[tuple[float, float]]] = field(default_factory=dict)  # told when, until
    ready: float = 0.0
    down: bool = False


class Checker:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.owed: dict[int, Owed] = {}  # until they have ended and nothing is out
        self.over: dict[int, int] = {}  # and to whom they were owed, afterwards
        self.told: dict[int, Told] = {}
        self.dues: list[tuple[float, int]] = []  # heap
        self.checks = 0

    def _of(self, relay: int) -> Told:
        if relay not in self.told:
            self.told[relay] = Told()
        return self.told[relay]

    def _lane(self, entry: Endpoint) -> tuple[int, int]:
        apart = self.settings.kinds[entry.kind].routes_apart
        return entry.destination, entry.id if apart else -1

    # -- what relays are told ----------------------------------------------------------------------------

    def listed(self, now: float, relay: int, event: EndpointList) -> None:
        told = self._of(relay)
        ready = {entry.id for entry in event.entries if entry.listing is Listing.READY}
        whole = event.kind is ListKind.WHOLE
        for ident in set(told.entries) - ready if whole else {entry.id for entry in event.entries} - ready:
            told.drained.setdefault(ident, now)
        for entry in event.entries:
            told.entries[entry.id] = entry
        for ident in ready:
            told.drained.pop(ident, None)

    def told_wait(self, now: float, relay: int, entry: Endpoint, written: float, wait_ms: float) -> None:
        """`written`: when the destination wrote the answer; the wait runs from then."""
        waits = self._of(relay).waits
        left = [each for each in waits.get(self._lane(entry), []) if each[1] > now]
        waits[self._lane(entry)] = [*left, (written, written + wait_ms)]

    def killed(self, now: float, relay: int) -> None:
        """Its calls end with no outcome; what it was told is gone with it, waits too (PROTOCOL)."""
        self.told[relay] = Told(down=True)
        for owed in self.owed.values():
            if owed.relay == relay and owed.out is not None:
                owed.risk, owed.out = owed.risk or owed.out, None

    def restarted(self, now: float, relay: int) -> None:
        told = self._of(relay)
        told.down, told.ready = False, now

    def renumbered(self, ident: int, endpoint: int) -> None:
        """A new process counts endpoints anew: where the attempt that may have run went."""
        owed = self.owed[ident]
        if owed.risk is not None:
            owed.risk = owed.risk[0], endpoint, owed.risk[2]

    # -- messages ----------------------------------------------------------------------------------------

    def taken(self, now: float, relay: int, ident: int, class_: int, destination: int, due: float) -> None:
        self.owed[ident] = Owed(relay, class_, destination, due)
        heapq.heappush(self.dues, (due + LATE_MS, ident))

    def wrote(self, now: float, relay: int, ident: int, entry: Endpoint) -> None:
        """Right before the first byte of an attempt of this message."""
        self.checks += 1
        owed, told = self.owed.get(ident), self._of(relay)
        if owed is None or owed.ended:
            raise Breach(now, "sent after its end", relay, ident, f"to endpoint {entry.id}")
        self._check_place(now, owed, told, ident, entry)
        if owed.out is not None:
            raise Breach(now, "two attempts out", relay, ident, f"{owed.out} and to endpoint {entry.id}")
        owed.tries += 1
        if owed.tries > self.settings.attempts:
            raise Breach(now, "attempt limit", relay, ident, f"{owed.tries} attempts")
        if owed.risk is not None:
            self._check_repeat(now, owed, ident, entry, owed.risk)
        owed.out = now, entry.id, entry.zone

    def _check_place(self, now: float, owed: Owed, told: Told, ident: int, entry: Endpoint) -> None:
        if entry.destination != owed.destination or entry.id not in told.entries:
            raise Breach(now, "wrong endpoint", owed.relay, ident, f"{entry} for {owed.destination}")
        since = told.drained.get(entry.id)
        if since is not None and now > since + self.settings.safety.drain_grace_ms + LIMIT_MS:
            raise Breach(now, "drained endpoint", owed.relay, ident, f"{entry.id}, told at {since:.1f}")
        for written, until in told.waits.get(self._lane(entry), ()):
            if written + HEED_MS <= now < until:
                raise Breach(now, "told wait", owed.relay, ident, f"until {until:.1f}, told at {written:.1f}")

    def _check_repeat(
        self, now: float, owed: Owed, ident: int, entry: Endpoint, risk: tuple[float, int, int]
    ) -> None:
        cls = self.settings.classes[owed.class_]
        if cls.effect is Effect.UNSAFE:
            raise Breach(now, "unsafe repeat", owed.relay, ident, f"an attempt at {risk[0]:.1f} may have run")
        if cls.effect is not Effect.KEYED:
            return
        if now > risk[0] + cls.key_window_ms:
            raise Breach(now, "key window", owed.relay, ident, f"the first may have run at {risk[0]:.1f}")
        same = {Scope.ALL: True, Scope.ENDPOINT: entry.id == risk[1], Scope.ZONE: entry.zone == risk[2]}
        if not same[cls.key_scope]:
            raise Breach(now, "key scope", owed.relay, ident, f"{risk} and endpoint {entry.id}")

    def attempt_ended(self, now: float, ident: int, outcome: Outcome) -> None:
        """Of one that was written."""
        owed = self.owed[ident]
        if owed.out is not None:
            if not outcome.proves_no_effect:
                owed.risk = owed.risk or owed.out
            owed.out = None
        if owed.ended:
            self._forget(ident)

    def ended(self, now: float, ident: int, how: str) -> None:
        owed = self.owed.get(ident)
        if owed is None or owed.ended:
            relay = self.over.get(ident, -1) if owed is None else owed.relay
            raise Breach(now, "second end", relay, ident, how)
        if now > owed.due + LATE_MS and now > self._of(owed.relay).ready + READY_MS:
            raise Breach(now, "late end", owed.relay, ident, f"{how}, due at {owed.due:.1f}")
        owed.ended = how
        if owed.out is None:
            self._forget(ident)

    def _forget(self, ident: int) -> None:
        self.over[ident] = self.owed.pop(ident).relay

    def look(self, now: float) -> None:
        """What is overdue? Called at each of the world's events."""
        while self.dues and self.dues[0][0] < now:
            _, ident = heapq.heappop(self.dues)
            owed = self.owed.get(ident)
            if owed is None or owed.ended:
                continue
            told = self._of(owed.relay)
            excused = now + READY_MS if told.down else told.ready + READY_MS
            if excused < now:
                raise Breach(now, "no end", owed.relay, ident, f"due at {owed.due:.1f}")
            heapq.heappush(self.dues, (excused, ident))

    def finish(self, now: float) -> None:
        """At the end of the run, after which nothing can happen to a message any more."""
        for ident, owed in self.owed.items():
            if not owed.ended:
                raise Breach(now, "no end", owed.relay, ident, f"due at {owed.due:.1f}")
