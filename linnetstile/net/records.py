"""Records of the journal: what is kept of a message, and the line that says so.

A record is one line: a checksum and a JSON object. Its `n` counts the lines of its file, so that a line
written twice is read once; `t` (monotonic milliseconds) and `b` (boot id) tell when it was written. All times
in a record are monotonic milliseconds of that boot.
"""

from __future__ import annotations

import base64
import json
import zlib
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from typing import Any, TypeVar

T = TypeVar("T")
PART = 100  # messages or endpoints that one record names at most: one write for each would hold up the loop
WITHDRAWN = "withdrawn"  # by its client, with a call that is out or may have run: no end is owed any more
TORN = b"~"  # ends what a failed write left: with it, no checksum matches


@dataclass(slots=True)
class Attempt:
    at: float  # monotonic ms, right before its first byte
    endpoint: str
    zone: int


@dataclass(slots=True)
class Entry:
    """A message taken on: what a client said of it, and what has become of it."""

    id: str
    class_: str
    tenant: str
    dest: int
    key: str | None
    since: float  # monotonic ms, when it came in
    due: float
    again: str
    body: bytes
    tries: int = 0
    out: Attempt | None = None
    risk: Attempt | None = None  # the first attempt that may have run
    end: str = ""  # how it ended: delivered, failed, returned, over or withdrawn
    after_ms: float = 0.0
    told: bool = False  # the platform has its notice
    given: bool = False  # to the relay's other process: nothing is written of it here any more
    borrowed: bool = False  # its body is in another file of the folder alone

    @property
    def may_have_run(self) -> bool:
        """Whether a call for it is out, or one may have run."""
        return self.out is not None or self.risk is not None

    @property
    def ends_by_notice(self) -> bool:
        """Whether its end is one that the platform is told."""
        return self.end in ("failed", "returned")

    @property
    def owes_notice(self) -> bool:
        return self.ends_by_notice and not self.told

    @property
    def is_settled(self) -> bool:
        """Whether nothing is left to do for it: it is kept in case that its id comes again."""
        return self.end not in ("", WITHDRAWN) and not self.owes_notice and not self.given


def encode(record: dict[str, Any]) -> bytes:
    text = json.dumps(record, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def text_bytes(text: str) -> int:
    """What it takes in a record: quotes and backslashes take two bytes, what is not ASCII takes six."""
    return len(json.dumps(text))


def decode(line: bytes) -> dict[str, Any]:
    """ValueError if it is not a whole record as written."""
    check, _, text = line.partition(b" ")
    if len(check) != 8 or int(check, 16) != zlib.crc32(text):
        raise ValueError("the checksum does not match")
    record = json.loads(text)
    if not isinstance(record, dict):
        raise ValueError("not a record")
    return record


def resumed(entry: Entry) -> Entry:
    """As the next process goes on with it: an outcome that died with its process may have been any."""
    return replace(entry, risk=entry.risk or entry.out, out=None, given=False)


def settled(ident: str, end: str, due: float, after_ms: float, tries: int) -> Entry:
    """What is kept of a message that has ended and, where it has to, been told."""
    entry = Entry(ident, "", "", 0, None, due, due, "", b"", tries, end=end, after_ms=after_ms)
    entry.told = entry.ends_by_notice
    return entry


def settled_records(entries: Iterable[Entry]) -> Iterator[dict[str, Any]]:
    """The ends of such messages, many to a record; the inverse of `settled`."""
    by_end: dict[str, list[Entry]] = {}
    for entry in entries:
        by_end.setdefault(entry.end, []).append(entry)
    for end, of_one_end in by_end.items():
        for some in in_parts(of_one_end):
            ends = [[entry.id, round(entry.due), entry.after_ms, entry.tries] for entry in some]
            yield {"k": "ends", "state": end, "of": ends}


def state_of(entry: Entry) -> dict[str, Any]:
    """A snapshot without the body, of a message whose body is in the folder already."""
    return snapshot(replace(entry, borrowed=True))


def in_parts(items: Sequence[T]) -> list[Sequence[T]]:
    """So many as one record may name."""
    return [items[first : first + PART] for first in range(0, len(items), PART)]


def progress(entry: Entry) -> tuple[bool, bool, int]:
    """Of two copies, the one that got further is the true one: whoever gave it away wrote no more."""
    return bool(entry.end), entry.told, entry.tries


def attempt(raw: list[Any] | None) -> Attempt | None:
    return Attempt(float(raw[0]), str(raw[1]), int(raw[2])) if raw else None


def entry_of(record: dict[str, Any]) -> Entry:
    """The inverse of `snapshot`."""
    return Entry(
        str(record["id"]),
        str(record["class"]),
        str(record["tenant"]),
        int(record["dest"]),
        record["key"],
        float(record["since"]),
        float(record["due"]),
        str(record["again"]),
        base64.b64decode(record["body"]),
        int(record["tries"]),
        attempt(record["out"]),
        attempt(record["risk"]),
        str(record["end"]),
        float(record["after"]),
        bool(record["told"]),
        bool(record.get("given")),
        bool(record.get("borrowed")),
    )


def snapshot(entry: Entry) -> dict[str, Any]:
    """All that is known of a message, as one record; one that has ended needs its body no more."""

    def flat(tried: Attempt | None) -> list[Any] | None:
        return [round(tried.at), tried.endpoint, tried.zone] if tried else None

    return {
        "k": "take",
        "id": entry.id,
        "class": entry.class_,
        "tenant": entry.tenant,
        "dest": entry.dest,
        "key": entry.key,
        "since": round(entry.since),
        "due": round(entry.due),
        "again": entry.again,
        "tries": entry.tries,
        "out": flat(entry.out),
        "risk": flat(entry.risk),
        "end": entry.end,
        "after": entry.after_ms,
        "told": entry.told,
        "given": entry.given,
        "borrowed": entry.borrowed,
        "body": "" if entry.end or entry.borrowed else base64.b64encode(entry.body).decode(),
    }
