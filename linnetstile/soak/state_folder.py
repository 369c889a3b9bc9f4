"""What the rules say of a relay's state folder: its size, and that no process leaves a file behind."""

from __future__ import annotations

import re
from pathlib import Path

BLOCK_BYTES = 512  # DEPLOY, "Limits": "every file counted in whole 512 bytes"
JOURNAL = re.compile(r"journal(-\d+)?")


def folder_bytes(folder: Path) -> int:
    """What all files take; one that goes meanwhile takes nothing."""
    total = 0
    for path in folder.iterdir():
        try:
            total += -(-path.stat().st_size // BLOCK_BYTES) * BLOCK_BYTES
        except FileNotFoundError:
            continue
    return total


def breaches_of_size(folder: Path, limit_bytes: int) -> list[str]:
    """A line, if the folder holds more than it may."""
    held = folder_bytes(folder)
    return [f"crash: the state folder holds {held} bytes of {limit_bytes}"] * (held > limit_bytes)


def breaches_of_an_end(folder: Path) -> list[str]:
    """A line for each file, but for journals, that a process left behind which ended as planned."""
    names = sorted(path.name for path in folder.iterdir())
    return [f"folder: {name} is left behind" for name in names if not JOURNAL.fullmatch(name)]
