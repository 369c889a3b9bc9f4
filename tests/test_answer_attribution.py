"""Every order of an answer, extra bytes behind it and the next requests, over paths that take time: what a
request is answered with was written for it. Real connections' code, in memory, on a given clock."""

from __future__ import annotations

import asyncio
import itertools
import select
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from linnetstile.connection_reuse import (
    LONGEST_REST_S,
    REMEMBERED_S,
    REST_S,
    Position,
    ReusePolicy,
    UnsolicitedBytes,
    casts_doubt,
    is_attributable,
)
from linnetstile.emulator.clock import VirtualClockLoop
from linnetstile.interface import Outcome
from linnetstile.net import link as link_module
from linnetstile.net.agent import Agent, AgentError
from linnetstile.net.egress import Answer, Call, Egress
from linnetstile.net.link import Link

from .loopback import answer
from .memory_transport import Behaviour, Peer, polled

ADDRESS = ("192.0.2.1", 1)
PATHS_S = [0.0, 0.005, 0.05, 0.11]
GAPS_S = [None, 0.0, 0.0005, 0.008, 0.02, 0.024]
STARTS_S = [0.0, 0.001, 0.02, 0.0249, 0.04]  # of the next request, after the answer before it
UNREAD_S = [0.0, 0.01]
EXTRAS = {
    "copy": answer(200),
    "error": answer(500),
    "refusal": answer(503),
    "noise": b"\x00\x17noise\r\n",
    "blank line": b"\r\n",
    "half a head": answer(200)[:20],
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n",
}
SECOND = {"error": answer(500), "delivered": answer(200), "refused": answer(503), "reset": None}
OUTCOMES = {b"200": Outcome.OK, b"500": Outcome.ERROR, b"503": Outcome.FULL}
GIVE_UP_S = 2.0


@pytest.fixture
def network(monkeypatch: pytest.MonkeyPatch) -> Callable[[Peer], None]:
    def connect(peer: Peer) -> None:
        async def open_link(address: tuple[str, int], body_bytes: int) -> Link:
            return await peer.open(body_bytes)

        monkeypatch.setattr(link_module, "polled", polled)
        monkeypatch.setattr(Link, "open", open_link)

    return connect


def run(work: Any) -> Any:
    with asyncio.Runner(loop_factory=VirtualClockLoop) as runner:
        return runner.run(work)


async def calls(start_s: float, careful: bool, wrong: list[str]) -> list[Answer]:
    """Three, one after the other; the second and third start so long after the answer before."""
    egress = Egress(10_000, 1000, 8)

    def check(address: object, link: Link) -> None:
        if not link.attributable:
            wrong.append("an answer is believed that cannot be attributed")

    egress.on_answer = check
    answers = []
    for number in range(3):
        await asyncio.sleep(start_s if number else 0.0)
        give_up_at = asyncio.get_running_loop().time() + GIVE_UP_S
        answers.append(
            await egress.call(
                Call(1, ADDRESS, f"m{number}", None, b"%d" % number, give_up_at, lambda: True, careful)
            )
        )
    return answers


def judged(peer: Peer, answers: list[Answer]) -> Iterator[str]:
    written = {body: OUTCOMES[text.split()[1]] if text else Outcome.RESET for body, text in peer.answered}
    for number, got in enumerate(answers):
        body = b"%d" % number
        if peer.whole.count(body) > 1:
            yield f"request {number} went out twice"
        if got.outcome is not written.get(body):
            yield f"request {number}: {got.outcome}, though {written.get(body)} was written for it"
    if answers[0].outcome is not Outcome.OK:
        yield "a good answer did not stay good"


@pytest.mark.parametrize("careful", [False, True])
@pytest.mark.parametrize("extra", EXTRAS)
def test_no_call_is_answered_by_bytes_behind_another_answer(
    network: Callable[[Peer], None], extra: str, careful: bool
) -> None:
    found = {}
    for case in itertools.product(PATHS_S, UNREAD_S, GAPS_S, STARTS_S, SECOND):
        path_s, unread_s, gap_s, start_s, second = case
        answers = answer(200), SECOND[second], answer(200)
        peer = Peer(Behaviour(path_s, unread_s, answers, EXTRAS[extra], gap_s))
        network(peer)
        wrong: list[str] = []
        wrong += judged(peer, run(calls(start_s, careful, wrong)))
        if wrong:
            found[case] = wrong
    assert not found


async def asks(start_s: float) -> list[tuple[int, bool]]:
    """Status and doubt of three requests to the platform; 0: it has failed."""
    agent, results = Agent(ADDRESS), []
    for number in range(3):
        await asyncio.sleep(start_s if number else 0.0)
        try:
            status, _ = await agent.ask("POST", "/v1/outcomes", b"%d" % number, GIVE_UP_S)
        except AgentError:
            status = 0
        results.append((status, agent.in_doubt))
    return results


@pytest.mark.parametrize("extra", EXTRAS)
def test_no_notice_is_acknowledged_by_bytes_behind_another_answer(
    network: Callable[[Peer], None], extra: str
) -> None:
    found = {}
    data = answer(204) if extra == "copy" else EXTRAS[extra]
    for case in itertools.product(PATHS_S, UNREAD_S, GAPS_S, STARTS_S, [answer(204), answer(503), None]):
        path_s, unread_s, gap_s, start_s, second = case
        peer = Peer(Behaviour(path_s, unread_s, (answer(204), second, answer(204)), data, gap_s))
        network(peer)
        results = run(asks(start_s))
        written = dict(peer.answered)
        for number, (status, doubt) in enumerate(results):
            text = written.get(b"%d" % number)
            if status and not doubt and (text is None or b" %d " % status not in text):
                found[case] = number, status, text
    assert not found


def test_bytes_that_come_right_before_a_request_send_it_on_a_new_connection(
    network: Callable[[Peer], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """They come after the connection was chosen, and before its first byte is written."""

    async def work() -> None:
        agent = Agent(ADDRESS)
        assert (await agent.ask("POST", "/", b"0", GIVE_UP_S))[0] == 204
        await asyncio.sleep(1.0)
        found = iter([0, select.POLLIN])
        monkeypatch.setattr(link_module, "polled", lambda transport, events: next(found))
        assert (await agent.ask("POST", "/", b"1", GIVE_UP_S))[0] == 204

    peer = Peer(Behaviour(0.0, 0.0, (answer(204),), b"", 0.0))
    network(peer)
    run(work())
    assert peer.whole == [b"0", b"1"] and peer.opened == 2


def late(gap_s: float, position: Position = Position.IDLE) -> UnsolicitedBytes:
    return UnsolicitedBytes(position, 40, gap_s, 3)


def test_a_peer_whose_extra_bytes_come_late_gets_a_longer_rest_for_a_while() -> None:
    policy = ReusePolicy()
    assert policy.hold_s("a", 10.01, 10.0) == pytest.approx(REST_S - 0.01)
    policy.observe("a", 10.0, late(0.04))
    assert policy.rest_s("a", 10.0) == pytest.approx(0.08) and policy.rest_s("b", 10.0) == REST_S
    assert policy.hold_s("a", 10.05, 10.0) is None, "it goes on another connection, and is not held back"
    assert policy.hold_s("a", 10.09, 10.0) == 0.0
    assert policy.rest_s("a", 10.0 + REMEMBERED_S) == REST_S


@pytest.mark.parametrize("found", [late(LONGEST_REST_S + 0.1), late(0.04, Position.WITH_ANSWER), late(0.005)])
def test_other_extra_bytes_leave_the_rest_as_it_is(found: UnsolicitedBytes) -> None:
    policy = ReusePolicy()
    policy.observe("a", 10.0, found)
    assert policy.rest_s("a", 10.0) == REST_S


def test_an_answer_is_attributable_only_after_a_rest_with_nothing_unread() -> None:
    assert is_attributable(False, 0.0, False) and is_attributable(True, REST_S, False)
    assert not is_attributable(True, 0.01, False) and not is_attributable(True, REST_S, True)


def test_what_follows_a_first_answer_casts_no_doubt_on_it() -> None:
    assert casts_doubt(2, 0.1) and not casts_doubt(1, 0.1) and not casts_doubt(2, 5.0)
