"""Repeats under a key whose window is 1 s: none goes out later, over a restart and after a slow connect."""

from __future__ import annotations

from pathlib import Path

import pytest

from linnetstile import interface as api
from linnetstile.net import clock as clock_module
from linnetstile.net.host import Host
from linnetstile.net.journal import Entry, Journal

from .conftest import Driver, make_settings
from .loopback import SETTINGS, Agent, Server, host_of, run

WINDOW_MS, TICK_MS = 1000.0, 5.0
KEYED = api.MessageClass("k", api.Effect.KEYED, 4000.0, 16000.0, 1.0, 0.5, WINDOW_MS)
FIRST = api.Endpoint(11, 1, api.Listing.READY, 0, 0, 20.0)
BEGUN = 1_700_000_000_000.0  # the clock's time of the first try


def resumed(age_ms: float) -> tuple[Driver, int]:
    """A message whose first try, cut short by a restart, is so old."""
    d = Driver(make_settings(classes=(KEYED,), tick_ms=TICK_MS))
    d.listed((11, 1))
    d.ids += 1
    d.feed(api.Message(d.ids, 1, 0, 9000.0, 0, age_ms=age_ms, tries=1, risk_age_ms=age_ms, risk=FIRST))
    return d, d.ids


@pytest.mark.parametrize("age_ms", [0.0, 500.0, 990.0])
def test_a_repeat_that_connects_after_the_window_is_not_written(age_ms: float) -> None:
    d, ident = resumed(age_ms)
    assert [send.id for _, send in d.sent] == [ident]
    left = WINDOW_MS - TICK_MS - age_ms
    assert d.relay.may_write(d.now + left - 0.5, ident)
    assert not d.relay.may_write(d.now + left, ident)


@pytest.mark.parametrize("age_ms", [995.0, 1200.0])
def test_no_repeat_begins_after_the_window(age_ms: float) -> None:
    d, ident = resumed(age_ms)
    d.pass_time(9000)
    assert not d.sent and ident in d.ended


@pytest.mark.parametrize(("age_ms", "delay_ms"), [(1200.0, 0.0), (500.0, 600.0), (990.0, 6.0)])
def test_a_restart_sends_nothing_again_outside_the_window(
    tmp_path: Path, age_ms: float, delay_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also where the window ends between reading the journal and the module's first turn."""
    clock = [BEGUN]
    monkeypatch.setattr(clock_module, "now_ms", lambda: clock[0])

    async def work() -> None:
        agent, server = await Agent().start(), await Server().start()
        state = tmp_path / "state"
        state.mkdir()
        left = Journal(state, 3_000_000)
        entry = Entry("m", "keyed", "t", 7, "k-m", BEGUN, BEGUN + 16000.0, "", b"hello")
        left.take(entry)
        left.tried(entry, BEGUN, f"s-{server.address[1]}", 0)
        left.close()
        clock[0] = BEGUN + age_ms
        classes = [
            {**each, **({"window-ms": WINDOW_MS} if each["name"] == "keyed" else {})}
            for each in SETTINGS["classes"]
        ]
        host = host_of(state, agent, server, settings={**SETTINGS, "classes": classes})
        resume = host._resume

        def late(self: Host) -> None:
            resume()
            clock[0] += delay_ms

        monkeypatch.setattr(Host, "_resume", late)
        await host.start()
        assert (await agent.notices.get())["id"] == "m"
        assert not server.seen and not server.opened
        await host.close()

    run(work())
