"""The operators' drain binds whichever process of the relay lives, until a resume."""

from __future__ import annotations

import asyncio
import errno
import os
from pathlib import Path

import pytest

from linnetstile.net.host import Host
from linnetstile.net.operator_drain import MARKER, OperatorDrain

from .loopback import Agent, Client, Server, host_of, run, until

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


async def begin(folder: Path, port: int = 0) -> Host:
    state = folder / "state"
    state.mkdir(exist_ok=True)
    agent, server = await Agent().start(), await Server().start()
    host = host_of(state, agent, server, listen=f"127.0.0.1:{port}")
    await host.start()
    return host


async def health(host: Host) -> int:
    async with Client(host.ingress.port) as client:
        return await client.ask(HEALTH)


def test_a_drained_relay_stays_so_over_a_restart_until_it_is_told_to_resume(tmp_path: Path) -> None:
    """Guards against a relay that takes clients again though nobody has ended its drain: review/7."""

    async def work() -> None:
        host = await begin(tmp_path)
        host.drain(True)
        for _ in range(2):
            assert await health(host) == 503
            await host.close()
            host = await begin(tmp_path)
            assert host.ready and host._tell_ready().status == 503 and host.ingress.away_by < float("inf")
        host.drain(False)
        assert await health(host) == 200 and not (host.config.state / MARKER).exists()
        await host.close()

    run(work())


def test_both_processes_of_a_replacement_go_by_the_last_call_to_either(tmp_path: Path) -> None:
    async def work() -> None:
        old = await begin(tmp_path)
        new = asyncio.create_task(begin(tmp_path, old.ingress.port))
        await until(lambda: bool(old.journal.living))
        old.drain(True)
        successor = await new
        assert successor.draining
        successor.drain(False)
        await until(lambda: not old.draining)
        assert old.ingress.away_by == float("inf")
        successor.drain(True)
        await until(lambda: old.draining)
        assert old.ingress.away_by < float("inf")
        await old.close()
        await successor.close()

    run(work())


def test_a_drain_that_the_folder_refuses_holds_and_is_written_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse(*_: object, **__: object) -> None:
        raise OSError(errno.EIO, "no")

    drain = OperatorDrain(tmp_path)
    with monkeypatch.context() as patch:
        for name in ("open", "utime", "stat"):
            patch.setattr(os, name, refuse)
        drain.set(True)
        assert drain.active and not drain.look() and drain.active
    assert not drain.look() and drain.active and OperatorDrain(tmp_path).active
    with monkeypatch.context() as patch:
        patch.setattr(os, "unlink", refuse)
        drain.set(False)
        assert not drain.active and not drain.look() and not drain.active
    assert not drain.look() and not drain.active and not OperatorDrain(tmp_path).active
