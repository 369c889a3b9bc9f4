"""Rules that this process must never break, checked as it runs: each breach is counted and logged.

The checks stand where something becomes true for others: a message is taken on, a call's last byte leaves, a
message ends, a client's connection is closed, a start goes on from what an earlier process left. They decide
nothing; what prevents a breach stands before them.
"""

from __future__ import annotations

import logging
from enum import StrEnum

log = logging.getLogger(__name__)

LATE_MS = 250.0  # a final answer counts as late so long after its message's time


class Rule(StrEnum):
    """What holds at all times."""

    ACCEPTED_ON_FILE = "accepted_on_file"  # what a client hears is taken on is in the journal
    SENT_ON_FILE = "sent_on_file"  # the journal knows of each call before its last byte leaves
    SENT_WHILE_OPEN = "sent_while_open"  # nothing is sent for a message that has ended
    SENT_IN_TIME = "sent_in_time"  # nor past its time, or past its key's window after an unclear attempt
    SENT_TO_READY = "sent_to_ready"  # nor to an endpoint that drains or is gone
    ONE_ATTEMPT = "one_attempt"  # never are two attempts of one message out
    ANSWER_OF_REQUEST = "answer_of_request"  # what is taken for an answer can belong to no earlier request
    ONE_END = "one_end"  # a message ends once
    END_IN_TIME = "end_in_time"  # and in its time
    LEFT_BEHIND = "left_behind"  # every held message has a call out, a timer, or an end on its way
    ANSWERED = "answered"  # a client's request is never closed with no answer by this side


class Invariants:
    def __init__(self) -> None:
        self.breaches: dict[Rule, int] = dict.fromkeys(Rule, 0)

    def check(self, rule: Rule, holds: bool, what: str) -> bool:
        """Whether it holds; `what` names the message or the connection."""
        if not holds:
            self.breaches[rule] += 1
            log.error("invariant broken: %s: %s", rule, what)
        return holds

    @property
    def broken(self) -> int:
        return sum(self.breaches.values())
