"""What one process of a relay was told of an endpoint binds whichever process lives."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from linnetstile import interface as api
from linnetstile.control import Relay
from linnetstile.net.agent import Silent
from linnetstile.net.bounded_names import BoundedNames
from linnetstile.net.discovery import Directory
from linnetstile.net.host import Host
from linnetstile.net.journal import Journal
from linnetstile.net.replacement import Replacement
from linnetstile.unready_reports import UnreadyReports

from .conftest import Driver, make_settings
from .loopback import SETTINGS, Agent, Client, Server, host_of, listing, message, run, until
from .test_slow_lists import Hedged, Service
from .virtual_time import run_virtual

DISK = 3_000_000
FIRST_ASKED_S = 0.5
ASKED = {**SETTINGS, "registry-mode": "ask"}
ONE, OTHER = Server(address=("127.0.0.1", 1)), Server(address=("127.0.0.1", 2))


def name_of(server: Server) -> str:
    return f"s-{server.address[1]}"


class SilentDiscovery(Agent):
    """Answers no call for the list."""

    async def _news(self, target: str) -> bytes | str | None:
        await asyncio.Event().wait()
        return None


def directory() -> Directory:
    made = Directory(("k",), ("z",))
    made.apply(listing(ONE, OTHER))
    return made


def follower(journal: Journal, reported: list[set[str]] | None = None) -> Replacement:
    def keep(names: set[str]) -> None:
        journal.heard_unlisted(names)
        if reported is not None:
            reported.append(names)

    return Replacement(
        journal,
        Relay(make_settings(), 1),
        Directory((), ()),
        lambda events: None,
        lambda entry: None,
        lambda ident: None,
        keep,
    )


# -- until when a report binds ------------------------------------------------------------------------------


def test_a_report_binds_until_a_call_that_began_after_it_is_answered() -> None:
    reports = UnreadyReports()
    reports.report({"a", "b"}, 10.0)
    reports.report({"b"}, 20.0)
    assert reports.release(10.0) == set() and "a" in reports
    assert reports.release(15.0) == {"a"} and "a" not in reports and "b" in reports
    assert reports.release(21.0) == {"b"} and "b" not in reports


def test_a_reported_endpoint_gets_nothing_new_until_the_list_is_newer_than_the_report() -> None:
    known = directory()
    numbers = known.report_unready({"s-1", "s-9"}, 10.0)
    assert numbers == (known.by_name["s-1"].entry.id,)
    assert not known.is_ready("s-1") and known.ready(numbers[0]) is None and known.is_ready("s-2")
    early = known.apply(listing(ONE, generation=2, reset=False), asked_ms=9.0)
    assert [entry.listing for entry in early.entries] == [api.Listing.DRAINING] and not known.is_ready("s-1")
    no_news: dict[str, Any] = {"generation": 2, "reset": False, "instances": []}
    late = known.apply(no_news, asked_ms=11.0)
    assert [(entry.id, entry.listing) for entry in late.entries] == [(numbers[0], api.Listing.READY)]
    assert known.is_ready("s-1") and known.touched == {"s-1", "s-9"}


def test_a_whole_list_goes_before_a_report_only_if_it_was_asked_for_later() -> None:
    for asked_ms, ready in ((9.0, False), (11.0, True)):
        known = directory()
        known.report_unready({"s-1"}, 10.0)
        event = known.apply(listing(ONE, OTHER, generation=2), asked_ms=asked_ms)
        shown = {entry.id: entry.listing is api.Listing.READY for entry in event.entries}
        assert shown == {known.by_name["s-1"].entry.id: ready, known.by_name["s-2"].entry.id: True}
        assert known.is_ready("s-1") is ready


def test_the_answer_of_an_older_request_does_not_count_as_asked_for_later() -> None:
    async def work() -> None:
        discovery = Hedged(Service(delay_s=4.0))
        await asyncio.sleep(FIRST_ASKED_S)
        with pytest.raises(Silent):
            await discovery.ask("GET", "/v1/servers", b"", 1.0)
        await asyncio.sleep(1.0)
        await discovery.ask("GET", "/v1/servers", b"", 10.0)
        assert discovery.asked_at_s == FIRST_ASKED_S

    run_virtual(work())


def test_the_module_drops_what_another_process_was_told_and_does_not_take_it_for_a_list() -> None:
    driver = Driver()
    driver.listed((1, 1), (2, 1))
    driver.feed(api.ListUnconfirmed(api.ListDoubt.MOVED))
    doubts = list(driver.relay.confirmation._doubts)
    driver.feed(api.EndpointsUnready((1, 9)))
    assert set(driver.relay.endpoints) == {2}
    assert doubts and driver.relay.confirmation._doubts == doubts


# -- the journal --------------------------------------------------------------------------------------------


def test_what_a_process_was_told_outlives_its_file(tmp_path: Path) -> None:
    """Guards against a removed file: what it said is in the file of whoever took it up."""
    old, new = Journal(tmp_path, DISK), Journal(tmp_path, DISK)
    follow = follower(new)
    follow.follow()
    old.says_unlisted({"a", "b"}, {"a", "b"})
    old.says_unlisted({"b"}, {"a", "b"})
    old.close()
    follow.follow()
    assert [path.name for path in tmp_path.iterdir()] == [new.path.name]
    new._compact()
    new.close()
    assert Journal(tmp_path, DISK).known_unlisted() == {"b"}


def test_what_a_living_process_has_only_heard_does_not_go_to_and_fro(tmp_path: Path) -> None:
    old, new = Journal(tmp_path, DISK), Journal(tmp_path, DISK)
    heard_by_old, heard_by_new = list[set[str]](), list[set[str]]()
    one, other = follower(old, heard_by_old), follower(new, heard_by_new)
    old.says_unlisted({"a"}, {"a"})
    for _ in range(3):
        other.follow()
        one.follow()
    assert heard_by_new == [{"a"}] and heard_by_old == []
    old._compact()
    old.says_unlisted({"b"}, {"b"})
    other.follow()
    assert heard_by_new == [{"a"}, {"b"}]
    new.close()
    one.follow()
    assert heard_by_old == [{"a", "b"}], "a dead process's word is all that it knew"


def test_the_latest_names_are_kept_and_their_room_is_counted(tmp_path: Path) -> None:
    names = BoundedNames(3)
    names.add(["a", "b", "c"])
    names.add(["a", "d"])
    assert list(names) == ["c", "a", "d"] and names.record_bytes == 12
    names.add(['"\\é'])
    assert names.record_bytes == 8 + len(r'"\"\\\u00e9",')
    journal = Journal(tmp_path, DISK)
    journal.says_unlisted({"x" * 97}, {"x" * 97})
    assert journal.live == 100
    journal.says_unlisted(set(), {"x" * 97})
    assert journal.live == 0


# -- relays on sockets --------------------------------------------------------------------------------------


def test_a_process_that_takes_over_does_not_call_what_the_other_was_told_drains(tmp_path: Path) -> None:
    """Guards against an overbooked discovery during a replacement: review/8."""

    async def work() -> None:
        state = tmp_path / "state"
        state.mkdir()
        discovery, silent = await Agent().start(), await SilentDiscovery().start()
        drains, stays = await Server().start(), await Server().start()
        old = host_of(state, discovery, drains, stays, settings=ASKED)
        await old.start()
        port = old.ingress.port
        new = host_of(state, silent, drains, stays, settings=ASKED, listen=f"127.0.0.1:{port}")
        starting = asyncio.create_task(new.start())
        await until(lambda: bool(old.journal.living))
        discovery.tell(listing(drains, generation=2, reset=False, state="draining"))
        await until(lambda: not new.directory.is_ready(name_of(drains)))
        await starting
        await until(lambda: new.replacement.mode is api.Mode.CALLS)
        await old.close()
        async with Client(port) as client:
            for number in range(8):
                assert await client.ask(message(f"m{number}")) == 202
        await until(lambda: len(stays.seen) == 8)
        assert not drains.seen and name_of(drains) in new.journal.known_unlisted()
        await new.close()

    run(work())


async def _restarted(host: Host, state: Path, *servers: Server) -> Host:
    """The next process, with a list of these and a discovery that says nothing."""
    await host.close()
    successor = host_of(state, await SilentDiscovery().start(), *servers, settings=ASKED)
    await successor.start()
    return successor


def test_a_restart_does_not_call_what_was_added_after_the_last_start_and_drained(tmp_path: Path) -> None:
    """Guards against a list older than what the relay was told: review/5."""

    async def work() -> None:
        state = tmp_path / "state"
        state.mkdir()
        discovery = await Agent().start()
        stays, added = await Server().start(), await Server().start()
        host = host_of(state, discovery, stays, settings=ASKED)
        await host.start()
        discovery.tell(listing(added, generation=2, reset=False))
        await until(lambda: host.directory.is_ready(name_of(added)))
        discovery.tell(listing(added, generation=3, reset=False, state="draining"))
        await until(lambda: not host.directory.is_ready(name_of(added)))
        for _ in range(2):  # also one that discovery never told itself
            host = await _restarted(host, state, stays, added)
            assert host.directory.is_ready(name_of(stays)) and not host.directory.is_ready(name_of(added))
        await host.close()

    run(work())


def test_what_is_not_in_a_whole_list_any_more_is_remembered_and_what_is_ready_again_is_not(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        state = tmp_path / "state"
        state.mkdir()
        discovery = await Agent().start()
        host = host_of(state, discovery, ONE, settings=ASKED)
        await host.start()
        discovery.tell(listing(OTHER, generation=2, reset=False))
        discovery.tell(listing(ONE, generation=3))
        await until(lambda: host.directory.version == 3)
        assert host.journal.unlisted == {"s-2"}
        discovery.tell(listing(OTHER, generation=4, reset=False))
        await until(lambda: host.directory.version == 4)
        assert host.journal.unlisted == set()
        await host.close()

    run(work())
