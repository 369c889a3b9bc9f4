"""When a message that is held counts as left behind, and how it ends where no decision can be had.

Each held message has a call out, or waits in a queue with a timer, or its end is on its way to the platform.
One that is still held past its time has lost all of them through a fault of this program.
"""

from __future__ import annotations

OVERDUE_MS = 50.0  # past its time: every regular end comes before
LAST_RESORT = "failed"  # promises nothing, so it is true whatever became of the message


def overdue_at(due_ms: float) -> float:
    """From when on a message with this time counts as left behind, on the same clock."""
    return due_ms + OVERDUE_MS
