"""What a turn costs follows what changes, not what is listed or waits; its indexes tell the truth.

Costs are counted in opcodes, which are the same on any machine. Loops inside the interpreter's own C code are
not seen by that.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile import interface as api
from linnetstile.emulator.module_measures import opcodes
from linnetstile.health import FADE_MS, suspect
from linnetstile.net.discovery import Directory
from linnetstile.net.journal import JournalError
from linnetstile.state import Agenda

from .conftest import KEYED, SAFE, UNSAFE, Driver, make_settings
from .loopback import Agent, Server, host_of, listing, run

FEW, MANY = 100, 3000
SLACK = 1.5  # a heap is deeper by some steps, a dictionary's walk is not


def endpoint(ident: int, dest: int, listing: api.Listing = api.Listing.READY, kind: int = 0) -> api.Endpoint:
    return api.Endpoint(ident, dest, listing, kind, 0, 20.0)


def knowing(size: int) -> Driver:
    """A relay with so many endpoints listed, three to a destination."""
    d = Driver(make_settings(hold=10 * size, slots=2))
    d.feed(api.EndpointList(api.ListKind.WHOLE, tuple(endpoint(n, n // 3) for n in range(size))))
    return d


def drains(d: Driver, size: int) -> list[api.Action]:
    gone = tuple(endpoint(n, n // 3, api.Listing.DRAINING) for n in range(30, 40))
    return d.feed(api.EndpointList(api.ListKind.CHANGES, gone))


def count_ejected(d: Driver, size: int) -> int:
    return d.relay.ejections.count(d.now)


def idle_turn(d: Driver, size: int) -> list[api.Action]:
    return d.feed(api.TimerFired(0))


def waiting(size: int) -> Driver:
    """Both slots are taken, and each destination has a message that waits."""
    d = knowing(size)
    for dest in range(size // 3):
        d.message(SAFE, dest)
    d.pass_time(10)
    return d


@pytest.mark.parametrize(
    ("world", "work"),
    [
        (knowing, drains),
        (knowing, count_ejected),
        (knowing, idle_turn),
        (waiting, drains),
        (waiting, count_ejected),
    ],
)
def test_a_turn_costs_what_changes_and_not_what_is_known(
    world: Callable[[int], Driver], work: Callable[[Driver, int], object]
) -> None:
    costs = []
    for size in (FEW, MANY):
        d = world(size)
        costs.append(opcodes(lambda d=d, size=size: work(d, size)))  # type: ignore[misc]
    assert costs[1] < SLACK * costs[0]


def test_a_turn_in_which_no_queue_is_due_does_not_read_those_that_wait() -> None:
    costs = []
    for size in (FEW, MANY):
        d = Driver(make_settings(hold=10 * size))  # nothing is listed yet: all of them wait for that
        for dest in range(size):
            d.message(SAFE, dest)
        d.pass_time(5)
        costs.append(opcodes(lambda d=d: d.feed(api.TimerFired(0))))  # type: ignore[misc]
    assert costs[1] < SLACK * costs[0]


def test_a_change_of_the_list_costs_the_directory_what_changes() -> None:
    def listed(n: int, life: str) -> dict[str, Any]:
        return {
            "instanceId": f"s-{n}",
            "hostPort": "127.0.0.1:1",
            "zone": "z",
            "machineType": "k",
            "cell": n // 3,
            "lifecycle": life,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    costs = []
    for size in (FEW, MANY):
        directory = Directory(("k",), ("z",))
        whole = [listed(n, "ready") for n in range(size)]
        directory.apply({"generation": 1, "reset": True, "instances": whole})
        change = {"generation": 2, "reset": False, "instances": [listed(n, "gone") for n in range(30, 40)]}
        costs.append(opcodes(lambda d=directory, c=change: (d.apply(c), d.lost())))  # type: ignore[misc]
        assert directory.lost() == set()
        assert directory.dests.keys() == set(range((size + 2) // 3)) - {10, 11, 12}
    assert costs[1] < SLACK * costs[0]


def test_a_change_of_the_list_costs_the_journal_what_changes(tmp_path: Path) -> None:
    def listed(n: int, life: str) -> dict[str, Any]:
        return {**listing(Server(address=("127.0.0.1", n + 1)), state=life)["instances"][0], "cell": n // 3}

    async def work() -> None:
        agent = await Agent().start()
        costs = []
        for size in (FEW, MANY):
            state = tmp_path / str(size) / "state"
            state.mkdir(parents=True)
            whole = {"generation": 1, "reset": True, "instances": [listed(n, "ready") for n in range(size)]}
            host = host_of(state, agent, known=whole)
            host.directory.apply(whole)
            host._note_unlisted()
            gone = [listed(n, "gone") for n in range(30, 40)]
            host.directory.apply({"generation": 2, "reset": False, "instances": gone})
            costs.append(opcodes(host._note_unlisted))
            assert host.journal.unlisted == {item["instanceId"] for item in gone}
            host.ingress.unbind()
            host.journal.close()
        assert costs[1] < SLACK * costs[0]

    run(work())


def test_what_the_journal_could_not_take_of_the_list_is_compared_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        state = tmp_path / "state"
        state.mkdir()
        agent, one, other = (
            await Agent().start(),
            Server(address=("127.0.0.1", 1)),
            Server(address=("127.0.0.1", 2)),
        )
        host = host_of(state, agent, one, other)
        host.directory.apply(listing(one, other))
        host._note_unlisted()
        with monkeypatch.context() as patch:
            patch.setattr(host.journal, "_make_room", refuse)
            host.directory.apply(listing(one, generation=2, reset=False, state="draining"))
            host._note_unlisted()
        assert not host.journal.unlisted
        host.directory.apply(listing(other, generation=3, reset=False))
        host._note_unlisted()
        assert host.journal.unlisted == {"s-1"}
        host.directory.apply(listing(one, generation=4, reset=False))
        host._note_unlisted()
        assert not host.journal.unlisted
        host.ingress.unbind()
        host.journal.close()

    run(work())


def refuse(size: int) -> None:
    raise JournalError("the folder is full")


# -- the indexes, against a walk over everything -----------------------------------------------------------


def walked(d: Driver) -> set[int]:
    """By the definition: out, overdue, or with a failure that has not faded."""
    return {
        ident
        for ident, endpoint in d.relay.endpoints.items()
        if suspect(endpoint.lane, d.now) or any(d.now - at < FADE_MS for at in endpoint.faults.values())
    }


def random_list(rng: random.Random, listed: dict[int, api.Endpoint], ids: list[int]) -> api.EndpointList:
    gone = rng.sample(sorted(listed), min(len(listed), rng.randint(0, 3)))
    entries = [
        endpoint(i, listed.pop(i).destination, rng.choice([api.Listing.DRAINING, api.Listing.GONE]))
        for i in gone
    ]
    for _ in range(rng.randint(0, 3)):
        ids[0] += 1
        dest = rng.randint(1, 8)
        listed[ids[0]] = endpoint(ids[0], dest, kind=dest % 2)
        entries.append(listed[ids[0]])
    return api.EndpointList(api.ListKind.CHANGES, tuple(entries))


@pytest.mark.parametrize("seed", range(8))
def test_the_ejected_endpoints_and_the_calls_out_are_those_that_a_walk_finds(seed: int) -> None:
    rng = random.Random(seed)
    kinds = (api.DestinationKind("k"), api.DestinationKind("apart", routes_apart=True))
    d = Driver(make_settings(kinds=kinds, slots=6), seed=seed)
    listed, ids = dict[int, api.Endpoint](), [0]
    found = 0
    for _ in range(1200):
        d.now += rng.choice([5.0, 5.0, 20.0, 60.0])
        if rng.random() < 0.05:
            d.feed(random_list(rng, listed, ids))
        if rng.random() < 0.3:
            d.message(rng.choice([SAFE, KEYED, UNSAFE]), rng.randint(1, 8))
        for ident in [i for i in d.out if rng.random() < 0.1]:
            bad = d.relay.board.held[ident].msg.destination % 3 == 0 and d.now % 20000 < 8000
            d.answer(ident, rng.choice(list(api.Outcome)) if bad else api.Outcome.OK)
        d.feed(api.TimerFired(0))
        assert d.relay.ejections.ejected(d.now) == walked(d)
        assert d.relay.ejections.count(d.now) == len(walked(d))
        calls = {dest: sum(lane.calls for lane in lanes.values()) for dest, lanes in d.relay.lanes.items()}
        assert d.relay.calls_out() == {dest: out for dest, out in calls.items() if out}
        found = max(found, len(walked(d)))
    assert found > 1  # or nothing was ever compared


@given(st.lists(st.tuples(st.integers(0, 5), st.sampled_from(["put", "drop", "pass"]), st.integers(0, 40))))
def test_the_agenda_tells_what_a_walk_over_all_times_would(steps: list[tuple[int, str, int]]) -> None:
    agenda, times, now = Agenda(), dict[int, float](), 0.0
    for dest, what, number in steps:
        if what == "put":
            agenda.put(dest, float(number))
            times[dest] = float(number)
        elif what == "drop":
            agenda.drop(dest)
            times.pop(dest, None)
        else:
            now = max(now, float(number))
        assert agenda.come(now) == [each for each, at in times.items() if at <= now]
        assert agenda.next_at(now) == min((at for at in times.values() if at > now), default=None)
