"""All that can be seen of a soak from outside the relays. Times are seconds on the monotonic clock."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class HandIn:
    """One handing-in of a message by a client."""

    ident: str
    relay: int
    class_: str
    destination: int
    due: float
    left_s: float  # how long it might still be delivered when it was handed in
    heard_at: float | None = None  # when its client read that it is accepted


@dataclass(slots=True)
class Attempt:
    """One message in one call, as an endpoint saw it."""

    endpoint: str
    begun_at: float  # the call's first byte
    at: float  # its last byte
    ran: bool = False
    over_at: float | None = None  # answered, or given up by the relay


@dataclass(slots=True)
class Told:
    at: float
    state: str


@dataclass(slots=True)
class Restart:
    """From the signal until the relay takes clients again."""

    begun_at: float
    killed_at: float
    ready_at: float = float("inf")
    refusing_since: float = float("inf")  # the folder took no records from then until the kill


@dataclass(slots=True)
class Wait:
    """A wait that one relay was told of a destination."""

    relay: int
    destination: int
    from_: float
    until: float


@dataclass
class Ledger:
    hand_ins: dict[str, HandIn] = field(default_factory=dict)
    attempts: dict[str, list[Attempt]] = field(default_factory=dict)
    delivered: dict[str, float] = field(default_factory=dict)  # the whole answer was written
    told: dict[str, Told] = field(default_factory=dict)  # the first notice that counts
    restarts: dict[int, list[Restart]] = field(default_factory=dict)  # by relay
    waits: list[Wait] = field(default_factory=list)
    # (relay, endpoint) -> when this relay was first told that it drains or is gone
    drained: dict[tuple[int, str], float] = field(default_factory=dict)
    faults: Counter[str] = field(default_factory=Counter)
    peak_bytes: int = 0  # the most that any relay's process has had in memory
    seen: list[str] = field(default_factory=list)  # breaches that were seen as they happened

    @property
    def heard(self) -> list[HandIn]:
        """Those that their clients know are accepted."""
        return [each for each in self.hand_ins.values() if each.heard_at is not None]
