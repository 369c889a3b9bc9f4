"""The management server, its figures, and sending clients away: on loopback sockets."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
import time
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from linnetstile import interface as api
from linnetstile.connection_reuse import Peer, Position
from linnetstile.disk_budget import DiskBudget
from linnetstile.net.figures import Refusal
from linnetstile.net.invariants import Rule
from linnetstile.net import ingress, management
from linnetstile.net.config import ConfigError, load
from linnetstile.net.figures import MEMORY_GAUGES, Figures
from linnetstile.net.host import Host
from linnetstile.net.management import Answer, Call, ManagementServer

from .conftest import SAFE, Driver
from .loopback import Agent, Client, Server, answer, host_of, message, raw_config, run, until

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


def request(method: str, path: str) -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def read_all(sock: socket.socket) -> bytes:
    data = b""
    while chunk := sock.recv(65536):
        data += chunk
    return data


def ask(port: int, data: bytes) -> tuple[int, str, str]:
    """Blocking, as from another process: status, head and body of the one answer, then the end."""
    with socket.create_connection(("127.0.0.1", port), timeout=30) as sock:
        sock.sendall(data)
        head, _, body = read_all(sock).decode().partition("\r\n\r\n")
        return int(head.split()[1]), head, body


async def call(host: Host, method: str, path: str) -> tuple[int, str]:
    assert host.management is not None
    status, _, body = await asyncio.to_thread(ask, host.management.port, request(method, path))
    return status, body


async def figures(host: Host) -> dict[str, int]:
    status, body = await call(host, "GET", "/-/metrics")
    assert status == 200
    lines = [line.partition("|")[0].rpartition(":") for line in body.splitlines()]
    return {name.removeprefix("relay."): int(value) for name, _, value in lines}


@asynccontextmanager
async def world(folder: Path, **more: Any) -> AsyncIterator[tuple[Agent, Server, Host]]:
    state = folder / "state"
    state.mkdir()
    agent, server = await Agent().start(), await Server().start()
    assert isinstance(agent, Agent)
    host = host_of(state, agent, server, mgmt="127.0.0.1:0", **more)
    await host.start()
    try:
        yield agent, server, host
    finally:
        await host.close()


@pytest.fixture
def server() -> Any:
    opened = ManagementServer(
        {
            "/-/ready": Call("GET", lambda: Answer(200, "ready")),
            "/-/drain": Call("POST", lambda: Answer(200, "draining")),
        }
    )
    opened.open(("127.0.0.1", 0))
    yield opened
    opened.close()


@pytest.mark.parametrize(
    ("data", "status", "says"),
    [
        (request("GET", "/-/ready"), 200, "\r\n\r\nready\n"),
        (request("GET", "/-/ready?x=1"), 200, "\r\n\r\nready\n"),
        (request("POST", "/-/ready"), 405, "Allow: GET\r\n"),
        (request("GET", "/-/drain"), 405, "Allow: POST\r\n"),
        (request("HEAD", "/-/ready"), 405, "Allow: GET\r\n"),
        (request("GET", "/"), 404, "/-/ready"),
        (b"rubbish\r\n\r\n", 400, ""),
        (b"\x16\x03\x01" + bytes(200) + b"\r\n\r\n", 400, ""),
        (b"GET /-/ready HTTP/1.1\r\n\r\n", 400, ""),  # no Host
        (b"POST /-/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n" + bytes(9000), 413, ""),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 9000, 413, ""),
    ],
)
def test_each_call_gets_one_answer_and_an_end(
    server: ManagementServer, data: bytes, status: int, says: str
) -> None:
    with socket.create_connection(("127.0.0.1", server.port), timeout=30) as sock:
        sock.sendall(data)
        told = read_all(sock).decode()
    assert told.startswith(f"HTTP/1.1 {status} ") and says in told and "Connection: close\r\n" in told


def test_a_call_may_come_byte_by_byte(server: ManagementServer) -> None:
    with socket.create_connection(("127.0.0.1", server.port), timeout=30) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for byte in request("GET", "/-/ready"):
            sock.sendall(bytes([byte]))
        assert read_all(sock).startswith(b"HTTP/1.1 200 ")


def test_callers_that_stall_keep_nobody_out_and_are_let_go(
    server: ManagementServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    with ExitStack() as stack:
        stalled = []
        for _ in range(4 * management.CALLERS):
            sock = socket.create_connection(("127.0.0.1", server.port), timeout=30)
            stalled.append(stack.enter_context(sock))
            sock.sendall(b"GET /-/re")
        for _ in range(3):
            assert ask(server.port, request("GET", "/-/ready"))[0] == 200
        assert len(server.callers) <= management.CALLERS
        for sock in stalled:  # the ones left are ended by their deadline
            with pytest.raises(ConnectionError):
                read_all(sock)
                raise ConnectionError  # an orderly end will do
        while server.callers:
            time.sleep(0.005)


def test_the_door_answers_while_the_relays_loop_is_held_up(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as (_, _, host):
            assert host.management is not None
            told: list[int] = []
            done = threading.Event()

            def operator() -> None:
                for method, path in (("GET", "/-/ready"), ("GET", "/-/metrics"), ("POST", "/-/drain")):
                    told.append(ask(host.management.port, request(method, path))[0])  # type: ignore[union-attr]
                done.set()

            threading.Thread(target=operator, daemon=True).start()
            assert done.wait(30)  # this holds the loop: an answer from there would never come
            assert told == [200, 200, 200] and host.draining

    run(work())


def test_ready_says_no_before_the_start_is_over_and_while_stopping(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as (_, _, host):
            assert (await call(host, "GET", "/-/ready"))[0] == 200
            host.ready = False
            assert (await call(host, "GET", "/-/ready")) == (503, "takes no clients: starting\n")
            host.ready, host.stopping = True, True
            assert (await call(host, "GET", "/-/ready")) == (503, "takes no clients: stopping\n")

    run(work())


def test_figures_count_each_message_once_where_it_ends(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as (agent, server, host), Client(host.ingress.port) as client:
            begun = await figures(host)
            assert begun.pop("resident_bytes") > 0 and begun.pop("longest_client_turn_us") >= 0
            assert begun.pop("longest_loop_pause_ms") >= 0 and begun.pop("journal_bytes") > 0
            assert begun.pop("folder_bytes") > 0
            assert begun == {
                **{
                    f"{what}.{name}": 0
                    for what in ("ok", "shed", "errors", "tries")
                    for name in ("keyed", "unsafe", "safe")
                },
                "active": 0,
                "pool_size": 1,
                "pool_ejected": 0,
                "accepted_bytes": 0,
                "receiving_bytes": 0,
                "journal_live_bytes": 0,
                "failed_compactions": 0,
                "removed_spares": 0,
                "unknown_records": 0,
                **{f"refused.{why}": 0 for why in Refusal},
                **{f"unsolicited.{peer}.{position}": 0 for peer in Peer for position in Position},
                **{f"breaches.{rule}": 0 for rule in Rule},
            }
            assert await client.ask(message("a")) == 202
            await until(lambda: host.journal.entries["a"].end == "delivered")
            assert await client.ask(message("a")) == 202  # the same one again
            server.script.append(answer(500))
            assert await client.ask(message("b", "unsafe")) == 202
            assert (await agent.notices.get())["state"] == "failed"
            server.hold = asyncio.Event()
            assert await client.ask(message("c", "keyed")) == 202
            await until(lambda: len(server.seen) == 3)
            seen = await figures(host)
            counted = {name: value for name, value in seen.items() if name not in MEMORY_GAUGES}
            assert {name: value for name, value in counted.items() if value and "pool" not in name} == {
                "ok.safe": 1,
                "errors.unsafe": 1,
                "tries.safe": 1,
                "tries.unsafe": 1,
                "tries.keyed": 1,
                "active": 1,
            }
            server.hold.set()
            await until(lambda: not host.held)
            seen = await figures(host)
            assert (seen["ok.keyed"], seen["active"]) == (1, 0)

    run(work())


def test_what_is_refused_or_handed_back_counts_as_shed(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as (agent, server, host), Client(host.ingress.port) as client:
            server.hold = asyncio.Event()
            assert await client.ask(message("m", left=1)) == 202  # too late for any try: handed back
            assert await agent.notices.get() == {"id": "m", "state": "returned"}
            assert (await figures(host))["shed.safe"] == 1
            host.journal.budget = DiskBudget(0)  # the folder is full
            assert await client.ask(message("n", "keyed")) == 503
            assert (await figures(host))["shed.keyed"] == 1
            host.journal.budget = DiskBudget(3_000_000)
            host.settings = replace(host.settings, hold=1)
            assert await client.ask(message("p", "keyed")) == 202
            await server.came.get()
            assert await client.ask(message("o", "keyed")) == 503
            assert (await figures(host))["shed.keyed"] == 2
            server.hold.set()

    run(work())


def test_the_figures_of_a_class_that_is_not_known_do_no_harm() -> None:
    figures = Figures(["c"])
    figures.ended("other", "delivered")
    figures.ended("c", "over")
    assert all(value == 0 for value in figures.counts.values())


def test_an_endpoint_that_is_avoided_is_the_modules_to_tell() -> None:
    driver = Driver()
    driver.listed((1, 1), (2, 2))
    driver.warm_up(1)
    assert driver.relay.ejections.ejected(driver.now) == set()
    for _ in range(2):
        ident = driver.message(SAFE, 2)
        driver.pass_time(1000)
        driver.answer(ident, api.Outcome.CONNECT_FAILED)
        assert driver.relay.ejections.ejected(driver.now) == {2}


def test_a_drain_sends_clients_away_and_a_resume_takes_them_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ingress, "PART_S", 0.0)

    async def work() -> None:
        async with world(tmp_path) as (_, server, host):
            port = host.ingress.port
            async with Client(port) as idle, Client(port) as busy:
                for client in (idle, busy):
                    assert await client.ask(HEALTH) == 200
                head, body = message("m").split(b"\r\n\r\n")
                busy.writer.write(head)  # a request that has begun
                await asyncio.sleep(0)
                for _ in range(2):  # again does no harm
                    assert (await call(host, "POST", "/-/drain")) == (200, "draining\n")
                assert await idle.reader.read() == b""
                busy.writer.write(b"\r\n\r\n" + body)
                assert await busy.status() == 202 and "connection: close" in busy.head
                assert await busy.reader.read() == b""
            async with Client(port) as late:
                assert await late.ask(HEALTH) == 503 and "connection: close" in late.head
            async with Client(port) as late:
                assert await late.ask(message("n")) == 202  # taken on all the same: nobody is turned away
            await until(lambda: {seen.headers["x-trace-id"] for seen in server.seen} == {"m", "n"})
            assert (await call(host, "GET", "/-/ready"))[0] == 503
            for _ in range(2):
                assert (await call(host, "POST", "/-/resume")) == (200, "serving\n")
            assert (await call(host, "GET", "/-/ready"))[0] == 200
            async with Client(port) as back:
                for _ in range(3):
                    assert await back.ask(HEALTH) == 200 and "connection: close" not in back.head

    run(work())


def test_a_drain_and_a_stop_may_both_come(tmp_path: Path) -> None:
    async def work() -> None:
        async with world(tmp_path) as (_, server, host), Client(host.ingress.port) as client:
            server.hold = asyncio.Event()
            assert await client.ask(message("m")) == 202
            await server.came.get()
            await call(host, "POST", "/-/drain")
            stop = asyncio.create_task(host.stop())
            await until(lambda: host.stopping)
            assert (await call(host, "POST", "/-/resume"))[0] == 200
            server.hold.set()
            await stop
            assert host.journal.entries["m"].end == "delivered"

    run(work())


def test_mgmt_is_read_from_the_file_and_before_it_from_the_environment(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(tmp_path, Agent(address=("127.0.0.1", 1)), mgmt="127.0.0.1:12000")))
    assert load({"RELAY_CONFIG": str(path)}).mgmt == ("127.0.0.1", 12000)
    assert load({"RELAY_CONFIG": str(path), "RELAY_MGMT": "127.0.0.2:9"}).mgmt == ("127.0.0.2", 9)
    with pytest.raises(ConfigError):
        load({"RELAY_CONFIG": str(path), "RELAY_MGMT": "here"})
