"""Owns the measures of one relay's own code, in one process and without a network: lists, turns, memory.

Processor time is that of this process over many repetitions. Opcodes are those that the interpreter runs in
one repetition: the same byte for byte from run to run, so that the shape of a cost can be checked with no
clock. What a single C call does (`set - set`, `json.loads`, `min` over a dict) counts as one opcode however
long it takes, so the time has to be looked at too. They are slow to count: see `count_up_to`.
"""

from __future__ import annotations

import asyncio
import json
import resource
import sys
import tempfile
import time
import tracemalloc
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from types import FrameType
from typing import Any

import numpy as np

from .. import interface as api
from ..control import Relay
from ..net.config import Config
from ..net.discovery import Directory
from ..net.host import Host
from .measure import Params, Sample, measure

ENDPOINTS_EACH = 2.5  # endpoints of a destination, if the experiment says nothing else
CHANGED = 10  # endpoints that one change of the list names
DOWN = 0.015  # part of the destinations that is out at any time
COUNT_UP_TO = 10_000  # largest size at which opcodes are counted: tracing makes code some 20 times slower
SPEND_S = 0.25  # processor time spent on one figure, what prepares its repetitions included
LEAST_TIMES, MOST_TIMES = 3, 2000  # repetitions of a figure
RELAYS, SLOTS, HOLD = 5000, 64, 1_000_000  # the hold is wide, so that only `make_room` meets its end
ZONES = ("a", "b", "c")
NOW_MS, DEADLINE_MS = 1000.0, 600_000.0  # nothing ends while it is measured
Act = Callable[[], object]


def settings_of(**more: Any) -> api.Settings:
    """Settings of one relay among many; each destination's rate is listed."""
    classes = (api.MessageClass("safe", api.Effect.SAFE, 4000.0, DEADLINE_MS, 1.0, 0.5),)
    values: dict[str, Any] = {
        "classes": classes, "kinds": (api.DestinationKind("k"),), "slots": SLOTS, "hold": HOLD, "attempts": 8,
        "relays": RELAYS, "rates": api.Rates.NOMINAL, "idle_ms": 10_000.0, "connect_timeout_ms": 1500.0,
        "tick_ms": 5.0, "safety": api.Safety(20.0, 250.0, 0.2, 9000.0, 2.0, 1500.0, 10_000.0, 100.0),
    }
    return api.Settings(**{**values, **more})


@dataclass
class Fleet:
    """The endpoints that discovery lists, `each` to a destination, in an order drawn by the seed."""

    endpoints: int
    seed: int
    each: float = ENDPOINTS_EACH
    rng: np.random.Generator = field(init=False)
    order: list[int] = field(init=False)
    generation: int = 0

    def __post_init__(self) -> None:
        self.rng = np.random.default_rng(self.seed)
        self.order = [int(n) for n in self.rng.permutation(self.endpoints)]

    @classmethod
    def of(cls, params: Params, size: int, seed: int) -> Fleet:
        return cls(size, seed, float(params.get("endpoints_each", ENDPOINTS_EACH)))

    @property
    def destinations(self) -> int:
        return int((self.endpoints - 1) / self.each) + 1

    def entry(self, number: int, lifecycle: str = "ready", weight: float = 50.0) -> dict[str, Any]:
        host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080"
        return {"instanceId": f"cell-{number:08d}", "hostPort": host, "zone": ZONES[number % len(ZONES)],
                "machineType": "k", "cell": int(number / self.each) + 1, "lifecycle": lifecycle,
                "weight": weight, "startedAtMs": 1_700_000_000_000 + number}

    def answer(self, numbers: list[int], whole: bool = False, **more: Any) -> bytes:
        """What discovery sends, without blanks."""
        self.generation += 1
        entries = [self.entry(number, **more) for number in numbers]
        raw = {"generation": self.generation, "reset": whole, "instances": entries}
        return json.dumps(raw, separators=(",", ":")).encode()

    def whole(self) -> bytes:
        return self.answer(self.order, True)

    def some(self, count: int = CHANGED) -> list[int]:
        return [int(n) for n in self.rng.choice(self.endpoints, min(count, self.endpoints), replace=False)]


def apply(directory: Directory, answer: bytes) -> api.EndpointList:
    return directory.apply(json.loads(answer))


def told(fleet: Fleet, **more: Any) -> tuple[Directory, Relay]:
    """A directory and a relay that know the whole list."""
    settings = settings_of(**more)
    directory, relay = Directory.of(settings, ZONES), Relay(settings, fleet.seed)
    relay.handle(NOW_MS, [apply(directory, fleet.whole())])
    return directory, relay


@asynccontextmanager
async def idle_host(seed: int) -> AsyncIterator[Host]:
    """A relay's whole process but for its tasks: nothing is served, and discovery is not asked."""
    with tempfile.TemporaryDirectory() as folder:
        host = Host(Config("n0", ("127.0.0.1", 0), ("127.0.0.1", 9), Path(folder), seed, 1024, 3_000_000, {},
                           settings_of(), ZONES))
        try:
            yield host
        finally:
            host.ingress.listen()  # what accepts connections ends only then
            await host.close()


# -- how it is measured ---------------------------------------------------------------------------------


def opcodes(act: Act) -> int:
    """Bytecode instructions run by Python code in one call of `act`; C code counts for nothing."""
    count = 0

    def step(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        count += event == "opcode"
        return step

    def enter(frame: FrameType, event: str, arg: object) -> Any:
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        return step

    before = sys.gettrace()
    sys.settrace(enter)
    try:
        act()
    finally:
        sys.settrace(before)
    return count


def cpu_us(act: Callable[[int], object], prepare: Callable[[int], object] = lambda n: None,
           most: int = MOST_TIMES) -> float:
    """Processor time of `act(n)` for n = 0, 1, ..., median in microseconds; `prepare(n)` is not counted."""
    taken: list[float] = []
    end = time.process_time() + SPEND_S
    while len(taken) < most and (len(taken) < LEAST_TIMES or time.process_time() < end):
        prepare(len(taken))
        begun = time.process_time()
        act(len(taken))
        taken.append(time.process_time() - begun)
    return float(np.median(taken)) * 1e6


def memory_bytes(act: Act) -> tuple[object, int]:
    """What `act` made, and the bytes that are held for it once it has returned."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = act()
        return made, tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


def rss_peak_bytes() -> int:
    """Largest resident memory that this process has had."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def counts(params: Params, size: int) -> bool:
    return size <= int(params.get("count_up_to", COUNT_UP_TO))


def opcodes_of(params: Params, size: int, acts: dict[str, Act]) -> dict[str, float]:
    """Runs each once, in order; only counted up to the size that the experiment gives."""
    return {f"{name}_opcodes": float(opcodes(act)) for name, act in acts.items()} \
        if counts(params, size) else {}


# -- lists ----------------------------------------------------------------------------------------------


@measure("list_whole")
def list_whole(params: Params, size: int, seed: int) -> Sample:
    """The whole list of `size` endpoints is taken: its bytes, processor time and memory.

    `parse_us` is `json.loads`, `apply_us` the directory, `handle_us` the module's turn, on a relay that knew
    nothing (`again_` where it knew them all already). Memory is what stays, for one endpoint listed;
    `peak_bytes` is by how much the process's largest resident memory grew while it was taken the first time.
    """
    fleet = Fleet.of(params, size, seed)
    answer = fleet.whole()
    settings, rss = settings_of(), rss_peak_bytes()
    told(fleet)
    peak = rss_peak_bytes() - rss
    raw = json.loads(answer)

    directories = [Directory.of(settings, ZONES)]
    relays = [Relay(settings, seed)]

    def fresh(n: int) -> None:
        directories[0], relays[0] = Directory.of(settings, ZONES), Relay(settings, seed)

    event = directories[0].apply(raw)
    fresh(0)
    counted = {"list_bytes": float(len(answer)), "entry_bytes": len(answer) / size}
    counted |= opcodes_of(params, size, {
        "apply": lambda: directories[0].apply(raw), "handle": lambda: relays[0].handle(NOW_MS, [event]),
        "again_handle": lambda: relays[0].handle(NOW_MS, [event])})
    timed = {"parse_us": cpu_us(lambda n: json.loads(answer)),
             "apply_us": cpu_us(lambda n: directories[0].apply(raw), fresh)}
    timed["handle_us"] = cpu_us(lambda n: relays[0].handle(NOW_MS, [event]), fresh)
    timed["again_handle_us"] = cpu_us(lambda n: relays[0].handle(NOW_MS, [event]))
    fresh(0)
    kept, directory_bytes = memory_bytes(lambda: apply(directories[0], answer))
    assert isinstance(kept, api.EndpointList)
    _, relay_bytes = memory_bytes(lambda: relays[0].handle(NOW_MS, [kept]))
    timed |= {"directory_bytes": float(directory_bytes), "relay_bytes": float(relay_bytes),
              "peak_bytes": float(peak), "endpoint_bytes": (directory_bytes + relay_bytes) / size}
    return Sample(counted, timed)


class ListTurns:
    """Changes of the list, a new one each time: what the directory, the module's turn and the host do with
    it. What one did is undone before the next, and that is not measured."""

    def __init__(self, fleet: Fleet, change: Callable[[list[int], int], bytes]) -> None:
        self.fleet, self.change = fleet, change
        self.directory, self.relay = told(fleet)
        self.now = NOW_MS
        self.changed: list[int] = []
        self.answer = b""
        self.raw: dict[str, Any] = {}
        self.event = api.EndpointList(api.ListKind.CHANGES)

    def undo(self) -> None:
        if self.changed:
            self.event = apply(self.directory, self.fleet.answer(self.changed))
            self.turn()

    def next(self, n: int = 0) -> None:
        self.undo()
        self.changed = self.fleet.some()
        self.answer = self.change(self.changed, n)
        self.raw = json.loads(self.answer)

    def applied(self, n: int = 0) -> None:
        self.next(n)
        self.apply()

    def apply(self, n: int = 0) -> None:
        self.event = self.directory.apply(self.raw)

    def turn(self, n: int = 0) -> None:
        self.now += 5.0
        self.relay.handle(self.now, [self.event])

    async def measure(self, params: Params, size: int) -> Sample:
        async with idle_host(self.fleet.seed) as host:
            host.directory = self.directory

            def host_part(n: int = 0) -> None:
                """What `Host.listed` does, but for the module's turn."""
                host._know_dests({entry.destination for entry in self.event.entries})
                host._keep_links()

            host._know_dests({known.entry.destination for known in self.directory.by_number.values()})
            self.next()
            counted = {"change_bytes": float(len(self.answer))}
            counted |= opcodes_of(params, size, {"apply": self.apply, "host": host_part, "handle": self.turn})
            timed = {"apply_us": cpu_us(self.apply, self.next), "host_us": cpu_us(host_part, self.applied),
                     "handle_us": cpu_us(self.turn, self.applied)}
        timed["turn_us"] = sum(timed.values())
        return Sample(counted, timed)


@measure("list_drain")
def list_drain(params: Params, size: int, seed: int) -> Sample:
    """Ten of `size` endpoints begin to drain in one turn: processor time of the directory (`apply_us`), the
    module's turn (`handle_us`), and what the host does for each change of the list (`host_us`)."""
    fleet = Fleet.of(params, size, seed)
    turns = ListTurns(fleet, lambda some, n: fleet.answer(some, lifecycle="draining"))
    return asyncio.run(turns.measure(params, size))


@measure("list_change")
def list_change(params: Params, size: int, seed: int) -> Sample:
    """Ten of `size` endpoints change their weight in one turn; figures as for `list_drain`."""
    fleet = Fleet.of(params, size, seed)
    turns = ListTurns(fleet, lambda some, n: fleet.answer(some, weight=51.0 + n % 7))
    return asyncio.run(turns.measure(params, size))


@measure("avoided")
def avoided(params: Params, size: int, seed: int) -> Sample:
    """`Relay.avoided`, which operators' figures ask for, while a share `down` of the destinations of `size`
    endpoints is out (0.015 unless given)."""
    fleet = Fleet.of(params, size, seed)
    _, relay = told(fleet)
    down = share(fleet, params.get("down", DOWN))
    outage = ("sick", 1.0), ("blame", 0.7), ("failed_at", NOW_MS)  # taken over from another process
    relay.handle(NOW_MS, [api.Duty(api.Mode.WAITS), *(api.Learned(dest, -1, outage) for dest in down)])
    found = relay.avoided(NOW_MS)
    counted = {"avoided": float(len(found)), "down": float(len(down))}
    counted |= opcodes_of(params, size, {"avoided": lambda: relay.avoided(NOW_MS)})
    return Sample(counted, {"avoided_us": cpu_us(lambda n: relay.avoided(NOW_MS))})


def share(fleet: Fleet, part: float) -> list[int]:
    """So many of the destinations (a whole number of 1 or more), or such a part of them (below 1), drawn."""
    count = round(part * fleet.destinations) if part < 1 else int(part)
    drawn = fleet.rng.permutation(fleet.destinations)[:min(count, fleet.destinations)]
    return [int(n) + 1 for n in drawn]


# -- turns ----------------------------------------------------------------------------------------------


def with_waiting(relay: Relay, dests: list[int], first: int = 1_000_000) -> None:
    """One message waits for each of these destinations, which told everybody to stay away."""
    stay = api.Learned
    relay.handle(NOW_MS, [stay(dest, -1, (("wait_until", NOW_MS + DEADLINE_MS),)) for dest in dests])
    relay.handle(NOW_MS, [api.Message(first + n, dest, 0, DEADLINE_MS) for n, dest in enumerate(dests)])


@measure("message_turn")
def message_turn(params: Params, size: int, seed: int) -> Sample:
    """One message is accepted and sent in one turn and answered in another, while messages for `waiting`
    other destinations wait (a number, or a part of the destinations of `size` endpoints): both turns."""
    fleet = Fleet.of(params, size, seed)
    _, relay = told(fleet)
    waiting = share(fleet, params.get("waiting", DOWN))
    with_waiting(relay, waiting)
    free = sorted(set(range(1, fleet.destinations + 1)).difference(waiting))
    free = [free[int(n)] for n in fleet.rng.permutation(len(free))]
    now = NOW_MS

    def message(n: int) -> None:
        """The clock moves on little: no queue that waits is due to be looked at again meanwhile."""
        nonlocal now
        now += 0.001
        acts = relay.handle(now, [api.Message(n + 1, free[n], 0, DEADLINE_MS)])
        send = next(act for act in acts if isinstance(act, api.Send))
        relay.handle(now, [api.AttemptEnded(send.id, 0, send.endpoint, api.Outcome.OK, 80.0, True)])

    counted = {"queues": float(len(waiting))}
    counted |= opcodes_of(params, size, {"message": lambda: message(0)})
    most = min(MOST_TIMES, len(free) - 1)
    return Sample(counted, {"message_us": cpu_us(lambda n: message(n + 1), most=most)})


@measure("idle_turn")
def idle_turn(params: Params, size: int, seed: int) -> Sample:
    """A turn without an event while messages for `size` destinations wait: none of their queues is due to be
    looked at (`turn_us`), or all are (`look_us`); and all turns of a second of the relay's clock in which
    nothing happens (`second_us`), which are as many as the module asks for (`turns_per_s`)."""
    fleet = Fleet(int(size * params.get("endpoints_each", ENDPOINTS_EACH)), seed,
                  float(params.get("endpoints_each", ENDPOINTS_EACH)))
    _, relay = told(fleet)
    with_waiting(relay, share(fleet, size if size > 1 else 0.9999))
    clock = [NOW_MS + 1.0]
    counted = {"queues": float(len(relay.board.queues))}
    counted |= opcodes_of(params, size, {"turn": lambda: relay.handle(clock[0], [])})
    timed = {"turn_us": cpu_us(lambda n: relay.handle(clock[0], []))}

    def second(n: int = 0) -> int:
        turns, end = 0, clock[0] + 1000.0
        acts = relay.handle(clock[0], [api.TimerFired(0)])
        while clock[0] < end:
            clock[0] += next((act.delay_ms for act in acts if isinstance(act, api.SetTimer)), 1000.0)
            acts, turns = relay.handle(clock[0], [api.TimerFired(0)]), turns + 1
        return turns

    second()
    counted["turns_per_s"] = float(second())
    counted |= opcodes_of(params, size, {"second": second})
    timed["second_us"] = cpu_us(second, most=20)
    timed["look_us"] = cpu_us(lambda n: relay.handle(clock[0] + 600.0 * (n + 1), []), most=5)
    return Sample(counted, timed)
