"""Owns the virtual clock: an event loop that never waits but jumps to its next timer.

The relay's own coroutines run on it as they are: `asyncio.sleep`, `asyncio.timeout` and `call_later` read the
loop's time, which moves only when nothing is ready. One thread, no sockets, so one order of events.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context
from heapq import heappop, heappush
from typing import Any, TypeVar, TypeVarTuple

T = TypeVar("T")
Ts = TypeVarTuple("Ts")

MOST_TURNS = 200_000_000  # of the loop: a run that comes to it does not end by itself


class Deadlock(RuntimeError):
    """Nothing is ready and no timer is set: the run would wait for ever."""


class TurnsSpent(RuntimeError):
    """The run took more turns of the loop than it was allowed."""


class VirtualClockLoop(asyncio.BaseEventLoop):
    """Time in seconds from 0. What a callback raises ends the run, since there is nobody to read a log.

    asyncio's own turn spends more time on comparing timers than on all else, and runs timers of one moment in
    any order; here those run in the order in which they were set.
    """

    _ready: deque[asyncio.Handle]  # asyncio's queue of what runs next

    def __init__(self, most_turns: int = MOST_TURNS) -> None:
        super().__init__()
        self.most_turns, self.turns, self.now_s = most_turns, 0, 0.0
        self.timers: list[tuple[float, int, asyncio.TimerHandle]] = []  # heap
        self.timers_set = 0
        self.fault: BaseException | None = None
        self.set_exception_handler(self._on_fault)

    def time(self) -> float:
        return self.now_s

    def call_at(
        self, when: float, callback: Callable[[*Ts], object], *args: *Ts, context: Context | None = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self.timers_set += 1
        heappush(self.timers, (when, self.timers_set, handle))
        return handle

    def call_later(
        self, delay: float, callback: Callable[[*Ts], object], *args: *Ts, context: Context | None = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self.now_s + delay, callback, *args, context=context)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """It is passed over when its time comes."""

    def _run_once(self) -> None:
        """One turn: what is ready, and the timers that are due; with neither, a jump to the next timer."""
        self.turns += 1
        if self.fault is not None:
            raise self.fault
        if self.turns > self.most_turns:
            raise TurnsSpent(f"{self.turns} turns at {self.now_s:.3f} s")
        ready, timers = self._ready, self.timers
        while timers and timers[0][2].cancelled():
            heappop(timers)
        if not ready:
            if not timers:
                raise Deadlock(f"nothing is ready and no timer is set at {self.now_s:.3f} s")
            self.now_s = max(self.now_s, timers[0][0])
        while timers and timers[0][0] <= self.now_s:
            ready.append(heappop(timers)[2])
        for _ in range(len(ready)):
            handle = ready.popleft()
            if not handle.cancelled():
                handle._run()

    def _on_fault(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        future = context.get("future")
        if future is not None and not isinstance(future, asyncio.Task):
            return  # an answer to one who was ended in the same moment
        if self.fault is None:
            self.fault = context.get("exception") or RuntimeError(str(context.get("message")))


class _Faults(logging.Handler):
    """The relay's coroutines log what they survive: in a run an error there is a fault of the run."""

    def __init__(self, loop: VirtualClockLoop) -> None:
        super().__init__(logging.ERROR)
        self.loop = loop

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        self.loop.fault = self.loop.fault or error or RuntimeError(record.getMessage())


def run(main: Coroutine[Any, Any, T], seed: int, most_turns: int = MOST_TURNS) -> T:
    """Runs to the end of `main` on a clock of its own, with the module `random` seeded for the run and as it
    was afterwards. Raises what any callback raised, `Deadlock`, or `TurnsSpent`."""
    loop, before = VirtualClockLoop(most_turns), random.getstate()
    log, faults = logging.getLogger("linnetstile"), _Faults(loop)
    kept = log.level, log.propagate
    log.addHandler(faults)
    log.setLevel(logging.ERROR)
    log.propagate = False
    random.seed(seed)
    try:
        result = loop.run_until_complete(main)
        if loop.fault is not None:
            raise loop.fault
        return result
    finally:
        _end(loop)
        random.setstate(before)
        log.removeHandler(faults)
        log.setLevel(kept[0])
        log.propagate = kept[1]


def _end(loop: VirtualClockLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.fault = None
    loop.most_turns = loop.turns + MOST_TURNS
    try:
        if tasks:
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    finally:
        loop.close()
