"""Notices: how the platform learns the end of a message that was accepted and not delivered.

Owns what is still to be told, and the connections for it. A notice that is not answered soon goes out once
more on a new connection while the first one is still waited for (hedging): the platform answers at once, so
the connection has most likely fallen silent, and a notice told twice does no harm.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

from .agent import Agent, AgentError, Silent
from .backoff import Backoff

log = logging.getLogger(__name__)

BATCH = 200  # lines in one request
# The platform answers at once: what takes longer than a connection made and a request answered over the
# widest network (four times 110 ms one way) has fallen silent.
ANSWER_S = 0.5
# An end is told some 30 ms before its message's time is up, and counts as lost 300 ms after that: three more
# connections still come in time. Then longer pauses.
HEDGE_S, HEDGE_MOST_S = 0.08, 0.5
SHORT_HEDGES = 3
TOGETHER_S = 0.03  # a second try so close to another's goes with it
WAYS = 6  # connections: while one notice holds four that say nothing, the next finds another
FIRST_TRY_WAYS = 4  # of them, for first tries: kept connections fall silent together, and second tries go on
# An end counts as lost soon after its message's time, so the first tries after a failed request follow one
# another quickly. Older notices wait for pauses that grow.
URGENT_S = 0.6
URGENT_PAUSE_S = 0.02, 0.06
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.05, 0.5
RECENT_S = 2.0  # a replaced platform's answers of so late a time are not relied upon
LATE_S = 0.25  # an answer that takes longer is logged


@dataclass(slots=True)
class Notice:
    line: str
    added_at: float  # on the loop's clock, as is the next
    due_at: float  # when it goes out next
    tries: int = 0
    hedge_s: float = HEDGE_S


@dataclass(frozen=True, slots=True)
class Told:
    """A notice that the platform has answered."""

    at: float
    ident: str
    line: str


class Notices:
    """Sends each notice until it is answered 204: at least once, also over a restart (see the journal)."""

    def __init__(self, agent: Agent, told: Callable[[list[str]], None]) -> None:
        self.told = told
        self.waiting: dict[str, Notice] = {}
        self.recent: deque[Told] = deque()  # answered of late, oldest first
        self.wake = asyncio.Event()
        self.batch = BATCH
        self.backoff = Backoff(FIRST_PAUSE_S, LONGEST_PAUSE_S)
        self.quiet_until = 0.0  # after a request that failed
        self.move(agent)

    def add(self, ident: str, state: str, after_ms: float = 0.0, delay_s: float = 0.0) -> None:
        """Tells this end, so much later, until it is answered."""
        line: dict[str, object] = {"id": ident, "state": state}
        if after_ms > 0:
            line["after_ms"] = round(after_ms)
        self._wait(ident, json.dumps(line) + "\n", delay_s)

    def _wait(self, ident: str, line: str, delay_s: float = 0.0) -> None:
        now = asyncio.get_running_loop().time()
        self.waiting[ident] = Notice(line, now, now + delay_s)
        self.wake.set()

    def move(self, agent: Agent) -> None:
        """What waits, or was out unanswered, goes to this agent. So does what the old one has answered of
        late: it may have been replaced already, and what it was told then counts for nothing."""
        self.agent = agent
        self.ways = [agent] + [Agent(agent.address, agent.reuse) for _ in range(WAYS - 1)]
        self.last_told: dict[Agent, list[Told]] = {}  # by the last answer on that connection
        self.first_tries: dict[Agent, list[str]] = {}  # by the connection, where nothing else goes with them
        for way in self.ways:
            way.on_unsolicited, way.on_answer = agent.on_unsolicited, agent.on_answer
            way.on_doubt = partial(self._doubt, way)
        self.free = list(self.ways)  # the one that answered last comes first
        for told in self._recently_told():
            if told.ident not in self.waiting:
                self._wait(told.ident, told.line)
        for notice in self.waiting.values():
            notice.due_at = 0.0
        self.quiet_until = 0.0
        self.wake.set()

    def _doubt(self, way: Agent) -> None:
        """The last answer on that connection may have been another's: what it acknowledged is told again."""
        for told in self.last_told.pop(way, []):
            if told.ident not in self.waiting:
                log.info("notices: %s is told again, its answer is in doubt", told.ident)
                self._wait(told.ident, told.line)

    def _recently_told(self) -> list[Told]:
        while self.recent and self.recent[0].at < asyncio.get_running_loop().time() - RECENT_S:
            self.recent.popleft()
        return list(self.recent)

    def close(self) -> None:
        for way in self.ways:
            way.close()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as requests:
            while True:
                self.wake.clear()
                now = loop.time()
                if now < self.quiet_until:
                    await self._until(self.quiet_until)
                    continue
                due = self._due(now)
                while self.free and (idents := self._next_batch(due)):
                    sent = set(idents)
                    due = [ident for ident in due if ident not in sent]
                    again = self._has_second_try(idents)
                    way = self._way(again)
                    if not again:
                        self.first_tries[way] = idents
                    requests.create_task(self._send(way, idents, self._lines(idents, now)))
                later = [notice.due_at for notice in self.waiting.values() if notice.due_at > now]
                await self._until(min(later, default=None))  # or until a connection is free again

    def _due(self, now: float) -> list[str]:
        """Those whose time has come, and the second tries whose time is near."""
        due = [ident for ident, notice in self.waiting.items() if notice.due_at <= now]
        if any(self.waiting[ident].tries for ident in due):
            due = [
                ident
                for ident, notice in self.waiting.items()
                if notice.due_at <= now + (TOGETHER_S if notice.tries else 0.0)
            ]
        return due

    def _has_second_try(self, idents: list[str]) -> bool:
        return any(self.waiting[ident].tries for ident in idents)

    def _next_batch(self, due: list[str]) -> list[str]:
        """What goes out together now; first tries alone leave connections for second ones."""
        if self._unanswered_first_tries() < FIRST_TRY_WAYS:
            return due[: self.batch]
        second_tries_first = sorted(due, key=lambda ident: not self.waiting[ident].tries)
        batch = second_tries_first[: self.batch]
        return batch if self._has_second_try(batch) else []

    def _unanswered_first_tries(self) -> int:
        """Connections; not those whose notices have been answered over others since."""
        return sum(any(ident in self.waiting for ident in idents) for idents in self.first_tries.values())

    def _way(self, again: bool) -> Agent:
        """A connection that is free: the soonest that may carry it, and of those the one that answered last.
        For what goes out again it is a new one, and none that was kept is used any more: connections to one
        place fall silent together."""
        if again:
            for way in self.free:
                way.close()
        way = min(self.free, key=lambda way: way.wait_s)
        self.free.remove(way)
        return way

    def _lines(self, idents: list[str], now: float) -> bytes:
        for ident in idents:
            notice = self.waiting[ident]
            notice.tries += 1
            if notice.tries > SHORT_HEDGES:
                notice.hedge_s = min(HEDGE_MOST_S, 2 * notice.hedge_s)
            notice.due_at = now + notice.hedge_s
        return "".join(self.waiting[ident].line for ident in idents).encode()

    async def _until(self, at: float | None) -> None:
        """Waits for this moment, or for a change."""
        with suppress(TimeoutError):
            async with asyncio.timeout_at(at):
                await self.wake.wait()

    async def _send(self, way: Agent, idents: list[str], body: bytes) -> None:
        try:
            status, _ = await way.ask("POST", "/v1/outcomes", body, ANSWER_S)
            if way.in_doubt:
                self._repeat(idents)
            else:
                self.last_told[way] = self._answered(idents, status)
        except Silent as error:
            log.warning("notices: %s", error)  # they are on their way over another connection
        except AgentError as error:
            log.warning("notices: %s", error)
            self._failed(idents)
        except Exception:
            log.exception("notices: a batch could not be sent")
            self._failed(idents)
        finally:
            self.first_tries.pop(way, None)
            if way in self.ways:
                self.free.insert(0, way)
            self.wake.set()

    def _repeat(self, idents: list[str]) -> None:
        """At once, as if for the first time: what came behind the answer may be the true one."""
        log.info("notices: %d are told again, their answer is in doubt", len(idents))
        for ident in idents:
            if (notice := self.waiting.get(ident)) is not None:
                notice.due_at, notice.tries = 0.0, 0

    def _answered(self, idents: list[str], status: int) -> list[Told]:
        if status != 204:
            # Guards the others against one line that is not taken: from here on, one by one and in turn.
            self.batch = 1
            if idents[0] in self.waiting:
                self.waiting[idents[0]] = self.waiting.pop(idents[0])
            raise AgentError(f"{len(idents)} notices answered {status}")
        self.batch = min(BATCH, 2 * self.batch)
        self.backoff.reset()
        now = asyncio.get_running_loop().time()
        told = list[Told]()
        for ident in idents:
            if (notice := self.waiting.pop(ident, None)) is not None:
                told.append(Told(now, ident, notice.line))
                if now > notice.added_at + LATE_S:
                    log.info(
                        "notices: %s is told after %.0f ms, at try %d",
                        ident,
                        1000 * (now - notice.added_at),
                        notice.tries,
                    )
        self.recent += told
        self._recently_told()
        if told:
            self.told([each.ident for each in told])
        return told

    def _failed(self, idents: list[str]) -> None:
        """They go out again after a pause: a short one while they are urgent, then one that grows from
        failure to failure. New ones wait only for a short one: their time is up just now."""
        now = asyncio.get_running_loop().time()
        soon = now + random.uniform(*URGENT_PAUSE_S)
        later = now + self.backoff.next_s()
        self.quiet_until = soon
        for ident in idents:
            if (notice := self.waiting.get(ident)) is not None:
                notice.due_at = soon if now < notice.added_at + URGENT_S else max(soon, later)
