"""Finds messages that are past their time and still held, whatever has lost them."""

from __future__ import annotations

import asyncio
import heapq
import logging
from collections.abc import Callable

from ..liveness import overdue_at
from . import clock
from .records import Entry

log = logging.getLogger(__name__)

LOOK_S = 0.025  # between two looks, at least: each handles all whose time has come

Check = Callable[[int, Entry], None]


class Watchdog:
    """Calls `check` once for each message, soon after its time; the check says whether anything is wrong."""

    def __init__(self, check: Check) -> None:
        self.check = check
        self.order: list[tuple[float, int]] = []  # heap: when to look at which message
        self.entries: dict[int, Entry] = {}
        self.wake = asyncio.Event()

    def add(self, number: int, entry: Entry) -> None:
        """Looks at this message after its time; one whose time is over already gets another such span."""
        self.entries[number] = entry
        at = overdue_at(max(entry.due, clock.now_ms()))
        if not self.order or at < self.order[0][0]:
            self.wake.set()
        heapq.heappush(self.order, (at, number))

    async def run(self) -> None:
        while True:
            self.wake.clear()
            wait_s = (self.order[0][0] - clock.now_ms()) / 1000 if self.order else None
            if wait_s is None or wait_s > LOOK_S:
                await self._woken_within(wait_s)
            else:
                await asyncio.sleep(LOOK_S)
            self._look()

    async def _woken_within(self, wait_s: float | None) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self.wake.wait()
        except TimeoutError:
            pass

    def _look(self) -> None:
        now = clock.now_ms()
        while self.order and self.order[0][0] <= now:
            number = heapq.heappop(self.order)[1]
            try:
                self.check(number, self.entries.pop(number))
            except Exception:
                log.exception("message %d could not be looked at", number)
