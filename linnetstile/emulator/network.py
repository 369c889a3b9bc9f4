"""Owns the network between relays and what they call, in memory: delays by region, and regions cut off.

`EmulatedAgent` takes the place of `net.agent.Agent`, with the same errors, so that the relay's own watch
runs on it unchanged. What is sent into or out of a region that is cut off is lost, as is what was on its way
to a connection closed meanwhile; nothing is sent again.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..net.agent import Agent, AgentError, Silent

HEAD_BYTES = len(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1234\r\n\r\n")
ASK_BYTES = len(b"GET  HTTP/1.1\r\nHost: 10.2.0.1:8500\r\nContent-Length: 0\r\n\r\n")


@dataclass(frozen=True, slots=True)
class Delays:
    """One way, in milliseconds; each message takes up to `jitter` of it longer."""

    same_ms: float = 1.0  # within a region
    cross_ms: float = 20.0
    jitter: float = 0.2


@dataclass(slots=True)
class Traffic:
    """What one relay has sent and received: messages and their bytes, heads included."""

    messages_out: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    bytes_in: int = 0

    @property
    def messages(self) -> int:
        return self.messages_out + self.messages_in

    @property
    def bytes(self) -> int:
        return self.bytes_out + self.bytes_in


class Network:
    def __init__(self, delays: Delays, rng: random.Random) -> None:
        self.delays, self.rng = delays, rng
        self.cut: set[int] = set()  # regions that nothing enters or leaves

    def now_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1000

    def reaches(self, one: int, other: int) -> bool:
        return one == other or one not in self.cut and other not in self.cut

    def one_way_ms(self, one: int, other: int) -> float:
        base = self.delays.same_ms if one == other else self.delays.cross_ms
        return base * (1.0 + self.delays.jitter * self.rng.random())

    def carry(self, one: int, other: int, arrives: Callable[[], None]) -> bool:
        """Calls `arrives` a delay later; False if the way is cut now, or nothing at all if it is then."""
        if not self.reaches(one, other):
            return False
        loop = asyncio.get_running_loop()
        loop.call_at(loop.time() + self.one_way_ms(one, other) / 1000, self._arrive, one, other, arrives)
        return True

    def _arrive(self, one: int, other: int, arrives: Callable[[], None]) -> None:
        if self.reaches(one, other):
            arrives()


class Service(Protocol):
    """What agents call."""

    region: int

    def request(self, call: AgentCall) -> None: ...


class AgentCall:
    """One request of a relay; the service answers it once, or not at all."""

    __slots__ = ("agent", "caller", "target", "future", "closed")

    def __init__(self, agent: EmulatedAgent, target: str, future: asyncio.Future[tuple[int, bytes]]) -> None:
        self.agent, self.caller, self.target, self.future = agent, agent.caller, target, future
        self.closed = False  # by the relay, which no longer hears an answer

    def answer(self, status: int, body: bytes) -> None:
        self._back(lambda: self._arrive(status, body))

    def reset(self) -> None:
        self._back(self._broken)

    def _back(self, arrives: Callable[[], None]) -> None:
        self.agent.network.carry(self.agent.service.region, self.agent.region, arrives)

    def _arrive(self, status: int, body: bytes) -> None:
        if not self.closed and not self.future.done():
            traffic = self.agent.traffic
            traffic.messages_in += 1
            traffic.bytes_in += HEAD_BYTES + len(body)
            self.future.set_result((status, body))

    def _broken(self) -> None:
        if not self.closed and not self.future.done():
            self.future.set_exception(AgentError("the connection broke"))


class EmulatedAgent(Agent):
    """One relay's agent, over the emulated network; `caller` is the relay's number."""

    def __init__(self, network: Network, service: Service, region: int, caller: int) -> None:
        super().__init__(("127.0.0.1", 0))
        self.network, self.service, self.region, self.caller = network, service, region, caller
        self.traffic = Traffic()
        self.out: AgentCall | None = None

    async def ask(self, method: str, target: str, body: bytes, seconds: float) -> tuple[int, bytes]:
        call = self.out = AgentCall(self, target, asyncio.get_running_loop().create_future())
        self.traffic.messages_out += 1
        self.traffic.bytes_out += ASK_BYTES + len(target) + len(body)
        self.network.carry(self.region, self.service.region, lambda: self.service.request(call))
        try:
            async with asyncio.timeout(seconds):
                return await call.future
        except TimeoutError as error:
            self.close()
            raise Silent(f"no answer within {seconds:.1f} s") from error
        finally:
            self.out = None if self.out is call else self.out

    def close(self) -> None:
        if self.out is not None:
            self.out.closed = True
            self.out = None
