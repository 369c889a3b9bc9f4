"""The management server: an address apart, where staff read figures and send clients away.

It has a thread and a loop of its own, so that it answers however busy the relay's loop is. What it calls must
therefore be quick and safe to call from there: it reads what is in memory, or sets a flag.
"""

from __future__ import annotations

import asyncio
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass

import h11

from .config import Address

CALLERS = 8  # at once: staff and a scraper or two
CALL_S = 2.0  # from connecting to the end of the call: a caller waits 1 s for its answer
BYTES = 8 * 1024  # of a call, head and body together, at most
BACKLOG = 64
SOCKETS = CALLERS + 6  # descriptors of it all: the listener, the loop's three, a caller to be let go
START_S = 5.0  # the thread has come up or failed long before


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    text: str = ""
    allow: str = ""  # the method that would do


@dataclass(frozen=True, slots=True)
class Call:
    """What one path takes and does."""

    method: str
    run: Callable[[], Answer]


class Caller(asyncio.Protocol):
    """One connection: one call, one answer."""

    def __init__(self, server: ManagementServer) -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=BYTES)
        self.request: h11.Request | None = None
        self.read = 0
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # asyncio does so itself only where the listener's protocol is named: `create_server` names none.
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.admit(self)
        # Guards the places of others against one that stalls: it gets an end, heard or not.
        self.timer = asyncio.get_running_loop().call_later(CALL_S, transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        self.timer.cancel()
        self.server.callers.pop(self, None)

    def data_received(self, data: bytes) -> None:
        self.read += len(data)
        if self.answered:  # what still comes is read and dropped: closing on it would reset the answer away
            if self.read > 8 * BYTES:
                self.transport.abort()
            return
        if self.read > BYTES:
            self._answer(Answer(413, f"a call holds {BYTES} bytes at most"))
            return
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Request):
                    self.request = event
                elif isinstance(event, h11.EndOfMessage) and self.request is not None:
                    self._answer(
                        self.server.answer(
                            self.request.method.decode("ascii"), self.request.target.decode("latin-1")
                        )
                    )
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    self.transport.close()
                    return
        except h11.RemoteProtocolError as error:
            self._answer(Answer(400, str(error)))

    def eof_received(self) -> bool:
        if not self.answered and not self.transport.is_closing():
            self._answer(Answer(400, "the call ended early"))
        self.transport.close()
        return False

    def _answer(self, answer: Answer) -> None:
        self.answered = True
        text = (answer.text.rstrip("\n") + "\n" if answer.text else "").encode()
        headers = [
            ("Content-Length", str(len(text))),
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Connection", "close"),
        ]
        if answer.allow:
            headers.append(("Allow", answer.allow))
        head = h11.Response(status_code=answer.status, headers=headers)
        method = self.request.method if self.request is not None else b"GET"
        body = h11.Data(data=text if method != b"HEAD" else b"")
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            events = (head, body, h11.EndOfMessage())
            self.transport.write(b"".join(self.http.send(event) or b"" for event in events))
        if not self.transport.is_closing():
            self.transport.write_eof()


class ManagementServer:
    def __init__(self, calls: dict[str, Call]) -> None:
        self.calls = calls
        self.callers: dict[Caller, None] = {}  # oldest first
        self.loop: asyncio.AbstractEventLoop | None = None
        self.thread: threading.Thread | None = None
        self.port = 0

    def answer(self, method: str, target: str) -> Answer:
        call = self.calls.get(target.partition("?")[0])
        if call is None:
            return Answer(
                404,
                "no such call: " + ", ".join(f"{known.method} {path}" for path, known in self.calls.items()),
            )
        if method != call.method:
            return Answer(405, f"{call.method} it", allow=call.method)
        return call.run()

    def admit(self, caller: Caller) -> None:
        """A newcomer takes the place of the one that is here longest: that one stalls."""
        self.callers[caller] = None
        if len(self.callers) > CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.transport.abort()

    def open(self, address: Address) -> None:
        """OSError if the address cannot be had; from then on it answers."""
        sock = socket.create_server(address, backlog=CALLERS)
        self.port = int(sock.getsockname()[1])
        up = threading.Event()
        self.thread = threading.Thread(
            target=lambda: asyncio.run(self._serve(sock, up)), name="management", daemon=True
        )
        self.thread.start()
        up.wait(START_S)

    async def _serve(self, sock: socket.socket, up: threading.Event) -> None:
        self.loop, self.ended = asyncio.get_running_loop(), asyncio.Event()
        # So many are accepted in one go at most: a flood waits with the system, not in our descriptors.
        server = await self.loop.create_server(lambda: Caller(self), sock=sock, backlog=CALLERS)
        sock.listen(BACKLOG)
        up.set()
        await self.ended.wait()
        server.close()
        for caller in list(self.callers):
            caller.transport.abort()

    def close(self) -> None:
        if self.loop is not None and self.thread is not None:
            self.loop.call_soon_threadsafe(self.ended.set)
            self.thread.join(START_S)
            self.loop = self.thread = None
