"""Drives `fault_process`: a relay's process whose clock and system calls a test makes fail while it runs."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from .loopback import Agent, Server
from .test_process import Process

ROOT = Path(__file__).parents[1]
PATIENCE_S = 12.0  # nothing that is waited for here takes as long


class FaultProcess(Process):
    def __init__(self, folder: Path, agent: Agent, *servers: Server) -> None:
        super().__init__(folder, agent, *servers)
        self.faults = folder / "faults.json"
        self.begun: list[asyncio.subprocess.Process] = []
        self.failing: dict[str, Any] = {}
        self.log: Path | None = None  # its standard error goes there, if anywhere
        self.set()

    def set(self, **faults: Any) -> None:
        """What fails from now on; all else works again."""
        spare = self.faults.with_suffix(".new")
        spare.write_text(json.dumps(faults))
        spare.replace(self.faults)

    def change(self, **faults: Any) -> None:
        """Some of what fails from now on; None: it works again."""
        faults = {**self.failing, **faults}
        self.failing = {name: fault for name, fault in faults.items() if fault is not None}
        self.set(**self.failing)

    def kill(self) -> None:
        """Leaves nothing behind, however the test ended."""
        for process in self.begun:
            if process.returncode is None:
                process.kill()

    async def begin(self, **more: str) -> None:
        env = {**os.environ, "RELAY_CONFIG": str(self.config), "FAULTS": str(self.faults), **more}
        with (self.log or Path(os.devnull)).open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "linnetstile.soak.fault_process",
                env=env,
                cwd=ROOT,
                stderr=log if self.log else None,
            )
        self.begun.append(self.process)

    def on_file(self, ident: str, kind: str) -> bool:
        """Whether a whole record of this kind is in the folder for that message."""
        records = [line for path in self.state.glob("journal*") for line in path.read_text().splitlines()]
        return any(
            f'"k":"{kind}"' in line and f'"id":"{ident}"' in line and line.endswith("}") for line in records
        )


@asynccontextmanager
async def fault_world(folder: Path) -> AsyncIterator[tuple[Agent, Server, FaultProcess]]:
    agent, server = await Agent().start(), await Server().start()
    process = FaultProcess(folder, agent, server)
    try:
        yield agent, server, process
    finally:
        process.kill()


async def soon(true: Callable[[], bool], seconds: float = PATIENCE_S) -> bool:
    """Whether it becomes true in that time."""
    try:
        async with asyncio.timeout(seconds):
            while not true():
                await asyncio.sleep(0.01)
    except TimeoutError:
        return False
    return True
