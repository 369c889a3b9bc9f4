"""No call begins on the word of a list that is older than what counts as told."""

from __future__ import annotations

import pytest

from linnetstile import interface as api
from linnetstile.list_confirmation import HOLD_MS, MOVED_MS
from linnetstile.net.discovery import Directory

from .conftest import SAFE, Driver, make_settings

NEWS = api.EndpointList(api.ListKind.CHANGES)


def begun(ask: bool) -> Driver:
    driver = Driver(make_settings(ask_for_list=ask))
    driver.listed((7, 1))
    driver.feed(api.ListUnconfirmed(api.ListDoubt.STARTED))
    return driver


def test_a_new_process_calls_nobody_until_a_pushed_list_has_come() -> None:
    driver = begun(ask=False)
    ident = driver.message(SAFE)
    driver.pass_time(HOLD_MS / 2)
    assert not driver.sent
    driver.feed(NEWS)
    assert [send.id for _, send in driver.sent] == [ident] and driver.sent[0][0] == driver.now


def test_a_list_that_never_comes_holds_a_new_process_for_a_bounded_time() -> None:
    driver = begun(ask=False)
    began = driver.now
    driver.message(SAFE)
    driver.pass_time(HOLD_MS + 50.0)
    assert len(driver.sent) == 1 and HOLD_MS <= driver.sent[0][0] - began < HOLD_MS + 20.0


def test_a_new_process_goes_on_with_its_list_where_lists_are_asked_for() -> None:
    driver = begun(ask=True)
    driver.message(SAFE)
    assert len(driver.sent) == 1


@pytest.mark.parametrize("ask", [False, True])
def test_after_a_change_of_address_calls_go_on_until_its_news_counts_as_told(ask: bool) -> None:
    driver = begun(ask)
    driver.feed(NEWS)
    driver.feed(api.ListUnconfirmed(api.ListDoubt.MOVED))
    moved = driver.now
    first = driver.message(SAFE)
    driver.pass_time(MOVED_MS - 50.0)
    assert len(driver.sent) == 1
    driver.answer(first)
    driver.pass_time(100.0)
    held = driver.message(SAFE)
    driver.pass_time(HOLD_MS / 2)
    assert len(driver.sent) == 1
    driver.pass_time(HOLD_MS)
    assert driver.sent[-1][1].id == held
    assert MOVED_MS + HOLD_MS <= driver.sent[-1][0] - moved < MOVED_MS + HOLD_MS + 20.0


@pytest.mark.parametrize("between_ms", [1500.0, 3000.0])
def test_a_second_change_of_address_does_not_put_off_what_counts_as_told_after_the_first(
    between_ms: float,
) -> None:
    driver = begun(ask=True)
    driver.feed(api.ListUnconfirmed(api.ListDoubt.MOVED))
    moved = driver.now
    driver.pass_time(between_ms)
    driver.feed(api.ListUnconfirmed(api.ListDoubt.MOVED))
    driver.pass_time(moved + MOVED_MS + 600.0 - driver.now)
    driver.message(SAFE)
    assert not driver.sent
    driver.feed(NEWS)
    assert len(driver.sent) == 1


def test_a_change_of_address_right_after_the_start_does_not_make_the_hold_of_the_start_longer() -> None:
    driver = begun(ask=False)
    began = driver.now
    driver.pass_time(50.0)
    driver.feed(api.ListUnconfirmed(api.ListDoubt.MOVED))
    driver.message(SAFE)
    driver.pass_time(HOLD_MS + 50.0)
    assert len(driver.sent) == 1 and HOLD_MS <= driver.sent[0][0] - began < HOLD_MS + 20.0


def test_a_call_that_is_being_connected_when_the_hold_begins_is_not_written() -> None:
    driver = begun(ask=True)
    driver.feed(api.ListUnconfirmed(api.ListDoubt.MOVED))
    driver.pass_time(MOVED_MS - 10.0)
    ident = driver.message(SAFE)
    assert driver.relay.may_write(driver.now, ident)
    assert not driver.relay.may_write(driver.now + 20.0, ident)
    driver.feed(NEWS)
    assert driver.relay.may_write(driver.now + 20.0, ident)


def test_changes_up_to_an_older_version_are_not_believed_and_all_is_asked_for() -> None:
    directory = Directory(("k",), ("z",))
    directory.apply({"generation": 5, "reset": True, "instances": []})
    with pytest.raises(ValueError, match="older version"):
        directory.apply({"generation": 4, "reset": False, "instances": []})
    assert directory.version == -1
    directory.apply({"generation": 2, "reset": True, "instances": []})  # a platform that counts anew
    assert directory.version == 2
