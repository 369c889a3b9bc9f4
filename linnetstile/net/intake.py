"""Reads a message from a client's request: what it must say, in which form, and why it cannot be taken."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..interface import Effect, Settings
from . import clock
from .client_request import Request
from .records import Entry

NAME_BYTES = 200  # an id or a key, at most
DIGITS = 9  # of a number in a header, at most
MARK_CHARACTERS = 16  # kept of the mark of a second try


class Malformed(Exception):
    """What a client handed in cannot be taken; the text says why."""


class Intake:
    """Form of a request: PROTOCOL, "Clients to relays"."""

    def __init__(
        self,
        settings: Settings,
        classes: Mapping[str, int],
        tenants: Mapping[str, int],
        knows_destination: Callable[[int], bool],
    ) -> None:
        self.settings, self.classes, self.tenants = settings, classes, tenants
        self.knows_destination = knows_destination

    def entry_of(self, request: Request, path: str) -> Entry:
        """The message, as it is journaled; Malformed."""
        class_ = self._class(request, path)
        ident, key = self._names(request, class_)
        tenant = request.headers.get("x-customer", "")
        if self.tenants and tenant not in self.tenants:
            raise Malformed(f"X-Customer: {tenant!r} is not known")
        now, left_ms = clock.now_ms(), self._left_ms(request)
        destination = self._destination(request.headers.get("x-addressing", ""))
        mark = request.headers.get("x-second-try", "")[:MARK_CHARACTERS]
        return Entry(ident, class_, tenant, destination, key, now, now + left_ms, mark, request.body)

    def _class(self, request: Request, path: str) -> str:
        class_ = path.strip("/").partition("/")[0]
        said = request.headers.get("x-qos", "")
        if class_ not in self.classes or said != class_:
            raise Malformed(f"class: path {path!r} and X-Qos {said!r} must name one that is known")
        return class_

    def _names(self, request: Request, class_: str) -> tuple[str, str | None]:
        """Id and key."""
        ident, key = request.headers.get("x-trace-id", ""), request.headers.get("idempotency-key")
        for name, text in (("X-Trace-Id", ident), ("Idempotency-Key", "-" if key is None else key)):
            if not 0 < len(text) <= NAME_BYTES or not text.isascii():
                raise Malformed(f"{name}: 1 to {NAME_BYTES} ASCII characters are needed")
        if self.settings.classes[self.classes[class_]].effect is Effect.KEYED and key is None:
            raise Malformed(f"Idempotency-Key: class {class_} needs one")
        return ident, key

    @staticmethod
    def _left_ms(request: Request) -> int:
        left = request.headers.get("x-expires-in-ms", "")
        if not (left.isascii() and left.isdecimal() and len(left) <= DIGITS):
            raise Malformed("X-Expires-In-Ms: whole milliseconds are needed")
        return int(left)

    def _destination(self, addressing: str) -> int:
        for part in addressing.replace(",", ";").split(";"):
            name, _, value = part.strip().partition("=")
            if name == "dest" and value.isascii() and value.isdecimal() and len(value) <= DIGITS:
                if self.knows_destination(int(value)):
                    return int(value)
                raise Malformed(f"X-Addressing: destination {value} is not known")
        raise Malformed("X-Addressing: dest=NUMBER is needed")
