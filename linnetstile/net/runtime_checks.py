"""What is checked and counted as calls go out and answers come: the invariants, told of each crossing."""

from __future__ import annotations

import logging

from .. import interface as api
from ..connection_reuse import Peer, UnsolicitedBytes
from . import clock
from .config import Address
from .discovery import Directory
from .egress import Call
from .figures import Figures
from .invariants import Rule
from .journal import Entry, Journal
from .link import Link

traffic = logging.getLogger("linnetstile.traffic")  # what recurs with each message or second


class RuntimeChecks:
    """Decides nothing: what prevents a breach stands before it."""

    def __init__(
        self, settings: api.Settings, journal: Journal, directory: Directory, figures: Figures
    ) -> None:
        self.classes = {kind.name: kind for kind in settings.classes}
        self.journal, self.directory, self.figures = journal, directory, figures
        self.invariants = figures.invariants
        self.sent: set[str] = set()  # ids of the messages whose calls are out whole

    def call_written(self, calls: list[Call]) -> None:
        """Right after the last byte of a call has left, with each of its messages."""
        for call in calls:
            self.figures.tried(call.class_)
            entry = self.journal.entries.get(call.trace_id)
            if entry is not None:
                self.message_sent(call, entry)

    def message_sent(self, call: Call, entry: Entry) -> None:
        check, what, now = self.invariants.check, f"{entry.id} to {call.endpoint}", clock.now_ms()
        check(Rule.SENT_WHILE_OPEN, not entry.end, what)
        check(Rule.SENT_ON_FILE, entry.out is not None, what)
        check(Rule.SENT_TO_READY, self.directory.ready(call.endpoint) is not None, what)
        check(Rule.ONE_ATTEMPT, entry.id not in self.sent, what)
        self.sent.add(entry.id)
        until = entry.due
        kind = self.classes[entry.class_]
        if entry.risk is not None and kind.effect is api.Effect.KEYED:
            until = min(until, entry.risk.at + kind.key_window_ms)
        check(Rule.SENT_IN_TIME, now < until, f"{what}, {now - until:.0f} ms")
        check(Rule.ONE_ATTEMPT, entry.risk is None or kind.effect is not api.Effect.UNSAFE, what)

    def call_ended(self, entry: Entry) -> None:
        """Another call for this message may go out from now on."""
        self.sent.discard(entry.id)

    def answer(self, peer: Peer, address: Address, link: Link) -> None:
        """As soon as the status of an answer is known."""
        what = f"{peer} {address[0]}:{address[1]}, {1000 * link.rested_to_end:.1f} ms after an answer"
        self.invariants.check(Rule.ANSWER_OF_REQUEST, link.attributable, what)

    def unsolicited(self, peer: Peer, address: Address, found: UnsolicitedBytes) -> None:
        """Bytes that no request asked for."""
        self.figures.unsolicited[peer, found.position] += 1
        traffic.info(
            "unsolicited: %d bytes from %s %s:%d, %s, %.1f ms after answer %d",
            found.size,
            peer,
            *address,
            found.position,
            1000 * found.since_answer_s,
            found.answered,
        )
