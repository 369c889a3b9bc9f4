"""Requests that stay unanswered are not given up for asking again: another is sent beside them.

A server that is slower than a caller's patience would otherwise never be heard, and work in vain. Few are out
at once: the oldest, which may stand in a long queue, and the latest, should the server have lost the oldest.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .agent import Agent, Silent
from .config import Address

LONGEST_S = 20.0  # an answer is waited for: a crowd of relays takes its time
MOST_OUT = 3
OK = 200


@dataclass(eq=False, slots=True)
class Hedge:
    """One request that is out, on a connection of its own."""

    agent: Agent
    answer: asyncio.Task[tuple[int, bytes]]

    @property
    def failed(self) -> bool:
        return self.answer.done() and (
            self.answer.cancelled() or self.answer.exception() is not None or self.answer.result()[0] != OK
        )

    @property
    def succeeded(self) -> bool:
        return self.answer.done() and not self.failed

    def give_up(self) -> None:
        if not self.answer.cancel() and not self.answer.cancelled():
            self.answer.exception()  # has been seen: nobody is to be told of it
        self.agent.close()


class HedgedAgent(Agent):
    """Answers with whichever of its requests is answered first; all are taken to ask the same."""

    def __init__(self, address: Address) -> None:
        super().__init__(address)
        self._hedges: list[Hedge] = []  # oldest first
        self._main = self._another()
        self._latest = self._main

    @property
    def is_reached(self) -> bool:
        return self._latest.is_reached

    async def ask(self, method: str, target: str, body: bytes, seconds: float) -> tuple[int, bytes]:
        """Silent after so many seconds, with its request still out; AgentError where its own has failed."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + seconds
        answer = self._answered()
        if answer is not None:
            return answer
        own = self._send(method, target, body)
        while True:
            tasks = [hedge.answer for hedge in self._hedges]
            await asyncio.wait(
                tasks, timeout=max(0.0, ends_s - loop.time()), return_when=asyncio.FIRST_COMPLETED
            )
            answer = self._answered()
            if answer is not None:
                return answer
            self._forget_failed()
            if own.failed:
                own.agent.close()
                return own.answer.result()  # or raises what became of it
            if loop.time() >= ends_s:
                raise Silent(f"no answer within {seconds:.1f} s, {len(self._hedges)} requests are out")

    async def rest(self, seconds: float) -> None:
        """Less if an answer comes meanwhile, which the next `ask` returns."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + seconds
        while self._hedges and loop.time() < ends_s and not any(hedge.succeeded for hedge in self._hedges):
            tasks = [hedge.answer for hedge in self._hedges]
            await asyncio.wait(tasks, timeout=ends_s - loop.time(), return_when=asyncio.FIRST_COMPLETED)
            self._forget_failed()
        if not self._hedges:
            await asyncio.sleep(max(0.0, ends_s - loop.time()))

    def discard(self) -> None:
        """Its kept connection, if no request is out on it: what is out may still be answered."""
        if not self._has_request(self._main):
            self._main.close()

    def close(self) -> None:
        for hedge in self._hedges:
            hedge.give_up()
        self._hedges.clear()
        self._main.close()

    def _another(self) -> Agent:
        return Agent(self.address, self.reuse)

    def _has_request(self, agent: Agent) -> bool:
        return any(hedge.agent is agent for hedge in self._hedges)

    def _send(self, method: str, target: str, body: bytes) -> Hedge:
        if len(self._hedges) >= MOST_OUT:
            self._hedges.pop(1).give_up()
        agent = self._another() if self._has_request(self._main) else self._main
        agent.on_unsolicited, agent.on_answer = self.on_unsolicited, self.on_answer
        self._latest = agent
        task = asyncio.get_running_loop().create_task(agent.ask(method, target, body, LONGEST_S))
        hedge = Hedge(agent, task)
        self._hedges.append(hedge)
        return hedge

    def _answered(self) -> tuple[int, bytes] | None:
        """The first good answer, whose connection is kept; the others are given up."""
        best = next((hedge for hedge in self._hedges if hedge.succeeded), None)
        if best is None:
            return None
        for hedge in self._hedges:
            if hedge is not best:
                hedge.give_up()
        if best.agent is not self._main:
            self._main.close()
            self._main = best.agent
        self._hedges.clear()
        self.asked_at_s = best.agent.asked_at_s
        return best.answer.result()

    def _forget_failed(self) -> None:
        self._hedges = [hedge for hedge in self._hedges if not hedge.failed]
