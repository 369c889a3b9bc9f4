"""An HTTP/1.1 server of this project's own that can refuse, fall silent and break off as a peer may."""

from __future__ import annotations

import asyncio
import random
import select
import time
from dataclasses import dataclass, field

import h11

from ..net.link import polled
from .extra_bytes import Extra, drawn

READ_BYTES = 65536
GOOD = (200, 204)
STALL_S = 0.002  # extras that this process could not write in time are left out: their gap would be longer


@dataclass(slots=True)
class Request:
    """One request as it came. Times are seconds on the monotonic clock."""

    target: str
    headers: dict[str, str]  # names in lower case
    connection: Connection
    begun_at: float  # its first byte
    body: bytes = b""
    whole_at: float = 0.0  # its last byte


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    cut_at: int | None = None  # only so many of its bytes are written, then the connection is reset

    def encoded(self) -> bytes:
        lines = [
            f"HTTP/1.1 {self.status} X",
            f"Content-Length: {len(self.body)}",
            *(f"{name}: {value}" for name, value in self.headers),
            "",
            "",
        ]
        return "\r\n".join(lines).encode() + self.body


@dataclass(eq=False, slots=True)
class Connection:
    """One connection, from the server's side."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    silent: bool = False  # nothing is read from it or written to it any more
    brought_extras: bool = False  # behind the last answer
    request_begun_at: float | None = None  # the first byte of the request that is being read or answered
    extras: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def ended(self) -> bool:
        """Whether the other side has ended it by now, also if this process's loop has not been told."""
        told = self.reader.at_eof() or self.reader.exception() is not None or self.writer.is_closing()
        return told or bool(polled(self.writer.transport, select.POLLRDHUP))

    def reset(self) -> None:
        self.writer.transport.abort()


@dataclass
class StandIn:
    """Answers each request with what `reply` returns; None resets the connection unanswered.

    It stands at the end of a path that takes `path_s` each way: what it reads has been on its way for so long
    before it may act on it, and what it writes leaves so much later."""

    address: tuple[str, int]
    connections: set[Connection] = field(default_factory=set)
    silent: bool = False  # also to connections that are begun now
    server: asyncio.Server | None = None
    path_s: float = 0.0
    extras_share: float = 0.0  # of its good answers that bring extra bytes
    extras_rng: random.Random = field(default_factory=random.Random)

    async def listen(self) -> None:
        """Serves at its address; also again after `refuse`."""
        self.server = await asyncio.start_server(self._serve, *self.address)

    def refuse(self) -> None:
        """Resets its connections, and lets no new one begin until `listen`."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset_all()

    def reset_all(self) -> None:
        for connection in list(self.connections):
            connection.reset()

    def silence_open(self) -> None:
        """Nothing comes on the connections of now any more; new ones do well."""
        for connection in self.connections:
            connection.silent = True

    def cut(self) -> None:
        """It says nothing any more on any connection, and reads nothing."""
        self.silent = True
        self.silence_open()

    def mend(self) -> None:
        """After a cut: its connections of before are reset."""
        self.silent = False
        self.reset_all()

    async def reply(self, request: Request) -> Response | None:
        raise NotImplementedError

    def extra(self, request: Request, response: Response) -> Extra | None:
        """What it sends beyond this answer, while nothing else waits on the connection."""
        good = response.status in GOOD and response.cut_at is None
        if good and self.extras_rng.random() < self.extras_share:
            return drawn(response.encoded(), self.extras_rng)
        return None

    def written(self, request: Request, response: Response) -> None:
        """Called right after a whole answer was written to a connection that the other side still has."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer, self.silent)
        self.connections.add(connection)
        try:
            while (request := await read_request(connection)) is not None:
                await asyncio.sleep(self.path_s)
                response = await self.reply(request)
                await asyncio.sleep(self.path_s)
                if connection.silent:
                    await asyncio.sleep(float("inf"))
                if response is None:
                    connection.reset()
                    return
                self._write(request, response)
        except (ConnectionError, asyncio.CancelledError, h11.RemoteProtocolError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    def _write(self, request: Request, response: Response) -> None:
        connection = request.connection
        if connection.ended:
            connection.reset()  # the request was given up: nothing counts as written
            return
        data = response.encoded()
        if response.cut_at is not None:
            connection.writer.write(data[: response.cut_at])
            connection.writer.close()
            return
        extra = self.extra(request, response)
        connection.brought_extras = extra is not None
        if extra is not None and extra.after_s is None:
            data += extra.data
        connection.writer.write(data)
        connection.request_begun_at = None
        self.written(request, response)
        if extra is not None and extra.after_s is not None:
            task = asyncio.create_task(self._write_extra(connection, extra.data, extra.after_s))
            connection.extras.add(task)
            task.add_done_callback(connection.extras.discard)

    async def _write_extra(self, connection: Connection, data: bytes, after_s: float) -> None:
        """Left out where the next request had come to the far end of the path by then."""
        due = time.monotonic() + after_s
        await asyncio.sleep(after_s)
        begun_at = connection.request_begun_at
        waits = begun_at is not None and begun_at <= due - 2 * self.path_s
        if not waits and not connection.silent and not connection.ended and time.monotonic() < due + STALL_S:
            connection.writer.write(data)


async def read_request(connection: Connection) -> Request | None:
    """The next request; None once the other side ends its sending. ConnectionError as of reading."""
    http, request, begun_at = h11.Connection(h11.SERVER), None, 0.0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            data = await connection.reader.read(READ_BYTES)
            if connection.silent:
                await asyncio.sleep(float("inf"))
            begun_at = begun_at or time.monotonic()
            connection.request_begun_at = begun_at
            http.receive_data(data)
        elif isinstance(event, h11.Request):
            headers = {name.decode().lower(): value.decode() for name, value in event.headers}
            request = Request(event.target.decode(), headers, connection, begun_at)
        elif isinstance(event, h11.Data) and request is not None:
            request.body += event.data
        elif isinstance(event, h11.EndOfMessage) and request is not None:
            request.whole_at = time.monotonic()
            return request
        else:
            return None
