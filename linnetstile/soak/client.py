"""Clients of one relay: keep their connections, wait 0.4 s for an answer, and hand in again what failed."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from .hostile_clients import leave_unread
from .ledger import HandIn, Ledger

PATIENCE_S = 0.4  # for the answer that takes a message on (PROTOCOL, "Clients to relays")
MOST_AGAIN = 2  # further handings-in of one message
PAUSE_S = 0.05, 0.5  # before each
BODY_BYTES, LARGE_BODY_BYTES = (1, 400), (1, 64 * 1024)
LEFT_MS = [800, 2000, 4000, 6000]
ACCEPTED = (200, 202)


class Again(Enum):
    """How a client marks what it hands in again."""

    NO = ""
    REFUSED = "1"
    UNANSWERED = "again"


class Closed(Exception):
    """The relay closed the connection with no answer."""


@dataclass
class Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    path_s: float

    async def ask(self, data: bytes) -> tuple[int, bool]:
        """Status, and whether the connection stays. Closed, or OSError."""
        await asyncio.sleep(self.path_s)
        self.writer.write(data)
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
            length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
            await self.reader.readexactly(length)
        except asyncio.IncompleteReadError as error:
            raise Closed from error
        await asyncio.sleep(self.path_s)
        return int(head.split()[1]), b"connection: close" not in head


@dataclass
class Clients:
    """Hands in messages at one relay's address."""

    relay: int
    address: tuple[str, int]
    destinations: list[int]
    classes: list[str]
    ledger: Ledger
    rng: random.Random
    was_killed: Callable[[float], bool]  # whether the relay's process was killed, or down, since that time
    idle: list[Connection] = field(default_factory=list)
    number: int = 0
    path_s: float = 0.0  # one way, between them and the relay
    large_share: float = 0.0  # of the bodies: such fill the relay's folder

    async def run(self, until: float, per_s: float) -> None:
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < until:
                await asyncio.sleep(self.rng.expovariate(per_s))
                tasks.create_task(self._message())
        self.close()

    async def crowd(self, count: int, seconds: float) -> None:
        """So many idle connections for so long."""
        opened = []
        for _ in range(count):
            try:
                opened.append((await asyncio.open_connection(*self.address))[1])
            except OSError:
                break
        await asyncio.sleep(seconds)
        for writer in opened:
            writer.close()

    async def leave_unread(self, count: int, reset: bool) -> None:
        """Hands in so many at once and leaves without an answer; half of them come again under their ids."""
        destination, due = self.rng.choice(self.destinations), time.monotonic() + LEFT_MS[-1] / 1000
        handed_in = []
        for _ in range(count):
            self.number += 1
            left_s = due - time.monotonic()
            ident, class_ = f"r{self.relay}-{self.number}.0", self.rng.choice(self.classes)
            hand_in = HandIn(ident, self.relay, class_, destination, due, left_s)
            self.ledger.hand_ins[ident] = hand_in
            handed_in.append(hand_in)
        requests = [self._request(each, each.ident, int(each.left_s * 1000), Again.NO) for each in handed_in]
        await leave_unread(self.address, b"".join(requests), reset)
        await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        for hand_in in self.rng.sample(handed_in, count // 2):
            left_ms = int((due - time.monotonic()) * 1000)
            await self._hand_in(hand_in, self._request(hand_in, hand_in.ident, left_ms, Again.NO))

    async def burst(self, count: int) -> None:
        """So many messages for one destination at once."""
        destination = self.rng.choice(self.destinations)
        async with asyncio.TaskGroup() as tasks:
            for _ in range(count):
                tasks.create_task(self._message(destination))

    def close(self) -> None:
        for connection in self.idle:
            connection.writer.close()
        self.idle.clear()

    async def _message(self, destination: int | None = None) -> None:
        self.number += 1
        name, class_, again = f"r{self.relay}-{self.number}", self.rng.choice(self.classes), Again.NO
        destination = self.rng.choice(self.destinations) if destination is None else destination
        due = time.monotonic() + self.rng.choice(LEFT_MS) / 1000
        for turn in range(1 + MOST_AGAIN):
            left_ms = int((due - time.monotonic()) * 1000)
            if left_ms <= 0:
                return
            hand_in = HandIn(
                f"{name}.{turn}",
                self.relay,
                class_,
                destination,
                time.monotonic() + left_ms / 1000,
                left_ms / 1000,
            )
            self.ledger.hand_ins[hand_in.ident] = hand_in
            status = await self._hand_in(hand_in, self._request(hand_in, name, left_ms, again))
            if status in ACCEPTED:
                return
            again = Again.UNANSWERED if status is None else Again.REFUSED
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))

    def _request(self, hand_in: HandIn, name: str, left_ms: int, again: Again) -> bytes:
        body = self.rng.randbytes(self.rng.randrange(*BODY_BYTES))
        if self.large_share and self.rng.random() < self.large_share:
            body = self.rng.randbytes(self.rng.randrange(*LARGE_BODY_BYTES))
        headers = [
            "Host: origin.svc",
            f"X-Trace-Id: {hand_in.ident}",
            f"X-Qos: {hand_in.class_}",
            f"X-Customer: {self.rng.choice(['t', 'u'])}",
            f"X-Expires-In-Ms: {left_ms}",
            f"X-Addressing: dest={hand_in.destination}",
            f"Content-Length: {len(body)}",
        ]
        if hand_in.class_ == "keyed":
            headers.append(f"Idempotency-Key: k-{name}")
        if again is not Again.NO:
            headers.append(f"X-Second-Try: {again.value}")
        return "\r\n".join([f"POST /{hand_in.class_} HTTP/1.1", *headers, "", ""]).encode() + body

    async def _connect(self) -> Connection:
        return Connection(*await asyncio.open_connection(*self.address), self.path_s)

    async def _hand_in(self, hand_in: HandIn, data: bytes) -> int | None:
        """The answer's status; None: none came in time."""
        began = time.monotonic()
        connection = self.idle.pop() if self.idle else None
        kept = connection is not None
        try:
            async with asyncio.timeout(PATIENCE_S):
                while True:
                    connection = connection or await self._connect()
                    try:
                        status, stays = await connection.ask(data)
                        break
                    except (Closed, ConnectionError):
                        connection.writer.close()
                        if not kept:
                            raise
                        connection, kept = None, False  # the close crossed the request: once more
        except (Closed, ConnectionResetError, BrokenPipeError) as error:
            if not self.was_killed(began):
                self.ledger.seen.append(f"lost: {hand_in.ident} is closed with no answer ({error!r})")
            return None
        except (OSError, TimeoutError):
            if connection is not None:
                connection.writer.close()
            return None
        if status in ACCEPTED:
            hand_in.heard_at = time.monotonic()
        if stays:
            self.idle.append(connection)
        else:
            connection.writer.close()
        return status
