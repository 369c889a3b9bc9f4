"""Requests of clients that are not whole: what they take, and which of them makes way for others.

A request that comes at once is whole before it could stall, so whoever stalled for longest goes first.
Decisions alone: no I/O and no clock; times are seconds on one clock of the caller's.
"""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

STALLED_S = 0.1  # a request of which nothing came for so long may make way
LONG_S = 1.0  # and one that has taken so long to come
FEW = 16  # so many slow requests are no crowd, whatever part of the connections they have
UNTOLD_MOST_BYTES = 8 << 20  # of all requests that are not whole, until the caller says otherwise


class Receiver(Protocol):
    """A client's connection."""

    begun_at: float  # when its request began to come
    deferred: bool  # what has come waits for its turn: it is to be answered

    @property
    def held_bytes(self) -> int:
        """What its request takes in memory, as far as it has come."""

    def __hash__(self) -> int: ...


ReceiverT = TypeVar("ReceiverT", bound=Receiver)


class PartialRequests(Generic[ReceiverT]):
    """Owns the sum of their bytes, and when each was last read."""

    def __init__(self) -> None:
        self.most_bytes = UNTOLD_MOST_BYTES
        self.total_bytes = 0
        self._bytes: dict[ReceiverT, int] = {}  # the one that was read last stands last
        self._read_at: dict[ReceiverT, float] = {}

    def __len__(self) -> int:
        return len(self._bytes)

    @property
    def spare_bytes(self) -> int:
        """What they may still take."""
        return max(0, self.most_bytes - self.total_bytes)

    def read(self, receiver: ReceiverT, now_s: float) -> None:
        """Some of its request has come, or what had come was handled."""
        self.forget(receiver)
        if receiver.held_bytes:
            self._bytes[receiver] = receiver.held_bytes
            self._read_at[receiver] = now_s
            self.total_bytes += receiver.held_bytes

    def forget(self, receiver: ReceiverT) -> None:
        """Its request is whole, or over."""
        self.total_bytes -= self._bytes.pop(receiver, 0)
        self._read_at.pop(receiver, None)

    def over_budget(self) -> ReceiverT | None:
        """The one to give up now, if they take more than they may."""
        if self.total_bytes <= self.most_bytes:
            return None
        return next((each for each in self._bytes if not each.deferred), None)

    def are_many(self, most_connections: int) -> bool:
        """Whether they hold more than half of the connections that there may be."""
        return len(self._bytes) > max(FEW, most_connections // 2)

    def slow(self, now_s: float) -> ReceiverT | None:
        """One that has stalled, or else takes long to come."""
        waiting = [each for each in self._bytes if not each.deferred]
        if waiting and self._read_at[waiting[0]] <= now_s - STALLED_S:
            return waiting[0]
        return next((each for each in waiting if each.begun_at <= now_s - LONG_S), None)
