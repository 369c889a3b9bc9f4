"""Whether a kept connection may carry the next request, and what its answers and stray bytes prove.

An HTTP/1.1 answer names no request: what comes first on a connection is taken for the answer to the request
that is out on it. A peer that sends more than its answer (a second copy, noise) thereby answers a request
that it has not read. Decisions alone: no I/O and no clock; times are seconds on one clock of the caller's.
"""

from __future__ import annotations

from collections.abc import Collection, Hashable
from dataclasses import dataclass
from enum import StrEnum

REST_S = 0.025  # from an answer to the last byte of the next request: what a peer sends too much comes before
LONGEST_REST_S = 0.25  # what comes later than this after an answer has another reason
REST_PER_GAP = 2.0
REMEMBERED_S = 60.0  # how long a peer whose extra bytes came late is given a longer rest
MOST_PEERS = 4096  # whose rests are remembered
TIMER_S = 0.001  # by which a timer's rest may fall short
DOUBT_S = 2.0  # what follows an answer by more than this doesn't cast doubt on it


class Peer(StrEnum):
    """What kind of server a connection leads to."""

    ENDPOINT = "endpoint"
    DISCOVERY = "discovery"
    OUTCOMES = "outcomes"


class Position(StrEnum):
    """Where unsolicited bytes came."""

    WITH_ANSWER = "with_answer"  # in one read with the end of an answer
    IDLE = "idle"  # between two requests
    BEFORE_REQUEST_END = "before_request_end"  # before the last byte of the next request was written


@dataclass(frozen=True, slots=True)
class UnsolicitedBytes:
    """Bytes that no request asked for."""

    position: Position
    size: int  # 0 where they were closed away unread
    since_answer_s: float  # since the answer that they follow was whole
    answered: int  # requests that had been answered on the connection


@dataclass(slots=True)
class _LongRest:
    seconds: float
    until_s: float


class ReusePolicy:
    """When a kept connection may carry the next request; one for all connections to peers of one kind.

    Bytes that come while a connection rests, or before the last byte of its next request has left, prove that
    this request has not run: it goes on another connection.
    """

    def __init__(self) -> None:
        self._long_rests: dict[Hashable, _LongRest] = {}
        self._connect_s: dict[Hashable, float] = {}

    def observe(self, peer: Hashable, now_s: float, found: UnsolicitedBytes) -> None:
        """A peer whose extra bytes come late rests for longer than the gap that was seen."""
        gap_s = found.since_answer_s
        rest_s = min(LONGEST_REST_S, REST_PER_GAP * gap_s)
        if found.position is Position.WITH_ANSWER or gap_s > LONGEST_REST_S or rest_s <= REST_S:
            return
        rest_s = max(rest_s, self.rest_s(peer, now_s))
        self._long_rests.pop(peer, None)
        self._long_rests[peer] = _LongRest(rest_s, now_s + REMEMBERED_S)
        if len(self._long_rests) > MOST_PEERS:
            del self._long_rests[next(iter(self._long_rests))]

    def connected(self, peer: Hashable, took_s: float) -> None:
        """A new connection to that peer took so long."""
        self._connect_s[peer] = took_s

    def wait_s(self, peer: Hashable, now_s: float, answered_at_s: float | None) -> float:
        """How long until a request may be whole, on the connection that was answered then, or else on a new
        one: as long as the last one took."""
        hold_s = None if answered_at_s is None else self.hold_s(peer, now_s, answered_at_s)
        return self._connect_s.get(peer, 0.0) if hold_s is None else hold_s

    def rest_s(self, peer: Hashable, now_s: float) -> float:
        """How long after an answer the last byte of the next request may leave, in seconds."""
        rest = self._long_rests.get(peer)
        return REST_S if rest is None or rest.until_s <= now_s else rest.seconds

    def hold_s(self, peer: Hashable, now_s: float, answered_at_s: float) -> float | None:
        """How long the last byte of a request is to be held back on a connection that was answered then; None
        if the request should rather go on another connection."""
        rest_s = self.rest_s(peer, now_s)
        left_s = max(0.0, answered_at_s + rest_s - now_s)
        return left_s if left_s == 0.0 or rest_s <= REST_S else None


def is_attributable(reused: bool, rested_s: float, unread: bool) -> bool:
    """Whether an answer belongs to its request: nothing lay unread when the request was ended, and on a
    connection with an earlier answer the rest was kept."""
    return not unread and (not reused or rested_s >= REST_S - TIMER_S)


def casts_doubt(answered: int, since_answer_s: float) -> bool:
    """Whether what follows an answer (bytes, or the connection's end) may mean that the answer was none: not
    where it was the connection's first, since nothing can have come before that."""
    return answered > 1 and since_answer_s <= DOUBT_S


def names_only(named: Collection[str], sent: Collection[str]) -> bool:
    """Whether an answer to several messages is about these alone; else it answers another call."""
    return set(named) <= set(sent)
