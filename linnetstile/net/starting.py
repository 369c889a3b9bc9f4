"""Steps of a start that wait while this machine lacks something for a moment."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

from .backoff import Backoff
from .system_errors import START_WAITS

log = logging.getLogger(__name__)

FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.02, 0.5  # between two attempts
T = TypeVar("T")


async def once_possible(
    step: Callable[[], Awaitable[T]], goes_on: Callable[[], bool] = lambda: True
) -> T | None:
    """What the step returns; None if the start need not go on any more. OSError that does not pass."""
    pauses = Backoff(FIRST_PAUSE_S, LONGEST_PAUSE_S)
    while goes_on():
        try:
            return await step()
        except OSError as error:
            if error.errno not in START_WAITS:
                raise
            log.warning("the start waits: %s", error)
        await pauses.pause()
    return None
