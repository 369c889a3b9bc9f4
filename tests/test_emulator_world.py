"""The emulated world: its clock, its discovery, its destinations, its rules; all on virtual time."""

from __future__ import annotations

import asyncio
import json
import random

import pytest

from linnetstile.emulator import clock
from linnetstile.emulator.discovery import Discovery, DiscoverySettings, Outage, item
from linnetstile.emulator.fleet_measures import discovery_return
from linnetstile.emulator.network import Delays, EmulatedAgent, Network
from linnetstile.net.agent import AgentError, Silent
from linnetstile.net.discovery import Directory, Watch


def network(cross_ms: float = 0.0) -> Network:
    return Network(Delays(same_ms=0.0, cross_ms=cross_ms, jitter=0.0), random.Random(1))


def discovery(calls_per_s: float = 10.0, wait_ms: float = 1000.0, cost: bool = True) -> Discovery:
    return Discovery(DiscoverySettings(calls_per_s, wait_ms, cost),
                     [item(f"s-{number}", number, "a", 5.0) for number in range(3)])


# -- the clock -----------------------------------------------------------------------------------------------


def test_the_clock_jumps_to_the_next_timer() -> None:
    async def work() -> list[float]:
        loop = asyncio.get_running_loop()
        seen = [loop.time()]
        await asyncio.sleep(86_400.0)
        seen.append(loop.time())
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.25):
                await loop.create_future()
        return [*seen, loop.time()]

    assert clock.run(work(), 1) == [0.0, 86_400.0, 86_400.25]


def test_a_run_in_which_nothing_can_happen_any_more_says_so() -> None:
    async def work() -> None:
        await asyncio.sleep(3.0)
        await asyncio.get_running_loop().create_future()

    with pytest.raises(clock.Deadlock, match=r"3\.000 s"):
        clock.run(work(), 1)


def test_a_run_ends_with_its_budget_of_turns() -> None:
    async def work() -> None:
        while True:
            await asyncio.sleep(0)

    with pytest.raises(clock.TurnsSpent):
        clock.run(work(), 1, most_turns=50)


def test_what_a_callback_raises_ends_the_run() -> None:
    async def work() -> None:
        asyncio.get_running_loop().call_later(1.0, [].pop)
        await asyncio.sleep(10.0)

    with pytest.raises(IndexError):
        clock.run(work(), 1)


def test_an_error_that_the_relay_only_logs_ends_the_run() -> None:
    def told(event: object) -> None:
        raise ZeroDivisionError

    async def work() -> None:
        watch = Watch(EmulatedAgent(network(), discovery(), 0, 0), Directory(("m1",), ("a",)), told)
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(20.0)
        task.cancel()

    with pytest.raises(ZeroDivisionError):
        clock.run(work(), 1)


def test_the_module_random_is_seeded_for_the_run_and_as_before_afterwards() -> None:
    async def work() -> float:
        return random.random()

    random.seed(5)
    drawn = [clock.run(work(), 1), clock.run(work(), 1), clock.run(work(), 2)]
    after = random.random()
    random.seed(5)
    assert drawn[0] == drawn[1] != drawn[2] and after == random.random()


# -- the network and discovery -------------------------------------------------------------------------------


def test_an_agent_hears_nothing_from_a_region_that_is_cut_off_and_an_answer_from_one_that_is_not() -> None:
    async def work() -> tuple[float, int, int]:
        net, served = network(cross_ms=30.0), discovery(calls_per_s=1000.0)
        agent, loop = EmulatedAgent(net, served, 1, 7), asyncio.get_running_loop()
        status, body = await agent.ask("GET", "/v1/servers", b"", 2.0)
        assert status == 200 and Directory(("m1",), ("a",)).apply(json.loads(body))
        took = loop.time()
        net.cut.add(1)
        with pytest.raises(Silent):
            await agent.ask("GET", "/v1/servers", b"", 2.0)
        net.cut.clear()
        asked = loop.create_task(agent.ask("GET", "/v1/servers?from=1&hold_ms=2000", b"", 3.0))
        await asyncio.sleep(1.0)
        net.cut.add(1)  # the answer is lost on its way
        with pytest.raises(Silent):
            await asked
        return took, agent.traffic.messages_out, agent.traffic.messages_in

    took, sent, heard = clock.run(work(), 1)
    assert took == pytest.approx(0.061) and (sent, heard) == (3, 1)


async def asked_at_once(served: Discovery, calls: int) -> list[tuple[float, int]]:
    net, loop = network(), asyncio.get_running_loop()

    async def ask(caller: int) -> tuple[float, int]:
        status, _ = await EmulatedAgent(net, served, 0, caller).ask("GET", "/v1/servers", b"", 9.0)
        return round(loop.time(), 6), status

    return list(await asyncio.gather(*(ask(caller) for caller in range(calls))))


def test_discovery_works_calls_off_in_turn_and_turns_away_what_waits_too_long() -> None:
    served = discovery(calls_per_s=10.0, wait_ms=250.0)
    seen = clock.run(asked_at_once(served, 5), 1)
    assert sorted(seen) == [(0.1, 200), (0.2, 200), (0.25, 503), (0.25, 503), (0.3, 200)]
    assert (served.counts.begun, served.counts.turned_away) == (3, 2)


@pytest.mark.parametrize(("cost", "free_at"), [(True, 0.5), (False, 0.3)])
def test_a_call_turned_away_may_cost_discovery_its_work(cost: bool, free_at: float) -> None:
    served = discovery(calls_per_s=10.0, wait_ms=250.0, cost=cost)
    clock.run(asked_at_once(served, 5), 1)
    assert served.free_at_s == pytest.approx(free_at)


def test_a_watch_that_goes_on_does_not_wait_for_its_turn_and_hears_of_a_change_at_once() -> None:
    async def work() -> tuple[float, float, bytes]:
        served, loop = discovery(calls_per_s=1.0, wait_ms=9000.0), asyncio.get_running_loop()
        agent = EmulatedAgent(network(), served, 0, 0)
        await agent.ask("GET", "/v1/servers", b"", 9.0)
        for caller in range(1, 4):  # discovery is busy with these for 3 s
            loop.create_task(EmulatedAgent(network(), served, 0, caller).ask("GET", "/v1/servers", b"", 9.0))
        await asyncio.sleep(0.1)
        loop.call_later(0.5, served.change, [item("s-1", 1, "a", 5.0, "draining")])
        _, body = await agent.ask("GET", "/v1/servers?from=1&hold_ms=2000", b"", 9.0)
        heard = loop.time()
        await asyncio.sleep(0.3)  # too long for the watch to go on
        await agent.ask("GET", "/v1/servers?from=1&hold_ms=2000", b"", 9.0)
        return heard, loop.time(), body

    heard, began, body = clock.run(work(), 1)
    assert heard == pytest.approx(1.6) and began == pytest.approx(5.0)
    assert b'"generation":2,"reset":false' in body and body.count(b"instanceId") == 1


@pytest.mark.parametrize("how", list(Outage))
def test_an_outage_of_discovery_ends_what_is_open(how: Outage) -> None:
    async def work() -> float:
        served, loop = discovery(), asyncio.get_running_loop()
        agent = EmulatedAgent(network(), served, 0, 0)
        loop.call_later(1.0, served.go_down, how)
        with pytest.raises(Silent if how is Outage.SILENT else AgentError):
            await agent.ask("GET", "/v1/servers?from=1&hold_ms=5000", b"", 3.0)
        ended = loop.time()
        if how is Outage.REFUSING:
            assert await agent.ask("GET", "/v1/servers", b"", 3.0) == (503, b"")
        served.come_back()
        assert (await agent.ask("GET", "/v1/servers", b"", 3.0))[0] == 200
        return ended

    assert clock.run(work(), 1) == pytest.approx(3.0 if how is Outage.SILENT else 1.0)


def test_a_fleet_hears_of_a_change_after_the_return_and_the_same_seed_gives_the_same_bytes() -> None:
    params = {"endpoints": 4, "calls_per_s": 20.0, "wait_ms": 500.0, "down_s": 5.0, "settle_s": 20.0}
    first, again, other = (discovery_return(params, 30, seed) for seed in (1, 1, 2))
    assert first.counted["unheard"] == 0 and first.counted["begun"] >= 30
    assert first.counted["calls_while_down"] >= 30
    assert repr(first.counted) == repr(again.counted) != repr(other.counted)
    assert first.histograms["heard_ms"].encode() == again.histograms["heard_ms"].encode()
