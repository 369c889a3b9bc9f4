"""One relay as a real process: its configuration, its signals, and what fails in it."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .ledger import Ledger, Restart
from .platform import Platform
from .state_folder import breaches_of_an_end, breaches_of_size

ROOT = Path(__file__).parents[2]
DOWN_S = 0.6  # from SIGKILL to the next start (PROTOCOL, "Figures")
KILL_AFTER_TERM_S = 3.7
READY_LOOK_S = 0.01
SOCKETS, MEMORY_MB, DISK_MB = 1024, 32, 3  # the most and the least that the pages name
READY_MOST_S = 30.0
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


@dataclass
class RelayProcess:
    number: int
    folder: Path
    settings: dict[str, Any]
    platform: Platform
    ledger: Ledger
    address: tuple[str, int]
    process: asyncio.subprocess.Process | None = None
    failing: dict[str, Any] = field(default_factory=dict)
    busy: asyncio.Lock = field(default_factory=asyncio.Lock)  # one series of signals at a time
    up_since: float = float("inf")
    moves: list[Platform] = field(default_factory=list)  # the addresses of before

    def __post_init__(self) -> None:
        self.state.mkdir(parents=True)
        self.known = self.platform.listing.whole()
        self.set_failing()
        self.ledger.restarts.setdefault(self.number, [])

    @property
    def state(self) -> Path:
        """The folder that lasts."""
        return self.folder / "state"

    @property
    def log(self) -> Path:
        return self.folder / "log"

    def set_failing(self, **calls: Any) -> None:
        """What fails from now on, by the name of the call; None: it works again (see fault_process)."""
        self.failing = {name: fault for name, fault in {**self.failing, **calls}.items() if fault is not None}
        self._replace("faults.json", self.failing)

    def _replace(self, name: str, content: dict[str, Any]) -> None:
        spare = self.folder / f"{name}.new"
        spare.write_text(json.dumps(content))
        spare.replace(self.folder / name)

    def _configure(self) -> None:
        self._replace(
            "config.json",
            {
                "name": f"n{self.number}",
                "listen": "{}:{}".format(*self.address),
                "discovery": "{}:{}".format(*self.platform.address),
                "seed": f"{random.getrandbits(64):x}",
                "state": str(self.state),
                "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB, "disk_mb": DISK_MB},
                "known": self.known,
                "settings": self.settings,
            },
        )

    async def start(self) -> None:
        """Returns once it takes clients."""
        await self.begin()
        until = time.monotonic() + READY_MOST_S
        while not await self._is_ready():
            if self.process is None or self.process.returncode is not None or time.monotonic() > until:
                self.ledger.seen.append(f"crash: relay {self.number} did not start")
                return
            await asyncio.sleep(READY_LOOK_S)
        self.up_since = time.monotonic()

    async def begin(self) -> None:
        self._configure()
        if self.settings.get("registry-mode") != "ask":  # what the agent has counts from the first moment
            self.platform.tell(self.platform.listing.since(-1)["instances"], time.monotonic())
        env = {
            **os.environ,
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "FAULTS": str(self.folder / "faults.json"),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "linnetstile.soak.fault_process", env=env, cwd=ROOT, stderr=log
            )

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(HEALTH)
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    def was_killed(self, since: float) -> bool:
        """Whether its process was told to end, or was down, at any moment from then on."""
        return self.up_since > since or any(
            restart.begun_at >= since or since < restart.ready_at
            for restart in self.ledger.restarts[self.number]
        )

    async def restart(
        self, how: signal.Signals, again_after_s: list[float], refusing_since: float = float("inf")
    ) -> None:
        """Ends it, and starts it anew; then killed so long after each start, and started once more."""
        restart = Restart(time.monotonic(), 0.0, refusing_since=refusing_since)
        self.ledger.restarts[self.number].append(restart)
        self.up_since = float("inf")
        await self._end(how)
        restart.killed_at = time.monotonic()
        await asyncio.sleep(DOWN_S)
        for seconds in again_after_s:
            await self.begin()
            await asyncio.sleep(seconds)
            await self._end(signal.SIGKILL)
            restart.killed_at = time.monotonic()
            await asyncio.sleep(DOWN_S)
        await self.start()
        restart.ready_at = time.monotonic()

    async def _end(self, how: signal.Signals) -> None:
        assert self.process is not None
        code = self.process.returncode
        if code is not None:
            self.ledger.seen.append(f"crash: relay {self.number} had ended with {code}")
            return
        self._note_peak()
        self.ledger.seen += breaches_of_size(self.state, DISK_MB * 1_000_000)
        self.process.send_signal(how)
        try:
            async with asyncio.timeout(KILL_AFTER_TERM_S):
                code = await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            return
        if how is signal.SIGTERM and code != 0:
            self.ledger.seen.append(f"crash: relay {self.number} ended with {code}")

    def _note_peak(self) -> None:
        """The most that its process has had in memory (proc(5))."""
        assert self.process is not None
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return
        peak = next((int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM:")), 0)
        self.ledger.peak_bytes = max(self.ledger.peak_bytes, peak)
        if peak > MEMORY_MB * 1e6:
            self.ledger.seen.append(f"memory: relay {self.number} had {peak / 1e6:.1f} MB")

    async def move_discovery(self, successor: Platform) -> None:
        """The configuration names another address from now on, and the process is told."""
        old, self.platform = self.platform, successor
        self._configure()
        old.replaced_at = time.monotonic()
        self.moves.append(old)
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        """Ends it for good, as at a planned restart."""
        await self._end(signal.SIGTERM)
        if self.process is not None and self.process.returncode == 0:
            self.ledger.seen += breaches_of_an_end(self.state)

    def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
