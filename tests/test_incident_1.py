"""Incident 1: what was taken on ends once, whatever the folder and the wall clock do over a restart.

Real processes on loopback, with the faults of `fault_process`; see docs/incidents/incident-1.md."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from .faults import FaultProcess, fault_world, soon
from .loopback import Agent, Client, Server, answer, message, run

Case = Callable[[Agent, Server, FaultProcess], Awaitable[None]]
LONG_S = 3600.0


def times(server: Server, ident: str) -> int:
    return sum(seen.headers.get("x-trace-id") == ident for seen in server.seen)


async def start_failed_writes(process: FaultProcess, server: Server, kind: str) -> None:
    """Two messages are out; from then on the folder takes no record."""
    server.hold = asyncio.Event()
    await process.start()
    await process.hand_in(message("k", "keyed"), message("u", "unsafe"))
    for _ in range(2):
        await server.came.get()
    process.set(write=[kind, 1])


async def ends_are_written_down_later(agent: Agent, server: Server, process: FaultProcess, kind: str) -> None:
    await start_failed_writes(process, server, kind)
    assert server.hold is not None
    server.hold.set()
    await probe(process)  # its loop has turned since the answers came
    process.set()
    assert await soon(lambda: process.on_file("k", "end") and process.on_file("u", "end"), 5.0)
    await process.end(signal.SIGKILL)
    await process.start()
    await probe(process)
    assert await process.end(signal.SIGTERM) == 0
    assert times(server, "k") == times(server, "u") == 1
    assert agent.notices.empty()


async def probe(process: FaultProcess) -> None:
    """Asks until its loop has turned often enough to handle whatever had come before."""
    for _ in range(20):
        assert await status_of(process, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") == 200
        await asyncio.sleep(0.01)


async def no_space(agent: Agent, server: Server, process: FaultProcess) -> None:
    await ends_are_written_down_later(agent, server, process, "ENOSPC")


async def half_writes(agent: Agent, server: Server, process: FaultProcess) -> None:
    await ends_are_written_down_later(agent, server, process, "torn")


async def behind_a_torn_record(agent: Agent, server: Server, process: FaultProcess) -> None:
    """A record is half written and cannot be taken back; then the folder works again."""
    server.hold = asyncio.Event()
    await process.start()
    process.set(write=["half", 1], ftruncate=["EIO", 1])
    assert await status_of(process, message("torn", "keyed")) == 503
    process.set()
    await process.hand_in(message("kept", "unsafe"))
    await process.end(signal.SIGKILL)
    server.hold.set()
    await process.start()
    assert await soon(lambda: times(server, "kept") >= 1 or not agent.notices.empty(), 5.0)
    assert await process.end(signal.SIGTERM) == 0
    assert times(server, "torn") == 0  # it was refused


async def status_of(process: FaultProcess, data: bytes) -> int:
    async with Client(process.port) as client:
        return await client.ask(data)


async def an_hour_on_while_it_runs(agent: Agent, server: Server, process: FaultProcess) -> None:
    """A delivered message that may not be repeated comes again under its id."""
    await process.start()
    await process.hand_in(message("u", "unsafe"))
    await server.came.get()
    assert await soon(lambda: process.on_file("u", "end"))
    process.set(wall_s=LONG_S)
    await asyncio.sleep(1.5)  # past the sweep that forgets what is over
    await process.hand_in(message("u", "unsafe"))
    await probe(process)
    assert await process.end(signal.SIGTERM) == 0
    assert times(server, "u") == 1


async def an_hour_back_over_a_kill(agent: Agent, server: Server, process: FaultProcess) -> None:
    """A keyed call is out; its window (4 s) is over before the restart."""
    server.usual = None
    await process.start()
    await process.hand_in(message("k", "keyed", left=16000))
    first = await server.came.get()
    await process.end(signal.SIGKILL)
    process.set(wall_s=-LONG_S)
    await asyncio.sleep(4.2)
    server.usual = answer(200)
    await process.start()
    assert await soon(lambda: not agent.notices.empty() or len(server.seen) > 1)
    await process.end(signal.SIGTERM)
    assert [seen.at for seen in server.seen] == [first.at]


async def an_hour_on_over_a_kill(agent: Agent, server: Server, process: FaultProcess) -> None:
    """A message that nobody has tried, with most of its time left."""
    server.usual = answer(429, "X-RateLimit-Wait-Ms: 1500")
    await process.start()
    await process.hand_in(message("first", "keyed"))
    await server.came.get()
    assert await soon(lambda: process.on_file("first", "out"))
    await process.hand_in(message("waits", "keyed"))
    await process.end(signal.SIGKILL)
    process.set(wall_s=LONG_S)
    server.usual = answer(200)
    await process.start()
    assert await soon(lambda: times(server, "waits") == 1, 6.0)
    assert await process.end(signal.SIGTERM) == 0


async def a_start_on_a_failing_folder(agent: Agent, server: Server, process: FaultProcess) -> None:
    """A torn record at the end, and reads and cuts of the file that fail for the first second."""
    server.hold = asyncio.Event()
    await process.start()
    await process.hand_in(message("k", "safe"))
    await server.came.get()
    await process.end(signal.SIGKILL)
    with (process.state / "journal").open("ab") as file:
        file.write(b'1234abcd {"k":"ta')
    process.set(ftruncate=["EIO", 1], pread=["EIO", 1], open=["EIO", 1])
    await process.begin()
    await asyncio.sleep(1.0)
    assert process.process.returncode is None, "the process refused to start"
    process.set()
    server.hold.set()
    assert await soon(lambda: times(server, "k") == 2)
    assert await process.end(signal.SIGTERM) == 0


CASES: list[Case] = [
    no_space,
    half_writes,
    behind_a_torn_record,
    an_hour_on_while_it_runs,
    an_hour_back_over_a_kill,
    an_hour_on_over_a_kill,
    a_start_on_a_failing_folder,
]


@pytest.mark.parametrize("case", CASES, ids=[case.__name__ for case in CASES])
def test_what_was_taken_on_ends_once_whatever_the_folder_and_the_clock_do(tmp_path: Path, case: Case) -> None:
    async def work() -> None:
        async with fault_world(tmp_path) as (agent, server, process):
            await case(agent, server, process)

    run(work())
