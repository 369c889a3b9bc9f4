"""Names in the order in which they were added last, the oldest of which are forgotten."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .records import text_bytes

COMMA_BYTES = 1  # behind a name in a record


class BoundedNames:
    """At most `most` names."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._names: dict[str, None] = {}
        self.record_bytes = 0  # what they take in records

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def __iter__(self) -> Iterator[str]:
        return iter(self._names)

    def add(self, names: Iterable[str]) -> None:
        """As the latest, also those that are known already."""
        for name in names:
            self.discard((name,))
            self._names[name] = None
            self.record_bytes += text_bytes(name) + COMMA_BYTES
        while len(self._names) > self._most:
            self.discard((next(iter(self._names)),))

    def discard(self, names: Iterable[str]) -> None:
        for name in names:
            if name in self._names:
                del self._names[name]
                self.record_bytes -= text_bytes(name) + COMMA_BYTES

    def clear(self) -> None:
        self._names.clear()
        self.record_bytes = 0
