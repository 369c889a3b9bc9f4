"""One HTTP/1.1 connection as its client: a request at a time, and exactly how far it got."""

from __future__ import annotations

import asyncio
import re
import select
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import h11

from ..connection_reuse import Position, UnsolicitedBytes, is_attributable
from .config import Address
from .sockets import connected
from .system_errors import NOT_BEGUN

HEAD_BYTES = 16 * 1024  # an answer's first line and headers, at most
READ_BUFFER = memoryview(bytearray(64 * 1024))  # all read into it, one at a time on the loop's thread
PIECES = 256  # heads and chunks of one answer, at most: reading endless tiny ones would hold up the loop;
PIECE_BYTES = 1024  # and one more for so many bytes of its body: large answers come in many that are not tiny
PLATFORM_READ_BYTES = 16 * 1024  # read at once where pieces of any size are taken: it bounds a turn,
TINY_READ_BYTES = 2 * 1024  # and so many once an answer has come in tiny ones
FIRST_LINE = re.compile(rb"HTTP/\d\.\d (\d{3})(?: [^\r\n]*)?\r?\n")
HEAD_END = re.compile(rb"\r?\n\r?\n")
Headers = list[tuple[str, str]]


class LinkLost(Exception):
    """The connection cannot be used, or broke, or the other side does not speak HTTP."""


class NotBegun(LinkLost):
    """This machine could not begin a connection just now, which tells nothing of the other side."""


@dataclass(frozen=True, slots=True)
class Head:
    status: int
    headers: dict[str, str]  # names in lower case


def named(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """By name in lower case; HTTP headers are Latin-1."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in headers}


def polled(transport: asyncio.BaseTransport | None, events: int) -> int:
    """Which of these the socket says by now, also if the loop has not been told; POLLNVAL if it is closed."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or sock.fileno() < 0:
        return select.POLLNVAL
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return sum(found for _, found in poll.poll(0))


class Link(asyncio.BufferedProtocol):
    """Built on a bare protocol: streams hide when the last byte was written, and keep stray answers."""

    def __init__(self, body_bytes: int) -> None:
        loop = asyncio.get_running_loop()
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES)
        self.body_bytes = body_bytes
        self.transport: asyncio.Transport | None = None
        self.idle_since = loop.time()
        self.busy = False
        self.last_byte = b""  # of a request that is written but for it
        self.out = False  # the request's last byte has left: from then on it may run
        self.ends = False  # what is being written ends with that byte
        self.code = 0  # by the first line, whatever comes after it; 0 until then
        self.heard: Callable[[int, Head | None], None] | None = None  # told of a head, or of one on its way
        self.on_unsolicited: Callable[[UnsolicitedBytes], None] = lambda found: None
        self.on_idle_end: Callable[[int, float], None] = lambda answered, since_answer_s: None
        self.on_answer: Callable[[Link], None] = lambda link: None  # once its status is known
        self.status: asyncio.Future[int] = loop.create_future()  # tells of it
        self.head: asyncio.Future[Head] = loop.create_future()
        self.whole: asyncio.Future[bytes] = loop.create_future()
        self.flushed: asyncio.Future[None] | None = None
        self.start = bytearray()  # of the answer, until its status is known
        self.body = bytearray()
        self.pieces = 0
        self.takes_any_pieces = False  # a list may come in tiny ones: they are read a few at a time
        self.calls = 0  # this one included
        self.rested = 0.0  # seconds between the last answer and this call
        self.rested_to_end = 0.0  # and the last byte of its request
        self.unread = False  # whether bytes had come by then

    @classmethod
    async def open(cls, address: Address, body_bytes: int) -> Link:
        """NotBegun where a local call failed, LinkLost where the other side was not reached."""
        sock: socket.socket | None = None
        try:
            sock = await connected(address)
            _, link = await asyncio.get_running_loop().create_connection(lambda: cls(body_bytes), sock=sock)
            return link
        except OSError as error:
            if sock is not None:
                sock.close()
            kind = NotBegun if error.errno in NOT_BEGUN else LinkLost
            raise kind(f"cannot connect to {address[0]}:{address[1]}: {error}") from error

    @property
    def usable(self) -> bool:
        """Open, between requests, and nothing has come on it that nobody asked for."""
        return self.transport is not None and not self.transport.is_closing() and not self.busy

    @property
    def quiet(self) -> bool:
        """Guards the next call against a second answer that lies unread, or an end not yet noticed."""
        found = polled(self.transport, select.POLLIN | select.POLLRDHUP)
        if found == select.POLLIN and not self.unread:
            self.unread = True
            self._report(Position.BEFORE_REQUEST_END if self.busy else Position.IDLE, 0)
        return not found

    @property
    def attributable(self) -> bool:
        """Whether what comes now answers the request that is out."""
        return is_attributable(self.calls > 1, self.rested_to_end, self.unread)

    @property
    def answered(self) -> int:
        """How many requests have been answered on it."""
        return self.calls - 1 if self.busy else self.calls

    @property
    def read_head(self) -> Head | None:
        """The answer's head, if it has come whole."""
        known = self.head.done() and not self.head.cancelled() and self.head.exception() is None
        return self.head.result() if known else None

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes, hold_s: float | None = None
    ) -> None:
        """Returns once the last byte is written; LinkLost means that it was not. If it is to be held back,
        for so many seconds at least, only what comes before it is written, and `finish` is still to be
        called."""
        self.out = False  # whatever became of the request before
        if not self.usable or self.transport is None:
            raise LinkLost("the connection is closed")
        if self.calls and not self.quiet:
            self.close()
            raise LinkLost("something came before the request")
        loop = asyncio.get_running_loop()
        self.busy, self.code, self.pieces, self.calls = True, 0, 0, self.calls + 1
        self.rested = loop.time() - self.idle_since
        self.status, self.head, self.whole = loop.create_future(), loop.create_future(), loop.create_future()
        self.start.clear()
        self.body.clear()
        request = h11.Request(
            method=method, target=target, headers=[*headers, ("Content-Length", str(len(body)))]
        )
        events = [request, h11.Data(data=body), h11.EndOfMessage()]
        data = b"".join(self.http.send(event) or b"" for event in events)
        if hold_s is not None:
            self.last_byte = data[-1:]
            await self._write(self.transport, data[:-1], ends=False)
            if hold_s > 0:
                await asyncio.wait([self.status], timeout=hold_s)
            if self.status.done():
                raise LinkLost("the connection broke before the request was whole")
        else:
            await self._write(self.transport, data)

    async def finish(self) -> None:
        """Writes what `send` held back."""
        if self.transport is None or self.status.done():
            raise LinkLost("the connection broke before the request was whole")
        if not self.quiet:
            self.close()
            raise LinkLost("something came before the request was whole")
        last, self.last_byte = self.last_byte, b""
        if last:
            await self._write(self.transport, last)

    async def _write(self, transport: asyncio.Transport, data: bytes, ends: bool = True) -> None:
        self.ends = ends
        if ends:
            self.rested_to_end = asyncio.get_running_loop().time() - self.idle_since
        transport.write(data)
        # A first write that fails closes the transport at once, and has not taken the whole request.
        if transport.is_closing():
            raise LinkLost("the connection broke while the request was written")
        if transport.get_write_buffer_size():
            self.flushed = asyncio.get_running_loop().create_future()
            await self.flushed
        else:
            self.out = ends

    async def ask(
        self, method: str, target: str, headers: Headers, body: bytes = b"", hold_s: float | None = None
    ) -> tuple[Head, bytes]:
        """One request, its last byte held back for so many seconds, and its whole answer."""
        await self.send(method, target, headers, body, hold_s)
        if hold_s is not None:
            await self.finish()
        head = await self.head
        return head, await self.whole

    # -- called by the loop ------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing means: all is written

    def pause_writing(self) -> None:
        pass

    def resume_writing(self) -> None:
        self.out = self.ends  # kept here: whoever waits may be cancelled in this very turn
        if self.flushed is not None and not self.flushed.done():
            self.flushed.set_result(None)

    def get_buffer(self, sizehint: int) -> memoryview:
        if not self.takes_any_pieces:
            return READ_BUFFER
        return READ_BUFFER[: TINY_READ_BYTES if self._has_tiny_pieces else PLATFORM_READ_BYTES]

    @property
    def _has_tiny_pieces(self) -> bool:
        return self.pieces > PIECES + len(self.body) // PIECE_BYTES

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if not self.busy:
            # Guards the next call: what comes unasked would be taken for its answer.
            self._report(Position.IDLE, len(data))
            self.close()
            return
        if self.last_byte:
            self._report(Position.BEFORE_REQUEST_END, len(data))
            self._lose("something came before the request was whole")
            return
        self._feed(data)

    def _report(self, position: Position, size: int) -> None:
        answered = self.calls if position is Position.WITH_ANSWER else self.answered
        self.on_unsolicited(UnsolicitedBytes(position, size, self._since_answer_s(), answered))

    def _since_answer_s(self) -> float:
        return asyncio.get_running_loop().time() - self.idle_since

    def eof_received(self) -> None:
        if self.busy:
            self._feed(b"")
        else:
            self.on_idle_end(self.answered, self._since_answer_s())
        self._lose("the connection ended")

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None and not self.busy:
            self.on_idle_end(self.answered, self._since_answer_s())
        self._lose("the connection broke" if exc else "the connection was closed")

    def _read_status(self, data: bytes) -> None:
        """Apart from h11, which drops a spoilt head whole: its first line may still tell the truth."""
        self.start += data[:HEAD_BYTES]
        while line := FIRST_LINE.match(self.start):
            status = int(line[1])
            if status >= 200:
                self._says(status)
                self.start.clear()
                return
            end = HEAD_END.search(self.start, line.end() - 2)
            if end is None:
                return
            del self.start[: end.end()]

    def _says(self, code: int) -> None:
        """Kept apart from the future, which ends with whoever waits for it."""
        self.code = code
        self.on_answer(self)
        if not self.status.done():
            self.status.set_result(code)

    def _feed(self, data: bytes) -> None:
        if not self.code:
            self._read_status(data)
        self._read(data)
        if self.code and not self.head.done() and self.heard is not None:
            self.heard(self.code, None)

    def _read(self, data: bytes) -> None:
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                self.pieces += 1
                if self._has_tiny_pieces and not self.takes_any_pieces:
                    self._lose("the answer has too many pieces")
                    return
                match event:
                    case h11.Response() if not self.head.done():
                        if not self.code:
                            self._says(event.status_code)
                        head = Head(event.status_code, named(event.headers))
                        self.head.set_result(head)
                        if self.heard is not None:
                            self.heard(self.code, head)
                    case h11.Data(data=chunk):
                        self.body += chunk
                        if len(self.body) > self.body_bytes:
                            self._lose("the answer is too long")
                            return
                    case h11.EndOfMessage():
                        self._answered()
                        return
                    case h11.InformationalResponse():
                        pass
                    case _:
                        return
        except h11.RemoteProtocolError as error:
            self._lose(f"not an HTTP answer: {error}")

    def _answered(self) -> None:
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            stray = self.http.trailing_data[0]
            self.http.start_next_cycle()
            self.busy, self.idle_since = bool(stray), asyncio.get_running_loop().time()
            if stray:
                self._report(Position.WITH_ANSWER, len(stray))
                self.close()
        else:
            self.close()
        if not self.whole.done():
            self.whole.set_result(bytes(self.body))

    def _lose(self, why: str) -> None:
        self.close()
        for future in (self.flushed, self.status, self.head, self.whole):
            if future is not None and not future.done():
                future.set_exception(LinkLost(why))
                future.exception()  # nobody may be waiting for it
