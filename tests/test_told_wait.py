"""A told wait binds its whole destination from when it is read, whatever becomes of its answer's rest."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any

import pytest

from linnetstile import interface as api
from linnetstile.control import Relay
from linnetstile.net import clock
from linnetstile.net import egress as egress_module
from linnetstile.net.discovery import Directory, Known
from linnetstile.net.egress import Call
from linnetstile.net.journal import Journal
from linnetstile.net.link import Link
from linnetstile.net.replacement import Replacement

from .conftest import Driver
from .loopback import Client, message, run, until
from .test_crossings import BULK, World
from .test_egress import egress

WAIT = b"X-RateLimit-Wait-Ms: 6000\r\n"


class Held:
    """Lets a relay's second connection to its endpoint come up only once `go` is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.go, self.connecting, self.opened = asyncio.Event(), asyncio.Event(), 0
        connect, received = egress_module.Egress._connect, Link.data_received

        async def later(calls: egress_module.Egress, address: tuple[str, int]) -> Link:
            self.opened += 1
            if self.opened > 1:
                self.connecting.set()
                await self.go.wait()
            return await connect(calls, address)

        def came(link: Link, data: bytes) -> None:
            received(link, data)
            if data.startswith(b"HTTP/1.1 429") or b"Wait-Ms" in data:
                self.go.set()

        monkeypatch.setattr(egress_module.Egress, "_connect", later)
        monkeypatch.setattr(Link, "data_received", came)


@pytest.mark.parametrize(
    "told",
    [
        b"HTTP/1.1 429 X\r\n" + WAIT + b"Content-Length: 9\r\n\r\n",  # and then nothing
        b"HTTP/1.1 429 X\r\n" + WAIT + b"Content-Length: 9\r\n\r\nx",  # a byte at a time
        b"HTTP/1.1 503 X\r\n" + WAIT + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"HTTP/1.1 429 X\r\n" + WAIT,  # a head that is still coming
        b"HTTP/1.1 429 X\r\n",  # a first line: what follows may tell a wait
    ],
)
def test_no_call_begins_once_the_head_that_tells_a_wait_has_come(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, told: bytes
) -> None:
    """The other message's connection comes up in the very turn; the answer's rest never comes."""

    async def work() -> None:
        async with World(tmp_path) as world:
            held = Held(monkeypatch)
            host, world.server.hold = world.host, asyncio.Event()
            world.server.script.append(told)
            async with Client(host.ingress.port) as client:
                assert await client.ask(message("refused")) == 202
                await world.server.came.get()
                assert await client.ask(message("ready")) == 202
                await held.connecting.wait()
                world.server.hold.set()
                number = host.numbers["ready"]
                await until(lambda: number not in host.held or host.held[number].call is None)
            assert [seen.headers["x-trace-id"] for seen in world.server.seen] == ["refused"]
            await until(lambda: host.relay.board.held[number].out is None)  # the module has heard of it
            assert host.relay.board.held[number].tries == 0  # nothing of it has left

    run(work())


def test_a_wait_holds_though_its_answer_is_reset(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        async with World(tmp_path) as world:
            host, lost = world.host, asyncio.Event()
            world.server.script.append(b"HTTP/1.1 429 X\r\n" + WAIT + b"Content-Length: 9\r\n\r\n")
            ended = Link.connection_lost

            def hook(link: Link, error: Exception | None) -> None:
                ended(link, error)
                lost.set()

            monkeypatch.setattr(Link, "connection_lost", hook)
            async with Client(host.ingress.port) as client:
                assert await client.ask(message("refused")) == 202
                await until(lambda: bool(links(host)))
                world.server.writers[0].transport.abort()
                await lost.wait()
                assert host.relay.lanes[7][-1].wait_until > host.now() + 5000
                assert await client.ask(message("ready")) == 202
                host._step()
                assert host.held[host.numbers["ready"]].call is None

    run(work())


def links(host: Any) -> list[int]:
    """Messages of calls whose answers have told a wait."""
    return [ident for ident, held in host.relay.board.held.items() if held.call and held.call.told_at]


def test_the_wait_in_the_answer_of_a_shared_call_binds_before_its_body(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async with World(tmp_path, BULK) as world:
            host = world.host
            world.server.script.append(b"HTTP/1.1 200 X\r\n" + WAIT + b"Content-Length: 99\r\n\r\n")
            async with Client(host.ingress.port) as one, Client(host.ingress.port) as two:
                host._feed, feed = (lambda event: host.events.append(event)), host._feed  # type: ignore
                assert await one.ask(message("a")) == await two.ask(message("b")) == 202
                host._feed = feed  # type: ignore[method-assign]
                host._step()
                await world.server.came.get()
                await until(lambda: bool(host.relay.lanes[7][-1].telling) or bool(links(host)))
                assert await one.ask(message("c")) == 202
                host._step()
            assert host.held[host.numbers["c"]].call is None and len(world.server.seen) == 1

    run(work())


def test_a_call_that_is_not_whole_in_the_socket_asks_again_before_its_last_byte() -> None:
    """What the socket can't take at once leaves later: a wait that is told in between still holds it."""

    async def work() -> None:
        got = bytearray()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while piece := await reader.read(1 << 16):
                got.extend(piece)
            ended.set()

        ended = asyncio.Event()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        asked = list[bool]()

        def may_write() -> bool:
            asked.append(True)
            return len(asked) == 1  # a wait is told once the first byte has left

        address = server.sockets[0].getsockname()[:2]
        soon, body = asyncio.get_running_loop().time() + 20, b"x" * (egress_module.AT_ONCE_BYTES + 1)
        answer = await egress().call(Call(1, address, "id", None, body, soon, may_write))
        await ended.wait()
        assert answer.outcome is api.Outcome.NOT_SENT and len(asked) == 2
        assert got.endswith(body[:-1]) and not got.endswith(body)

    run(work())


def refused_call() -> tuple[Driver, int]:
    d = Driver()
    d.listed((11, 1))
    d.warm_up()
    return d, d.message()


def test_the_wait_counts_from_its_head_and_not_from_the_answers_end() -> None:
    """An answer whose end comes a second later would hold its destination for that second more."""
    d, first = refused_call()
    begun, lane = d.now, d.relay.lanes[1][-1]
    d.feed(api.WaitTold(first, 500.0))
    assert lane.wait_until == begun + 500.0
    d.pass_time(1000)
    d.answer(first, api.Outcome.FULL, wait=500.0)
    assert 0 < lane.wait_until - begun - 500.0 < 200.0  # the growing, jittered pause comes after it


@pytest.mark.parametrize("wait", [None, 500.0])
def test_nothing_goes_to_a_destination_whose_answer_tells_or_may_tell_a_wait(wait: float | None) -> None:
    d, first = refused_call()
    ready = d.message()
    assert d.out.keys() == {first, ready}
    d.feed(api.WaitTold(first, wait))
    assert not d.relay.may_write(d.now, ready)  # its connection comes up now
    other = d.message()
    d.pass_time(400)
    assert other not in d.tries
    d.answer(first, api.Outcome.FULL)
    d.pass_time(200)
    assert other in d.tries


def waits_until(relay: Relay) -> float:
    return relay.lanes[1][-1].wait_until


def test_a_wait_told_before_another_process_appeared_or_right_before_a_kill_binds_the_one_that_lives(
    tmp_path: Path,
) -> None:
    """Guards against a process that is killed before it hands its calls over."""
    drivers, followers = list[Driver](), list[Replacement]()
    for seed in (1, 2):
        driver = Driver(seed=seed, now=clock.now_ms())
        directory = Directory((), ())
        directory.by_number[1] = Known("s-1", api.Endpoint(1, 1, api.Listing.READY), ("127.0.0.1", 1))

        def turn(events: list[api.Event], driver: Driver = driver) -> None:
            driver.feed(*events)

        driver.listed((1, 1))
        drivers.append(driver)
        journal = Journal(tmp_path, 3_000_000)
        followers.append(Replacement(journal, driver.relay, directory, turn, lambda _: None, lambda _: None))
        if seed == 1:
            driver.answer(driver.message(), api.Outcome.FULL, wait=5000.0)
            first_ms = waits_until(driver.relay)
            assert first_ms > driver.now
    (old, new), (old_follows, new_follows) = drivers, followers
    new_follows.follow()
    assert waits_until(new.relay) < first_ms
    old_follows.follow()
    new_follows.follow()
    assert waits_until(new.relay) == first_ms
    old.relay.lanes[1][-1].wait_until = first_ms + 1000.0
    old_follows._say_lanes({1})
    os.close(old_follows.journal.file)  # killed, before the other has read that
    new_follows.follow()
    assert waits_until(new.relay) == first_ms + 1000.0
    new_follows.journal.close()
