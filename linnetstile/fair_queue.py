"""Start-time fair queueing: of those that wait, whoever has used least so far goes first.

A member that has used much waits behind one that has not, whatever the order in which they came; one that
comes after a rest starts level with those that are served, and saves nothing up. Decisions alone: no clock;
costs are in any one unit of the caller's. Source: Goyal, Vin, Cheng, "Start-time Fair Queueing" (1996).
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar


@dataclass(slots=True)
class Usage:
    """What one member has used, as the queue counts it."""

    finish: float = 0.0


class Member(Protocol):
    """Whoever waits in the queue."""

    usage: Usage


MemberT = TypeVar("MemberT", bound=Member)


class FairQueue(Generic[MemberT]):
    """Each member stands in it once at most; the caller sees to that."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, MemberT]] = []
        self._added = 0
        self._virtual_time = 0.0  # the start of whoever was served last

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, member: MemberT) -> None:
        """Members that have used alike keep their order."""
        self._added += 1
        start = max(self._virtual_time, member.usage.finish)
        heapq.heappush(self._heap, (start, self._added, member))

    def pop(self) -> MemberT:
        """Whoever goes next; IndexError if nobody waits."""
        self._virtual_time, _, member = heapq.heappop(self._heap)
        return member

    def charge(self, member: MemberT, cost: float) -> None:
        """What a member has used, whether or not it had to wait."""
        member.usage.finish = max(self._virtual_time, member.usage.finish) + cost
