"""Owns the measures of one relay's own code, in one process and without a network: lists, turns, memory.

Processor time is that of this process over many repetitions. Opcodes are those that the interpreter runs in
one repetition: the same byte for byte from run to run, so that the shape of a cost can be checked with no
clock. What a single C call does (`set - set`, `json.loads`, `min` over a dict) counts as one opcode however
long it takes, so the time has to be looked at too. They are slow to count: see `count_up_to`.
"""

from __future__ import annotations

import asyncio
import gc
import json
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
from unittest.mock import patch

import numpy as np

from .. import interface as api
from ..control import CROWDED, Relay
from ..net import clock
from ..net.config import Config
from ..net.discovery import Directory
from ..net.host import Host
from ..net.journal import Entry, Journal, encode
from .measure import Params, Sample, measure

ENDPOINTS_EACH = 2.5  # endpoints of a destination, if the experiment says nothing else
CHANGED = 10  # endpoints that one change of the list names
DOWN = 0.015  # part of the destinations that is out at any time
COUNT_UP_TO = 10_000  # largest size at which opcodes are counted: tracing makes code some 20 times slower
SPEND_S = 0.1  # processor time spent on one figure, what prepares its repetitions included
LEAST_TIMES, LEAST_S = 3, 1.0  # but so many repetitions at least, unless they would take longer than this:
MOST_TIMES = 2000  # a collection of garbage falls into one of them
RELAYS, SLOTS, HOLD = 5000, 64, 1_000_000  # the hold is wide, so that only `make_room` meets its end
FIRST_DESTINATION = FIRST_GENERATION = 1_000_000  # so that all have seven digits
DISK_BYTES = 3_000_000
QUEUES = 200  # destinations that a crowded hold is spread over
BODY_BYTES = 300
ZONES = ("a", "b", "c")
NOW_MS, DEADLINE_MS = 1000.0, 600_000.0  # nothing ends while it is measured
SINCE, DUE = 1.0e9, 4.0e12  # monotonic ms: of messages in a journal, which are due long after any run
Act = Callable[[], object]


def settings_of(**more: Any) -> api.Settings:
    """Settings of one relay among many; each destination's rate is listed."""
    classes = (api.MessageClass("safe", api.Effect.SAFE, 4000.0, DEADLINE_MS, 1.0, 0.5),)
    values: dict[str, Any] = {
        "classes": classes,
        "kinds": (api.DestinationKind("k"),),
        "slots": SLOTS,
        "hold": HOLD,
        "attempts": 8,
        "relays": RELAYS,
        "rates": api.Rates.NOMINAL,
        "idle_ms": 10_000.0,
        "connect_timeout_ms": 1500.0,
        "tick_ms": 5.0,
        "safety": api.Safety(20.0, 250.0, 0.2, 9000.0, 2.0, 1500.0, 10_000.0, 100.0),
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
    generation: int = FIRST_GENERATION

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
        """All are of one length: what a list takes then shows how many are on it."""
        host = f"10.{100 + number // 10_000 % 100}.{100 + number // 100 % 100}.{100 + number % 100}:8080"
        return {
            "instanceId": f"cell-{number:08d}",
            "hostPort": host,
            "zone": ZONES[number % len(ZONES)],
            "machineType": "k",
            "cell": self.destination(int(number / self.each)),
            "lifecycle": lifecycle,
            "weight": weight,
            "startedAtMs": 1_700_000_000_000 + number,
        }

    @staticmethod
    def destination(number: int) -> int:
        return FIRST_DESTINATION + number

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
async def idle_host(seed: int, disk_bytes: int = DISK_BYTES) -> AsyncIterator[Host]:
    """A relay's whole process but for its tasks: nothing is served, and discovery is not asked."""
    with tempfile.TemporaryDirectory() as folder:
        host = Host(
            Config(
                "n0",
                ("127.0.0.1", 0),
                ("127.0.0.1", 9),
                Path(folder),
                seed,
                1024,
                192_000_000,
                disk_bytes,
                {},
                settings_of(),
                ZONES,
            )
        )
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
    gc.collect()
    gc.disable()  # finalizers of what others left are no part of it
    sys.settrace(enter)
    try:
        act()
    finally:
        sys.settrace(before)
        gc.enable()
    return count


def cpu_us(
    act: Callable[[int], object], prepare: Callable[[int], object] = lambda n: None, most: int = MOST_TIMES
) -> float:
    """Processor time of `act(n)` for n = 0, 1, ..., median in microseconds; `prepare(n)` is not counted."""
    taken: list[float] = []
    start = time.process_time()
    while len(taken) < most:
        spent = time.process_time() - start
        if taken and spent >= SPEND_S and (len(taken) >= LEAST_TIMES or spent >= LEAST_S):
            break
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


def counts(params: Params, size: int) -> bool:
    return size <= int(params.get("count_up_to", COUNT_UP_TO))


def opcodes_of(params: Params, size: int, acts: dict[str, Act]) -> dict[str, float]:
    """Runs each once, in order; only counted up to the size that the experiment gives."""
    return (
        {f"{name}_opcodes": float(opcodes(act)) for name, act in acts.items()} if counts(params, size) else {}
    )


# -- lists ----------------------------------------------------------------------------------------------


@measure("list_whole")
def list_whole(params: Params, size: int, seed: int) -> Sample:
    """The whole list of `size` endpoints is taken: its bytes, processor time and memory.

    `parse_us` is `json.loads`, `apply_us` the directory, `handle_us` the module's turn, on a relay that knew
    nothing (`again_` where it knew them all already). Memory is what stays of it (`kept_bytes`), and the most
    that is held while it is taken, the parsed list included but not its text (`peak_bytes`).
    """
    fleet = Fleet.of(params, size, seed)
    answer = fleet.whole()
    settings = settings_of()
    raw = json.loads(answer)

    directories = [Directory.of(settings, ZONES)]
    relays = [Relay(settings, seed)]

    def fresh(n: int) -> None:
        directories[0], relays[0] = Directory.of(settings, ZONES), Relay(settings, seed)

    event = directories[0].apply(raw)
    fresh(0)
    counted = {"list_bytes": float(len(answer)), "entry_bytes": len(answer) / size}
    counted |= opcodes_of(
        params,
        size,
        {
            "apply": lambda: directories[0].apply(raw),
            "handle": lambda: relays[0].handle(NOW_MS, [event]),
            "again_handle": lambda: relays[0].handle(NOW_MS, [event]),
        },
    )
    timed = {
        "parse_us": cpu_us(lambda n: json.loads(answer)),
        "apply_us": cpu_us(lambda n: directories[0].apply(raw), fresh),
    }
    timed["handle_us"] = cpu_us(lambda n: relays[0].handle(NOW_MS, [event]), fresh)
    timed["again_handle_us"] = cpu_us(lambda n: relays[0].handle(NOW_MS, [event]))
    fresh(0)
    tracemalloc.start()
    try:
        kept = apply(directories[0], answer)
        directory_bytes = tracemalloc.get_traced_memory()[0]
        relays[0].handle(NOW_MS, [kept])
        held, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    timed |= {
        "directory_bytes": float(directory_bytes),
        "relay_bytes": float(held - directory_bytes),
        "kept_bytes": float(held),
        "peak_bytes": float(peak),
    }
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
                host._know_dests()
                host._keep_links()

            host._know_dests()
            self.next()
            counted = {"change_bytes": float(len(self.answer))}
            counted |= opcodes_of(params, size, {"apply": self.apply, "host": host_part, "handle": self.turn})
            timed = {
                "apply_us": cpu_us(self.apply, self.next),
                "host_us": cpu_us(host_part, self.applied),
                "handle_us": cpu_us(self.turn, self.applied),
            }
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


@measure("ejections")
def ejections(params: Params, size: int, seed: int) -> Sample:
    """`Ejections.count`, which the operators' gauge asks for, while a share `down` of the destinations
    of `size` endpoints is out (0.015 unless given)."""
    fleet = Fleet.of(params, size, seed)
    _, relay = told(fleet)
    down = share(fleet, params.get("down", DOWN))
    outage = ("sick", 1.0), ("blame", 0.7), ("failed_at", NOW_MS)  # taken over from another process
    relay.handle(NOW_MS, [api.Duty(api.Mode.WAITS), *(api.Learned(dest, -1, outage) for dest in down)])
    counted = {"ejected": float(relay.ejections.count(NOW_MS)), "down": float(len(down))}
    counted |= opcodes_of(params, size, {"count": lambda: relay.ejections.count(NOW_MS)})
    return Sample(counted, {"count_us": cpu_us(lambda n: relay.ejections.count(NOW_MS))})


def share(fleet: Fleet, part: float | int) -> list[int]:
    """So many of the destinations (a whole number), or such a part of them, drawn."""
    count = part if isinstance(part, int) else round(part * fleet.destinations)
    drawn = fleet.rng.permutation(fleet.destinations)[: min(count, fleet.destinations)]
    return [Fleet.destination(int(n)) for n in drawn]


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
    taken = set(waiting)
    free = [dest for dest in share(fleet, fleet.destinations) if dest not in taken]
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
    fleet = Fleet(
        int(size * params.get("endpoints_each", ENDPOINTS_EACH)),
        seed,
        float(params.get("endpoints_each", ENDPOINTS_EACH)),
    )
    _, relay = told(fleet)
    with_waiting(relay, share(fleet, size))
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


# -- the hold and the journal -----------------------------------------------------------------------------


@measure("make_room")
def make_room(params: Params, size: int, seed: int) -> Sample:
    """A turn in which one message comes while the hold is crowded, so that another has to be refused: `size`
    messages are held, for `queues` destinations (200 unless given) that told everybody to stay away."""
    hold = next(hold for hold in range(int(size / CROWDED), 2 * size + 2) if int(CROWDED * hold) >= size)
    queues = min(size, int(params.get("queues", QUEUES)))
    fleet = Fleet(queues, seed, 1.0)
    _, relay = told(fleet, hold=hold)
    dests = share(fleet, queues)
    with_waiting(relay, dests)
    messages = [
        api.Message(n, dests[int(fleet.rng.integers(queues))], 0, DEADLINE_MS)
        for n in range(1, int(CROWDED * hold) - len(relay.board.held) + 1)
    ]
    relay.handle(NOW_MS, list(messages))
    held, now = len(relay.board.held), NOW_MS

    def crowded(n: int = 0) -> list[api.Action]:
        nonlocal now
        now += 0.001
        return relay.handle(now, [api.Message(len(messages) + 1 + n, dests[n % queues], 0, DEADLINE_MS)])

    refused = [act for act in crowded() if isinstance(act, api.Refuse)]
    counted = {"held": float(held), "refused": float(len(refused))}
    counted |= opcodes_of(params, size, {"turn": lambda: crowded(1)})
    return Sample(counted, {"turn_us": cpu_us(lambda n: crowded(n + 2))})


def an_entry(n: int, seed: int, body_bytes: int) -> Entry:
    return Entry(
        f"{seed:04x}-{n:012x}",
        "safe",
        "tenant",
        n % QUEUES + 1,
        None,
        SINCE,
        DUE,
        "",
        (n.to_bytes(8, "big") * (body_bytes // 8 + 1))[:body_bytes],
    )


def body_bytes(params: Params) -> int:
    return int(params.get("body_bytes", BODY_BYTES))


def wide(size: int, params: Params) -> int:
    """A limit of the state folder that so many entries, and those added by repetitions, stay far below."""
    return DISK_BYTES + 8 * (size + 2 * MOST_TIMES) * (1024 + 2 * body_bytes(params))


@measure("held_message")
def held_message(params: Params, size: int, seed: int) -> Sample:
    """Memory of `size` messages held, by the module alone and by the whole process (with the body, what the
    client said and the journal's index), and the bytes that they take in the state folder. `body_bytes` of
    each body: 300 unless given."""

    async def in_host() -> tuple[int, int]:
        async with idle_host(seed, wide(size, params)) as host:

            def take() -> None:
                for n in range(size):
                    entry = an_entry(n, seed, body_bytes(params))
                    host.journal.take(entry)
                    host._hold(entry)
                host._step()

            _, taken = memory_bytes(take)
            if len(host.held) != size or len(host.relay.board.held) != size:
                raise RuntimeError(f"{len(host.held)} of {size} messages are held")
            return taken, host.journal.size

    relay = Relay(settings_of(), seed)
    _, in_module = memory_bytes(
        lambda: relay.handle(NOW_MS, [api.Message(n, n % QUEUES + 1, 0, DEADLINE_MS) for n in range(size)])
    )
    taken, folder = asyncio.run(in_host())
    counted = {"folder_bytes": float(folder), "message_folder_bytes": folder / size}
    return Sample(
        counted,
        {
            "module_bytes": float(in_module),
            "process_bytes": float(taken),
            "message_process_bytes": taken / size,
            "message_module_bytes": in_module / size,
        },
    )


def filled(folder: Path, params: Params, size: int, seed: int) -> Journal:
    journal = Journal(folder, wide(size, params))
    for n in range(size):
        journal.take(an_entry(n, seed, body_bytes(params)))
    return journal


@measure("journal_append")
def journal_append(params: Params, size: int, seed: int) -> Sample:
    """What one message more costs the journal of a process that holds `size`: `take_us` is the record before
    its client's answer, `life_us` all records of a message that is delivered at the first try. `tidy_us` is
    what is done once a second whether messages come or not."""
    with tempfile.TemporaryDirectory() as name, patch.object(clock, "now_ms", lambda: SINCE):
        journal = filled(Path(name), params, size, seed)
        folder = journal.size
        fresh = [an_entry(size + n, seed, body_bytes(params)) for n in range(MOST_TIMES * 2 + 2)]

        def life(n: int) -> None:
            entry = fresh[n]
            journal.take(entry)
            journal.tried(entry, SINCE, "cell-00000001", 0)
            journal.outcome(entry, True)
            journal.ended(entry, "delivered")

        counted = {"folder_bytes": float(folder), "entry_bytes": folder / size}
        before = journal.size
        life(0)
        counted["life_bytes"] = float(journal.size - before)
        counted |= opcodes_of(params, size, {"life": lambda: life(1), "tidy": lambda: journal.tidy(SINCE)})
        timed = {
            "tidy_us": cpu_us(lambda n: journal.tidy(SINCE)),  # first: the others make it hold more
            "life_us": cpu_us(lambda n: life(n + 2)),
            "take_us": cpu_us(lambda n: journal.take(fresh[MOST_TIMES + 2 + n])),
        }
        journal.close()
        return Sample(counted, timed)


@measure("journal_load")
def journal_load(params: Params, size: int, seed: int) -> Sample:
    """A process starts and finds `size` messages in its state folder: processor time until it has read them,
    and the memory that they take then."""
    with tempfile.TemporaryDirectory() as name, patch.object(clock, "now_ms", lambda: SINCE):
        folder = Path(name)
        filled(folder, params, size, seed).close()

        def load(n: int = 0) -> Journal:
            journal = Journal(folder, wide(size, params))
            if len(journal.entries) != size:
                raise RuntimeError(f"{len(journal.entries)} of {size} messages were found")
            journal.close()
            return journal

        counted = {"folder_bytes": float(sum(path.stat().st_size for path in folder.iterdir()))}
        counted |= opcodes_of(params, size, {"load": load})
        timed = {"load_us": cpu_us(load)}
        _, timed["loaded_bytes"] = memory_bytes(load)
        return Sample(counted, timed)


@measure("known_lanes")
def known_lanes(params: Params, size: int, seed: int) -> Sample:
    """What a process that is replaced tells the next one of the destinations of `size` endpoints: `known_us`
    is the module's part, `say_us` the records of it in the journal, `said_bytes` their length."""
    fleet = Fleet.of(params, size, seed)
    _, relay = told(fleet)
    learned = relay.known()

    def records() -> list[dict[str, Any]]:
        return [
            {
                "k": "lane",
                "dest": each.destination,
                "ep": "",
                "told": [[name, value] for name, value in each.figures],
            }
            for each in learned
        ]

    said = sum(len(encode(record)) for record in records())
    with tempfile.TemporaryDirectory() as name:
        journal = Journal(Path(name), DISK_BYTES + 8 * said)

        def say(n: int = 0) -> None:
            for each in learned:
                journal.says_lane(each.destination, "", [[name, value] for name, value in each.figures])

        counted = {"lanes": float(len(learned)), "said_bytes": float(said), "lane_bytes": said / len(learned)}
        counted |= opcodes_of(params, size, {"known": relay.known, "say": say})
        timed = {"known_us": cpu_us(lambda n: relay.known()), "say_us": cpu_us(say, most=1)}
        journal.close()
    return Sample(counted, timed)
