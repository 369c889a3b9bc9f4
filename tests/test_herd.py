"""Many relays that start at one moment: what they ask of discovery is spread, and asked once."""

from __future__ import annotations

import asyncio

import pytest

from linnetstile.net import discovery
from linnetstile.net.agent import Agent as AgentLink
from linnetstile.net.discovery import Directory, Watch

from .loopback import Agent, answer, listing, run, until


@pytest.mark.parametrize(("relays", "most"), [(1, 0.12), (8, 0.96), (48, 5.0)])
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


@pytest.mark.parametrize(("relays", "least"), [(2, 0.05), (40, 4.0)])
def test_calls_that_discovery_turned_away_come_again_spread_by_the_size_of_the_fleet(
    relays: int, least: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Discovery works off also those that it turned away: a fleet that asks again at once is never heard."""
    waits: dict[bool, list[float]] = {True: [], False: []}

    async def pauses(late: bool) -> None:
        async def sleep(seconds: float) -> None:
            waits[late].append(seconds)
            if len(waits[late]) > 2:
                await asyncio.get_running_loop().create_future()

        agent = Agent()
        await agent.start()
        agent.changes.put_nowait(answer(503))
        agent.changes.put_nowait(answer(503))
        watch = Watch(AgentLink(agent.address), Directory((), ()), lambda event: None, relays)
        with monkeypatch.context() as patch:
            patch.setattr("random.uniform", lambda low, high: high if late else low)
            patch.setattr("asyncio.sleep", sleep)
            task = asyncio.create_task(watch.run())
            while len(waits[late]) < 3:
                await asyncio.wait([task], timeout=0.001)
        task.cancel()

    run(pauses(True))
    run(pauses(False))
    for first, latest in list(zip(waits[False], waits[True], strict=True))[1:]:  # after the first call
        assert latest >= least and first <= latest / 10
    assert waits[True][2] >= waits[True][1]


def test_a_process_or_an_agent_that_takes_over_is_not_kept_waiting_for_news() -> None:
    async def work() -> None:
        agent = Agent()
        await agent.start()
        replaced, moved = (Watch(AgentLink(agent.address), Directory((), ()), lambda event: None, 40)
                           for _ in range(2))
        replaced.hurry()
        moved.move(AgentLink(agent.address))
        assert replaced.spread_s == moved.spread_s <= 2.0
    run(work())


def test_a_watch_that_fell_silent_is_noticed_and_begun_anew_before_what_it_misses_counts_as_told(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also in a fleet whose watches all fell silent, and however long discovery lets the new call wait. On
    sockets that say nothing, with the waits as the relay chose them and the clock left out."""
    asked, slept = list[tuple[str, float]](), list[float]()

    async def ask(self: AgentLink, method: str, target: str, body: bytes, wait: float) -> tuple[int, bytes]:
        asked.append((target, wait))
        return await real_ask(self, method, target, body, wait if len(asked) < 4 else 0.01)

    async def sleep(seconds: float) -> None:
        slept.append(seconds)
        await real_sleep(0)

    async def work() -> None:
        agent = Agent()
        await agent.start()
        watch = Watch(AgentLink(agent.address), Directory((), ()), lambda event: None, 200)
        for generation in (1, 2, 3):
            agent.tell(listing(generation=generation))
        task = asyncio.create_task(watch.run())
        await until(lambda: len(asked) == 6)
        task.cancel()

    real_ask, real_sleep = AgentLink.ask, asyncio.sleep
    monkeypatch.setattr(AgentLink, "ask", ask)
    monkeypatch.setattr("asyncio.sleep", sleep)
    monkeypatch.setattr("random.uniform", lambda low, high: high)
    run(work())
    goes_on, begins, again = asked[3:6]
    pause, second = [each for each in slept if each > 0.005][1:3]  # less the first call's and the test's
    assert "from=3" in goes_on[0] and begins[0] == again[0] != goes_on[0]
    assert goes_on[1] > 2.0 and begins[1] > 2.0
    assert goes_on[1] + pause + 2.0 + 0.1 <= 6.0  # the new call may be kept waiting for 2 s
    assert begins[1] + second + 2.0 + 0.1 <= 6.0  # and may fall silent as well


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
