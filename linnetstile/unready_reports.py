"""Endpoints that another process of the relay was told are draining or gone, as far as that still binds.

This process's own list may be older than such a report: it starts with an old one, or discovery does not
answer. A report binds until discovery has answered a call that began after the report was read, since the
list is at least as new from then on. Decisions alone: no I/O and no clock; times are milliseconds on the
caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable


class UnreadyReports:
    """Owns from when until when a report goes before the list."""

    def __init__(self) -> None:
        self._reported_ms: dict[str, float] = {}  # by the endpoint's name, when it was read last

    def __contains__(self, name: str) -> bool:
        return name in self._reported_ms

    def report(self, names: Iterable[str], now_ms: float) -> None:
        """These get nothing new from now on."""
        self._reported_ms.update(dict.fromkeys(names, now_ms))

    def release(self, asked_ms: float) -> set[str]:
        """Discovery has answered a call that began then: the endpoints for which the list counts again."""
        released = {name for name, reported_ms in self._reported_ms.items() if reported_ms < asked_ms}
        for name in released:
            del self._reported_ms[name]
        return released
