"""One client that asks without end: what it may take of the hold and of the log while others ask too."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Hashable
from pathlib import Path

import pytest

from linnetstile.client_shares import CROWDED, RECENT_MS, ClientShares
from linnetstile.net.log_limit import LINES, WINDOW_S, LimitedLog

from .loopback import SETTINGS, Client, message, run
from .test_crossings import World

HOLD = 20
GREEDY, OTHER = 1, 2
OTHERS_MESSAGES = 10
WIDE_HOLD = 40  # of which the other client's messages are less than half, and with the greedy one's too many
WIDE = {**SETTINGS, "limits": {**SETTINGS["limits"], "open-cap": WIDE_HOLD}}


def filled(client: int, count: int) -> ClientShares:
    shares = ClientShares(HOLD)
    shares.asked(client, 0.0)
    for _ in range(count):
        shares.accepted(client)
    return shares


def test_one_client_alone_may_fill_the_hold() -> None:
    assert filled(GREEDY, HOLD - 1).may_accept(GREEDY, 0.0)


def test_one_that_has_over_half_leaves_the_rest_to_others_while_they_ask() -> None:
    shares = filled(GREEDY, int(CROWDED * HOLD))
    shares.asked(OTHER, 0.0)
    assert not shares.may_accept(GREEDY, RECENT_MS - 1) and shares.may_accept(GREEDY, RECENT_MS)
    assert shares.may_accept(OTHER, 0.0)
    shares.ended(GREEDY)
    assert shares.may_accept(GREEDY, 0.0)


class SharesAtOneMoment(ClientShares):
    """All requests come at the same time, however long the machine takes to handle them."""

    def asked(self, client: Hashable, now_ms: float) -> None:
        super().asked(client, 0.0)

    def may_accept(self, client: Hashable, now_ms: float) -> bool:
        return super().may_accept(client, 0.0)


def test_a_client_at_full_speed_does_not_keep_the_messages_of_another_out(tmp_path: Path) -> None:
    """What is held stays so, but for what makes room; the other client never has half of it, whichever of the
    two clients' messages make room and whichever calls end."""

    async def work() -> None:
        async with World(tmp_path, WIDE) as world:
            world.host.shares = SharesAtOneMoment(WIDE_HOLD)
            world.server.hold = asyncio.Event()
            async with Client(world.host.ingress.port) as greedy, Client(world.host.ingress.port) as other:
                assert await other.ask(message("first")) == 202
                statuses = []
                for number in range(OTHERS_MESSAGES):
                    greedy.writer.write(b"".join(message(f"g{number}-{each}") for each in range(50)))
                    for _ in range(50):
                        await greedy.status()
                    statuses.append(await other.ask(message(f"o{number}")))
            assert statuses == [202] * OTHERS_MESSAGES
            assert world.host.figures.refused["client_share"] > 0

    run(work())


def test_a_flood_of_bad_requests_is_no_flood_of_lines(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    now_s = 0.0
    monkeypatch.setattr("time.monotonic", lambda: now_s)
    limited = LimitedLog(logging.getLogger("flood"))
    with caplog.at_level(logging.INFO):
        for number in range(1000):
            limited.info("bad", "number %d", number)
        limited.info("other", "other")
        assert len(caplog.records) == LINES + 1
        now_s = WINDOW_S
        limited.info("bad", "last")
    assert [record.getMessage() for record in caplog.records][-2:] == [
        f"bad: {1000 - LINES} more lines were left out",
        "last",
    ]
