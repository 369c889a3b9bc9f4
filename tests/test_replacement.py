"""Two processes of one relay: one makes the calls, nothing is lost or out twice, and either may be killed."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
import sys
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path

import pytest

from linnetstile import interface as api
from linnetstile.control import Relay
from linnetstile.disk_budget import RESERVE_BYTES as SLACK
from linnetstile.net import journal as journal_module
from linnetstile.net.discovery import Directory
from linnetstile.net.host import Host
from linnetstile.net.client_request import Request
from linnetstile.net.client_connection import ClientConnection
from linnetstile.net.ingress import ACCEPTS
from linnetstile.net.journal import Attempt, Entry, Journal, JournalError
from linnetstile.net.replacement import TAKES, Replacement
from linnetstile.soak.state_folder import folder_bytes

from .conftest import SAFE, Driver, make_settings
from .loopback import Agent, Client, Server, answer, host_of, listing, message, run, until
from .test_management import ask, request
from .test_process import Process, free_port, world

DISK = 3_000_000


def entry(ident: str, body: bytes = b"hello", due: float = 9e12) -> Entry:
    return Entry(ident, "safe", "t", 7, None, 1000.0, due, "", body)


def intaken(data: bytes) -> Request:
    """A client's request as it is handed to a host."""
    head, _, body = data.partition(b"\r\n\r\n")
    line, *fields = head.decode().split("\r\n")
    headers = {name.lower(): value for name, value in (field.split(": ") for field in fields)}
    return Request(line.split()[0], line.split()[1], headers, [body], len(body))


def traces(server: Server) -> Counter[str]:
    return Counter(seen.headers["x-trace-id"] for seen in server.seen)


# -- the module --------------------------------------------------------------------------------------------


def test_who_hands_over_begins_no_call_and_keeps_what_is_out_until_its_outcome() -> None:
    driver = Driver(make_settings(slots=1))
    driver.listed((1, 1))
    out, waits = driver.message(), driver.message()
    assert set(driver.out) == {out}
    acts = driver.feed(api.Duty(api.Mode.HANDS_OVER))
    assert [act for act in acts if isinstance(act, api.HandOver)] == [api.HandOver(waits)]
    assert driver.relay.calls_out() == {1: 1}
    later = driver.message()
    assert (driver.now, api.HandOver(later)) in driver.other
    acts = driver.answer(out, api.Outcome.ERROR)
    assert api.HandOver(out) in acts and not driver.out and not driver.ended
    assert driver.relay.calls_out() == {} and not driver.relay.board.held


def test_who_waits_begins_no_call_until_it_is_its_duty() -> None:
    driver = Driver()
    driver.feed(api.Duty(api.Mode.WAITS))
    driver.listed((1, 1))
    ident = driver.message()
    driver.pass_time(1000)
    assert not driver.out
    driver.feed(api.Duty(api.Mode.CALLS))
    assert set(driver.out) == {ident}


def test_calls_of_the_other_process_hold_slots_and_a_destinations_half_of_them() -> None:
    driver = Driver(make_settings(slots=4))
    driver.listed((1, 1), (2, 2))
    driver.feed(api.Elsewhere(((1, 2), (9, 1))))
    first, second = driver.message(dest=1), driver.message(dest=2)
    third = driver.message(dest=2)
    assert set(driver.out) == {first} and second not in driver.out  # one slot was left
    driver.answer(first)
    driver.pass_time(10)
    assert set(driver.out) == {second}
    driver.feed(api.Elsewhere(((1, 2),)))
    assert set(driver.out) == {second, third}
    driver.feed(api.Elsewhere())
    half, other = driver.message(dest=1), driver.message(dest=1)
    assert set(driver.out) == {second, third, half, other}


def test_told_waits_outages_and_cold_times_hold_in_the_process_that_takes_over() -> None:
    old = Driver()
    old.listed((1, 1), (2, 2))
    old.warm_up(1)
    old.warm_up(2)
    ident = old.message(SAFE, 1)
    old.answer(ident, api.Outcome.FULL, wait=700.0)
    for _ in range(2):
        ident = old.message(SAFE, 2)
        old.pass_time(1000)
        old.answer(ident, api.Outcome.CONNECT_FAILED)
    lane = old.relay.lanes[2][-1]
    assert lane.sick
    new = Driver(seed=2)
    new.now = old.now
    new.feed(api.Duty(api.Mode.WAITS))
    known = old.relay.known()
    new.feed(*known[:1])
    new.listed((1, 1), (2, 2))  # one is listed after the word of it, the other before
    new.feed(*known[1:])
    assert new.relay.lanes[2][-1].told() == lane.told() and new.relay.lanes[2][-1].sick
    mine, theirs = new.relay.lanes[1][-1], old.relay.lanes[1][-1]
    assert (mine.wait_until, mine.pace, mine.mean) == (theirs.wait_until, theirs.pace, theirs.mean)
    assert new.relay.ejections.ejected(new.now) == {2}


def test_a_wait_told_to_either_holds_but_the_callers_own_view_of_health_stands() -> None:
    """Guards a healthy destination against the last calls of the process that leaves: those that hang."""
    old, new = Driver(), Driver(seed=2)
    for driver in (old, new):
        driver.listed((1, 1))
    new.warm_up(1)
    late = [old.message(SAFE, 1) for _ in range(2)]
    old.feed(api.Duty(api.Mode.HANDS_OVER))
    old.pass_time(3000)
    old.answer(late[0], api.Outcome.TIMEOUT)
    old.answer(late[1], api.Outcome.FULL, wait=5000.0)
    assert old.relay.lanes[1][-1].sick
    before = new.relay.lanes[1][-1].pace
    new.feed(*old.relay.known({1}))
    lane = new.relay.lanes[1][-1]
    assert not lane.sick and lane.pace == before
    assert lane.wait_until == old.relay.lanes[1][-1].wait_until > new.now
    sent = len(new.sent)
    new.message(SAFE, 1)
    assert len(new.sent) == sent


# -- the journal -------------------------------------------------------------------------------------------


def test_each_process_writes_its_own_file_and_reads_along_in_the_others(tmp_path: Path) -> None:
    old = Journal(tmp_path, DISK)
    old.take(entry("a"))
    new = Journal(tmp_path, DISK)
    assert old.path != new.path and new.knows("a") and not new.entries
    new.take(entry("b"))
    assert old.knows("b") and not old.knows("c")
    (other,) = new.living
    assert not other.left()
    old.give([old.entries["a"]])
    new.look()
    assert [each.id for each in other.left()] == ["a"]
    assert new.taken_up(other, other.left()[0]) is not None and not other.left()
    assert old.knows("a") and old.entries["a"].body  # until its taker's record has been seen
    old.look()
    assert not old.settle() and "a" not in old.entries and old.knows("a")
    old.close()
    new.look()
    assert not new.living and new.settle()
    assert [path.name for path in tmp_path.iterdir()] == [new.path.name]


def test_what_a_killed_process_leaves_is_taken_up_where_it_got_to(tmp_path: Path) -> None:
    old, new = Journal(tmp_path, DISK), Journal(tmp_path, DISK)
    for ident in ("out", "waits", "ended", "owed"):
        old.take(entry(ident))
    old.tried(old.entries["out"], 1500.0, "s-1", 0)
    old.ended(old.entries["ended"], "delivered")
    old.ended(old.entries["owed"], "failed")
    os.write(old.file, b'00000000 {"k":"dr')  # a torn record
    os.close(old.file)
    new.look()
    (other,) = new.others.values()
    taken = {mine.id: mine for each in other.left() if (mine := new.taken_up(other, each)) is not None}
    assert set(taken) == {"out", "waits", "ended", "owed"}
    assert (taken["out"].tries, taken["out"].risk) == (1, Attempt(1500.0, "s-1", 0))
    assert taken["owed"].owes_notice and new.settle()
    new.close()
    assert set(Journal(tmp_path, DISK).entries) >= {"out", "waits", "owed"}


def test_what_was_given_to_one_that_died_without_taking_it_comes_back(tmp_path: Path) -> None:
    old, new = Journal(tmp_path, DISK), Journal(tmp_path, DISK)
    old.take(entry("a"))
    old.give([old.entries["a"]])
    old.look()
    assert list(old.taken_back()) == []  # it lives, and may be about to
    os.close(new.file)
    old.look()
    assert [each.id for each in old.taken_back()] == ["a"] and not old.entries["a"].given


def test_what_a_dead_taker_tried_comes_back_as_tried_however_much_it_was(tmp_path: Path) -> None:
    """Guards what may have run at the taker: its file is taken up a part at a time, and tells of it."""
    idents = [f"{number:03}" for number in range(3 * TAKES)]
    old, new = Journal(tmp_path, DISK), Journal(tmp_path, DISK)
    for ident in idents:
        old.take(entry(ident))
    old.give(list(old.entries.values()))
    new.look()
    (other,) = new.living
    for each in other.left():
        mine = new.taken_up(other, each)
        assert mine is not None
        new.tried(mine, 1500.0, "s-1", 0)
    os.close(new.file)
    back = list[Entry]()
    follower = Replacement(
        old,
        Relay(make_settings(), 1),
        Directory((), ()),
        lambda events: None,
        back.append,
        lambda ident: None,
    )
    while len(back) < len(idents):
        before = len(back)
        follower.follow()
        assert len(back) > before
    assert sorted(each.id for each in back) == idents
    assert all(each.tries == 1 and each.risk is not None for each in back)


def test_what_a_dead_taker_ended_stays_ended_in_the_givers_own_file(tmp_path: Path) -> None:
    """Guards against a second delivery by the process after next: the taker's file is gone by then."""
    old, new = Journal(tmp_path, DISK), Journal(tmp_path, DISK)
    old.take(entry("a", due=9e12))
    old.give([old.entries["a"]])
    new.look()
    (other,) = new.living
    mine = new.taken_up(other, other.left()[0])
    assert mine is not None
    new.ended(mine, "delivered")
    os.close(new.file)
    old.look()
    (other,) = old.others.values()
    assert old.taken_up(other, other.left()[0]) is not None and list(old.taken_back()) == [] and old.settle()
    old.close()
    after = Journal(tmp_path, DISK)
    assert after.entries["a"].end == "delivered" and not after.entries["a"].given
    assert list(after.taken_back()) == []


def test_a_message_given_to_and_fro_is_never_forgotten_by_both(tmp_path: Path) -> None:
    old, new = Journal(tmp_path, DISK), Journal(tmp_path, DISK)

    def pass_on(giver: Journal, taker: Journal) -> None:
        giver.give([giver.entries["a"]])
        taker.look()
        (other,) = taker.living
        other.taken.clear()
        assert taker.taken_up(other, other.left()[0]) is not None

    old.take(entry("a"))
    pass_on(old, new)
    pass_on(new, old)  # neither has yet seen that the other wrote it down
    old.give([old.entries["a"]])
    for each in (old, new):
        each.look()
        each.settle()
    assert "a" in old.entries and old.entries["a"].body


def test_of_two_copies_of_the_dead_the_one_that_got_further_counts(tmp_path: Path) -> None:
    old, new = Journal(tmp_path, DISK), Journal(tmp_path, DISK)
    for each in (old, new):
        each.take(entry("a"))
        each.take(entry("b"))
    old.tried(old.entries["a"], 1500.0, "s-1", 0)  # it took both up before the other's file was removed
    new.ended(new.entries["b"], "delivered")
    os.close(old.file)
    os.close(new.file)
    again = Journal(tmp_path, DISK)
    assert again.entries["a"].risk == Attempt(1500.0, "s-1", 0) and again.entries["a"].tries == 1
    assert again.entries["b"].end == "delivered"


def test_the_others_compaction_is_followed_and_is_not_taken_for_its_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = Journal(tmp_path, DISK), Journal(tmp_path, DISK)
    for turn in range(3):
        old.take(entry(f"m{turn}"))
    old.says_role("serve")
    old.says_calls({"7": 2})
    old.says_lane(7, "", [["mean", 1.0]])
    new.look()
    old.look()
    old._compact()
    new.look()
    (other,) = new.living
    assert set(other.entries) == {"m0", "m1", "m2"}
    assert (other.role, other.calls, other.lanes) == ("serve", {"7": 2}, {(7, ""): [["mean", 1.0]]})
    old.take(entry("late"))
    assert new.knows("late")


def refuse(file: int, data: bytes) -> int:
    raise OSError(errno.ENOSPC, "no space")


def test_what_is_ready_again_when_the_others_file_is_compacted_is_not_kept_as_unlisted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    writer, reader = Journal(tmp_path, 300_000), Journal(tmp_path, 300_000)
    writer.says_unlisted({"s", "t"}, {"s", "t"})
    reader.look()
    assert reader.known_unlisted() == {"s", "t"}
    with monkeypatch.context() as patch, pytest.raises(JournalError):
        patch.setattr(os, "write", refuse)
        writer.says_unlisted({"t"}, {"s", "t"})
    writer._compact()  # the record itself was never in the old file
    reader.look()
    assert reader.known_unlisted() == {"t"}
    for each in (reader, writer):
        each.close()


def test_the_files_of_both_stay_within_the_folders_limit(tmp_path: Path) -> None:
    disk = 32 * SLACK
    old = Journal(tmp_path, disk)
    new = Journal(tmp_path, disk)
    refused = Counter[str]()
    for turn in range(400):
        for name, each in (("old", old), ("new", new)):
            each.look()
            try:
                each.take(entry(f"{name}{turn}", bytes(2000), due=0.0))
                each.ended(each.entries[f"{name}{turn}"], "delivered")
            except journal_module.JournalError:
                refused[name] += 1
            if turn % 50 == 0:
                each.tidy(1e13)
            assert folder_bytes(tmp_path) <= disk
    assert not refused, "what has ended makes room"


def test_the_role_of_a_dead_process_is_not_its_successors(tmp_path: Path) -> None:
    first = Journal(tmp_path, DISK)
    first.says_role("serve")
    first.close()
    second = Journal(tmp_path, DISK)
    third = Journal(tmp_path, DISK)
    assert third.living[0].role == "" == second.role


# -- two relays on sockets ---------------------------------------------------------------------------------


class Pair:
    """An old relay that runs, and a new one on its address and its folder."""

    def __init__(self, folder: Path) -> None:
        self.state = folder / "state"
        self.state.mkdir()
        self.agent, self.server = Agent(), Server()
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> Pair:
        await self.agent.start()
        await self.server.start()
        self.old = await self.begin()
        return self

    async def begin(self, port: int = 0) -> Host:
        host = host_of(self.state, self.agent, self.server, listen=f"127.0.0.1:{port}")
        self.stack.push_async_callback(host.close)
        if port:
            self.agent.tell(listing(self.server))
        await host.start()
        return host

    async def second(self) -> Host:
        new = await self.begin(self.old.ingress.port)
        await until(
            lambda: self.old.journal.role == "yield"
            and new.journal.role == "serve"
            and new.replacement.mode is api.Mode.CALLS
        )
        return new

    async def __aexit__(self, *_: object) -> None:
        await self.stack.aclose()

    async def hand_in(self, host: Host, data: bytes) -> None:
        """To this one of the two, whichever the system would choose."""
        ours, theirs = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=theirs)
        ours.setblocking(False)
        await host.ingress._arrive(ours, ClientConnection(host.ingress))
        writer.write(data)
        assert b" 202 " in await reader.readuntil(b"\r\n\r\n")
        writer.close()


def test_what_waits_and_what_comes_is_handed_over_and_what_is_out_ends_where_it_is(tmp_path: Path) -> None:
    async def work() -> None:
        async with Pair(tmp_path) as pair:
            pair.server.hold = asyncio.Event()
            await pair.hand_in(pair.old, message("out", "unsafe"))
            await pair.server.came.get()
            new = await pair.second()
            await until(lambda: new.relay.elsewhere == {7: 1})  # it holds a slot of both
            await pair.hand_in(pair.old, message("given"))
            await pair.hand_in(new, message("own"))
            await until(lambda: set(traces(pair.server)) == {"out", "given", "own"})
            assert {held.entry.id for held in pair.old.held.values()} == {"out"}
            pair.server.hold.set()
            await until(lambda: not pair.old.held and not new.held and new.relay.elsewhere == {})
            assert pair.old.journal.entries["out"].end == "delivered"
            assert {ident: each.end for ident, each in new.journal.entries.items()} == {
                "given": "delivered",
                "own": "delivered",
            }
            assert set(traces(pair.server).values()) == {1} and pair.agent.notices.empty()
            figures = [
                host.figures.counts["ok.safe"] + host.figures.counts["ok.unsafe"] for host in (pair.old, new)
            ]
            assert figures == [1, 2]

    run(work())


def test_a_message_brought_to_both_is_taken_on_once(tmp_path: Path) -> None:
    async def work() -> None:
        async with Pair(tmp_path) as pair:
            pair.server.hold = asyncio.Event()
            new = await pair.second()
            for host in (pair.old, new, pair.old):
                await pair.hand_in(host, message("m", "unsafe"))
            await pair.hand_in(new, message("n", "unsafe"))
            await pair.hand_in(pair.old, message("n", "unsafe"))
            await until(lambda: len(pair.server.seen) == 2)
            pair.server.hold.set()
            await until(lambda: not new.held and not pair.old.held)
            assert traces(pair.server) == {"m": 1, "n": 1}

    run(work())


def test_the_old_process_ends_and_leaves_nothing_behind(tmp_path: Path) -> None:
    async def work() -> None:
        async with Pair(tmp_path) as pair:
            new = await pair.second()
            pair.server.usual = answer(500)
            await pair.hand_in(pair.old, message("m", "unsafe"))
            assert await pair.agent.notices.get() == {"id": "m", "state": "failed"}
            stop = asyncio.create_task(pair.old.stop())
            await until(lambda: pair.old.journal.role == "stop")
            await stop
            await until(lambda: not new.journal.others)
            assert [path.name for path in pair.state.iterdir()] == ["journal-1"]
            pair.server.usual = answer(200)
            await pair.hand_in(new, message("n"))
            await until(lambda: new.journal.entries["n"].end == "delivered")

    run(work())


def test_the_old_process_goes_on_if_the_new_one_stops(tmp_path: Path) -> None:
    async def work() -> None:
        async with Pair(tmp_path) as pair:
            new = await pair.second()
            assert not pair.old.egress.idle
            stop = asyncio.create_task(new.stop())
            await until(lambda: pair.old.replacement.mode is api.Mode.CALLS)
            await pair.hand_in(pair.old, message("m"))
            await until(lambda: pair.old.journal.entries["m"].end == "delivered")
            await stop
            await until(lambda: not pair.old.journal.others and pair.old.journal.role == "serve")

    run(work())


def test_a_client_that_leaves_unheard_takes_its_message_back_from_both(tmp_path: Path) -> None:
    async def work() -> None:
        async with Pair(tmp_path) as pair:
            new = await pair.second()
            pair.server.script.append(answer(429, "X-RateLimit-Wait-Ms: 2000"))
            await pair.hand_in(pair.old, message("m"))
            await until(lambda: any(held.entry.id == "m" for held in new.held.values()))
            pair.old.withdraw("m")
            await until(lambda: not new.held)
            assert len(pair.server.seen) == 1 and "m" not in new.journal.entries  # and not: delivered since

    run(work())


def test_an_id_that_comes_again_at_the_other_process_after_its_client_had_left_never_runs_twice(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with Pair(tmp_path) as pair:
            pair.server.hold = asyncio.Event()
            await pair.hand_in(pair.old, message("m", "unsafe"))
            await pair.server.came.get()
            new = await pair.second()
            pair.old.withdraw("m")
            assert new.take(intaken(message("m", "unsafe"))).status == 503
            pair.server.hold.set()
            await until(lambda: pair.old.journal.entries["m"].end == "delivered")
            assert new.take(intaken(message("m", "unsafe"))).status == 202
            assert new.take(intaken(message("behind"))).status == 202
            assert (await pair.server.came.get()).headers["x-trace-id"] == "behind"
            assert traces(pair.server)["m"] == 1

    run(work())


def test_a_message_that_came_again_at_the_other_process_outlives_its_first_connection(tmp_path: Path) -> None:
    async def work() -> None:
        async with Pair(tmp_path) as pair:
            pair.server.hold = asyncio.Event()
            await pair.hand_in(pair.old, message("m", "unsafe"))
            await pair.server.came.get()
            new = await pair.second()
            assert new.take(intaken(message("m", "unsafe"))).status == 202
            pair.old.withdraw("m")
            pair.server.hold.set()
            await until(lambda: pair.old.journal.entries["m"].end == "delivered")

    run(work())


def test_two_processes_share_the_descriptors(tmp_path: Path) -> None:
    async def work() -> None:
        async with Pair(tmp_path) as pair:

            def total(*hosts: Host) -> int:
                return (
                    sum(
                        host.ingress.most + ACCEPTS + host.egress.most_idle + host.egress.most_ending + 38
                        for host in hosts
                    )
                    + pair.old.settings.slots
                )

            alone = pair.old.ingress.most
            assert total(pair.old) <= pair.old.config.sockets
            new = await pair.second()
            assert pair.old.ingress.most < alone and total(pair.old, new) <= pair.old.config.sockets
            await new.close()
            await until(lambda: pair.old.ingress.most == alone)

    run(work())


def test_who_is_queued_on_a_listener_that_closes_is_heard(tmp_path: Path) -> None:
    async def work() -> None:
        async with Pair(tmp_path) as pair:
            queued = [socket.create_connection(("127.0.0.1", pair.old.ingress.port)) for _ in range(40)]
            for number, sock in enumerate(queued):  # all before the loop can turn
                sock.sendall(message(f"m{number}", "keyed", left=16000))
            pair.old.ingress.leave()
            for sock in queued:
                reader, writer = await asyncio.open_connection(sock=sock)
                assert b"HTTP/1.1 " in await reader.readuntil(b"\r\n\r\n")
                writer.close()

    run(work())


# -- two processes -----------------------------------------------------------------------------------------


async def begin_second(process: Process) -> asyncio.subprocess.Process:
    """Starts a process beside the one that runs; that one is returned."""
    old, door = process.process, free_port()
    await process.start(RELAY_MGMT=f"127.0.0.1:{door}")

    def ready() -> bool:
        try:
            return ask(door, request("GET", "/-/ready"))[0] == 200
        except OSError:
            return False

    while not await asyncio.to_thread(ready):
        assert process.process.returncode is None
        await asyncio.sleep(0.02)
    return old


def test_a_running_process_is_replaced_and_every_message_ends_once(tmp_path: Path) -> None:
    async def work() -> None:
        agent, server, process = await world(tmp_path)
        await process.start()
        taken = 0

        async def client(number: int, done: asyncio.Event) -> None:
            nonlocal taken
            while not done.is_set():
                try:
                    async with Client(process.port) as mine:
                        head = ""
                        while "connection: close" not in head and not done.is_set():
                            ident = f"c{number}-{taken}"
                            status = await mine.ask(message(ident, "keyed", left=16000))
                            head, taken = mine.head, taken + (status == 202)
                            await asyncio.sleep(0.01)
                except (ConnectionError, asyncio.IncompleteReadError):
                    pass  # closed between two requests

        done = asyncio.Event()
        clients = [asyncio.create_task(client(number, done)) for number in range(6)]
        await until(lambda: taken > 20)
        old = await begin_second(process)
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        before = taken
        await until(lambda: taken > before + 20)
        done.set()
        await asyncio.gather(*clients)
        await until(lambda: len(server.seen) + agent.notices.qsize() >= taken)
        assert await process.end(signal.SIGTERM) == 0
        book = Journal(process.state, DISK)
        assert set(traces(server).values()) == {1}
        assert all(each.end for each in book.entries.values())

    run(work())


@pytest.mark.parametrize("who", ["old", "new"])
def test_whoever_is_killed_the_other_takes_up_its_messages(tmp_path: Path, who: str) -> None:
    async def work() -> None:
        agent, server, process = await world(tmp_path)
        server.usual = None
        await process.start()
        if who == "old":
            await process.hand_in(message("u", "unsafe"), message("s", "safe"))
            await until(lambda: len(server.seen) == 2)
        old = await begin_second(process)
        if who == "new":
            await process.hand_in(message("u", "unsafe"), message("s", "safe"))
            await until(lambda: len(server.seen) == 2)  # out from the new one, whoever took them on
        server.usual = answer(200)
        dies, lives = (old, process.process) if who == "old" else (process.process, old)
        dies.send_signal(signal.SIGKILL)
        await dies.wait()
        assert await agent.notices.get() == {"id": "u", "state": "failed"}
        await until(lambda: traces(server) == {"u": 1, "s": 2})
        await process.hand_in(message("after"))
        await until(lambda: traces(server)["after"] == 1)
        lives.send_signal(signal.SIGTERM)
        assert await lives.wait() == 0

    run(work())


def test_an_address_of_another_program_is_left_alone_and_so_is_its_folder(tmp_path: Path) -> None:
    async def work() -> None:
        _, _, process = await world(tmp_path)
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", process.port))
            taken.listen()
            child = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "linnetstile", env={**os.environ, "RELAY_CONFIG": str(process.config)}
            )
            assert await child.wait() == 1
        assert not list(process.state.iterdir())

    run(work())


def test_a_message_is_kept_as_it_is(tmp_path: Path) -> None:
    """What one process hands to the other is the same message, to the last byte."""
    old, new = Journal(tmp_path, DISK), Journal(tmp_path, DISK)
    whole = replace(entry("a", bytes(range(256))), key="k", again="1", tries=2, risk=Attempt(1.0, "s", 1))
    old.take(whole)
    old.give([old.entries["a"]])
    new.look()
    (other,) = new.living
    assert new.taken_up(other, other.left()[0]) == replace(whole, given=False)


def test_what_a_busy_process_holds_finds_room_beside_what_it_has_ended(tmp_path: Path) -> None:
    """Guards the hand-over of a full hold, and who comes to its taker, against a full folder."""
    old = Journal(tmp_path, DISK)
    for number in range(1500):
        ident = f"{number:016x}"
        old.take(replace(entry(ident, bytes(250), due=9e12), key="k" * 32))
        if number < 700:
            old.tried(old.entries[ident], 1500.0, "s-5be2a07c", 1)
            old.ended(old.entries[ident], "delivered")
    new = Journal(tmp_path, DISK)
    old.look()
    old.give([each for each in old.entries.values() if not each.end])
    new.look()
    (other,) = new.living
    assert all(new.taken_up(other, each) for each in other.left())
    for number in range(50):
        new.take(replace(entry(f"n{number}", bytes(250)), key="k" * 32))
    assert folder_bytes(tmp_path) <= DISK


def test_a_message_ends_in_its_time_however_late_its_turn_comes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards a hand-over of many: the time that taking them up costs is not added to what they have left."""
    clock = [50_000.0]
    monkeypatch.setattr("linnetstile.net.clock.now_ms", lambda: clock[0])

    async def work() -> None:
        async with Pair(tmp_path) as pair:
            host = pair.old
            host.turn = asyncio.get_running_loop().call_later(60, lambda: None)  # no turn until then
            one = replace(entry("m"), since=49_000.0, due=57_000.0)
            host.journal.take(one)
            host._take_up(one)
            clock[0] += 900.0
            host._step()
            (held,) = host.relay.board.held.values()
            assert held.due - host.last_turn == pytest.approx(6100.0)
            assert host.last_turn - held.since == pytest.approx(1900.0)

    run(work())
