"""The relay's process: signals, exit codes, and the configuration that SIGHUP reads anew."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import time

from .config import Config, ConfigError, load
from .host import Host
from .starting import once_possible

log = logging.getLogger(__name__)


# By RELAY_LOG_TRAFFIC: nothing of single messages, or also their usual steps.
TRAFFIC_LEVELS = {"0": logging.WARNING, "1": logging.DEBUG}


async def started(config: Config) -> Host:
    """A host that serves. OSError where its folder or its sockets cannot be had."""
    host = Host(config)
    try:
        await host.start()
    except OSError:
        await host.close()
        raise
    return host


async def serve() -> None:
    stopping, changed = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, changed.set)  # before the file is read: no change is missed
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    # Nothing here keeps the configuration: its list of endpoints may be large.
    host = await once_possible(lambda: started(load()), lambda: not stopping.is_set())
    if host is None:
        return
    logging.info("clocks: monotonic %.3f s, wall %.3f s", time.monotonic(), time.time())
    logging.info(
        "%s serves on %s:%d, %d slots, idle connections end after %.0f ms",
        host.config.name,
        *host.config.listen,
        host.settings.slots,
        host.settings.idle_ms,
    )
    host.tasks.start(follow(host, changed))
    await stopping.wait()
    await host.stop()
    # Guards the exit code: closing the loop brings the signals' default actions back.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))


async def follow(host: Host, changed: asyncio.Event) -> None:
    """Takes over what a replaced configuration says, also while the relay is stopping."""
    while True:
        await changed.wait()
        changed.clear()
        try:
            host.reload(load())
        except ConfigError as error:
            log.error("the new configuration is passed over: %s", error)
        except Exception:
            log.exception("the new configuration cannot be taken over")  # and the next one still can


def main() -> int:
    # Guards against the default action, which ends the process, until the loop has a handler of its own.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    if (level := TRAFFIC_LEVELS.get(os.environ.get("RELAY_LOG_TRAFFIC", ""))) is not None:
        logging.getLogger("linnetstile.traffic").setLevel(level)
    try:
        asyncio.run(serve())
    except ConfigError as error:
        print(f"linnetstile: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"linnetstile: {error}", file=sys.stderr)
        return 1
    return 0
