"""How soon a fleet hears of a change after discovery failed: on a given clock, with discovery in memory."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable

import pytest

from linnetstile.interface import EndpointList
from linnetstile.net.agent import Agent, AgentError, Silent
from linnetstile.net.discovery import Directory, Watch

from .virtual_time import run_virtual

TOLD_S = 6.0  # a change counts as told so long after discovery had it and could be reached
KEPT_S = 2.0  # a call waits no longer for its turn: it is turned away, and is work all the same
GOES_ON_S = 0.2  # a call that follows so soon on an answer goes on with its watch, at no cost
OUTAGE_S = 8.0
QUIET_S = 8.0  # until all watch; after it something fails
FLEETS = [(1, 10), (3, 10), (20, 10), (200, 5), (1900, 1)]  # relays, seeds


def end_of(wait: asyncio.Future[None]) -> None:
    if not wait.done():
        wait.set_result(None)


class Discovery:
    """Works off the calls that begin a watch in turn, so many a second."""

    def __init__(self, per_s: float) -> None:
        self.per_s, self.generation, self.free_at = per_s, 1, 0.0
        self.down = ""  # how new calls fare: refused, silent, kept waiting
        self.out: dict[asyncio.Future[None], asyncio.TimerHandle] = {}
        self.begun = self.turned_away = 0

    async def answer(self, from_: int, hold_s: float, goes_on: bool) -> tuple[int, bytes]:
        if self.down == "refused":
            raise AgentError("refused")
        if self.down == "silent":
            await asyncio.get_running_loop().create_future()
        if self.down == "kept waiting":
            await asyncio.sleep(KEPT_S)
            return 503, b""
        if not goes_on and not await self._in_turn():
            return 503, b""
        if from_ >= self.generation:
            await self._wait(hold_s)
        return 200, json.dumps({"generation": self.generation, "reset": from_ < 0, "instances": []}).encode()

    async def _in_turn(self) -> bool:
        now = asyncio.get_running_loop().time()
        waits = max(0.0, self.free_at - now)
        self.free_at = now + waits + 1 / self.per_s
        self.begun += 1
        self.turned_away += waits > KEPT_S
        await self._wait(min(waits + 1 / self.per_s, KEPT_S))
        return waits <= KEPT_S

    async def _wait(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.create_future()
        timer = loop.call_later(seconds, end_of, end)
        self.out[end] = timer
        try:
            await end
        finally:
            timer.cancel()
            self.out.pop(end, None)

    def fail(self, down: str, cut_off: bool) -> None:
        """From now on; the calls that are out are reset, or never end where it is cut off."""
        self.down, self.free_at = down, 0.0
        for end, timer in self.out.items():
            timer.cancel()
            if not cut_off and not end.done():
                end.set_exception(AgentError("reset"))
        self.out.clear()

    def change(self) -> None:
        self.generation += 1
        for end in self.out:
            end_of(end)


class Line(Agent):
    """One relay's way to it."""

    def __init__(self, service: Discovery) -> None:
        super().__init__(("", 0))
        self.service, self.answered = service, -GOES_ON_S

    async def ask(self, method: str, target: str, body: bytes, seconds: float) -> tuple[int, bytes]:
        told = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        loop = asyncio.get_running_loop()
        goes_on = bool(told) and loop.time() <= self.answered + GOES_ON_S
        self.answered = -GOES_ON_S
        try:
            async with asyncio.timeout(seconds):
                reply = await self.service.answer(
                    int(told.get("from", -1)), int(told.get("hold_ms", 0)) / 1000, goes_on
                )
        except TimeoutError as error:
            raise Silent("silent") from error
        if reply[0] == 200:
            self.answered = loop.time()
        return reply


class Fleet:
    """Relays, and a discovery that works off all of them in `all_in_s`, or ten a second."""

    def __init__(self, relays: int, seed: int, all_in_s: float = 5.4) -> None:
        random.seed(seed)
        self.service = Discovery(max(10.0, relays / all_in_s))
        self.told: dict[int, dict[int, float]] = {}  # when each relay heard of each version
        self.watches = [self._watch(number, relays) for number in range(relays)]

    def _watch(self, number: int, relays: int) -> Watch:
        directory, heard = Directory((), ()), self.told.setdefault(number, {})

        def told(event: EndpointList) -> None:
            heard.setdefault(directory.version, asyncio.get_running_loop().time())

        return Watch(Line(self.service), directory, told, relays)

    async def play(self, work: Callable[[], object], seconds: float) -> None:
        tasks = [asyncio.create_task(watch.run()) for watch in self.watches]
        await asyncio.sleep(QUIET_S)
        work()
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()

    def latest(self, version: int) -> float:
        """inf where a relay never heard of it."""
        return max(each.get(version, float("inf")) for each in self.told.values())


@pytest.mark.parametrize(("relays", "seeds"), FLEETS)
@pytest.mark.parametrize(
    ("down", "cut_off", "all_in_s"),
    [
        ("refused", False, 5.4),
        ("silent", False, 5.4),
        ("kept waiting", False, 5.4),
        (
            "silent",
            True,
            4.4,
        ),  # half of the time goes until the silence is noticed: less is left for the spread
    ],
)
def test_after_an_outage_each_relay_of_a_fleet_hears_of_a_change_in_time(
    relays: int, seeds: int, down: str, cut_off: bool, all_in_s: float
) -> None:
    for seed in range(seeds):
        fleet = Fleet(relays, seed, all_in_s)
        service = fleet.service

        def fail() -> None:
            loop = asyncio.get_running_loop()
            service.fail(down, cut_off)  # noqa: B023
            loop.call_later(OUTAGE_S / 2, service.change)  # noqa: B023
            loop.call_later(OUTAGE_S, setattr, service, "down", "")  # noqa: B023

        run_virtual(fleet.play(fail, OUTAGE_S + 2 * TOLD_S))
        took = fleet.latest(2) - QUIET_S - OUTAGE_S
        assert took <= TOLD_S, seed
        assert service.turned_away <= relays / 100, seed


@pytest.mark.parametrize(("relays", "seeds"), FLEETS)
def test_watches_that_were_all_reset_at_one_moment_hear_of_a_change_in_time(relays: int, seeds: int) -> None:
    for seed in range(seeds):
        fleet = Fleet(relays, seed)
        service = fleet.service

        def fail() -> None:
            service.fail("", cut_off=False)  # noqa: B023
            service.change()  # noqa: B023

        run_virtual(fleet.play(fail, 2 * TOLD_S))
        took = fleet.latest(2) - QUIET_S
        assert took <= TOLD_S, seed
        assert service.turned_away <= relays / 100, seed


@pytest.mark.parametrize(("relays", "seeds"), FLEETS)
def test_processes_that_all_start_at_one_moment_have_the_list_in_time(relays: int, seeds: int) -> None:
    for seed in range(seeds):
        fleet = Fleet(relays, seed)
        run_virtual(fleet.play(lambda: None, 0.0))
        assert fleet.latest(1) <= TOLD_S and fleet.service.turned_away <= relays / 100


MOVED_TOLD_S = 4.0  # after a change of discovery's address


@pytest.mark.parametrize(("relays", "seeds"), [(6, 10), (20, 10), (200, 5)])
def test_after_a_change_of_address_a_call_that_is_turned_away_at_once_is_made_again_in_time(
    relays: int, seeds: int
) -> None:
    class FullOnce(Line):
        turned_away = False

        async def ask(self, method: str, target: str, body: bytes, seconds: float) -> tuple[int, bytes]:
            if not self.turned_away:
                self.turned_away = True
                await asyncio.sleep(0.2)
                return 503, b""
            return await super().ask(method, target, body, seconds)

    async def work(fleet: Fleet) -> None:
        tasks = [asyncio.create_task(watch.run()) for watch in fleet.watches]
        await asyncio.sleep(QUIET_S)
        for task in tasks:
            task.cancel()
        fleet.service.change()
        for watch in fleet.watches:
            watch.move(FullOnce(fleet.service))
        tasks = [asyncio.create_task(watch.run()) for watch in fleet.watches]
        await asyncio.sleep(2 * MOVED_TOLD_S)
        for task in tasks:
            task.cancel()

    for seed in range(seeds):
        fleet = Fleet(relays, seed, all_in_s=2.0)
        run_virtual(work(fleet))
        assert fleet.latest(2) <= QUIET_S + MOVED_TOLD_S, seed
