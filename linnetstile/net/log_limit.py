"""Log lines that peers cause: a flood of bad requests must not become a flood of lines."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass

LINES = 5  # of one kind in a window
WINDOW_S = 1.0


@dataclass(slots=True)
class _Window:
    ends_s: float
    lines: int = 0
    left_out: int = 0


class LimitedLog:
    """Writes the first lines of each kind in a window, and later how many it left out."""

    def __init__(self, log: logging.Logger) -> None:
        self._log = log
        self._windows: dict[str, _Window] = {}

    def info(self, kind: str, message: str, *args: object) -> None:
        """Kinds are few: names of this program's own."""
        now_s = time.monotonic()
        window = self._windows.get(kind)
        if window is None or window.ends_s <= now_s:
            if window is not None and window.left_out:
                self._log.info("%s: %d more lines were left out", kind, window.left_out)
            window = self._windows[kind] = _Window(now_s + WINDOW_S)
        window.lines += 1
        if window.lines <= LINES:
            self._log.info(message, *args)
        else:
            window.left_out += 1
