"""Users saw: one accepted request of many got neither its delivery nor a notice of its end in time.

Order of events: relays were killed in series, moved to another discovery address right before a kill, and
endpoints refused calls, so that some ten ends a second had to be told to the platform. Cause, by class: the
relay took an end for told, or an endpoint for listed, on the word of a peer that no longer counted: of
connections that had all fallen silent together, of a platform that had been replaced, of a client that had
not heard yet, of a list that was older than the process. Evidence: each case below failed on real processes
with the platform's own times of arrival; see docs/incidents/incident-8311.md.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from .faults import FaultProcess, soon
from .loopback import SETTINGS, Agent, Seen, Server, answer, listing, message, run

Case = Callable[["Platform", Server, FaultProcess], Awaitable[None]]
LATE_S = 0.3  # a message is lost if its end is told so long after its time
LEFT_MS = 1500
REFUSED = answer(503)


class Platform(Agent):
    """Keeps when each end was told; its older connections can be made to fall silent."""

    def __init__(self) -> None:
        super().__init__()
        self.told_at: dict[str, list[float]] = {}
        self.silent_up_to = 0  # connections up to this number answer nothing any more
        self.arrived: list[Seen] = []  # also what is not answered yet
        self.answers, self.lists = asyncio.Event(), asyncio.Event()  # what it says waits for these
        self.answers.set()
        self.known_by = set[int]()  # connections whose requests say that they have the newest list
        self.newest: dict[str, Any] | None = None  # the list that each call is answered with

    async def hold_answers(self) -> None:
        """Until `answers` is set, but for the first call for the list: calls to endpoints wait for it."""
        assert await soon(lambda: any(seen.target.startswith("/v1/servers") for seen in self.arrived))
        self.answers.clear()

    async def reply(self, seen: Seen) -> bytes | None | str:
        self.arrived.append(seen)
        if seen.connection <= self.silent_up_to:
            return None
        if seen.target.startswith("/v1/servers") and self.newest is not None:
            await self.lists.wait()
            if f"from={self.newest['generation']}&" in seen.target:
                self.known_by.add(seen.connection)
                await asyncio.sleep(0.1)
                return answer(200, body=json.dumps({**self.newest, "reset": False, "instances": []}))
            return answer(200, body=json.dumps(self.newest))
        await self.answers.wait()
        reply = await super().reply(seen)
        while not self.notices.empty():
            ident = str(self.notices.get_nowait()["id"])
            self.told_at.setdefault(ident, []).append(time.monotonic())
        return reply


async def all_kept_connections_fall_silent(platform: Platform, server: Server, process: FaultProcess) -> None:
    server.usual = answer(500)
    await process.start()
    await platform.hold_answers()
    for number in range(4):
        before = platform.opened
        await process.hand_in(message(f"first-{number}", "unsafe"))
        assert await soon(lambda: platform.opened > before, 1.0) or number == 3  # noqa: B023
    platform.answers.set()
    assert await soon(lambda: len(platform.told_at) == 4)
    platform.silent_up_to = platform.opened
    server.usual = REFUSED
    due = time.monotonic() + LEFT_MS / 1000
    await process.hand_in(message("late", left=LEFT_MS))
    assert await soon(lambda: "late" in platform.told_at)
    late_s = platform.told_at["late"][0] - due
    assert late_s < LATE_S, f"told {late_s:.2f} s after its time"


async def replaced_platform_answers_last(platform: Platform, server: Server, process: FaultProcess) -> None:
    successor = Platform()
    await successor.start()
    server.usual = answer(500)
    await process.start()
    await platform.hold_answers()
    await process.hand_in(message("moved", "unsafe"))
    assert await soon(lambda: any("moved" in str(each.body) for each in platform.arrived))
    process.process.send_signal(signal.SIGSTOP)  # the signal, and the old answer, come before it runs again
    process.configure(discovery="{}:{}".format(*successor.address))
    process.process.send_signal(signal.SIGHUP)
    platform.answers.set()
    assert await soon(lambda: "moved" in platform.told_at)
    process.process.send_signal(signal.SIGCONT)
    assert await soon(lambda: "moved" in successor.told_at, 3.0), "only the replaced platform was told"


async def client_comes_again_after_the_end(platform: Platform, server: Server, process: FaultProcess) -> None:
    server.usual = answer(500)
    await process.start()
    await process.hand_in(message("again", "unsafe"))
    assert await soon(lambda: "again" in platform.told_at)
    asked_at = time.monotonic()
    await process.hand_in(message("again", "unsafe"))
    told_since = await soon(lambda: platform.told_at["again"][-1] > asked_at, 3.0)
    assert told_since, "accepted again, and no end told since"


async def old_list_at_the_start(platform: Platform, server: Server, process: FaultProcess) -> None:
    other = await Server().start()
    server.usual = REFUSED
    await process.start()
    await process.hand_in(message("listed", left=8000))
    await process.end(signal.SIGKILL)
    calls, opened = len(server.seen), platform.opened
    platform.newest = listing(other, generation=2)
    await process.begin()
    assert await soon(lambda: platform.opened > opened)
    await asyncio.sleep(0.3)  # the grace after a drain: by then no call may begin on the old list's word
    platform.lists.set()
    assert await soon(lambda: len(other.seen) == 1)
    assert len(server.seen) == calls, "a call went to an endpoint that the list no longer has"


async def drain_told_to_the_process_before(platform: Platform, server: Server, process: FaultProcess) -> None:
    """Lists are asked for here, so a new process may go on with the list that the relay has: not with the
    older one of its configuration."""
    other = await Server().start()
    process.raw["settings"] = {**SETTINGS, "registry-mode": "ask"}
    process.configure()
    platform.newest = {**listing(server, generation=2, state="draining"), "reset": False}
    platform.newest["instances"] += listing(other)["instances"]
    platform.lists.set()
    await process.start()
    assert await soon(lambda: bool(platform.known_by))
    other.usual = None
    await process.hand_in(message("first"))
    assert await soon(lambda: len(other.seen) == 1)
    platform.lists.clear()
    calls = len(server.seen)
    await process.end(signal.SIGKILL)
    await process.start()
    await asyncio.sleep(0.5)
    platform.lists.set()
    assert await soon(lambda: len(other.seen) == 2)
    assert len(server.seen) == calls, "a call went to an endpoint that drains, as the relay had been told"


@pytest.mark.parametrize(
    "case",
    [
        all_kept_connections_fall_silent,
        replaced_platform_answers_last,
        client_comes_again_after_the_end,
        old_list_at_the_start,
        drain_told_to_the_process_before,
    ],
)
def test_no_end_and_no_endpoint_rests_on_the_word_of_a_peer_that_no_longer_counts(
    tmp_path: Path, case: Case
) -> None:
    async def work() -> None:
        platform, server = Platform(), Server()
        await platform.start()
        await server.start()
        process = FaultProcess(tmp_path, platform, server)
        try:
            await case(platform, server, process)
        finally:
            process.kill()

    run(work())
