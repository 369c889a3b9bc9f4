"""An end is told in time though connections to the platform fall silent, answer late or break."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import pytest

from linnetstile import connection_reuse
from linnetstile.net import link as link_module
from linnetstile.net import outcomes
from linnetstile.net.agent import Agent as AgentLink
from linnetstile.net.agent import AgentError, Silent
from linnetstile.net.link import Link
from linnetstile.net.outcomes import Notices

from .loopback import Agent, answer, run, until
from .memory_transport import Behaviour, MemoryTransport, Peer, polled
from .virtual_time import run_virtual

TOO_LATE_S = 0.32  # from the notice until its message counts as lost: 20 ms before its time, 300 ms after


class Platform:
    """What connections do, in the order in which they are first used: "silent", "late", "reset" or "well"."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *does: str) -> None:
        self.does, self.kept = deque(does), dict[int, str]()
        self.came: dict[str, float] = {}
        self.requests = 0
        platform = self

        async def ask(link: AgentLink, method: str, target: str, body: bytes, s: float) -> tuple[int, bytes]:
            does = platform.kept.get(id(link)) or (platform.does.popleft() if platform.does else "well")
            platform.kept[id(link)] = does
            platform.requests += 1
            now = asyncio.get_running_loop().time
            if does in ("silent", "late"):
                await asyncio.sleep(s if does == "silent" else min(s, 0.3))
                platform.kept[id(link)] = ""
                if does == "silent":
                    raise Silent("no answer")
            elif does == "reset":
                platform.kept[id(link)] = ""
                raise AgentError("the connection broke")
            for line in body.splitlines():
                platform.came.setdefault(line.decode().split('"')[3], now())
            return 204, b""

        monkeypatch.setattr(AgentLink, "ask", ask)


@pytest.mark.parametrize(
    "does",
    [
        ("silent",),
        ("silent", "silent"),
        ("late",),
        ("late", "silent"),
        ("reset",),
        ("silent", "reset"),
    ],
)
def test_an_end_is_told_in_time_whatever_the_first_connections_do(
    does: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("random.uniform", lambda low, high: high)  # the longest pauses

    async def work() -> None:
        platform, told = Platform(monkeypatch, *does), list[str]()
        notices = Notices(AgentLink(("127.0.0.1", 1)), told.extend)
        task = asyncio.ensure_future(notices.run())
        notices.add("a", "failed")
        await asyncio.sleep(0.01)
        notices.add("b", "failed")  # while the first request is out
        await asyncio.sleep(5.0)
        assert platform.came.keys() == {"a", "b"} and sorted(told) == ["a", "b"]
        assert platform.came["a"] < TOO_LATE_S and platform.came["b"] < 0.01 + TOO_LATE_S
        assert not notices.waiting and len(notices.free) == outcomes.WAYS
        task.cancel()

    run_virtual(work())


def test_a_platform_that_says_nothing_is_not_asked_ever_faster(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        platform = Platform(monkeypatch, *["silent"] * 1000)
        notices = Notices(AgentLink(("127.0.0.1", 1)), lambda idents: None)
        task = asyncio.ensure_future(notices.run())
        for n in range(500):
            notices.add(str(n), "failed")
        await asyncio.sleep(10.0)
        assert platform.requests <= outcomes.WAYS * 10.0 / outcomes.ANSWER_S
        task.cancel()

    run_virtual(work())


def test_a_notice_goes_out_again_while_its_first_answer_is_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """On sockets: the first connection takes it and never answers, and is waited for as long as this runs."""
    monkeypatch.setattr(outcomes, "ANSWER_S", 600.0)
    monkeypatch.setattr(connection_reuse, "REST_S", 0.0)  # the connection that has answered is ready at once

    async def work() -> None:
        agent, told = Agent(script=deque([None])), list[str]()
        await agent.start()
        notices = Notices(AgentLink(agent.address), told.extend)
        task = asyncio.ensure_future(notices.run())
        notices.add("a", "failed")
        assert await agent.notices.get() == {"id": "a", "state": "failed"}
        await until(lambda: told == ["a"])
        assert agent.opened == 2 and agent.seen[0].body == agent.seen[1].body
        notices.add("b", "failed")  # over the connection that has answered
        await until(lambda: told == ["a", "b"])
        assert agent.opened == 2
        task.cancel()
        notices.close()
        await until(agent.left)

    run(work())


def test_an_answer_that_comes_twice_tells_of_an_end_once() -> None:
    async def work() -> None:
        agent, told, both = Agent(), list[str](), asyncio.Event()

        async def reply(seen: Any) -> bytes:
            agent.seen.append(seen)
            if len(agent.seen) == 2:
                both.set()
            await both.wait()
            return answer(204)

        agent.reply = reply  # type: ignore[method-assign]
        await agent.start()
        notices = Notices(AgentLink(agent.address), told.extend)
        task = asyncio.ensure_future(notices.run())
        notices.add("a", "failed")
        await until(lambda: len(notices.free) == outcomes.WAYS and bool(told))
        assert told == ["a"] and len(agent.seen) == 2
        task.cancel()
        notices.close()

    run(work())


@pytest.mark.parametrize("fails", [4, 12])
def test_a_new_end_does_not_wait_out_the_pause_of_failures_before_it(
    fails: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests over several connections fail at one moment: each of them makes the next pause longer."""
    monkeypatch.setattr("random.uniform", lambda low, high: high)  # the longest pauses

    async def work() -> None:
        platform, told = Platform(monkeypatch, *["reset"] * fails), list[str]()
        notices = Notices(AgentLink(("127.0.0.1", 1)), told.extend)
        task = asyncio.ensure_future(notices.run())
        for number in range(fails):
            notices.add(f"old-{number}", "failed")
            await asyncio.sleep(0)
        while platform.does:
            await asyncio.sleep(0.001)
        begun = asyncio.get_running_loop().time()
        notices.add("new", "failed")
        await asyncio.sleep(5.0)
        assert platform.came["new"] - begun < TOO_LATE_S
        task.cancel()

    run_virtual(work())


@pytest.mark.parametrize("kept", [3, 4])
def test_an_end_is_told_in_time_though_all_kept_connections_fall_silent(
    kept: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        platform = Platform(monkeypatch, *["silent"] * kept)
        notices = Notices(AgentLink(("127.0.0.1", 1)), lambda idents: None)
        for way in notices.ways[:kept]:
            platform.kept[id(way)] = "silent"  # until it is closed
        platform.does.clear()
        task = asyncio.ensure_future(notices.run())
        notices.add("a", "failed")
        await asyncio.sleep(5.0)
        assert platform.came["a"] < TOO_LATE_S
        task.cancel()

    def close(link: AgentLink) -> None:
        kept_by_id.pop(id(link), None)

    kept_by_id: dict[int, str] = {}
    monkeypatch.setattr(AgentLink, "close", close)
    monkeypatch.setattr(Platform, "__init__", with_kept(kept_by_id))
    run_virtual(work())


def with_kept(kept: dict[int, str]) -> Any:
    """A platform whose connections are forgotten as they are closed: a new one does well."""
    made = Platform.__init__

    def init(platform: Platform, monkeypatch: pytest.MonkeyPatch, *does: str) -> None:
        made(platform, monkeypatch, *does)
        platform.kept = kept

    return init


def connect(peer: Peer, monkeypatch: pytest.MonkeyPatch) -> list[MemoryTransport]:
    opened: list[MemoryTransport] = []

    async def open_link(address: tuple[str, int], body_bytes: int) -> Link:
        link = await peer.open(body_bytes)
        assert isinstance(link.transport, MemoryTransport)
        opened.append(link.transport)
        return link

    monkeypatch.setattr(link_module, "polled", polled)
    monkeypatch.setattr(Link, "open", open_link)
    return opened


@pytest.mark.parametrize("ends", [False, True])
def test_a_notice_is_told_again_where_its_answer_may_have_been_another_answers_copy(
    monkeypatch: pytest.MonkeyPatch, ends: bool
) -> None:
    """Its connection brings bytes, or ends, right behind it. The first answer on one is beyond doubt."""

    async def work() -> None:
        peer = Peer(Behaviour(0.0, 0.0, (answer(204),), b"", 0.0))
        opened = connect(peer, monkeypatch)
        notices = Notices(AgentLink(("127.0.0.1", 1)), lambda idents: None)
        task = asyncio.ensure_future(notices.run())
        for ident in ("a", "b", "c"):
            notices.add(ident, "failed")
            await asyncio.sleep(1.0)
            if ends:
                opened[-1]._reset()
            else:
                opened[-1]._received(answer(204))
            await asyncio.sleep(1.0)
        notices.add("d", "failed")
        await asyncio.sleep(1.0)
        notices.add("e", "failed")
        await asyncio.sleep(0.1)
        opened[-1]._reset()
        await asyncio.sleep(1.0)
        idents = [body.split(b'"')[3].decode() for body in peer.whole]
        assert idents == ["a", "b", "c", "d", "e", "e"]
        task.cancel()

    run_virtual(work())


def test_a_notice_does_not_wait_until_a_connection_has_rested(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        peer = Peer(Behaviour(0.0, 0.0, (answer(204),), b"", 0.0))
        opened = connect(peer, monkeypatch)
        told: list[str] = []
        notices = Notices(AgentLink(("127.0.0.1", 1)), told.extend)
        task = asyncio.ensure_future(notices.run())
        for number in range(2 * outcomes.WAYS):
            notices.add(str(number), "failed")
            await asyncio.sleep(0.0101)  # the peer takes 0.01 s
            assert len(told) == number + 1
        assert 1 < len(opened) < outcomes.WAYS, "those that have rested are used again"
        task.cancel()

    run_virtual(work())


def test_a_notice_waits_for_a_rest_that_is_shorter_than_a_new_connection_takes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work() -> None:
        peer = Peer(Behaviour(0.015, 0.0, (answer(204),), b"", 0.0))
        opened = connect(peer, monkeypatch)
        told: list[str] = []
        notices = Notices(AgentLink(("127.0.0.1", 1)), told.extend)
        task = asyncio.ensure_future(notices.run())
        notices.add("first", "failed")
        while not told:
            await asyncio.sleep(0.001)
        notices.add("second", "failed")
        await asyncio.sleep(0.07)
        assert told == ["first", "second"] and len(opened) == 1
        task.cancel()

    run_virtual(work())


def test_ends_are_told_in_time_once_all_kept_connections_have_fallen_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards a clump of ends against first tries that hold every connection: review/6."""
    path_s, gap_s, ends = 0.019, 0.006, 24
    new, came = set[AgentLink](), dict[str, float]()
    began_s = dict[str, float]()

    async def ask(link: AgentLink, method: str, target: str, body: bytes, s: float) -> tuple[int, bytes]:
        loop = asyncio.get_running_loop()
        if link not in new:
            await asyncio.sleep(s)
            new.add(link)
            raise Silent("no answer")
        await asyncio.sleep(3 * path_s)  # the handshake, and the way there
        for line in body.splitlines():
            came.setdefault(line.decode().split('"')[3], loop.time())
        await asyncio.sleep(path_s)
        return 204, b""

    monkeypatch.setattr(AgentLink, "ask", ask)
    monkeypatch.setattr(AgentLink, "close", lambda link: new.add(link))

    async def work() -> None:
        loop = asyncio.get_running_loop()
        notices = Notices(AgentLink(("127.0.0.1", 1)), lambda idents: None)
        task = asyncio.ensure_future(notices.run())
        for number in range(ends):
            began_s[str(number)] = loop.time()
            notices.add(str(number), "returned")
            await asyncio.sleep(gap_s)
        await asyncio.sleep(5.0)
        assert came.keys() == began_s.keys() and not notices.waiting and len(notices.free) == outcomes.WAYS
        latest_s = max(came[ident] - began_s[ident] for ident in came)
        assert latest_s < TOO_LATE_S, f"told after {latest_s:.2f} s"
        task.cancel()

    run_virtual(work())
