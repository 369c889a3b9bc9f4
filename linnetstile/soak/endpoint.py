"""Endpoints: take calls of one and of several messages, and fare as their manner of the moment says."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from .ledger import Attempt, Ledger, Wait
from .stand_in import Request, Response, StandIn


class Manner(Enum):
    WELL = "well"
    SLOW = "slow"
    HANGS = "hangs"  # it runs, and the answer never comes
    FULL = "full"
    TELLS_WAIT = "tells a wait"
    ERROR = "error"
    RESET = "reset"  # it runs, and the connection is reset unanswered
    CUT = "cut"  # its answer breaks off anywhere
    PARTIAL = "partial"  # of several messages some are refused, some fail


MOODS = {
    "well": [Manner.WELL] * 30 + [Manner.SLOW, Manner.FULL, Manner.ERROR, Manner.RESET, Manner.PARTIAL],
    "rough": [Manner.WELL] * 6 + list(Manner),
    "failing": [Manner.ERROR, Manner.ERROR, Manner.RESET, Manner.CUT],
    "hanging": [Manner.HANGS],
}
ANSWER_S = 0.002, 0.06
SLOW_S = 0.2, 2.0
HANG_S = 60.0, 60.0
LOOK_S = 0.005  # between two looks whether a call is given up
FAILS_BEHIND_EXTRAS = 0.5
WAIT_MS = 100, 600
WAIT_HEADER = "X-RateLimit-Wait-Ms"


@dataclass
class Endpoint(StandIn):
    name: str = ""
    destination: int = 0
    zone: str = "z"
    kind: str = "single"
    mood: str = "well"
    ledger: Ledger = field(default_factory=Ledger)
    rng: random.Random = field(default_factory=random.Random)

    async def reply(self, request: Request) -> Response | None:
        idents = [ident for ident, _ in messages_of(request)]
        attempts = [self._arrived(ident, request) for ident in idents]
        manner = self._manner(request)
        try:
            span = {Manner.SLOW: SLOW_S, Manner.HANGS: HANG_S}.get(manner, ANSWER_S)
            await self._work(request, self.rng.uniform(*span))
            for attempt in attempts:
                attempt.ran = manner not in (Manner.FULL, Manner.TELLS_WAIT)
            return self._response(manner, idents, attempts)
        finally:
            for attempt in attempts:
                attempt.over_at = attempt.over_at or time.monotonic()

    def _manner(self, request: Request) -> Manner:
        """Right behind extra bytes calls often fail: if those were taken for the answer, it shows."""
        behind_extras = request.connection.brought_extras and self.rng.random() < FAILS_BEHIND_EXTRAS
        return self.rng.choice(MOODS["failing" if behind_extras else self.mood])

    def _arrived(self, ident: str, request: Request) -> Attempt:
        attempt = Attempt(self.name, request.begun_at, request.whole_at)
        if request.connection.ended:  # given up while it was on its way
            attempt.over_at = request.whole_at
        self.ledger.attempts.setdefault(ident, []).append(attempt)
        return attempt

    @staticmethod
    async def _work(request: Request, seconds: float) -> None:
        """So long, or until the relay gives the call up."""
        until = time.monotonic() + seconds
        while (left_s := until - time.monotonic()) > 0 and not request.connection.ended:
            await asyncio.sleep(min(LOOK_S, left_s))

    def _response(self, manner: Manner, idents: list[str], attempts: list[Attempt]) -> Response | None:
        several = len(idents) > 1
        match manner:
            case Manner.FULL:
                return Response(503)
            case Manner.TELLS_WAIT:
                wait_ms = self.rng.randrange(*WAIT_MS)
                return Response(429, ((WAIT_HEADER, str(wait_ms)),))
            case Manner.ERROR:
                return Response(500)
            case Manner.RESET | Manner.HANGS:
                return None
            case Manner.PARTIAL if several:
                fates = [self.rng.choice(["delivered", "failed", "refused"]) for _ in idents]
                for attempt, fate in zip(attempts, fates, strict=True):
                    attempt.ran = fate != "refused"
                return bulk_response(idents, fates)
        whole = bulk_response(idents, ["delivered"] * len(idents)) if several else Response(200)
        if manner is Manner.CUT:
            # Of a call of one its first line counts: it is broken off before that is whole.
            most = len(whole.encoded()) - 1 if several else len("HTTP/1.1 200")
            return Response(whole.status, whole.headers, whole.body, self.rng.randrange(most))
        return whole

    def _told_wait(self, ident: str, wait_ms: int) -> None:
        now = time.monotonic()
        if (hand_in := self.ledger.hand_ins.get(ident)) is not None:
            self.ledger.waits.append(Wait(hand_in.relay, self.destination, now, now + wait_ms / 1000))

    def written(self, request: Request, response: Response) -> None:
        for name, value in response.headers:
            if name == WAIT_HEADER:
                self._told_wait(next(messages_of(request))[0], int(value))
        if response.status != 200:
            return
        now = time.monotonic()
        done = response.body.decode().split() if response.body else []
        for ident, _ in messages_of(request):
            if not done or done[done.index(ident) + 1] == "delivered":
                self.ledger.delivered.setdefault(ident, now)


def bulk_response(idents: list[str], fates: list[str]) -> Response:
    lines = "".join(f"{ident} {fate}\r\n" for ident, fate in zip(idents, fates, strict=True))
    return Response(200, body=lines.encode())


def messages_of(request: Request) -> Iterator[tuple[str, bytes]]:
    """Id and body of each message in a call (PROTOCOL, "Relays to endpoints")."""
    if request.target != "/inbox/bulk":
        yield request.headers["x-trace-id"], request.body
        return
    rest = request.body
    while rest:
        line, _, rest = rest.partition(b"\r\n")
        ident, _, length = line.decode().split(" ")
        yield ident, rest[: int(length)]
        rest = rest[int(length) + 2 :]
