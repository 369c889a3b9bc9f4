"""An event loop on a clock that is given: when nothing is ready, the time of the next timer has come."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _Clock(selectors.SelectSelector):
    """Waits for nothing: what it is asked to wait counts as passed."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("nothing is left to wait for")
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.clock = _Clock()
        super().__init__(self.clock)

    def time(self) -> float:
        return self.clock.now


def run_virtual(work: Coroutine[Any, Any, None]) -> None:
    """`asyncio.run` with such a loop: for work in memory alone, no sockets and no threads."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(work)
