"""Many relays that start at one moment: what they ask of discovery is spread, and asked once."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections import deque

import pytest

from linnetstile.net import discovery
from linnetstile.net.agent import Agent as AgentLink
from linnetstile.net.agent import Silent
from linnetstile.net.discovery import Directory, Watch
from linnetstile.net.link import PLATFORM_READ_BYTES, Link

from .loopback import Agent, answer, listing, run, until
from .virtual_time import run_virtual

TOLD_S = 6.0  # a change counts as told so long after discovery had it and could be reached
KEPT_S = 2.0  # so long discovery lets a call wait
ENTRIES = 400  # of a list, 170 bytes each


@pytest.mark.parametrize(("relays", "most"), [(1, 0.12), (8, 0.96), (48, 3.85), (1900, 3.85)])
def test_first_calls_of_a_fleet_are_spread_by_its_size(
    relays: int, most: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    asked: list[tuple[float, float]] = []
    waits: list[float] = []
    woken = asyncio.Event()

    def uniform(low: float, high: float) -> float:
        asked.append((low, high))
        return high

    async def sleep(seconds: float) -> None:
        waits.append(seconds)
        await woken.wait()

    async def work() -> None:
        agent = Agent()
        await agent.start()
        watch = Watch(AgentLink(agent.address), Directory((), ()), lambda event: None, relays)
        with monkeypatch.context() as patch:
            patch.setattr("random.uniform", uniform)
            patch.setattr("asyncio.sleep", sleep)
            task = asyncio.create_task(watch.run())
            while not waits:
                await asyncio.wait([task], timeout=0.001)
        assert asked == [(0.0, waits[0])] and waits == pytest.approx([most]) and not agent.seen
        woken.set()
        await until(lambda: len(agent.seen) == 1)
        agent.tell(listing())
        await until(lambda: len(agent.seen) == 2)  # the watch goes on at once, on the same connection
        assert agent.opened == 1 and len(waits) == 1
        task.cancel()

    run(work())


class InMemory(AgentLink):
    """Answers each call with the next of its script: a status, or the seconds after which it is given up."""

    def __init__(self, *script: int | float) -> None:
        super().__init__(("", 0))
        self.script = deque(script)
        self.calls: list[tuple[float, str, float]] = []  # when, what, and how long it would wait

    async def ask(self, method: str, target: str, body: bytes, seconds: float) -> tuple[int, bytes]:
        self.calls.append((asyncio.get_running_loop().time(), target, seconds))
        reply = self.script.popleft() if self.script else None
        if reply is None:
            await asyncio.get_running_loop().create_future()
        if isinstance(reply, float):
            await asyncio.sleep(min(reply, seconds))
            raise Silent("silent")
        return int(reply or 0), json.dumps(listing(generation=len(self.calls))).encode()

    async def play(self, watch: Watch) -> None:
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(10 * TOLD_S)  # the call behind the script is still out
        task.cancel()

    def gaps(self) -> list[float]:
        times = [when for when, _, _ in self.calls]
        return [round(later - earlier, 6) for earlier, later in itertools.pairwise(times)]


def gaps(relays: int, late: bool, monkeypatch: pytest.MonkeyPatch, *script: int | float) -> list[float]:
    """From the beginning of each call to that of the next, with the pauses at their shortest or longest."""
    agent = InMemory(*script)
    watch = Watch(agent, Directory((), ()), lambda event: None, relays)
    with monkeypatch.context() as patch:
        patch.setattr("random.uniform", lambda low, high: high if late else low)
        run_virtual(agent.play(watch))
    return agent.gaps()


@pytest.mark.parametrize(("relays", "least", "wide"), [(2, 0.05, 3), (40, 3.85, 1), (1900, 3.85, 1)])
def test_calls_that_discovery_turned_away_come_again_spread_by_the_size_of_the_fleet(
    relays: int, least: float, wide: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Discovery works off also those that it turned away: a fleet that asks again at once is never heard. But
    no pause is so long that a change comes late: the next call may be kept waiting for 2 s."""
    late, early = (gaps(relays, each, monkeypatch, 503, 503, 503) for each in (True, False))
    assert len(late) == len(early) == 3
    assert min(late) >= least and late == sorted(late) and early == sorted(early)
    for first, latest in list(zip(early, late, strict=True))[:wide]:  # all that fail at one moment come apart
        assert first <= latest / 10
    assert all(first < latest for first, latest in zip(early, late, strict=True))
    assert max(late) + KEPT_S + 0.1 <= TOLD_S


@pytest.mark.parametrize("relays", [1, 8, 40, 1900])
@pytest.mark.parametrize("took", [0.5, 2.0, 2.5])
def test_what_a_failed_call_took_is_no_longer_there_for_the_pause(
    relays: int, took: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Discovery may have returned just behind the call's beginning, whatever became of the call."""
    for script in [(took, took, took), (503, took, took, 503), (200, took, took, 503)]:
        longest = gaps(relays, True, monkeypatch, *script)
        assert len(longest) == len(script) and max(longest) + KEPT_S + 0.1 <= TOLD_S


def test_a_process_or_an_agent_that_takes_over_is_not_kept_waiting_for_news() -> None:
    async def work() -> None:
        agent = Agent()
        await agent.start()
        replaced, moved = (
            Watch(AgentLink(agent.address), Directory((), ()), lambda event: None, 40) for _ in range(2)
        )
        replaced.hurry()
        moved.move(AgentLink(agent.address))
        assert replaced.spread_s == moved.spread_s <= 2.0

    run(work())


def test_a_watch_that_fell_silent_is_noticed_and_begun_anew_before_what_it_misses_counts_as_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Also in a fleet whose watches all fell silent, and however long discovery lets the new call wait."""
    agent = InMemory(200, 200, 200, 9.0, 9.0)  # silent for longer than any call waits
    watch = Watch(agent, Directory((), ()), lambda event: None, 200)
    monkeypatch.setattr("random.uniform", lambda low, high: high)
    run_virtual(agent.play(watch))
    goes_on, begins, again = agent.calls[3:6]
    assert "from=3" in goes_on[1] and begins[1:] == again[1:] != goes_on[1:]
    assert goes_on[2] > KEPT_S and begins[2] > KEPT_S
    assert begins[0] - goes_on[0] > goes_on[2] and again[0] - begins[0] > begins[2]  # not all at once
    assert begins[0] - goes_on[0] + KEPT_S + 0.1 <= TOLD_S  # the new call may be kept waiting for 2 s
    assert again[0] - begins[0] + KEPT_S + 0.1 <= TOLD_S  # and may fall silent as well


def test_a_list_that_is_pushed_is_asked_for_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """What the agent has counts as told from the first moment, and at its return."""
    waits = list[float]()

    async def sleep(seconds: float) -> None:
        waits.append(seconds)
        await real_sleep(0)

    async def work() -> None:
        agent = Agent()
        await agent.start()
        for _ in range(5):
            agent.changes.put_nowait(answer(503))
        watch = Watch(AgentLink(agent.address), Directory((), ()), lambda event: None, 200, pushed=True)
        task = asyncio.create_task(watch.run())
        while len(agent.seen) < 6:
            await asyncio.wait([task], timeout=0.001)
        task.cancel()

    real_sleep = asyncio.sleep
    monkeypatch.setattr("asyncio.sleep", sleep)
    monkeypatch.setattr("random.uniform", lambda low, high: high)
    run(work())
    assert len(waits) >= 6 and max(waits) < 0.1  # half of what a drain leaves


def test_discovery_is_given_longer_than_it_lets_a_call_wait() -> None:
    """Guards an overbooked discovery against relays that give up and ask again."""
    assert discovery.SILENT_S > 2.0


@pytest.mark.parametrize("chunk", [0, 4096])
def test_a_list_far_larger_than_a_mebibyte_is_taken_whole(chunk: int) -> None:
    """As 20,000 endpoints have it, in one piece or in the chunks in which servers write."""

    async def work() -> None:
        agent, heard = Agent(), asyncio.Event()
        await agent.start()
        item = {
            "hostPort": "127.0.0.1:9",
            "zone": "z",
            "machineType": "k",
            "cell": 7,
            "lifecycle": "ready",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        body = json.dumps(
            {
                "generation": 1,
                "reset": True,
                "instances": [{"instanceId": f"s-{n:08x}", **item} for n in range(20_000)],
            }
        ).encode()
        assert len(body) > 2 << 20
        if chunk:
            parts = [body[at : at + chunk] for at in range(0, len(body), chunk)]
            agent.changes.put_nowait(
                b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
                + b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in [*parts, b""])
            )
        else:
            agent.changes.put_nowait(answer(200, body=body.decode()))
        directory = Directory(("k",), ("z",))
        watch = Watch(AgentLink(agent.address), directory, lambda event: heard.set(), 1)
        task = asyncio.create_task(watch.run())
        await heard.wait()
        task.cancel()
        assert len(directory.by_name) == 20_000

    run(work())


@pytest.mark.parametrize("chunk", [1, 170])
def test_a_list_in_tiny_pieces_is_read_a_few_at_a_time(chunk: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a list that is passed over for its pieces, and a loop that stands still: review/9."""

    async def work() -> None:
        agent = Agent()
        await agent.start()
        body = b"x" * 170 * ENTRIES
        parts = [body[at : at + chunk] for at in range(0, len(body), chunk)]
        agent.changes.put_nowait(
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in [*parts, b""])
        )
        read, most_pieces = Link._read, 0

        def counted(link: Link, data: bytes) -> None:
            nonlocal most_pieces
            before = link.pieces
            read(link, data)
            most_pieces = max(most_pieces, link.pieces - before)

        monkeypatch.setattr(Link, "_read", counted)
        assert await AgentLink(agent.address).ask("GET", "/v1/servers", b"", 30.0) == (200, body)
        assert most_pieces <= PLATFORM_READ_BYTES // len(b"1\r\nx\r\n") + 2

    run(work())
