"""Whether operators have drained this relay: a file in the state folder, so that it outlives each process.

All processes of the relay go by the file. The last call decides, whichever process it was made to.
"""

from __future__ import annotations

import logging
import threading
from pathlib import Path

log = logging.getLogger(__name__)

MARKER = "draining"


class OperatorDrain:
    """Set on the management server's thread, looked at on the relay's. OSError from the constructor: the
    folder cannot be read."""

    def __init__(self, folder: Path) -> None:
        self._marker = folder / MARKER
        self._lock = threading.Lock()
        self._unwritten = False  # the folder did not take what this process was told
        self._active = self._is_marked()

    @property
    def active(self) -> bool:
        """Whether clients are to be sent away."""
        return self._active

    def set(self, active: bool) -> None:
        """Holds at once in this process, and for the others as soon as the folder takes it."""
        with self._lock:
            self._active = active
            self._write()

    def look(self) -> bool:
        """Follows the file; whether something has changed."""
        with self._lock:
            if self._unwritten:
                self._write()
                return False
            before = self._active
            try:
                self._active = self._is_marked()
            except OSError:
                log.debug("the drain's file cannot be looked at", exc_info=True)
            return self._active != before

    def _is_marked(self) -> bool:
        try:
            self._marker.stat()
        except FileNotFoundError:
            return False
        return True

    def _write(self) -> None:
        before = self._unwritten
        try:
            if self._active:
                self._marker.touch()
            else:
                self._marker.unlink(missing_ok=True)
            self._unwritten = False
        except OSError as error:
            self._unwritten = True
            if not before:
                log.error("the drain, or its end, is not on file yet: %s", error)
