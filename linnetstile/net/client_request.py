"""What a client asks and is answered, and what of a request's form this relay does not take."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

from .link import named

BODY_BYTES = 64 * 1024
FIELDS = 100  # of a head, at most
# A message whose head says one of these twice has two meanings: ours and that of whoever reads it next.
ONCE = frozenset(
    (
        "host",
        "transfer-encoding",
        "idempotency-key",
        "x-addressing",
        "x-customer",
        "x-expires-in-ms",
        "x-qos",
        "x-second-try",
        "x-trace-id",
    )
)
READ_FIELDS = ONCE - {"host", "transfer-encoding"}  # what this relay makes use of
REQUEST_LINE = re.compile(rb"[A-Z]+ \S+ HTTP/\d\.\d")
REQUEST_LINE_SO_FAR = re.compile(rb"[A-Z]+(?: (?:\S+(?: [HTP/0-9.]*)?)?)?")


@dataclass(slots=True)
class Request:
    method: str
    target: str  # in origin form: its path and query
    headers: dict[str, str]  # those that this relay makes use of, names in lower case
    pieces: list[bytes | bytearray] = field(default_factory=list)  # of its body, as they came
    body_bytes: int = 0
    client: int = 0  # the number of its connection

    def add(self, piece: bytes | bytearray) -> None:
        self.pieces.append(piece)
        self.body_bytes += len(piece)

    @property
    def body(self) -> bytes:
        return b"".join(self.pieces)


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    text: str = ""
    accepted: str | None = None  # id of the message that this answer takes on, if it is new
    retry_s: float = 0.0  # when the client may come again; 0 = not told


Handler = Callable[[Request], Reply]
Withdraw = Callable[[str], None]


def fault_of(head: h11.Request) -> Reply | None:
    """What h11 lets through and this relay does not."""
    names = Counter(name for name, _ in head.headers)
    if b"transfer-encoding" in names and b"content-length" in names:
        # Guards against a second request hidden in the body: which length holds is a matter of opinion.
        return Reply(400, "Content-Length and Transfer-Encoding exclude each other")
    for name in ONCE:
        if names[name.encode("ascii")] > 1:
            return Reply(400, f"{name}: given more than once")
    length = dict(head.headers).get(b"content-length", b"0")
    if int(length) > BODY_BYTES:
        return Reply(413, f"a body holds {BODY_BYTES} bytes at most")
    return None


def too_many_fields() -> h11.RemoteProtocolError:
    """What a head is answered that has more than `FIELDS`."""
    return h11.RemoteProtocolError(f"a head has {FIELDS} fields at most", 431)


def fields_of(head: h11.Request) -> dict[str, str]:
    """What is kept of a head while its body comes."""
    return {name: value for name, value in named(head.headers).items() if name in READ_FIELDS}


def begins_request(data: bytes) -> bool:
    """Whether this may be the beginning of a request, as far as it has come (RFC 9112, 3)."""
    line, whole, _ = data.partition(b"\n")
    return (REQUEST_LINE if whole else REQUEST_LINE_SO_FAR).fullmatch(line.rstrip(b"\r")) is not None


def origin_form(target: str) -> str:
    """The path and query of a target, which a server has to take in absolute form too (RFC 9112, 3.2.2)."""
    scheme, _, rest = target.partition("://")
    if scheme.lower() != "http":
        return target
    _, slash, path = rest.partition("/")
    return slash + path
