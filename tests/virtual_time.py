"""The emulator's virtual clock for tests: when nothing is ready, the time of the next timer has come."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from linnetstile.emulator.clock import VirtualClockLoop


def run_virtual(work: Coroutine[Any, Any, None]) -> None:
    """`asyncio.run` on that clock: for work in memory alone, no sockets and no threads."""
    with asyncio.Runner(loop_factory=VirtualClockLoop) as runner:
        runner.run(work)
