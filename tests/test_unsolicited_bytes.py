"""Peers that send more than their answer: on real processes, over paths that take time."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from linnetstile.connection_reuse import Peer, Position
from linnetstile.soak.endpoint import bulk_response, messages_of
from linnetstile.soak.extra_bytes import Extra, Kind, extra_of
from linnetstile.soak.stand_in import Connection, Request, Response, StandIn

from .faults import FaultProcess, soon
from .loopback import OK, SETTINGS, Agent, Client, Seen, Server, answer, host_of, listing, message, run, until
from .test_process import free_port

PATH_S = 0.005
ANSWERS_LATE_S = 0.02  # where an extra copy is on its way: long enough for it to come first
GAPS_S = [0.0005, 0.002, 0.008]
NOTICES_PATH_S, NOTICES_GAPS_S = 0.01, [0.008, 0.015]
CUE_S = 0.1  # an endpoint that is given no cue answers all the same
MESSAGES = 24
LEFT_MS = 3000


@dataclass
class Surplus(StandIn):
    """Every second answer is good and brings `kind` so much later; the first call of the messages between
    them is answered late, by `between`."""

    kind: Kind = Kind.COPY
    gap_s: float | None = 0.0
    between: int = 500
    calls: list[tuple[str, ...]] = field(default_factory=list)
    done: Counter[str] = field(default_factory=Counter)  # 200 was written for these
    again: list[str] = field(default_factory=list)  # called after that
    extras: int = 0
    answered: int = 0

    async def reply(self, request: Request) -> Response | None:
        idents = [ident for ident, _ in messages_of(request)]
        self.again += [ident for ident in idents if self.done[ident]]
        first = not any(set(idents) & set(call) for call in self.calls)
        self.calls.append(tuple(idents))
        if first and len(self.calls) % 2 == 0:
            await asyncio.sleep(ANSWERS_LATE_S)
            return Response(self.between)
        return bulk_response(idents, ["delivered"] * len(idents)) if len(idents) > 1 else Response(200)

    def extra(self, request: Request, response: Response) -> Extra | None:
        if response.status != 200:
            return None
        self.extras += 1
        return extra_of(self.kind, response.encoded(), self.gap_s, random.Random(self.extras))

    def written(self, request: Request, response: Response) -> None:
        if response.status == 200:
            self.done.update(ident for ident, _ in messages_of(request))


@dataclass
class SurplusPlatform(StandIn):
    """Takes notices; each answer is sent twice, and the notice that is next on that connection is cut off
    unread."""

    gap_s: float = 0.0
    servers: dict[str, Any] = field(default_factory=dict)
    told: dict[str, str] = field(default_factory=dict)
    cuts: set[Connection] = field(default_factory=set)
    cue: asyncio.Event = field(default_factory=asyncio.Event)

    async def reply(self, request: Request) -> Response | None:
        if request.target.startswith("/v1/servers"):
            if "hold_ms" in request.target:
                await asyncio.sleep(float(request.target.rpartition("=")[2]) / 1000)
            return Response(200, body=json.dumps(self.servers).encode())
        if request.connection in self.cuts:
            await asyncio.sleep(ANSWERS_LATE_S)
            return None
        self.cuts.add(request.connection)
        notices = [json.loads(line) for line in request.body.splitlines()]
        self.told.update((notice["id"], notice["state"]) for notice in notices)
        return Response(204)

    def extra(self, request: Request, response: Response) -> Extra | None:
        if response.status != 204:
            return None
        self.cue.set()
        return Extra(response.encoded(), self.gap_s)


class FailsOnCue(Server):
    """Answers a call with an error right when the platform has answered the notice before, so that the next
    notice goes out at once."""

    def __init__(self) -> None:
        super().__init__()
        self.cue = asyncio.Event()

    async def reply(self, seen: Seen) -> bytes:
        with suppress(TimeoutError):
            await asyncio.wait_for(self.cue.wait(), CUE_S)
        self.cue.clear()
        return answer(500)


async def relay(tmp_path: Path, agent: Any, server: Any, **extra: Any) -> FaultProcess:
    process = FaultProcess(tmp_path, agent, server)
    process.raw["settings"] = {
        **SETTINGS,
        "extra": {**SETTINGS["extra"], **extra},
        "limits": {**SETTINGS["limits"], "open-cap": 2 * MESSAGES},
    }
    if isinstance(agent, SurplusPlatform):
        process.raw["known"] = agent.servers
    process.configure()
    await process.start()
    return process


async def handed_in(process: FaultProcess, class_: str, destinations: int = 1) -> list[str]:
    idents = [f"m{number}" for number in range(MESSAGES)]
    await process.hand_in(
        *(
            message(ident, class_, left=LEFT_MS, X_Addressing=f"dest={7 + n % destinations}")
            for n, ident in enumerate(idents)
        )
    )
    return idents


def listed_often(server: Server, destinations: int) -> dict[str, Any]:
    """One server as the endpoint of several destinations."""
    (item,) = listing(server)["instances"]
    return {
        **listing(),
        "instances": [{**item, "instanceId": f"s-{n}", "cell": 7 + n} for n in range(destinations)],
    }


async def play(tmp_path: Path, server: Surplus, class_: str, **extra: Any) -> None:
    agent = await Agent().start()
    agent.whole = listing(server)
    await server.listen()
    process = await relay(tmp_path, agent, server, **extra)
    try:
        open_ = set(await handed_in(process, class_))

        def all_ended() -> bool:
            while not agent.notices.empty():
                open_.discard(agent.notices.get_nowait()["id"])
            open_.difference_update(server.done)
            return not open_

        await soon(all_ended, LEFT_MS / 1000 + 0.5)
        assert server.extras > MESSAGES // 4
        assert (sorted(open_), server.again) == ([], [])
    finally:
        process.kill()


@pytest.mark.parametrize("class_", ["safe", "keyed"])
@pytest.mark.parametrize("gap_s", GAPS_S)
def test_a_second_copy_of_an_answer_never_delivers_the_next_message(
    tmp_path: Path, gap_s: float, class_: str
) -> None:
    server = Surplus(("127.0.0.1", free_port()), path_s=PATH_S, gap_s=gap_s)
    run(play(tmp_path, server, class_, **{"call-slots": 1}))


@pytest.mark.parametrize("gap_s", NOTICES_GAPS_S)
def test_a_second_copy_of_a_notices_answer_never_acknowledges_the_next_notice(
    tmp_path: Path, gap_s: float
) -> None:
    async def work() -> None:
        server = await FailsOnCue().start()
        platform = SurplusPlatform(
            ("127.0.0.1", free_port()),
            path_s=NOTICES_PATH_S,
            gap_s=gap_s,
            servers=listed_often(server, MESSAGES),
            cue=server.cue,
        )
        await platform.listen()
        process = await relay(tmp_path, platform, server, **{"call-slots": 1})
        try:
            idents = await handed_in(process, "unsafe", MESSAGES)
            await soon(lambda: len(platform.told) == MESSAGES, LEFT_MS / 1000 + 0.5)
            assert len(platform.cuts) > 1
            assert sorted(set(idents) - set(platform.told)) == []
        finally:
            process.kill()

    run(work())


@pytest.mark.parametrize(
    ("kind", "between"),
    [
        (Kind.OTHER_STATUS, 200),
        (Kind.NOISE, 200),
        (Kind.HALF_HEAD, 500),
    ],
)
def test_bytes_behind_an_answer_never_spoil_the_answer_to_the_next_call(
    tmp_path: Path, kind: Kind, between: int
) -> None:
    server = Surplus(("127.0.0.1", free_port()), path_s=PATH_S, gap_s=0.002, kind=kind, between=between)
    run(play(tmp_path, server, "safe", **{"call-slots": 1}))


def test_bytes_that_no_request_asked_for_are_counted_by_peer_and_position(tmp_path: Path) -> None:
    async def work() -> None:
        state = tmp_path / "state"
        state.mkdir()
        agent, server = await Agent().start(), await Server().start()
        host = host_of(state, agent, server)
        counted = host.figures.unsolicited
        await host.start()
        try:
            async with Client(host.ingress.port) as client:
                server.script.append(OK + OK)
                assert await client.ask(message("with-answer")) == 202
                await until(lambda: counted[Peer.ENDPOINT, Position.WITH_ANSWER] == 1)
                assert await client.ask(message("idle")) == 202
                await until(lambda: bool(host.egress.idle))
                server.writers[-1].write(b"noise")
                await until(lambda: counted[Peer.ENDPOINT, Position.IDLE] == 1)
            assert "relay.unsolicited.endpoint.idle:1|c\n" in host.figures.text()
            assert sum(counted.values()) == 2
            assert not any(link.usable for links in host.egress.idle.values() for link in links)
        finally:
            await host.close()

    run(work())
