"""Sockets of this program's own making: listening, accepting, connecting, and options that may fail.

TCP_NODELAY is set here and not by asyncio, which ends a connection on which it cannot be set: without it an
answer may come late, and that is all. asyncio sets it on sockets whose protocol is named, so none is.
"""

from __future__ import annotations

import array
import asyncio
import logging
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from typing import Any

from .config import Address
from .system_errors import ACCEPT_NEXT, SEND_AGAIN

log = logging.getLogger(__name__)

SO_ATTACH_FILTER = 26  # socket(7); the socket module does not name it
# A classic BPF program: of the TCP header's flags at offset 13, SYN without ACK is dropped, all else passes.
TCP_FLAGS, SYN, SYN_ACK, ALL = 13, 0x02, 0x12, 0xFFFFFFFF
DROP_NEW = b"".join(
    struct.pack("HBBI", *instruction)
    for instruction in (
        (0x30, 0, 0, TCP_FLAGS),  # load the byte
        (0x54, 0, 0, SYN_ACK),  # keep these bits of it
        (0x15, 0, 1, SYN),  # if they are SYN alone
        (0x06, 0, 0, 0),  # drop
        (0x06, 0, 0, ALL),  # else pass
    )
)
INSTRUCTION_BYTES = 8


@contextmanager
def _would_block() -> Iterator[None]:
    try:
        yield
    except OSError as error:
        if error.errno in SEND_AGAIN:
            raise BlockingIOError(error.errno, error.strerror) from error
        raise


class PatientSocket(socket.socket):
    """A connection whose bytes are kept while the system lacks the memory to send them: asyncio writes again
    what would have blocked, and ends the connection after any other error."""

    def send(self, *args: Any) -> int:
        with _would_block():
            return super().send(*args)

    def sendmsg(self, *args: Any) -> int:  # what later versions of asyncio call
        with _would_block():
            return super().sendmsg(*args)

    @classmethod
    def of(cls, sock: socket.socket) -> PatientSocket:
        """Takes over the descriptor."""
        return cls(sock.family, sock.type, sock.proto, fileno=sock.detach())


def family_of(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def without_delay(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def bound(host: str, port: int) -> socket.socket:
    """A socket to listen on; another process of this relay may share its address. OSError if it is taken."""
    listener = socket.socket(family_of(host), socket.SOCK_STREAM)
    try:
        for option in (socket.SO_REUSEADDR, socket.SO_REUSEPORT):
            try:
                listener.setsockopt(socket.SOL_SOCKET, option, 1)
            except OSError as error:  # bind says whether it was needed
                log.warning("an option of the listening socket cannot be set: %s", error)
        listener.setblocking(False)
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    return listener


def accepted(listener: socket.socket) -> socket.socket | None:
    """The next connection that waits, None if none does; OSError if this machine lacks what it needs."""
    while True:
        try:
            sock, _ = listener.accept()
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as error:
            if error.errno not in ACCEPT_NEXT:
                raise
            log.info("a connection ended before it was accepted: %s", error)
            continue
        patient = PatientSocket.of(sock)
        patient.setblocking(False)
        without_delay(patient)
        return patient


def turn_away(listener: socket.socket) -> None:
    """Lets no further connection begin, while those that have begun still come to be accepted: the system
    resets what is queued as a listener closes. Clients who try find the address silent, then closed."""
    program = array.array("B", DROP_NEW)
    address, length = program.buffer_info()
    try:
        listener.setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("@HP", length // INSTRUCTION_BYTES, address)
        )
    except OSError as error:
        log.info("new connections cannot be turned away before the listener closes: %s", error)


async def connected(address: Address) -> socket.socket:
    """OSError as of socket(2) and connect(2)."""
    sock = PatientSocket(family_of(address[0]), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    without_delay(sock)
    return sock
