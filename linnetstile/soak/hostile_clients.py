"""Clients of a relay that finish nothing, ask without end, or leave with much unread."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time

Address = tuple[str, int]
SHORT_FIELDS = b"".join(b"a%x:\r\n" % number for number in range(2300))
HEAD = b"POST /safe HTTP/1.1\r\nHost: origin.svc\r\n"
HALF_BODY = HEAD + b"Content-Length: 65000\r\n\r\n" + b"x" * 64_000
SAYS = [
    HALF_BODY,
    HEAD + SHORT_FIELDS,
    HEAD + SHORT_FIELDS + b"Content-Length: 20\r\n\r\n" + b"x" * 10,
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"20\r\n" + b"x" * 32 + b"\r\n" + b"1\r\nx\r\n" * 200,
]
PART_PAUSE_S = 0.05
READ_BYTES = 65536


async def _slow_client(address: Address, says: bytes, parts: int, seconds: float) -> None:
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*address)
        try:
            async with asyncio.timeout(seconds):
                size = -(-len(says) // parts)
                for at in range(0, len(says), size):
                    writer.write(says[at : at + size])
                    await writer.drain()
                    await asyncio.sleep(PART_PAUSE_S)
                while await reader.read(READ_BYTES):
                    pass
        except TimeoutError:
            pass
        finally:
            writer.close()


async def slow_crowd(address: Address, count: int, seconds: float, rng: random.Random) -> None:
    """All at once; each writes one request in some parts, and never its end."""
    async with asyncio.TaskGroup() as tasks:
        for _ in range(count):
            tasks.create_task(_slow_client(address, rng.choice(SAYS), rng.randint(1, 20), seconds))


async def greedy_client(address: Address, seconds: float) -> None:
    """Unsound requests under ever new names on one connection after the other, as fast as they are read."""
    until, number = time.monotonic() + seconds, 0
    while time.monotonic() < until:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                async with asyncio.timeout(max(0.0, until - time.monotonic())):
                    while not reader.at_eof():
                        number += 1
                        writer.write(
                            b"POST /class%d HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %d\r\n\r\n" % (number, number)
                        )
                        await writer.drain()
                        await reader.read(READ_BYTES)
            finally:
                writer.close()


async def leave_unread(address: Address, data: bytes, reset: bool) -> None:
    """Writes all of it, and goes without reading an answer."""
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(*address)
        writer.write(data)
        await asyncio.sleep(0)
        if reset:
            writer.transport.abort()
        else:
            writer.close()
