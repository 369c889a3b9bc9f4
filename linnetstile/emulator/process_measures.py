"""Owns the measure of a whole relay process: `python -m linnetstile` on loopback, with a client that hands in
events at a steady rate, and stand-ins for the endpoint and for the platform's agent that answer at once.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..net.link import Link, LinkLost
from .measure import Params, Sample, measure

FOR_S = 2.0  # events are handed in for so long, unless the experiment says otherwise
START_S, END_S = 60.0, 60.0  # the process is ready, and the last event delivered, within these
LOOK_S = 0.02
FIRST_EVENTS = 10  # not measured: the process opens its connections, and code runs for the first time
BODY_BYTES, ANSWER_BYTES = 300, 64 * 1024
LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
SETTINGS: dict[str, Any] = {
    "az": 0,
    "balancers": 1,
    "zones": ["a"],
    "kinds": ["k"],
    "tick-ms": 5.0,
    "weight-kind": "nominal",
    "classes": [{"name": "safe", "effect": "repeatable", "aim-ms": 4000.0, "deadline-ms": 60_000.0}],
    "extra": {"call-slots": 64, "loses-worth": "halves"},
    "limits": {"open-cap": 4000, "try-limit": 8, "conn-idle-ms": 10_000.0, "connect-timeout-ms": 1500.0},
    "safety": {"answer-slack-ms": 20.0, "drain-grace-ms": 250.0, "cold-from": 0.2, "cold-ms": 9000.0},
}


class Http(asyncio.Protocol):
    """Takes whole requests, and writes what `reply` makes of each; None leaves one unanswered."""

    def __init__(self, reply: Callable[[bytes, bytes], bytes | None]) -> None:
        self.reply, self.data = reply, b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            head, length = self.data[:end], LENGTH.search(self.data, 0, end)
            whole = end + 4 + (int(length[1]) if length else 0)
            if len(self.data) < whole or self.transport is None:
                return
            body, self.data = self.data[end + 4 : whole], self.data[whole:]
            if (answer := self.reply(head, body)) is not None:
                self.transport.write(answer)


TRACE_ID = re.compile(rb"\r\nx-trace-id: *(\S+)", re.IGNORECASE)


def answer(status: int, body: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def agent(head: bytes, body: bytes) -> bytes | None:
    """Takes notices; a watch on the list is left open, as one is while nothing changes."""
    return answer(204) if head.startswith(b"POST") else None


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def processor_us(pid: int) -> float:
    """Processor time of all threads of a process, in microseconds (/proc/PID/task/*/schedstat)."""
    tasks = Path(f"/proc/{pid}/task")
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks.iterdir()) / 1000


class World:
    """One relay process and all that it talks to."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.port = folder, free_port()
        self.delivered: set[bytes] = set()  # by id: a busy machine makes a relay repeat what may be
        self.all_delivered = asyncio.Event()
        self.wanted = -1
        self.idle: list[Link] = []

    def endpoint(self, head: bytes, body: bytes) -> bytes:
        if (ident := TRACE_ID.search(head)) is not None:
            self.delivered.add(ident[1])
        if len(self.delivered) == self.wanted:
            self.all_delivered.set()
        return answer(200)

    async def listen(self, reply: Callable[[bytes, bytes], bytes | None]) -> str:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Http(reply), "127.0.0.1", 0)
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    async def start(self) -> subprocess.Popen[bytes]:
        agent_at, endpoint_at = await self.listen(agent), await self.listen(self.endpoint)
        known = {
            "generation": 1,
            "reset": True,
            "instances": [
                {
                    "instanceId": "cell-1",
                    "hostPort": endpoint_at,
                    "zone": "a",
                    "machineType": "k",
                    "cell": 7,
                    "lifecycle": "ready",
                    "weight": 100_000.0,
                    "startedAtMs": 0,
                }
            ],
        }
        (self.folder / "state").mkdir()
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": agent_at,
                    "seed": "1",
                    "state": str(self.folder / "state"),
                    "known": known,
                    "settings": SETTINGS,
                }
            )
        )
        env = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        return subprocess.Popen(
            [sys.executable, "-m", "linnetstile"],
            stderr=subprocess.DEVNULL,
            env={**env, "RELAY_CONFIG": str(self.folder / "config.json")},
        )

    async def ready(self) -> None:
        """Once the process takes clients; RuntimeError if it never does."""
        for _ in range(int(START_S / LOOK_S)):
            try:
                self.idle.append(await Link.open(("127.0.0.1", self.port), ANSWER_BYTES))
                return
            except LinkLost:
                await asyncio.sleep(LOOK_S)
        raise RuntimeError("the relay took no clients")

    async def event(self, n: int) -> None:
        """On a connection that is free, or a new one: clients send one request at a time on each."""
        usable = [link for link in self.idle if link.usable]
        link = usable[-1] if usable else await Link.open(("127.0.0.1", self.port), ANSWER_BYTES)
        self.idle = usable[:-1]
        head, _ = await link.ask(
            "POST",
            "/safe",
            [
                ("Host", "origin"),
                ("X-Trace-Id", f"m{n}"),
                ("X-Qos", "safe"),
                ("X-Customer", "t"),
                ("X-Expires-In-Ms", "60000"),
                ("X-Addressing", "dest=7"),
            ],
            b"x" * BODY_BYTES,
        )
        if head.status != 202:
            raise RuntimeError(f"event {n} was answered {head.status}")
        self.idle.append(link)

    async def hand_in(self, events: int, rate: float) -> None:
        """Event n goes at n / rate seconds by the clock, or as soon after as this process gets to it; returns
        when all are delivered, and that time has passed."""
        loop = asyncio.get_running_loop()
        begun, before = loop.time(), len(self.delivered)
        self.wanted = before + events
        self.all_delivered.clear()
        tasks = []
        for n in range(events):
            await asyncio.sleep(max(0.0, begun + n / rate - loop.time()))
            tasks.append(loop.create_task(self.event(before + n)))
        await asyncio.gather(*tasks)
        await asyncio.wait_for(self.all_delivered.wait(), END_S)
        await asyncio.sleep(max(0.0, begun + events / rate - loop.time()))


@measure("event_end_to_end")
def event_end_to_end(params: Params, size: int, seed: int) -> Sample:
    """A relay process takes `size` events a second and delivers each to one endpoint, for
    `for_s` seconds (2 unless given): its processor time for a second of the clock (`second_us`) and for an
    event (`event_us`). The clock is the machine's: a busy one makes the figures move."""
    for_s = float(params.get("for_s", FOR_S))
    events = max(1, round(size * for_s))

    async def work(folder: Path) -> tuple[float, float]:
        world = World(folder)
        process = await world.start()
        try:
            await world.ready()
            await world.hand_in(FIRST_EVENTS, size)
            before, begun = processor_us(process.pid), asyncio.get_running_loop().time()
            await world.hand_in(events, size)
            taken = processor_us(process.pid) - before
            passed = asyncio.get_running_loop().time() - begun
            if len(world.delivered) != FIRST_EVENTS + events:
                raise RuntimeError(f"{len(world.delivered) - FIRST_EVENTS} of {events} events were delivered")
            return taken, passed
        finally:
            process.kill()
            process.wait()

    with tempfile.TemporaryDirectory() as name:
        taken, passed = asyncio.run(work(Path(name)))
    return Sample({"events": float(events)}, {"second_us": taken / passed, "event_us": taken / events})
