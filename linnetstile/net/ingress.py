"""The listener, all connections of clients, and which of them makes room for another."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from ..partial_requests import PartialRequests
from .client_connection import HEARD_S, IDLE_S, READ_BYTES, SILENT_S, ClientConnection
from .client_request import BODY_BYTES, Handler, Withdraw
from .client_turns import ClientTurns
from .invariants import Invariants
from .sockets import accepted, bound, turn_away

log = logging.getLogger(__name__)

BACKLOG = 512  # connections that the system keeps for us: a flood must not push out those behind it
ACCEPTS = 16  # connections beyond the bound, accepted and about to be kept or shut: each has a descriptor
AT_ONCE = 64  # connections accepted in one turn of the loop: behind a crowd others wait
SPARED_S = 2.05  # so long it is kept also when many do, or others want its place: clients are owed 2 s
QUEUE_S = 0.01  # a connection that has begun comes to be accepted within this
PART_S = 1.7  # so long after clients are sent away none may stand idle: their last answer is 2 s old, or near
ROOM_LOOK_S = 0.02  # how often it is looked whether one may make way, while newcomers wait
SWEEP_S = 0.1  # how often it is looked whose time is up


class Ingress:
    """All connections of clients, `most` at once, and which of them makes room for another."""

    def __init__(
        self, handle: Handler, withdraw: Withdraw, most: int, roomy: int, invariants: Invariants
    ) -> None:
        self.handle, self.withdraw, self.most, self.invariants = handle, withdraw, most, invariants
        self.roomy = roomy  # so many idle connections are few
        self.open: set[ClientConnection] = set()  # all that have a descriptor
        self.connections: set[ClientConnection] = set()
        self.silent: dict[ClientConnection, None] = {}  # nothing has come on them; oldest first
        self.visiting: dict[ClientConnection, None] = {}  # between requests, none of them a message
        self.resting: dict[ClientConnection, None] = {}  # between messages; longest idle first
        self.lingering: dict[ClientConnection, None] = {}  # answered for the last time
        self.partial: PartialRequests[ClientConnection] = PartialRequests()
        self.read_buffer = memoryview(bytearray(BODY_BYTES + READ_BYTES))  # all read into it, one at a time
        self.turns = ClientTurns()
        self.numbers = 0
        self.ended_with: Callable[[int], None] = lambda status: None  # told how each bad request ends
        self.listener: socket.socket | None = None
        self.port = 0
        self.pausing = False  # nothing is accepted until a descriptor is free
        self.arriving: set[asyncio.Task[None]] = set()  # accepted, and not yet admitted
        self.away_by = float("inf")  # no idle connection is kept from then on
        self.emptied_by = float("inf")  # the listener closes once its queue is empty then

    def next_number(self) -> int:
        """Of a connection."""
        self.numbers += 1
        return self.numbers

    def bind(self, host: str, port: int) -> None:
        """OSError if the address is another's; a process of this relay's may share it."""
        self.listener = bound(host, port)
        self.port = int(self.listener.getsockname()[1])

    def unbind(self) -> None:
        """Closes the listener, whatever is queued."""
        if self.listener is not None:
            if not self.pausing:
                asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def listen(self) -> None:
        """OSError as of listen(2); it may be called again."""
        assert self.listener is not None
        self.listener.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def _accept(self, most: int = AT_ONCE) -> None:
        """Takes what is queued. Guards the descriptors that calls need: whoever is about to be shut holds one
        as well, so what comes faster than that waits in the queue."""
        loop = asyncio.get_running_loop()
        for _ in range(most):
            if self.listener is None:
                return
            if len(self.open) >= self.most + ACCEPTS:
                self._pause()
                return
            if self._soon_has_room():
                self._pause()
                loop.call_later(ROOM_LOOK_S, self._accept_on)
                return
            try:
                sock = accepted(self.listener)
            except OSError as error:  # no descriptor is left, say: the queue keeps those who wait
                log.error("a connection cannot be accepted: %s", error)
                self._pause()
                loop.call_later(SWEEP_S, self._accept_on)
                return
            if sock is None:
                if self.emptied_by <= loop.time():
                    self.unbind()
                return
            connection = ClientConnection(self)
            self.open.add(connection)
            task = loop.create_task(self._arrive(sock, connection))
            self.arriving.add(task)
            task.add_done_callback(self.arriving.discard)

    def _soon_has_room(self) -> bool:
        """Newcomers wait with the system until a request that comes slowly may make way, or whoever had its
        last answer has had the time to read it: turned away they would come again, and no later."""
        full = len(self.connections) + len(self.arriving) >= self.most
        soon = self.partial.are_many(self.most) or bool(self.lingering)
        return full and soon and not self._make_room()

    def _pause(self) -> None:
        assert self.listener is not None
        self.pausing = True
        asyncio.get_running_loop().remove_reader(self.listener)

    def _accept_on(self) -> None:
        if self.listener is not None and self.pausing:
            self.pausing = False
            asyncio.get_running_loop().add_reader(self.listener, self._accept)

    async def _arrive(self, sock: socket.socket, connection: ClientConnection) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, sock)
        except OSError as error:
            sock.close()
            self.gone(connection)
            log.warning("a connection ended as it came: %s", error)

    async def watch(self) -> None:
        """Ends what takes too long; one look at all costs less than a timer for each."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_S)
            now = loop.time()
            for connection in self._due(now):
                try:
                    connection.overdue()
                except Exception:
                    log.exception("a connection could not be ended")
                    connection.abort()

    @property
    def crowded(self) -> bool:
        """So many stand idle that the next ones are not kept, or none are: their answers say so."""
        return self.away_by < float("inf") or len(self.visiting) + len(self.resting) >= self.roomy

    def send_away(self) -> None:
        """Each answer from now on ends its connection; those that still stand idle end a little later."""
        self.away_by = min(self.away_by, asyncio.get_running_loop().time() + PART_S)

    def welcome(self) -> None:
        self.away_by = float("inf")

    def _due(self, now: float) -> set[ClientConnection]:
        due = {each for each in self.connections if each.deadline <= now}
        if self.crowded:
            by = now + IDLE_S - (SPARED_S if now < self.away_by else 0.0)
            due.update(each for each in (*self.visiting, *self.resting) if each.deadline <= by)
        return due

    # -- where each connection stands --------------------------------------------------------------------

    def admit(self, connection: ClientConnection) -> bool:
        if len(self.connections) >= self.most and not self._make_room():
            return False
        self.connections.add(connection)
        self.silent[connection] = None
        return True

    def allow(self, most: int) -> None:
        """Another bound from now on; if it is lower, those that have no request open make way."""
        self.most = most
        while len(self.connections) > most and self._make_room():
            pass
        self._accept_on()

    def gone(self, connection: ClientConnection) -> None:
        """Its descriptor is free."""
        self.forget(connection)
        self.open.discard(connection)
        self._accept_on()

    def forget(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self._leave(connection)

    def begun(self, connection: ClientConnection) -> None:
        self._leave(connection)

    def rests(self, connection: ClientConnection) -> None:
        self._leave(connection)
        (self.resting if connection.useful else self.visiting)[connection] = None

    def receives(self, connection: ClientConnection) -> None:
        """Some of a request has come, or all that had come was handled."""
        self.partial.read(connection, asyncio.get_running_loop().time())
        while (victim := self.partial.over_budget()) is not None:
            victim.shed()

    def lingers(self, connection: ClientConnection) -> None:
        self._leave(connection)
        self.lingering[connection] = None

    def _leave(self, connection: ClientConnection) -> None:
        self.partial.forget(connection)
        for place in (self.silent, self.visiting, self.resting, self.lingering):
            place.pop(connection, None)

    def _make_room(self) -> bool:
        """Guards the descriptors that calls need, and the way in for messages: ends a connection that has no
        request open. A newcomer says nothing yet either: no victim before its first bytes could come."""
        now = asyncio.get_running_loop().time()
        victims = (
            self._answered(now),
            next((each for each in self.visiting if each.unheard), None),
            self._oldest(self.silent, now - HEARD_S + SILENT_S),
            self._oldest(self.resting, now - SPARED_S + IDLE_S),
        )
        victim = next((each for each in victims if each is not None), None)
        if victim is not None:
            self.forget(victim)
            victim.make_way()
            return True
        slow = self.partial.slow(now) if self.partial.are_many(self.most) else None
        if slow is None:
            return False
        self.forget(slow)
        slow.make_way_with_request()
        return True

    def _answered(self, now: float) -> ClientConnection | None:
        """One that has had its last answer and the time to read it: a close over unread bytes resets that."""
        first = next(iter(self.lingering), None)
        return first if first is not None and first.answered_at <= now - HEARD_S else None

    @staticmethod
    def _oldest(place: dict[ClientConnection, None], by: float) -> ClientConnection | None:
        """The one that came to it first, if its deadline says that this was long enough ago."""
        first = next(iter(place), None)
        return first if first is not None and first.deadline <= by and first.unheard else None

    @property
    def quit(self) -> bool:
        """Whether all clients have gone."""
        return not self.connections and not self.arriving and self.listener is None

    def leave(self) -> None:
        """Takes no more connections but those that have begun already: closing would turn them back unheard.
        The listener closes once the system has no more of them."""
        if self.listener is not None and self.emptied_by == float("inf"):
            turn_away(self.listener)
            self.emptied_by = asyncio.get_running_loop().time() + QUEUE_S
            self._empty_queue()

    def _empty_queue(self) -> None:
        """Tried until nothing is queued, whatever stands in the way meanwhile."""
        if self.listener is not None and not self.pausing:
            self._accept(BACKLOG)
        if self.listener is not None:
            asyncio.get_running_loop().call_later(QUEUE_S, self._empty_queue)

    def hang_up(self) -> None:
        for connection in list(self.connections):
            connection.hang_up()

    def stop(self) -> None:
        """Ends each connection as soon as it has no request to answer, and takes no more."""
        self.leave()
        self.away_by = asyncio.get_running_loop().time()  # also for those that are still arriving
        for connection in list(self.connections):
            connection.finish()
