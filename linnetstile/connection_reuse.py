"""Whether a kept connection may carry the next request, and what its answers and stray bytes prove.

An HTTP/1.1 answer names no request: what comes first on a connection is taken for the answer to the request
that is out on it. A peer that sends more than its answer (a second copy, noise) thereby answers a request
that it has not read. Decisions alone: no I/O and no clock; times are seconds on one clock of the caller's.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


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
    size: int
    since_answer_s: float  # since the answer that they follow was whole
    requests: int  # on this connection so far; the one that was being written included
