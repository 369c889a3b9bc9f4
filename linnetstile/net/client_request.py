"""What a client asks and is answered, and what of a request's form this relay does not take."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

BODY_BYTES = 64 * 1024
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
REQUEST_LINE = re.compile(rb"[A-Z]+ \S+ HTTP/\d\.\d")
REQUEST_LINE_SO_FAR = re.compile(rb"[A-Z]+(?: (?:\S+(?: [HTP/0-9.]*)?)?)?")


@dataclass(slots=True)
class Request:
    method: str
    target: str  # in origin form: its path and query
    headers: dict[str, str]  # names in lower case
    body: bytearray = field(default_factory=bytearray)


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
