"""The relay's only clock for spans of time: deadlines, key windows, waits, ages.

Spans come from the monotonic clock alone, in memory, in the journal and in what one process of a relay tells
another: the wall clock may be stepped at any moment. The monotonic clock goes on over a restart of the
process; it begins anew with the machine, which the kernel's boot id tells.
"""

from __future__ import annotations

import time
from functools import cache
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
BOOT_ID_LENGTH = 8  # of its characters: enough to tell one boot from the next


def now_ms() -> float:
    """Milliseconds on the monotonic clock, which is the event loop's as well."""
    return time.monotonic() * 1000


def wall_ms() -> float:
    """Unix time in milliseconds: for journals of earlier versions, which kept it, and for nothing else."""
    return time.time() * 1000


@cache
def boot_id() -> str:
    """Names this boot of the machine; empty where the kernel does not tell."""
    try:
        return BOOT_ID.read_text()[:BOOT_ID_LENGTH]
    except OSError:
        return ""
