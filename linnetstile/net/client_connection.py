"""One connection of a client: reads messages and answers them; never ends a request it has read without."""

from __future__ import annotations

import asyncio
import logging
import select
from contextlib import suppress
from typing import TYPE_CHECKING

import h11

from ..fair_queue import Usage
from .client_request import (
    BODY_BYTES,
    FIELDS,
    Reply,
    Request,
    begins_request,
    fault_of,
    fields_of,
    origin_form,
    too_many_fields,
)
from .invariants import Rule
from .link import polled
from .log_limit import LimitedLog

if TYPE_CHECKING:
    from .ingress import Ingress

log = LimitedLog(logging.getLogger(__name__))

HEAD_BYTES = 16 * 1024
READ_BYTES = 2 * 1024  # read at once while no body is being received: what is read ahead stays in memory
HEAD_PART_BYTES = 1024  # of a head, between two looks at how many fields it has
AT_ONCE = 4  # requests of one client answered in a turn of the loop: more take turns with the others
PIECES = 256  # chunks of a body, at most: tiny ones cost far more than their bytes;
PIECE_BYTES = 16  # and one more for so many bytes of it
SILENT_S = 2.2  # a new connection may say nothing for so long: one on which no request is open is owed 2 s
FIRST_S = 2.5  # from connecting until its first request is whole; an answer or an end is due within 3 s
REQUEST_S = 2.0  # a later request takes no longer to come; its client gives up after 0.4 s
IDLE_S = 10.0  # a connection is kept so long for its next request, while few stand idle
HEARD_S = 0.25  # a client's first bytes follow its connection more quickly than this
LINGER_S = 1.0  # after a last answer: closing on unread bytes would reset that answer away
DISCARD_S = 4.0  # the same for a body that is far too long
DISCARD_BYTES = 64 << 20  # and how much of it is read and thrown away
PENALTY_S = 0.1  # what follows a request that made no sense is read so much later
RETRY_S = 1.0  # a client that is turned away as the process ends is told to come again so much later
SENSELESS = frozenset((400, 404, 405))


class ClientConnection(asyncio.BufferedProtocol):
    def __init__(self, server: Ingress) -> None:
        self.server = server
        self.number = server.next_number()
        self.usage = Usage()
        self.http: h11.Connection | None = None  # made with the first byte: many never say anything
        self.transport: asyncio.Transport | None = None
        self.request: Request | None = None
        self.unsent: list[str] = []  # accepted, but the answer is not fully written
        self.first_by = self.deadline = self.answered_at = 0.0
        self.fresh = True  # no request has begun yet
        self.useful = False  # a message has come on it
        self.last = False  # no request after this one
        self.unfed = b""  # read, but not parsed yet
        self.sent_all = self.told_end = False  # the client has ended its sending, and h11 knows
        self.more = False  # behind the request that is answered another one has begun to come
        self.deferred = False  # what has come waits for its turn
        self.head_bytes = self.head_lines = 0  # of the request, as far as it has been parsed
        self.pieces = 0  # chunks of its body
        self.body_left = 0  # bytes of its body that have not come, if its head says how many
        self.begun_at = 0.0  # when its request began to come
        self.over = False  # answered for the last time: what still comes is thrown away
        self.discarded = 0

    # -- called by the loop ------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing means: all is written
        now = asyncio.get_running_loop().time()
        self.deadline, self.first_by = now + SILENT_S, now + FIRST_S
        if not self.server.admit(self):
            self._turned_away(transport)

    def _turned_away(self, transport: asyncio.Transport) -> None:
        """No room, and nobody can make way. What has come already is answered; with nothing sent on it, its
        client asks once more on another."""
        if not polled(transport, select.POLLIN):
            log.info("full", "a new connection is closed unread: %d are open", len(self.server.connections))
            transport.abort()
            return
        self._connection()
        self.server.connections.add(self)
        self._end(Reply(503, "this relay has no room for another connection", retry_s=RETRY_S))
        self.deadline = self.answered_at + HEARD_S  # others wait for its descriptor

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.idle:
            log.info("ended by its client", "a connection ended with a request open: %r", exc)
        self.server.gone(self)
        # Guards against work for a client that never heard of it: it hands the message in again.
        for ident in self.unsent:
            self.server.withdraw(ident)

    def pause_writing(self) -> None:
        if self.transport is not None and not self.over:
            self.transport.pause_reading()  # a client that reads no answers gets no more

    def resume_writing(self) -> None:
        self.unsent.clear()
        self._read_on()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Of a size that may all be kept: a body to its end, and a little of what follows."""
        whole = self.server.read_buffer
        if self.over:
            return whole
        body_bytes = min(self.body_left, self.server.partial.spare_bytes)
        return whole[: READ_BYTES + body_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self.over:
            self.discarded += len(data)
            if self.discarded > DISCARD_BYTES:
                self.abort()
            return
        if self.idle:
            data = data.lstrip(b"\r\n")  # blank lines before a request are no part of it (RFC 9112, 2.2)
        if data:
            self._feed(data)

    def eof_received(self) -> bool | None:
        if not self.over:
            self._feed(b"")
        return self.deferred  # what has come is answered first

    # -- requests ----------------------------------------------------------------------------------------

    @property
    def idle(self) -> bool:
        """No request has begun."""
        return (
            self.request is None and not self.unfed and (self.http is None or not self.http.trailing_data[0])
        )

    @property
    def held_bytes(self) -> int:
        """What it takes in memory of a request that is not whole."""
        return self.head_bytes + len(self.unfed) + (0 if self.request is None else self.request.body_bytes)

    @property
    def unheard(self) -> bool:
        """Idle, and no bytes wait to be read: closing it crosses no request that has come."""
        return self.idle and not polled(self.transport, select.POLLIN)

    def finish(self) -> None:
        """Closes between requests, else with the answer to the one that has come. A new one gets its time to
        ask: its first request may be on its way, and would be turned back unheard."""
        self.last = True
        if self.unheard and not self.over and not self.fresh:
            self._close()

    def hang_up(self) -> None:
        """The process ends: nothing more is waited for. What has come and is not read yet is read first."""
        self.last = True
        if self.over or self.deferred:
            return  # its answer is on its way
        if self.unheard:
            self._close()
        elif not self.idle:
            self._end(Reply(503, "this relay ends", retry_s=RETRY_S))

    @property
    def stuck(self) -> bool:
        """An answer is not fully written yet: its client does not read."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def overdue(self) -> None:
        if self.over or self.stuck:  # a close would wait for its client to read
            self.abort()
        elif self.unheard:
            self._close()
        elif not self.idle:
            self._end(Reply(408, "the request did not come in time"))

    def shed(self) -> None:
        """Its request is given up half way, and what has come of it let go: others need the memory."""
        self._end(Reply(503, "this relay has no room for a request that takes so long", retry_s=RETRY_S))

    def make_way_with_request(self) -> None:
        """The same, and its descriptor is given back as soon as that does not reset the answer away."""
        self.shed()
        self.deadline = self.answered_at + HEARD_S
        if not polled(self.transport, select.POLLIN):
            self.make_way()

    def _feed(self, data: bytes) -> None:
        """Takes what has come; no bytes mean that the client sends no more."""
        self._connection()
        if self.idle and data:
            self._begins()
        self.unfed += data
        self.sent_all = self.sent_all or not data
        self.server.receives(self)
        if not self.over and not self.deferred and not self.server.turns.request(self):
            self._wait()

    def _begins(self) -> None:
        """The first bytes of a request have come."""
        now = asyncio.get_running_loop().time()
        self.begun_at = now
        self.deadline = self.first_by if self.fresh else now + REQUEST_S
        self.fresh = False
        self.server.begun(self)

    def serve(self, until_s: float) -> bool:
        """See `ClientTurns`; one that waits for its penalty or has ended is not served."""
        self.deferred = False
        if self.over or self.gone:
            self._read_on()
            return False
        unfinished = self._go_on(until_s)
        if unfinished:
            self._wait()
        elif not self.deferred:
            self._read_on()
        return unfinished

    def _go_on(self, until_s: float) -> bool:
        """Whether something is left that has come."""
        try:
            unfinished = self._parse(until_s)
            if not self.over:
                self.server.receives(self)
            return unfinished
        except h11.RemoteProtocolError as error:
            self._end(Reply(error.error_status_hint, str(error)))
        except Exception:
            # A fault of ours must not cost the client its answer.
            logging.getLogger(__name__).exception("a request failed")
            self._end(Reply(500, "internal error"))
        return False

    def _parse(self, until_s: float) -> bool:
        """Handles what has come, for so long; whether something is left. A read may hold many pieces."""
        answered, clock = 0, asyncio.get_running_loop().time
        while self.http is not None and not self.over and not self.deferred and not self.gone:
            match self.http.next_event():
                case h11.NEED_DATA:
                    if not self._more():
                        return False
                case h11.EndOfMessage() if self.request is not None:
                    self._whole(self.http, self.request)
                    answered += 1
                    if self.idle or self.over or self.deferred:
                        return False
                    if answered == AT_ONCE or clock() > until_s:
                        return True
                case h11.ConnectionClosed():
                    self._close()
                    return False
                case event:
                    self._piece(self.http, event)
            if clock() > until_s:
                return not self.over
        return False

    @property
    def gone(self) -> bool:
        """Nobody is there for an answer any more."""
        return self.transport is None or self.transport.is_closing()

    def _more(self) -> bool:
        """Gives h11 what it has not had yet. A head in small parts: its fields are counted before they are
        parsed, and it bounds only a head that is not whole."""
        assert self.http is not None
        if self.unfed:
            size = HEAD_BYTES if self.request is not None else HEAD_PART_BYTES
            part, self.unfed = self.unfed[:size], self.unfed[size:]
            if self.request is None:
                if self.head_lines > FIELDS:
                    raise too_many_fields()
                self.head_bytes += len(part)
                self.head_lines += part.count(b"\n")
            self.http.receive_data(part)
            return True
        if self.request is None and self.head_lines > FIELDS:
            raise too_many_fields()
        if self.sent_all and not self.told_end:
            self.told_end = True
            self.http.receive_data(b"")
            return True
        return False

    def _wait(self) -> None:
        """What has come waits for its turn; nothing more is read until then."""
        self.deferred = True
        if self.transport is not None:
            self.transport.pause_reading()

    def _penalize(self) -> None:
        """What has come already, and all that follows, is handled so much later."""
        self._wait()
        asyncio.get_running_loop().call_later(PENALTY_S, self.server.turns.enqueue, self)

    def _piece(self, http: h11.Connection, event: object) -> None:
        match event:
            case h11.Request() as head:
                if len(head.headers) > FIELDS:
                    raise too_many_fields()
                if (fault := fault_of(head)) is not None:
                    self._end(fault)
                    return
                self.request = Request(
                    head.method.decode("ascii"), origin_form(head.target.decode("latin-1")), fields_of(head)
                )
                self.request.client = self.number
                self.body_left = int(dict(head.headers).get(b"content-length", b"0"))
                self.pieces = 0
                if http.they_are_waiting_for_100_continue:
                    self._send(h11.InformationalResponse(status_code=100, headers=[]))
            case h11.Data(data=chunk, chunk_start=begins_chunk) if self.request is not None:
                self.pieces += begins_chunk
                if self.pieces > PIECES + self.request.body_bytes // PIECE_BYTES:
                    self._end(Reply(400, f"chunks of a body have {PIECE_BYTES} bytes at least, as a mean"))
                    return
                if self.request.body_bytes + len(chunk) > BODY_BYTES:
                    self._end(Reply(413, f"a body holds {BODY_BYTES} bytes at most"))
                    return
                self.request.add(chunk)
                self.body_left = max(0, self.body_left - len(chunk))

    def _whole(self, http: h11.Connection, request: Request) -> None:
        behind = (http.trailing_data[0] + self.unfed).lstrip(b"\r\n")
        if behind and not begins_request(behind):
            # Guards against a body longer than it says: it is turned away before its message is taken on.
            self._end(Reply(400, "a body is no longer than its length"))
            return
        self.more = bool(behind)
        reply = self._handled(request)
        self.request = None
        self.head_bytes = self.head_lines = self.body_left = 0
        self.useful = self.useful or reply.status == 202
        # Guards clients that may hold only so many connections against those that ask once and stay.
        self.last = self.last or self.server.crowded
        # What has come behind this request is answered too, in its order: only the last answer ends them.
        self._answer(reply)
        if self.over:
            return
        if self.last and not behind or http.our_state is not h11.DONE:
            self._linger(LINGER_S)
            return
        if behind:
            # Another parser for each request: h11 would read blank lines before it as a request line, and
            # parse a head whose fields nobody has counted.
            self.http, self.unfed = None, behind
            self._connection()
            self.deadline = asyncio.get_running_loop().time() + REQUEST_S
        else:
            self._rests()
        if reply.status in SENSELESS:
            # Guards the others' share of the processor against one that asks the same again at once.
            self._penalize()

    def _connection(self) -> h11.Connection:
        if self.http is None:
            self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_BYTES)
        return self.http

    def _rests(self) -> None:
        self.http, self.unfed = None, b""
        self.deadline = asyncio.get_running_loop().time() + IDLE_S
        self.server.rests(self)

    def _handled(self, request: Request) -> Reply:
        if polled(self.transport, select.POLLRDHUP):
            # Guards against a second copy: it has stopped waiting and hands the message in again. One that
            # merely ended its sending still reads this, and that coming again is harmless.
            return Reply(503, "the client has hung up")
        return self.server.handle(request)

    # -- answers -----------------------------------------------------------------------------------------

    def _end(self, reply: Reply) -> None:
        """The last answer, as far as one can still be given; then what still comes is read and dropped."""
        self.server.ended_with(reply.status)
        log.info(f"ended with {reply.status}", "a connection ends with %d: %s", reply.status, reply.text)
        self.last = self.over = True
        self.more = False
        self.request = None
        if self.http is not None and self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._answer(reply)
        self._linger(DISCARD_S if reply.status == 413 else LINGER_S)

    def _linger(self, wait_s: float) -> None:
        """Ends our sending; the client ends the connection, or `overdue` does after so many seconds. Until
        then its bytes are read and dropped: a close over unread ones would reset the answer away (RFC 9112,
        section 9.6), and none of them may be taken on any more."""
        self.over = True
        self.http, self.unfed = None, b""  # nothing of them is needed any more
        self.head_bytes = self.body_left = 0
        self.answered_at = asyncio.get_running_loop().time()
        self.deadline = self.answered_at + wait_s
        self.server.lingers(self)
        if self.transport is not None and not self.transport.is_closing():
            with suppress(OSError):  # it has gone
                self.transport.write_eof()

    def _answer(self, reply: Reply) -> None:
        text = (reply.text + "\n" if reply.text else "").encode()
        headers = [("Content-Length", str(len(text))), ("Content-Type", "text/plain; charset=utf-8")]
        if reply.retry_s > 0:
            headers.append(("Retry-After", f"{reply.retry_s:.3f}"))
        if self.last and not self.more:
            headers.append(("Connection", "close"))
        self._send(
            h11.Response(status_code=reply.status, headers=headers), h11.Data(data=text), h11.EndOfMessage()
        )
        if reply.accepted is not None:
            self._heard(reply.accepted)

    def _heard(self, ident: str) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            self.server.withdraw(ident)
        elif self.stuck:
            self.unsent.append(ident)

    def _send(self, *events: h11.Event) -> None:
        if self.transport is not None and self.http is not None:
            self.transport.write(b"".join(self.http.send(event) or b"" for event in events))

    def _read_on(self) -> None:
        if self.transport is not None and not self.gone and not self.deferred and not self.stuck:
            self.transport.resume_reading()

    def make_way(self) -> None:
        """Ends it between requests: what was answered still reaches the client, unless it does not read."""
        if self.stuck:
            self.abort()
        else:
            self._close()

    def abort(self) -> None:
        self._check_answered()
        if self.transport is not None:
            self.transport.abort()

    def _close(self) -> None:
        self._check_answered()
        if self.transport is not None:
            self.transport.close()

    def _check_answered(self) -> None:
        """Right before this side ends it: no request is open, unless its client is gone or reads nothing."""
        open_ = not (self.idle or self.over or self.stuck or self.told_end or self.gone)
        self.server.invariants.check(Rule.ANSWERED, not open_, "a request is closed with no answer")
