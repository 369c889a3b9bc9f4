"""What a relay remembers, and the indexes over it. Nothing is decided here: see control.py."""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from .interface import Decay, Endpoint, Message, MessageClass, Outcome

NEVER = float("-inf")
UNKNOWN = -1.0  # stands for a time that is not set, in what one process tells another
FLOW_MS = 2000.0  # calls count so long as sent of late
ANSWERS_MS, GUESS_MS = 60000.0, 2000.0  # answers count for so long, and a guess as if seen for so long
FURTHER = 0.25  # of a call's time that each further message may add: "somewhat more work", taken high


@dataclass(slots=True)
class Call:
    """One call that is out: it holds its slot until each of its messages has an outcome."""

    size: int  # messages sent in it
    left: int  # of them without an outcome yet
    told_at: float | None = None  # when the wait was read that its answer tells
    taught: set[Outcome] = field(default_factory=set)  # what it has shown of its destination already


@dataclass(slots=True)
class Held:
    """One message, from its arrival until it has ended and nothing is out for it."""

    msg: Message
    cls: MessageClass
    since: float  # when it was first handed in
    due: float
    worth: float
    ready: float  # no try before
    tries: int = 0
    out: EndpointState | None = None
    call: Call | None = None  # while out
    out_since: float = 0.0
    first_risk: float | None = None  # send of the first attempt that may have run
    risk: Endpoint | None = None
    withdrawn: bool = False
    called: bool = False  # by this process

    @property
    def owed(self) -> bool:
        """Found untried at a restart, and not called for since."""
        return self.msg.age_ms is not None and not self.msg.tries and not self.called

    @property
    def key(self) -> int:
        """The key whose order it keeps; 0 = none."""
        return self.msg.key if self.cls.in_order else 0

    def worth_at(self, at: float, decay: Decay) -> float:
        if at >= self.due:
            return 0.0
        late = at - self.since - self.cls.aim_ms
        if late <= 0:
            return self.worth
        if decay is Decay.HALVES:
            return self.worth * max(self.cls.late_share, float(0.5 ** (late / self.cls.aim_ms)))
        return self.worth * (1 - (1 - self.cls.late_share) * late / (self.cls.deadline_ms - self.cls.aim_ms))


@dataclass(slots=True)
class Kind:
    """What is seen of all destinations of one kind: endpoints of the same make."""

    full_up: float = 0.0  # share of new connections, the latest counting most, whose call was turned away

    def seen(self, outcome: Outcome, wait_ms: float, kept: bool | None) -> None:
        """A refusal that tells no wait may mean a limit, a full queue, or too many connections: what is
        refused on kept ones as well is not for want of those. One that is lucky to have a connection sees
        none refused, so others of its kind have to tell it."""
        if outcome is Outcome.FULL and not wait_ms and kept is not None:
            self.full_up = self.full_up * 0.7 if kept else self.full_up + 0.3 * (1 - self.full_up)
        elif outcome is Outcome.OK and kept is False:
            self.full_up *= 0.95


@dataclass(slots=True)
class EndpointState:
    """One endpoint as this relay sees it."""

    entry: Endpoint
    lane: Lane
    out: int = 0  # calls
    joins_at: float = NEVER  # the turn whose call there has room left: more sends in it would join that call
    faults: dict[int, float] = field(default_factory=dict)  # class -> latest failure, if none answered since
    warm: list[float] = field(default_factory=list)  # when each idle connection was last used

    def freed(self, now: float, last: Outcome) -> None:
        """A call has ended, the last of its messages so."""
        self.out -= 1
        self.lane.calls -= 1
        self.warm = [*self.warm, now] if last in (Outcome.OK, Outcome.ERROR, Outcome.FULL) else []


@dataclass(slots=True)
class Lane:
    """One destination (or route apart): pace, health, latency."""

    mean: float
    dev: float
    total: float  # calls a second of all relays together
    pace: float
    credit: float
    credit_at: float
    batch: int = 1  # messages in one call, at most
    listed: bool = True  # with a rate
    calls: int = 0  # out
    endpoints: dict[int, EndpointState] = field(default_factory=dict)
    out: dict[int, Held] = field(default_factory=dict)
    reported: bool = False  # its limit was told in answers: better than the list's rough rate
    report_at: float = NEVER  # the latest report
    answers: int = 0
    shared: int = 0  # answers to calls of several messages
    further: float = FURTHER  # part of a call's time that each further message in it adds, as far as seen
    last_ok: float = NEVER
    stretch: float = 1.0  # of the time-out
    hold: float = 0.0  # how long the latest refusal paces it
    free_at: float = NEVER  # a refusal paces it until then
    wait_until: float = NEVER
    telling: set[int] = field(default_factory=set)  # messages whose answers have begun and may tell a wait
    blame: float = 0.0
    sick: bool = False
    failed_at: float = NEVER
    lost: float = 0.0  # slot time that the latest failed call cost: a refused connection next to none
    ran_nothing: bool = False  # the latest failure proved no effect
    bad_since: float | None = None  # send of the first call that failed since the last answer
    cold_since: float = NEVER
    knowers: float = 1.0  # relays that may know of the latest outage
    next_trickle: float = 0.0
    flow: float = 0.0  # calls sent of late
    flow_at: float = 0.0
    answered: float = 0.0  # calls answered, each counting less the older it is
    answered_at: float = 0.0  # the latest one, or since when they are counted
    counted_ms: float = 0.0  # the time that they stand for

    def counts_answer(self, now: float) -> None:
        kept = math.exp((self.answered_at - now) / ANSWERS_MS)
        self.counted_ms = self.counted_ms * kept + ANSWERS_MS * (1 - kept)
        self.answered, self.answered_at = self.answered * kept + 1, now

    def answered_rate(self, now: float, guess: float) -> float:
        """Calls a second that were answered of late; where nothing is known yet, the guess."""
        kept = math.exp((self.answered_at - now) / ANSWERS_MS)
        counted_ms = self.counted_ms * kept + ANSWERS_MS * (1 - kept)
        return (self.answered * kept * 1000 + guess * GUESS_MS) / (counted_ms + GUESS_MS)

    @property
    def untold(self) -> bool:
        """Nothing has said yet how much it takes: neither the list, nor a report, nor a refusal."""
        return not self.listed and not self.reported and self.free_at == NEVER

    def tells(self, ident: int, now: float, wait_ms: float | None) -> None:
        """An answer has begun: it tells a wait, or may do so in a moment (None)."""
        if wait_ms is None:
            self.telling.add(ident)
        else:
            self.telling.discard(ident)
            self.wait_until = max(self.wait_until, now + wait_ms)

    def sent(self, now: float) -> None:
        self.calls += 1
        self.flow, self.flow_at = 1 + self.rate(now) * FLOW_MS / 1000, now

    def rate(self, now: float) -> float:
        """Calls a second of late."""
        return self.flow * math.exp((self.flow_at - now) / FLOW_MS) * 1000 / FLOW_MS

    def takes(self, deviations: float) -> float:
        """Longer than most calls take, by so many mean deviations."""
        return (self.mean + deviations * self.dev) * self.stretch

    def stretched(self, size: int) -> float:
        """How many times longer a call of so many messages takes than a call of one."""
        return 1 + self.further * (size - 1)

    def for_one(self, took: float, size: int) -> float:
        """What a call of one would have taken, and what each further message adds: taken too high, it would
        keep messages with little time left out of calls that they can wait for."""
        if size > 1:
            self.shared += 1
            seen = min(FURTHER, max(0.0, (took / self.mean - 1) / (size - 1)))
            self.further += max(0.15, 1 / self.shared) * (seen - self.further)
        return took / self.stretched(size)

    def room_in(self, times: float) -> int:
        """How many messages a call may hold to take so many times what a call of one takes; one at least."""
        return 1 + max(0, int((times - 1) / max(self.further, 0.01)))

    def told(self) -> tuple[tuple[str, float], ...]:
        """All that another process needs to go on from here: not what is out, which is each one's own."""
        return tuple(
            (name, UNKNOWN if (value := getattr(self, name)) is None else float(value)) for name in TOLD
        )

    def take(self, figures: tuple[tuple[str, float], ...], whole: bool) -> None:
        """Goes on from what another process knows, or hears only of its waits: one told to either holds."""
        told, wait_until = dict(figures), self.wait_until
        for name in TOLD if whole else ():
            if name in told:
                setattr(self, name, TOLD[name](told[name]))
        self.wait_until = max(wait_until, told.get("wait_until", NEVER))

    def __str__(self) -> str:
        """For the log: what decides how much goes there."""
        return (
            f"{self.calls} out, pace {self.pace:.1f} of {self.total:.1f}, credit {self.credit:.1f}, "
            f"blame {self.blame:.2f}{' sick' * self.sick}, takes {self.mean:.0f}+-{self.dev:.0f} ms "
            f"and {self.further:.2f} a message, x {self.stretch:.0f}, hold {self.hold:.0f}"
        )


def when(value: float) -> float | None:
    return None if value == UNKNOWN else value


TOLD: dict[str, Callable[[float], float | bool | None]] = {
    "mean": float,
    "dev": float,
    "total": float,
    "pace": float,
    "credit": float,
    "credit_at": float,
    "reported": bool,
    "answers": int,
    "shared": int,
    "further": float,
    "last_ok": float,
    "stretch": float,
    "hold": float,
    "free_at": float,
    "wait_until": float,
    "blame": float,
    "sick": bool,
    "failed_at": float,
    "lost": float,
    "ran_nothing": bool,
    "bad_since": when,
    "cold_since": float,
    "knowers": float,
    "next_trickle": float,
}


class Agenda:
    """When each queue is looked at next: a heap, so that a turn costs what is due and not what waits. What is
    due stays so until it is given another time."""

    def __init__(self) -> None:
        self.at: dict[int, float] = {}  # destination -> its time
        self.order: dict[int, int] = {}  # destination -> its place among those that are due at once
        self.due: set[int] = set()  # their time has come
        self.heap: list[tuple[float, int]] = []  # the others, with what has been given another time since
        self.places = 0

    def put(self, dest: int, at: float) -> None:
        if self.at.get(dest) == at:
            return
        if dest not in self.at:
            self.places += 1
            self.order[dest] = self.places
        self.at[dest] = at
        self.due.discard(dest)
        heapq.heappush(self.heap, (at, dest))

    def drop(self, dest: int) -> None:
        if self.at.pop(dest, None) is not None:
            del self.order[dest]
            self.due.discard(dest)

    def come(self, now: float) -> list[int]:
        """All whose time has come, in the order in which their queues began."""
        self._settle(now)
        return sorted(self.due, key=self.order.__getitem__)

    def next_at(self, now: float) -> float | None:
        """The first time that has not come yet."""
        self._settle(now)
        return self.heap[0][0] if self.heap else None

    def _settle(self, now: float) -> None:
        while self.heap and (self.heap[0][0] <= now or self.at.get(self.heap[0][1]) != self.heap[0][0]):
            at, dest = heapq.heappop(self.heap)
            if self.at.get(dest) == at:
                self.due.add(dest)


class Board:
    """The messages held: by id, those that wait by destination, and those in order by key."""

    def __init__(self) -> None:
        self.held: dict[int, Held] = {}
        self.queues: dict[int, dict[int, Held]] = {}
        self.agenda = Agenda()
        self.lines: dict[int, list[int]] = {}
        self.kinds: dict[int, Kind] = defaultdict(Kind)

    def add(self, held: Held) -> None:
        self.held[held.msg.id] = held
        if held.key:
            self.lines.setdefault(held.key, []).append(held.msg.id)

    def queue(self, held: Held) -> None:
        self.queues.setdefault(held.msg.destination, {})[held.msg.id] = held
        self.look(held.msg.destination)

    def unqueue(self, held: Held) -> None:
        queue = self.queues.get(held.msg.destination, {})
        queue.pop(held.msg.id, None)
        if not queue:
            self.queues.pop(held.msg.destination, None)
            self.agenda.drop(held.msg.destination)

    def remove(self, held: Held) -> None:
        del self.held[held.msg.id]
        self.unqueue(held)
        if held.key:
            line = self.lines[held.key]
            line.remove(held.msg.id)
            if line:
                self.look(self.held[line[0]].msg.destination)
            else:
                del self.lines[held.key]

    def followed(self, held: Held) -> bool:
        return bool(held.key) and len(self.lines[held.key]) > 1

    def look(self, dest: int) -> None:
        if dest in self.queues:
            self.agenda.put(dest, 0.0)
