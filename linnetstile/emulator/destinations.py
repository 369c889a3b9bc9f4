"""Owns the emulated destinations: a limit over all relays' calls, outages, the cold return and the fall.

A destination that comes back takes `cold_share` of its limit, and all of it `cold_ms` later. While cold it
falls over when it gets more than N + 2 * sqrt(N) + 2 calls in any window of `fall_ms` (under 30: N +
3 * sqrt(N) + 3), N being
`fall_multiple` times what it takes then; refused calls count in the window as others do. All messages of one
call fare alike.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ..interface import Outcome, Safety

LEAST_CALLS = 20  # served calls in the window that shows whether a destination is back: fewer are chance


class Health(Enum):
    UP = "up"
    DOWN = "down"  # refuses connections; what was open breaks
    SILENT = "silent"  # nothing comes back, also of what was open
    ERRING = "erring"  # each call ends with an error


class Call(Protocol):
    """One call as a destination sees it."""

    size: int  # messages
    caller: int  # the relay's number

    def answer(self, outcome: Outcome, wait_ms: float = 0.0, report: tuple[float, ...] = ()) -> None: ...

    def reset(self) -> None: ...


@dataclass(frozen=True, slots=True)
class DestinationSettings:
    limit_per_s: float  # calls of all relays together
    burst_s: float = 1.0  # seconds of the limit that may be saved up
    latency_ms: float = 60.0  # median
    latency_sigma: float = 0.4  # of its logarithm
    further: float = 0.1  # part of a call's time that each further message adds
    error_share: float = 0.0
    refused_cost: bool = False  # a refused call uses the limit up too
    tells_wait: bool = True
    reports: bool = False  # answers tell the share left and the limit
    fallen_ms: float = 3000.0  # from a fall to the next return


@dataclass(slots=True)
class Return:
    """One return of a destination, and how it went."""

    at_ms: float
    fell: bool = False
    calls: int = 0  # most in one window while cold
    of_budget: float = 0.0  # the most calls of a window, as a multiple of N then
    of_bound: float = 0.0  # and of what it is allowed
    warned: float = 0.0  # of the calls that made it fall, the part of relays that had met the outage
    full_after_ms: float | None = None  # until a window's calls were served at 90% of the limit


@dataclass(slots=True)
class Tally:
    calls: int = 0
    served: int = 0
    refused: int = 0
    erred: int = 0
    returns: list[Return] = field(default_factory=list)


def bound(budget: float) -> float:
    """The most calls that a cold destination stands in a window whose budget is N."""
    root = math.sqrt(budget)
    return budget + 2 * root + 2 if budget >= 30 else budget + 3 * root + 3


class Destination:
    def __init__(
        self,
        number: int,
        settings: DestinationSettings,
        safety: Safety,
        rng: random.Random,
        endpoints: set[str],
    ) -> None:
        self.number, self.settings, self.safety, self.rng = number, settings, safety, rng
        self.endpoints = endpoints  # the names of those that run
        self.health, self.tally = Health.UP, Tally()
        self.most = max(1.0, settings.limit_per_s * settings.burst_s)
        self.credit, self.credit_at_ms = self.most, 0.0
        self.running: dict[Call, asyncio.TimerHandle] = {}
        self.cold: Return | None = None
        self.window: deque[tuple[float, bool]] = deque()  # calls while cold: when, by who had met the outage
        self.met: set[int] = set()  # relays whose calls the latest outage failed
        self.served: deque[float] = deque()  # when calls were answered well, until it is back in full
        self.returning: asyncio.TimerHandle | None = None

    # -- what it takes -----------------------------------------------------------------------------------

    def capacity(self, now_ms: float) -> float:
        """Calls a second that it takes now."""
        if self.cold is None:
            return self.settings.limit_per_s
        share = self.safety.cold_share
        if self.safety.cold_ms > 0:
            share += (1 - share) * min(1.0, (now_ms - self.cold.at_ms) / self.safety.cold_ms)
        return self.settings.limit_per_s * share

    def budget(self, now_ms: float) -> float:
        """N: calls in one window that the settings allow now."""
        return self.safety.fall_multiple * self.capacity(now_ms) * self.safety.fall_ms / 1000

    def _is_cold(self, now_ms: float) -> bool:
        return self.cold is not None and not self.cold.fell and now_ms < self.cold.at_ms + self.safety.cold_ms

    # -- calls -------------------------------------------------------------------------------------------

    def accepts(self, endpoint: str, caller: int) -> bool | None:
        """Whether a connection comes up; None if nothing comes back."""
        if self.health is not Health.UP:
            self.met.add(caller)
        if self.health is Health.SILENT:
            return None
        return self.health is not Health.DOWN and endpoint in self.endpoints

    def arrive(self, call: Call) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time() * 1000
        self.tally.calls += 1
        if self.health is not Health.UP:
            self.met.add(call.caller)
        if self.health is Health.SILENT:
            return
        if self.health is Health.DOWN or self._falls(now, call.caller):
            call.reset()
            return
        if self.health is Health.ERRING:
            self._run(call, Outcome.ERROR)
        elif (wait_ms := self._over_limit(now)) > 0:
            self.tally.refused += 1
            call.answer(Outcome.FULL, wait_ms if self.settings.tells_wait else 0.0, self._report(now))
        else:
            erring = self.settings.error_share > 0 and self.rng.random() < self.settings.error_share
            self._run(call, Outcome.ERROR if erring else Outcome.OK)

    def _over_limit(self, now: float) -> float:
        """How long until there is room, in milliseconds; 0 takes the room."""
        rate = self.capacity(now) / 1000
        self.credit = min(self.most, self.credit + rate * (now - self.credit_at_ms))
        self.credit_at_ms = now
        if self.credit >= 1:
            self.credit -= 1
            return 0.0
        if self.settings.refused_cost:
            self.credit = max(-self.most, self.credit - 1)
        return math.ceil((1 - self.credit) / rate)

    def _run(self, call: Call, outcome: Outcome) -> None:
        took = self.settings.latency_ms * self.rng.lognormvariate(0.0, self.settings.latency_sigma)
        took *= 1 + self.settings.further * (call.size - 1)
        self.running[call] = asyncio.get_running_loop().call_later(took / 1000, self._done, call, outcome)

    def _done(self, call: Call, outcome: Outcome) -> None:
        del self.running[call]
        now = asyncio.get_running_loop().time() * 1000
        if outcome is Outcome.OK:
            self.tally.served += 1
            self._note_served(now)
        else:
            self.tally.erred += 1
        call.answer(outcome, 0.0, self._report(now))

    def _report(self, now: float) -> tuple[float, ...]:
        if not self.settings.reports:
            return ()
        return (min(1.0, max(0.0, self.credit / self.most)), self.capacity(now))

    # -- outages, the return and the fall ----------------------------------------------------------------

    def go_down(self, how: Health) -> None:
        if self.health is Health.UP:
            self.met = {call.caller for call in self.running}
        self.health = how
        if self.returning is not None:
            self.returning.cancel()
            self.returning = None
        if how is Health.ERRING:
            return
        for call, timer in self.running.items():
            timer.cancel()
            if how is Health.DOWN:
                call.reset()
        self.running.clear()

    def come_back(self) -> None:
        """Cold from here on, with nothing saved up."""
        now = asyncio.get_running_loop().time() * 1000
        self.health, self.returning = Health.UP, None
        self.cold = Return(now)
        self.tally.returns.append(self.cold)
        self.window.clear()
        self.served.clear()
        self.credit, self.credit_at_ms = 1.0, now

    def _falls(self, now: float, caller: int) -> bool:
        cold = self.cold
        if cold is None or not self._is_cold(now):
            return False
        self.window.append((now, caller in self.met))
        while self.window[0][0] <= now - self.safety.fall_ms:
            self.window.popleft()
        calls, budget = len(self.window), self.budget(now)
        cold.calls = max(cold.calls, calls)
        cold.of_budget = max(cold.of_budget, calls / budget)
        cold.of_bound = max(cold.of_bound, calls / bound(budget))
        if calls <= bound(budget):
            return False
        cold.fell, cold.warned = True, sum(met for _, met in self.window) / calls
        self.go_down(Health.DOWN)
        self.returning = asyncio.get_running_loop().call_later(self.settings.fallen_ms / 1000, self.come_back)
        return True

    def _note_served(self, now: float) -> None:
        """Whether the calls served in the latest window reach 90% of the limit."""
        cold, limit = self.cold, self.settings.limit_per_s
        if cold is None or cold.full_after_ms is not None:
            return
        window_ms = max(1000.0, 1000 * LEAST_CALLS / limit)
        self.served.append(now)
        while self.served[0] <= now - window_ms:
            self.served.popleft()
        if len(self.served) >= 0.9 * limit * window_ms / 1000:
            cold.full_after_ms = now - cold.at_ms
            self.served.clear()
