"""What this process takes in memory, as the system counts it (proc(5))."""

from __future__ import annotations

import resource

UNKNOWN_BYTES = 24 << 20  # assumed where the system does not tell


def resident_bytes() -> int:
    """At present."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return UNKNOWN_BYTES
