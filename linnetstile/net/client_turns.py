"""When each client's connection is served: for a bounded time in a turn of the loop, and in fair order."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from ..fair_queue import FairQueue, Member

log = logging.getLogger(__name__)

TURN_S = 0.005  # of one turn of the loop, for what clients ask: calls, notices and lists go on in between
SLICE_S = 0.0005  # of one connection's, before others have theirs


class Served(Member, Protocol):
    """A connection that has something to handle."""

    def serve(self, until_s: float) -> bool:
        """Handles what has come, until about that moment on the loop's clock; whether something is left."""


class ClientTurns:
    """Serves a connection at once while the turn has time left and nobody waits, else in fair order."""

    def __init__(self) -> None:
        self._queue: FairQueue[Served] = FairQueue()
        self._spent_s = 0.0  # in this turn of the loop
        self._scheduled = False
        self.longest_s = 0.0  # of a turn's time for clients, since it was last asked for

    def request(self, connection: Served) -> bool:
        """Whether it was served just now; else it will be, unless it is over by then."""
        if len(self._queue) or self._spent_s >= TURN_S:
            self.enqueue(connection)
            return False
        self._serve(connection)
        return True

    def enqueue(self, connection: Served) -> None:
        """It waits for one of the next turns."""
        self._queue.add(connection)
        self._schedule()

    def take_longest_s(self) -> float:
        """The longest turn since this was last called."""
        longest_s, self.longest_s = self.longest_s, 0.0
        return longest_s

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._turn)

    def _turn(self) -> None:
        self._scheduled = False
        self.longest_s = max(self.longest_s, self._spent_s)
        self._spent_s = 0.0
        while len(self._queue) and self._spent_s < TURN_S:
            self._serve(self._queue.pop())
        if len(self._queue):
            self._schedule()

    def _serve(self, connection: Served) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        unfinished = connection.serve(began_s + SLICE_S)
        took_s = loop.time() - began_s
        self._spent_s += took_s
        self._queue.charge(connection, took_s)
        if unfinished:
            self._queue.add(connection)
        self._schedule()  # the next turn has time of its own
