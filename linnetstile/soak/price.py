"""What resting connections cost: connections, and times of calls and notices, over paths that take time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from ..net.agent import Agent
from ..net.config import Address
from ..net.egress import Call, Egress
from ..net.link import Link
from ..net.outcomes import Notices
from .addresses import Addresses
from .stand_in import Request, Response, StandIn

ENDPOINTS = 20
SERVICE_S = 0.005, 0.03
PATIENCE_S = 5.0
LEAST_IDLE = 64
HEADER = "  path   per s extras |   calls  opened  kept  median     p99 | notices  opened  median     p99"


@dataclass(frozen=True, slots=True)
class Load:
    path_s: float  # one way
    per_s: float  # calls, over all endpoints; as many notices
    extras_share: float
    seconds: float


@dataclass
class Server(StandIn):
    status: int = 200
    rng: random.Random = field(default_factory=random.Random)

    async def reply(self, request: Request) -> Response:
        await asyncio.sleep(self.rng.uniform(*SERVICE_S) if self.status == 200 else 0.0)
        return Response(self.status)


def quantile(values: list[float], share: float) -> float:
    """Of times in seconds, in milliseconds."""
    return 1000 * sorted(values)[int(share * (len(values) - 1))]


class Bench:
    """One load, played once."""

    def __init__(self, load: Load, addresses: Addresses) -> None:
        self.load, self.addresses = load, addresses
        self.rng = random.Random(1)
        self.opened = {200: 0, 204: 0}
        self.took: dict[int, list[float]] = {200: [], 204: []}
        self.kept = 0

    async def play(self) -> str:
        """A row of the table."""
        servers = [await self._server(200) for _ in range(ENDPOINTS)]
        platform = await self._server(204)
        real_open, loop = Link.open, asyncio.get_running_loop()

        async def open_link(address: Address, body_bytes: int) -> Link:
            self.opened[204 if address == platform.address else 200] += 1
            await asyncio.sleep(2 * self.load.path_s)  # the handshake's round trip
            return await real_open(address, body_bytes)

        Link.open = open_link  # type: ignore[method-assign]
        waiting: dict[str, float] = {}

        def told(idents: list[str]) -> None:
            self.took[204] += [loop.time() - waiting.pop(ident) for ident in idents if ident in waiting]

        egress, notices = Egress(15_000, 5000, LEAST_IDLE), Notices(Agent(platform.address), told)
        sender = asyncio.create_task(notices.run())

        async def call(number: int) -> None:
            address, began = servers[self.rng.randrange(ENDPOINTS)].address, loop.time()
            answer = await egress.call(
                Call(address[1], address, f"m{number}", None, b"x", began + PATIENCE_S, lambda: True)
            )
            self.took[200].append(loop.time() - began)
            self.kept += answer.kept is True

        async def notice(number: int) -> None:
            waiting[f"m{number}"] = loop.time()
            notices.add(f"m{number}", "failed")

        try:
            await asyncio.gather(self._at_rate(call), self._at_rate(notice))
            await asyncio.sleep(1.0)
        finally:
            sender.cancel()
            Link.open = real_open  # type: ignore[method-assign]
        return self._row()

    async def _server(self, status: int) -> Server:
        server = Server(
            self.addresses.next(),
            path_s=self.load.path_s,
            extras_share=self.load.extras_share,
            extras_rng=random.Random(status),
            status=status,
            rng=random.Random(2),
        )
        await server.listen()
        return server

    async def _at_rate(self, work: Callable[[int], Coroutine[None, None, None]]) -> None:
        async with asyncio.TaskGroup() as tasks:
            for number in range(int(self.load.per_s * self.load.seconds)):
                await asyncio.sleep(self.rng.expovariate(self.load.per_s))
                tasks.create_task(work(number))

    def _row(self) -> str:
        load, calls, notices = self.load, self.took[200], self.took[204]
        return (
            f"{1000 * load.path_s:6.0f} {load.per_s:7.0f} {load.extras_share:6.1f} | {len(calls):7d} "
            f"{self.opened[200]:7d} {self.kept / len(calls):5.2f} {quantile(calls, 0.5):7.1f} "
            f"{quantile(calls, 0.99):7.1f} | {len(notices):7d} {self.opened[204]:7d} "
            f"{quantile(notices, 0.5):7.1f} {quantile(notices, 0.99):7.1f}"
        )


async def table(seconds: float) -> None:
    """All loads, one after the other, a row each."""
    addresses = Addresses(0)
    print(HEADER, flush=True)
    for path_s in (0.0, 0.005, 0.05):
        for per_s in (20.0, 200.0):
            for share in (0.0, 0.3):
                print(await Bench(Load(path_s, per_s, share, seconds), addresses).play(), flush=True)
