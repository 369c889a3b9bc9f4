"""Many relays that start at one moment: what they ask of discovery is spread, and asked once."""

from __future__ import annotations

import asyncio

import pytest

from linnetstile.net import discovery
from linnetstile.net.agent import Agent as AgentLink
from linnetstile.net.discovery import Directory, Watch

from .loopback import Agent, listing, run, until


@pytest.mark.parametrize(("relays", "most"), [(1, 0.02), (8, 0.16), (48, 0.5)])
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
        assert asked == [(0.0, most)] and waits == [most] and not agent.seen
        woken.set()
        await until(lambda: len(agent.seen) == 1)
        agent.tell(listing())
        await until(lambda: len(agent.seen) == 2)  # the watch goes on at once, on the same connection
        assert agent.opened == 1 and waits == [most]
        task.cancel()
    run(work())


def test_discovery_is_given_longer_than_it_lets_a_call_wait() -> None:
    """Guards an overbooked discovery against relays that give up and ask again."""
    assert discovery.SILENT_S > 1.0
