"""Connections in memory, over paths that take time on a given clock, and a peer that sends extra bytes."""

from __future__ import annotations

import asyncio
import re
import select
from dataclasses import dataclass, field
from typing import Any

from linnetstile.net.link import Link

LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How the peer answers each request, in the order in which they come, whatever the connection."""

    path_s: float
    unread_s: float  # how long what has come lies in the socket before the process reads it
    answers: tuple[bytes | None, ...]  # None: resets instead; the last one goes on
    extra: bytes  # behind the first answer
    gap_s: float | None  # None: in the same write
    service_s: float = 0.01


@dataclass
class Peer:
    """The far end of all connections. `answered` has what was written for each request, by its body."""

    behaviour: Behaviour
    answered: list[tuple[bytes, bytes | None]] = field(default_factory=list)
    whole: list[bytes] = field(default_factory=list)  # bodies of requests whose last byte has come
    opened: int = 0

    async def open(self, body_bytes: int) -> Link:
        self.opened += 1
        await asyncio.sleep(2 * self.behaviour.path_s)
        link = Link(body_bytes)
        link.connection_made(MemoryTransport(self, link))
        return link

    def next_answer(self) -> bytes | None:
        answers = self.behaviour.answers
        return answers[min(len(self.answered), len(answers) - 1)]


class MemoryTransport(asyncio.Transport):
    def __init__(self, peer: Peer, link: Link) -> None:
        super().__init__()
        self.peer, self.link = peer, link
        self.loop = asyncio.get_running_loop()
        self.closing = False
        self.unread = b""  # has come, and the process has not read it
        self.request = b""  # what has come of one at the far end

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self.link.connection_lost, None)

    def write(self, data: Any) -> None:
        self.loop.call_later(self.peer.behaviour.path_s, self._arrived, bytes(data))

    # -- the far end -------------------------------------------------------------------------------------

    def _arrived(self, data: bytes) -> None:
        self.request += data
        head, end, body = self.request.partition(HEAD_END)
        length = LENGTH.search(head)
        if end and length is not None and len(body) == int(length[1]):
            self.peer.whole.append(body)
            self.loop.call_later(self.peer.behaviour.service_s, self._answer, body)

    def _answer(self, body: bytes) -> None:
        peer, behaviour = self.peer, self.peer.behaviour
        if self.closing:  # the call was given up
            return
        answer, first = peer.next_answer(), not peer.answered
        peer.answered.append((body, answer))
        self.request = b""
        if answer is None:
            self.loop.call_later(behaviour.path_s, self._reset)
            return
        self._send(answer + (behaviour.extra if first and behaviour.gap_s is None else b""))
        if first and behaviour.gap_s is not None:
            self.loop.call_later(behaviour.gap_s, self._send_extra)

    def _send_extra(self) -> None:
        if not self.request:  # nothing else waits on the connection
            self._send(self.peer.behaviour.extra)

    def _send(self, data: bytes) -> None:
        self.loop.call_later(self.peer.behaviour.path_s, self._received, data)

    # -- this end ----------------------------------------------------------------------------------------

    def _received(self, data: bytes) -> None:
        self.unread += data
        self.loop.call_later(self.peer.behaviour.unread_s, self._read)

    def _read(self) -> None:
        data, self.unread = self.unread, b""
        if data and not self.closing:
            self.link.data_received(data)

    def _reset(self) -> None:
        if not self.closing:
            self.closing = True
            self.link.connection_lost(ConnectionResetError())


def polled(transport: asyncio.BaseTransport | None, events: int) -> int:
    """In the place of `link.polled`."""
    if not isinstance(transport, MemoryTransport) or transport.closing:
        return select.POLLNVAL
    return select.POLLIN if transport.unread else 0
