"""Every decision of a relay. Vocabulary: linnetstile/interface.py; memory: linnetstile/state.py; outlier
detection: linnetstile/health.py.

Messages for one destination wait in a queue; what was seen of it is in its `Lane` (of each route, if apart).
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator

from .health import FADE_MS, OVERDUE, Ejections, averaged, doubt, forgotten, suspect
from .interface import (
    Action,
    AttemptEnded,
    Closing,
    Duty,
    Effect,
    Elsewhere,
    Endpoint,
    EndpointList,
    EndpointsUnready,
    Event,
    Fail,
    HandOver,
    Learned,
    Listing,
    ListKind,
    ListUnanswered,
    ListUnconfirmed,
    Message,
    Mode,
    Outcome,
    Overdue,
    Rates,
    Refuse,
    Scope,
    Send,
    SetTimer,
    Settings,
    TimerFired,
    WaitTold,
    WatchList,
    Withdrawn,
)
from .list_confirmation import ListConfirmation
from .quotas import Quotas
from .slow_start import heaviest_call, knowing, mean_calls
from .state import FURTHER, NEVER, Board, Call, EndpointState, Held, Lane

MARGIN_MS = 20.0  # messages are closed so long before their time is up
LOOK_MS = 500.0  # a queue that waits for something is looked at again at least so often
HOLD_MS, HOLD_MAX_MS = 4000.0, 16000.0  # a refusal paces for so long: a clump's time; doubles while refused
RETRY_MS = 120.0  # first pause before another try: about one round trip; doubles from try to try
RETRY_MAX_MS = 4000.0  # no pause is longer: beyond it a message's aim is lost anyway
USUAL_MS = 500.0, 250.0  # latency and its mean deviation, until destinations have answered
DEVIATIONS = 10.0  # a time-out lies so many mean deviations above the mean: answers have a long tail
LAST = 3.0  # the last try a message can have waits so many times longer: a late answer still saves it
STRETCH_MAX = 8.0  # time-outs double while calls time out (slow is not down), up to this factor
BURST_S, BURST = 2.0, 3.0  # calls saved up for a clump: seconds of the pace, or so many if of the equal part
START = 0.5  # calls a second that one of many relays may send unpaced, until one is refused or a limit told
RARE = 0.2  # calls a second: who makes fewer sees no second failure before the first one has faded
RISE, GROWTH = 0.5, 0.1  # of the equal part, gained with a success that finds it bound: unrefused, or paced
CUT = 0.7  # pace kept after a refusal above the limit
ROUGH = 1.5  # a rough listed rate may be this much too high
BLAME = 0.3  # weight of one failure: two in a row make an outage
VOUCHED, VOUCH_MS = 0.1, 300.0  # its weight so soon after an answer: chance breaks two in a row among many
SICK = 0.5  # blame above which a destination is taken as out
TRUSTED = 0.25  # blame below which an unsafe message may be risked again
SHUT_MS = 2500.0  # told waits and refusals without a break longer than any span of a limit mean shut
SCARCE = 0.5  # share of new connections turned away above which none is kept: few relays would have all
CROWDED = 0.85  # share of the hold from which the least worth is refused to make room
FIRST = 1e9  # above any worth: what a restart found untried goes before all that came since


Choice = tuple[float, list[Held], EndpointState]  # worth per slot time, the messages of one call, endpoint


class Relay:
    """Decides for one relay: feed it events with `handle`, carry out the actions that it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s = settings
        self.rng = random.Random(seed)
        self.board = Board()
        self.ends: list[tuple[float, int]] = []  # heap: when a message can no longer be delivered
        self.lanes: dict[int, dict[int, Lane]] = {}  # destination -> its lanes
        self.endpoints: dict[int, EndpointState] = {}
        self.bare: set[int] = set()  # destinations of which a lane lost its last endpoint
        self.ejections = Ejections()
        self.key_rest: dict[int, float] = {}  # in-order key -> end of its rest
        self.quotas = Quotas(settings)
        self.confirmation = ListConfirmation(pushed=not settings.ask_for_list)
        self.usual = USUAL_MS  # latency over all destinations: what one not yet seen is taken for
        self.busy, self.timer_at = 0, 0.0
        self.rough = ROUGH if settings.rates is Rates.ROUGH else 1.0
        self.ask_at: float | None = 0.0 if settings.ask_for_list else None
        self.ask_fails = 0
        self.closing_at = float("inf")  # a planned restart: no call may still be out then
        self.mode = Mode.CALLS
        self.elsewhere: dict[int, int] = {}  # destination -> calls that this relay's other process has out
        self.learned: dict[tuple[int, int], Learned] = {}  # of lanes that are not listed here yet

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        acts: list[Action] = []
        for event in events:
            match event:
                case Message():
                    self._accept(now_ms, event)
                case AttemptEnded():
                    self._ended(now_ms, event)
                case WaitTold():
                    self._wait_told(now_ms, event)
                case EndpointList():
                    self._listed(now_ms, event)
                case EndpointsUnready():
                    self._drop_unready(now_ms, event)
                case ListUnconfirmed():
                    self.confirmation.doubt(now_ms, event.why)
                case ListUnanswered():
                    self.confirmation.unanswered(now_ms, event.reached, event.silent)
                case Withdrawn():
                    self._withdraw(event.id)
                case Overdue():
                    self._overdue(now_ms, event.id, acts)
                case TimerFired():
                    self.timer_at = 0.0
                case Closing():
                    self.closing_at = event.at_ms
                case Duty():
                    self.mode = event.mode
                case Elsewhere():
                    self.elsewhere = dict(event.calls)
                    for dest in list(self.board.queues):
                        self.board.look(dest)
                case Learned():
                    self._learn(now_ms, event)
        if self.ask_at is not None and now_ms >= self.ask_at:
            acts.append(WatchList())
            self.ask_at = now_ms + self.s.safety.ask_within_ms / 2  # asks again should no answer come
        self._close_late(now_ms, acts)
        self._dispatch(now_ms, acts)
        self._make_room(acts, now_ms)
        self._hand_over(acts)
        wakes = [
            self.board.agenda.next_at(now_ms),
            self.ask_at,
            self.confirmation.released_at(now_ms),
            *(end[0] for end in self.ends[:1]),
        ]
        wake = min((at for at in wakes if at is not None), default=None)
        if wake is not None and (self.timer_at <= now_ms or wake < self.timer_at):
            self.timer_at = max(wake, now_ms + self.s.tick_ms)
            acts.append(SetTimer(self.timer_at - now_ms, 0))
        return acts

    # -- discovery ---------------------------------------------------------------------------------------

    def _listed(self, now: float, event: EndpointList) -> None:
        if event.kind is ListKind.FAILED:
            # Guards against failing or overloaded discovery: asks again after growing, jittered pauses.
            pause = min(RETRY_MS * 4 * 2**self.ask_fails, self.s.safety.ask_within_ms / 4)
            self.ask_fails, self.ask_at = min(self.ask_fails + 1, 5), now + pause * self.rng.uniform(0.5, 1.0)
            return
        if event.kind is not ListKind.CACHED:
            self.ask_fails, self.ask_at = 0, None
            self.confirmation.confirm()
        ready = {entry.id: entry for entry in event.entries if entry.listing is Listing.READY}
        named = (
            [entry.id for entry in event.entries] if event.kind is ListKind.CHANGES else list(self.endpoints)
        )
        for ident in sorted({ident for ident in named if ident in self.endpoints}):
            if ident not in ready or self._lane_key(ready[ident]) != self._lane_key(
                self.endpoints[ident].entry
            ):
                self._drop(now, self.endpoints.pop(ident))
        for entry in ready.values():
            self._add(now, entry)

    def _drop_unready(self, now: float, event: EndpointsUnready) -> None:
        for ident in event.endpoints:
            if (endpoint := self.endpoints.pop(ident, None)) is not None:
                self._drop(now, endpoint)

    def _drop(self, now: float, endpoint: EndpointState) -> None:
        """Nothing new goes to an endpoint that drains or is gone; a lane goes with its last trace."""
        del endpoint.lane.endpoints[endpoint.entry.id]
        self.ejections.drop(endpoint)
        if not endpoint.lane.endpoints:
            endpoint.lane.bad_since = now if endpoint.lane.bad_since is None else endpoint.lane.bad_since
            self.bare.add(endpoint.entry.destination)
        for dest in [d for d in self.bare if d not in self.board.queues and d != endpoint.entry.destination]:
            kept = self.lanes[dest] = {k: v for k, v in self.lanes[dest].items() if not forgotten(v, now)}
            if all(lane.endpoints for lane in kept.values()):
                self.bare.discard(dest)
            if not kept:
                del self.lanes[dest]

    def _add(self, now: float, entry: Endpoint) -> None:
        dest, key = self._lane_key(entry)
        lanes = self.lanes.setdefault(dest, {})
        listed = entry.rate if self.s.rates is not Rates.NONE and entry.rate > 0 else 0.0
        if key not in lanes:
            pace = (total := listed or START * self.s.relays) / self.s.relays / self.rough
            batch = self.s.kinds[entry.kind].batch if entry.kind < len(self.s.kinds) else 1
            lanes[key] = Lane(*self.usual, total, pace, BURST, now, batch, listed > 0, answered_at=now)
            if (learned := self.learned.pop((dest, key), None)) is not None:
                lanes[key].take(learned.figures, True)
        lane, endpoint = lanes[key], self.endpoints.get(entry.id)
        if listed and listed != lane.total and not lane.reported:
            lane.pace, lane.total = lane.pace * listed / lane.total, listed  # keeps what was learned
        if endpoint is None:
            if not lane.endpoints and lane.bad_since is not None:  # replaced late: the new endpoint is cold
                self._cold(now, lane)
            self.endpoints[entry.id] = lane.endpoints[entry.id] = EndpointState(entry, lane)
            self.ejections.see(now, lane)
            self.board.look(dest)
        else:
            endpoint.entry = entry

    def _lane_key(self, entry: Endpoint) -> tuple[int, int]:
        apart = entry.kind < len(self.s.kinds) and self.s.kinds[entry.kind].routes_apart
        return entry.destination, entry.id if apart else -1

    # -- message life ------------------------------------------------------------------------------------

    def _accept(self, now: float, msg: Message) -> None:
        cls = self.s.classes[msg.class_]
        # An unmarked first try is new however little time it has left: some clients are just in a hurry.
        old = msg.again or msg.from_dead_relay or not self.s.marks_repeats
        since = now + msg.left_ms - cls.deadline_ms if old else now - (msg.age_ms or 0.0)
        held = Held(msg, cls, since, now + msg.left_ms, cls.worth, now, msg.tries)
        held.risk, held.first_risk = msg.risk, None if msg.risk_age_ms is None else now - msg.risk_age_ms
        held.worth *= 1.0 if msg.age_ms is not None else self.quotas.share(now, msg.tenant)  # no surge
        self.board.add(held)
        self._wait(held)

    def _wait(self, held: Held) -> None:
        """Puts a message into its queue, until a send or its last moment, whichever comes first."""
        close = min(self._until(held), held.due - MARGIN_MS - 2 * self.s.tick_ms)
        heapq.heappush(self.ends, (close, held.msg.id))
        self.board.queue(held)

    def _may_refuse(self, held: Held) -> bool:
        """A refusal promises that coming again is harmless: after an unclear attempt, only by effect."""
        keyed = held.cls.effect is Effect.KEYED and held.cls.key_scope is Scope.ALL
        return held.first_risk is None or held.cls.effect is Effect.SAFE or keyed

    def _turn(self, held: Held) -> float:
        """When a message may go by the order of its key: the first of its key after the key's rest."""
        if not held.cls.in_order:
            return 0.0
        if held.key and self.board.lines[held.key][0] != held.msg.id:
            return float("inf")
        return self.key_rest.get(held.key, 0.0)

    def _may_send(self, now: float, held: Held, endpoint: EndpointState) -> bool:
        """The one gate of every send: attempts, drain, told wait, time, order, effect and key window."""
        lane, entry = endpoint.lane, endpoint.entry
        if held.out is not None or entry.id not in self.endpoints or now >= self._until(held):
            return False
        late = now + lane.mean / 4 >= held.due or now + lane.takes(OVERDUE) > self.closing_at
        if late or lane.telling or now < max(lane.wait_until, held.ready, self._turn(held)):
            return False
        if held.risk is None or held.cls.effect is not Effect.KEYED or held.cls.key_scope is Scope.ALL:
            return True
        return entry.id == held.risk.id or held.cls.key_scope is Scope.ZONE and entry.zone == held.risk.zone

    def may_write(self, now: float, ident: int) -> bool:
        """Asked right before a call's first byte: connecting took time, in which its endpoint may have
        drained, its destination told us to wait, or the message's time or key window run out."""
        held = self.board.held.get(ident)
        if held is None or held.out is None or held.withdrawn:
            return False
        keyed = held.cls.effect is Effect.KEYED and held.first_risk is not None
        window = (held.first_risk or 0.0) + held.cls.key_window_ms - self.s.tick_ms if keyed else held.due
        endpoint, until = held.out, min(held.due, window, self.closing_at)
        told = endpoint.lane.wait_until > now or endpoint.lane.telling or self.confirmation.holds(now)
        return self.endpoints.get(endpoint.entry.id) is endpoint and not told and now < until

    def _until(self, held: Held) -> float:
        """Until when another try is allowed: not past the attempts, nor where it could take effect twice."""
        if held.tries >= self.s.attempts or held.first_risk is not None and held.cls.effect is Effect.UNSAFE:
            return NEVER
        if held.first_risk is None or held.cls.effect is Effect.SAFE:
            return held.due
        return held.first_risk + held.cls.key_window_ms - self.s.tick_ms

    def _end(self, now: float, held: Held, acts: list[Action]) -> None:
        ident = held.msg.id
        acts.append(Refuse(ident, self._advice(now, held)) if self._may_refuse(held) else Fail(ident))
        self.board.remove(held)

    def _advice(self, now: float, held: Held) -> float:
        """When to come again: after the told wait, and once what waits there now has gone."""
        dest = held.msg.destination
        told = max((lane.wait_until - now for lane in self.lanes.get(dest, {}).values()), default=0.0)
        drained = 1000 * len(self.board.queues.get(dest, ())) / self._speed(now, dest)
        return min(self.s.longest_advice_ms, max(told, drained))

    def _withdraw(self, ident: int) -> None:
        if held := self.board.held.get(ident):
            held.withdrawn = True  # one that is out waits for its outcome
            if held.out is None:
                self.board.remove(held)

    def _overdue(self, now: float, ident: int, acts: list[Action]) -> None:
        """A fault of this program has lost its call or its timer. One that is not known here was lost before
        it was accepted, or after its end was decided: nothing can be promised of it."""
        held = self.board.held.get(ident)
        if held is None:
            acts.append(Fail(ident))
            return
        if held.out is not None:
            self._ended(now, AttemptEnded(ident, held.tries - 1, held.out.entry.id, Outcome.TIMEOUT))
        if ident in self.board.held:
            self._end(now, held, acts)

    def _close_late(self, now: float, acts: list[Action]) -> None:
        """The deadline timer: ends what can no longer be delivered in time."""
        while self.ends and self.ends[0][0] <= now:
            held = self.board.held.get(heapq.heappop(self.ends)[1])
            if held and held.out is None:
                self._end(now, held, acts)

    def _make_room(self, acts: list[Action], now: float) -> None:
        """Before the hold fills (a full one turns newcomers away), refuses what will be worth least when
        its queue has drained, so that a destination that is out or slow pays for itself."""
        excess = len(self.board.held) - int(CROWDED * self.s.hold)
        if excess > 0:
            for _, _, held in heapq.nsmallest(excess, self._refusable(now), key=lambda each: each[:2]):
                self._end(now, held, acts)

    def _refusable(self, now: float) -> Iterator[tuple[float, float, Held]]:
        """All that wait and may be refused: what each is worth once its queue has drained, and now."""
        for dest, queue in self.board.queues.items():
            drained = now + 1000 * len(queue) / self._speed(now, dest)
            for held in queue.values():
                if self._may_refuse(held) and not held.owed:
                    yield held.worth_at(drained, self.s.decay), held.worth_at(now, self.s.decay), held

    def _speed(self, now: float, dest: int) -> float:
        """Messages a second that this relay may expect to place at a destination."""
        lanes = self.lanes.get(dest, {}).values()
        return sum(lane.batch * self._pace(now, lane, suspect(lane, now))[0] for lane in lanes) or 0.01

    # -- outcomes ----------------------------------------------------------------------------------------

    def _wait_told(self, now: float, event: WaitTold) -> None:
        """A wait binds from when it is read: the rest of its answer may come late, spoilt or never."""
        held = self.board.held.get(event.id)
        if held is not None and held.out is not None and held.call is not None:
            held.out.lane.tells(event.id, now, event.wait_ms)
            held.call.told_at = now
            self.board.look(held.msg.destination)

    def _ended(self, now: float, event: AttemptEnded) -> None:
        held = self.board.held.get(event.id)
        if held is None or held.out is None or held.call is None:
            return
        endpoint, call, held.out, held.call = held.out, held.call, None, None
        endpoint.lane.out.pop(event.id, None)
        endpoint.lane.telling.discard(event.id)
        call.left -= 1
        if not call.left:
            self.busy -= 1
            endpoint.freed(now, event.outcome)
        self.board.look(held.msg.destination)
        held.tries -= event.local
        if not event.outcome.proves_no_effect and held.first_risk is None:
            held.first_risk, held.risk = held.out_since, endpoint.entry
        held.called = held.called or event.outcome not in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED) and held.key:
            self.key_rest = {key: at for key, at in self.key_rest.items() if at > now}
            self.key_rest[held.key] = now + self.s.safety.key_rest_ms + self.s.tick_ms
        # Both layers pause before the next try: growing and jittered after any told wait.
        pause = min(RETRY_MAX_MS, RETRY_MS * 2 ** (held.tries - 1)) * self.rng.uniform(0.7, 1.3)
        held.ready = now + pause
        if event.wait_ms > 0:  # told to many relays at once: the growing, jittered pause comes after it
            told_at = now if call.told_at is None else call.told_at
            endpoint.lane.wait_until = max(endpoint.lane.wait_until, told_at + event.wait_ms + pause)
            endpoint.lane.credit_at = (
                endpoint.lane.wait_until
            )  # room for one comes back then, not what was saved up
        if event.outcome in call.taught:
            pass  # one call is one piece of evidence, however many messages shared its fate
        elif event.outcome is Outcome.OK:
            self._answered(now, endpoint, held, endpoint.lane.for_one(event.latency_ms, call.size))
        elif event.outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            self._failed(now, endpoint, held, event)
        if self.s.limit_report and len(event.report) > max(self.s.limit_report):
            self._reported(now, endpoint, *(event.report[n] for n in self.s.limit_report))
        self.board.kinds[endpoint.entry.kind].seen(event.outcome, event.wait_ms, event.kept)
        call.taught.add(event.outcome)
        self.ejections.ended(now, self._lane_key(endpoint.entry), endpoint.lane)
        if event.finished or held.withdrawn:
            self.board.remove(held)
        else:
            self._wait(held)

    def _answered(self, now: float, endpoint: EndpointState, held: Held, took: float) -> None:
        lane = endpoint.lane
        # Refused for long, but by one that reported its limit: no outage.
        limited = lane.failed_at <= lane.last_ok and lane.report_at >= (lane.bad_since or now)
        long_bad = not lane.sick and not limited and self._long_bad(now, lane)
        self.usual = averaged(*self.usual, took, 0.05)
        lane.answers += 1
        lane.counts_answer(now)
        lane.mean, lane.dev = averaged(lane.mean, lane.dev, took, max(0.15, 1 / (lane.answers + 1)))
        lane.last_ok, lane.stretch, lane.hold = now, 1.0, lane.hold / 2
        lane.blame *= 1 - BLAME
        endpoint.faults.pop(held.msg.class_, None)
        if lane.sick and lane.blame < SICK or long_bad:
            self._cold(now, lane)
        lane.bad_since = None
        self._raise(now, endpoint, (RISE if now > lane.free_at else GROWTH) * (not lane.reported))

    def _raise(self, now: float, endpoint: EndpointState, gain: float) -> None:
        """A pace that binds gains parts of the equal part, not of what it is: so a fleet's relays draw level,
        and none rises to the whole limit, nor while a cold one's budget binds. Where the limit is told, it
        binds only if messages wait: rare calls spend all that is saved up each time."""
        lane, part = endpoint.lane, endpoint.lane.total / self.s.relays
        if lane.credit < 1 and (not lane.reported or endpoint.entry.destination in self.board.queues):
            cold = now < lane.cold_since + self.s.safety.cold_ms
            lane.pace = max(lane.pace, min(part if cold else lane.total, lane.pace + gain * part))

    def _cold(self, now: float, lane: Lane) -> None:
        """It is back: from here on the cold budget holds, shared by the relays that may know of it."""
        lane.knowers = self._knowers(now, lane)
        lane.sick, lane.cold_since, lane.credit, lane.bad_since = False, now, 0.0, None

    def _failed(self, now: float, endpoint: EndpointState, held: Held, event: AttemptEnded) -> None:
        lane, shut = endpoint.lane, event.wait_ms > SHUT_MS
        lane.bad_since = held.out_since if lane.bad_since is None else lane.bad_since
        lane.ran_nothing = event.outcome.proves_no_effect
        if event.outcome is Outcome.FULL:
            if lane.untold:  # the first refusal: what it takes is about what it got
                lane.pace = max(START, lane.rate(now))
                lane.total = lane.pace * self.s.relays
            part, cut = lane.total / self.s.relays, lane.pace * CUT
            paced = now < lane.free_at or part > START  # if not, the equal part is the first guess
            lane.pace = max(part / 3, min(cut, (lane.pace * part) ** 0.5)) if paced else part
            lane.hold = min(HOLD_MAX_MS, max(HOLD_MS, 2 * lane.hold))
            lane.free_at = now + lane.hold * self.rng.uniform(0.5, 1.5)
            for each in self.lanes.get(held.msg.destination, {}).values():  # a clump strikes all routes
                if each is lane or each.pace * BURST_S < BURST:
                    each.credit = min(each.credit, self.rng.uniform(-0.5, 0.5) + 0.5 * (each is not lane))
            if not shut:
                return
        else:
            endpoint.faults[held.msg.class_] = lane.failed_at = now
            lane.lost = event.latency_ms
            if self._rare(now, lane):  # no call saved up: those of all relays would come as one
                lane.credit = min(lane.credit, self.rng.random())
        if event.outcome is Outcome.TIMEOUT:
            lane.stretch = min(STRETCH_MAX, lane.stretch * 2)
        # A recent answer or an endpoint that has not failed vouches for a destination: without either, one
        # failure is an outage. Guards relays that call it too seldom to see two in a row.
        recent = now - VOUCH_MS
        vouched = min(held.out_since, recent) if event.outcome is Outcome.CONNECT_FAILED else now - FADE_MS
        alone = lane.last_ok <= vouched and all(other.faults for other in lane.endpoints.values())
        weight = BLAME if lane.last_ok < recent else VOUCHED
        lane.blame += (1.0 - lane.blame) * (SICK + 0.05 if alone or shut else weight)
        if lane.blame > SICK and lane.endpoints:
            if not lane.sick:
                first = self.rng.random() if self._rare(now, lane) else 0.0
                lane.next_trickle = now + first * 1000 / self._pace(now, lane, True)[0]
            lane.sick, lane.blame = True, min(lane.blame, 0.7)
        if shut:  # the first calls after it are spread over what it can take cold
            rate = self._pace(lane.wait_until, lane, True)[0]
            lane.next_trickle = lane.wait_until + 1000 / rate * self.rng.random()

    def _reported(self, now: float, endpoint: EndpointState, left: float, limit: float) -> None:
        lane, gain = endpoint.lane, GROWTH * (4 * left - 2)
        if limit > 0:
            lane.pace, lane.total, lane.reported = lane.pace * limit / lane.total, limit, True
            lane.report_at = now
            if gain < 0:
                lane.pace = max(lane.pace * (1 + gain), limit / self.s.relays / 3)
            self._raise(now, endpoint, gain)

    # -- pace, health and return -------------------------------------------------------------------------

    def _knowers(self, now: float, lane: Lane) -> float:
        """How many relays may have met the outage: no more than there are, nor than calls it failed."""
        since = now if lane.bad_since is None else lane.bad_since
        before = FADE_MS if lane.failed_at > lane.last_ok or lane.hold > HOLD_MS else self.s.safety.fall_ms
        since = max(min(since, lane.last_ok), since - before)  # it may have begun at the last answer
        return knowing(float(self.s.relays), self._total(now, lane) * (now - since) / 1000)

    def _pace(self, now: float, lane: Lane, out: bool) -> tuple[float, float]:
        """Calls a second and in one go: the learned pace; for a destination that is out or cold, this relay's
        part of what it can take cold, so that all relays that know of the outage stay within the budget."""
        safety = self.s.safety
        total = self._total(now, lane)
        if out or self._long_bad(now, lane) or self._refused_rarely(now, lane):
            knowers = self._knowers(now, lane)
            return self._cold_rate(total, safety.cold_share, knowers) / knowers, 1.0
        pace = max(lane.pace, START * (now > lane.free_at and not lane.reported))  # rare ones fit most limits
        pace = max(pace, 1000 * self.s.slots / lane.mean) if lane.untold else pace
        if now < lane.cold_since + safety.cold_ms:
            warmth = (1 - safety.cold_share) * (now - lane.cold_since) / safety.cold_ms
            cold = self._cold_rate(total, safety.cold_share + warmth, lane.knowers)
            return min(pace, cold / lane.knowers), 1.0
        return pace, max(1.0, pace * BURST_S, min(BURST, lane.total / self.s.relays * BURST_S))

    def _total(self, now: float, lane: Lane) -> float:
        """What it takes from all relays, rather too low: where nothing tells, what it has answered."""
        if lane.listed or lane.reported:
            return lane.total / (1.0 if lane.reported else self.rough)
        return min(lane.total, lane.answered_rate(now, START) * self.s.relays)

    def _long_bad(self, now: float, lane: Lane) -> bool:
        """Failed, or refused again, and no answer for long: shut, full or out, and back at any moment. Who
        calls it rarely sees no second failure before it is back: there one stands for an outage."""
        if lane.bad_since is None:
            return False
        failed = lane.failed_at > lane.last_ok
        if failed and self._rare(now, lane):
            return True
        return (failed or lane.hold > HOLD_MS) and now - lane.bad_since > SHUT_MS

    def _refused_rarely(self, now: float, lane: Lane) -> bool:
        """Who calls it rarely can tell a limit from an outage by one refusal only if that reports a limit."""
        return lane.bad_since is not None and lane.bad_since > lane.report_at and self._rare(now, lane)

    def _rare(self, now: float, lane: Lane) -> bool:
        """So many relays share it that each calls it less than twice in the time in which evidence fades."""
        return self._total(now, lane) / self.s.relays < RARE

    def _cold_rate(self, total: float, share: float, knowers: float) -> float:
        """Calls a second that those relays may send in the mean to one that can take so great a share."""
        return mean_calls(self._cold_calls(total, share), knowers) * 1000 / self.s.safety.fall_ms

    def _cold_calls(self, total: float, share: float) -> float:
        """Calls that one that can take so great a share may get within the time in which it can fall."""
        return max(self.s.safety.fall_multiple * share, 0.01) * total * self.s.safety.fall_ms / 1000

    def _room_at(self, now: float, lane: Lane, out: bool) -> tuple[float, float]:
        """When this lane takes another call, and when it takes one that overdraws its pace."""
        pace, burst = self._pace(now, lane, out)
        gained = pace * max(0.0, now - lane.credit_at) / 1000
        lane.credit, lane.credit_at = min(burst, lane.credit + gained), max(now, lane.credit_at)
        if out:
            if now > lane.next_trickle + 2 * LOOK_MS:  # turns are not saved up while slots are busy
                lane.next_trickle = now + 1000 / pace * self.rng.random()
            return lane.next_trickle, lane.next_trickle
        at = lane.credit_at + max(0.0, 1 - lane.credit) / pace * 1000
        return at, at if burst == 1.0 else at - BURST / pace * 1000

    # -- slots and choice --------------------------------------------------------------------------------

    def _endpoint(self, now: float, held: Held, lane: Lane) -> EndpointState | None:
        """The endpoint to use: not doubted, little busy, with a warm connection, cheap."""

        def rank(endpoint: EndpointState) -> tuple[float, float, int]:
            zone = endpoint.entry.zone
            fee = self.s.route_fees[zone] if zone < len(self.s.route_fees) else 0.0
            fee += self.s.cross_zone_price * (zone != self.s.zone)
            endpoint.warm = [at for at in endpoint.warm if now - at < self.s.idle_ms * 0.9]
            load = (
                endpoint.out
                + doubt(endpoint, now, held.msg.class_)
                + 0.9 * (not endpoint.warm)
                + 1.5 * (fee > 0)
            )
            return load, fee, endpoint.entry.id

        free = [endpoint for endpoint in lane.endpoints.values() if endpoint.joins_at < now]
        able = [endpoint for endpoint in free if self._may_send(now, held, endpoint)]
        return min(able, key=rank) if able else None

    def _most(self, now: float, lane: Lane, out: bool) -> int:
        """Messages in one call: one where it may end unclear; and no call to a cold one weighs more than its
        pace allows within the time after which too much of it brings the destination down."""
        out = out or self._long_bad(now, lane)
        if out or now >= lane.cold_since + self.s.safety.cold_ms:
            return 1 if out else lane.batch
        window_s = self.s.safety.fall_ms / 1000
        calls = self._cold_calls(self._total(now, lane), self.s.safety.cold_share)
        weight = max(self._pace(now, lane, out)[0] * window_s, heaviest_call(calls, lane.knowers))
        return min(lane.batch, 1 + int(max(0.0, weight - 1) / FURTHER))

    def _crew(self, now: float, lane: Lane, able: list[tuple[float, Held, bool]], most: int) -> Choice | None:
        """The messages of the next call, their worth and their endpoint. All end together, since none may be
        out twice: one that has little time left leads only as many as fit into it, so the call of one with
        more is looked at too. Who waits for nothing but the pace joins, as a limit counts calls."""
        best, most, latest = None, min(most, len(able)), now
        for worth, first, leads in able:
            until = self._give_up(now, first, lane, most) if leads else now
            if until <= latest or (endpoint := self._endpoint(now, first, lane)) is None:
                continue
            latest, fit = until, min(most, lane.room_in((until - now) / lane.takes(OVERDUE)))
            crew, size, long = [first], first.msg.size, now + lane.takes(OVERDUE) * lane.stretched(fit)
            for more, held, _ in able if fit > 1 else ():
                fits = held.due >= long and size + held.msg.size <= self.s.call_bytes
                if fits and len(crew) < fit and held is not first and self._may_send(now, held, endpoint):
                    crew.append(held)
                    worth, size = worth + more, size + held.msg.size
            worth /= lane.stretched(len(crew))
            best = (worth, crew, endpoint) if best is None or worth > best[0] else best
            if fit == most:
                break
        return best

    def _dispatch(self, now: float, acts: list[Action]) -> None:
        """Sends what has most worth per slot time while there are slots; reads only queues that are due."""
        picks: dict[int, Choice] = {}
        if self.confirmation.holds(now):
            return  # what is due stays due
        due = self.board.agenda.come(now)
        while self.mode is Mode.CALLS and self.busy + sum(self.elsewhere.values()) < self.s.slots:
            found = {dest: self._pick(now, dest) for dest in due if dest in self.board.queues}
            picks.update({dest: choice for dest, choice in found.items() if choice is not None})
            if not picks:
                return
            dest = max(picks, key=lambda d: picks[d][0])
            self._send(now, *picks.pop(dest)[1:], acts)
            due = [dest]

    def _pick(self, now: float, dest: int) -> Choice | None:
        """The call for this queue with most worth still to win per slot time, if any may be made at all: as
        many messages as fit, since a limit counts calls, and a call holds one slot."""
        best, first = None, 0.0
        look, lanes = now + LOOK_MS, self.lanes.get(dest, {}).values()
        calls = self.elsewhere.get(dest, 0) + sum(lane.calls for lane in lanes)
        for lane in lanes:
            out = suspect(lane, now)
            # All routes of a destination share its half of the slots; one that is out has less.
            half, quarter = max(1, self.s.slots // 2), max(1, self.s.slots // 4)
            if out and lane.calls >= quarter or calls >= half and (out or len(self.board.queues) > 1):
                continue
            room_at, overdraw_at = self._room_at(now, lane, out)
            if lane.telling or (may := max(overdraw_at, lane.wait_until)) > now:  # nobody's turn
                look = look if lane.telling else min(look, may)  # a long queue is not read
                continue
            # Slot time for one delivery, failed calls counted: scarce slots go to destinations that answer.
            cost = lane.mean + lane.blame * lane.lost / (1 - lane.blame)
            barred = (out or lane.blame > TRUSTED) and not lane.ran_nothing
            able: list[tuple[float, Held, bool]] = []  # the last: whether a call may go now for its sake
            for held in self.board.queues[dest].values():
                # The pace is a guess: overdrawn for a client that won't wait, or a message its key waits for.
                hurried, joins_at = held.due < held.since + held.cls.aim_ms, held.ready
                if held.cls.in_order:
                    hurried, joins_at = hurried or self.board.followed(held), max(joins_at, self._turn(held))
                if barred and held.cls.effect is Effect.UNSAFE:
                    joins_at = max(joins_at, lane.failed_at + FADE_MS)  # an unclear outcome would be final
                room = overdraw_at if hurried else room_at
                at = room if room > joins_at else joins_at
                if now < at < look:
                    look = at
                if joins_at > now:
                    continue
                soon = held.worth_at(now + lane.mean, self.s.decay)
                later = held.worth_at(now + lane.mean + 1000.0, self.s.decay)
                able.append((2 * soon - later + FIRST * held.owed, held, at <= now))
            able.sort(key=lambda each: -each[0])
            choice = self._crew(now, lane, able, self._most(now, lane, out))
            if choice is not None:
                # One call tells whether a destination is back: it stands for all that wait there.
                worth = sum(each[0] for each in able) if out else choice[0]
                # Guards a route from being every relay's first: the better and wider one is just likelier.
                rate = (worth / cost) ** 2 * self._pace(now, lane, out)[0]
                draw = 0.0 if out else self.rng.expovariate(max(1e-30, rate))
                if best is None or draw < first:
                    best, first = (worth / cost, *choice[1:]), draw
            elif able and any(endpoint.joins_at == now for endpoint in lane.endpoints.values()):
                look = min(look, now + self.s.tick_ms)
        self.board.agenda.put(dest, look if best is None else 0.0)
        return best

    def _give_up(self, now: float, held: Held, lane: Lane, size: int) -> float:
        until = held.due  # more is lost with a shared call given up too early than with a slot held longer
        patience = lane.takes(DEVIATIONS) * (1 + FURTHER * (size - 1))
        last = held.tries + 1 >= self.s.attempts or held.cls.effect is Effect.UNSAFE
        if held.cls.effect is Effect.KEYED:
            risk = held.first_risk if held.first_risk is not None else now
            last = last or now + patience + RETRY_MS * 2**held.tries > risk + held.cls.key_window_ms
        if last or now + 2 * patience < held.due:
            until = min(held.due, now + patience * (LAST if last else 1.0))
        return min(until, self.closing_at)

    def _send(self, now: float, crew: list[Held], endpoint: EndpointState, acts: list[Action]) -> None:
        lane = endpoint.lane
        until = min(self._give_up(now, crew[0], lane, len(crew)), *(held.due for held in crew))
        if endpoint.warm:
            endpoint.warm.pop()
        if suspect(lane, now):  # the next call there: spread, and rarer the longer it lasts
            lane.next_trickle = now + 1000 / self._pace(now, lane, True)[0] * self.rng.uniform(0.7, 1.3)
        call, keep = Call(len(crew), len(crew)), self.board.kinds[endpoint.entry.kind].full_up < SCARCE
        endpoint.joins_at = now if len(crew) < lane.batch else endpoint.joins_at
        for held in crew:
            self.board.unqueue(held)
            held.out, held.call, held.out_since, held.tries = endpoint, call, now, held.tries + 1
            lane.out[held.msg.id] = held
            acts.append(Send(held.msg.id, endpoint.entry.id, until, keep))
        endpoint.out += 1
        self.ejections.calling[self._lane_key(endpoint.entry)] = lane
        lane.sent(now)
        lane.credit -= 1 + FURTHER * (len(crew) - 1) if now < lane.cold_since + self.s.safety.cold_ms else 1
        self.busy += 1

    # -- two processes -----------------------------------------------------------------------------------

    def _hand_over(self, acts: list[Action]) -> None:
        """What is out stays until its outcome: never are tries of one message out from both processes."""
        for held in list(self.board.held.values()) if self.mode is Mode.HANDS_OVER else ():
            if held.out is None:
                acts.append(HandOver(held.msg.id))
                self.board.remove(held)

    def _learn(self, now: float, event: Learned) -> None:
        """Who makes the calls knows better: what still ends at the other are its slowest and failing ones."""
        if (lane := self.lanes.get(event.destination, {}).get(event.endpoint)) is None:
            self.learned[event.destination, event.endpoint] = event
        else:
            lane.take(event.figures, self.mode is not Mode.CALLS)
            self.ejections.see(now, lane)
            self.board.look(event.destination)

    def waiting_destinations(self, now_ms: float) -> set[int]:
        """Those of which a told wait is not over."""
        return {
            dest
            for dest, lanes in self.lanes.items()
            if any(lane.wait_until > now_ms for lane in lanes.values())
        }

    def known(self, dests: set[int] | None = None) -> list[Learned]:
        """What the other process needs to know of these destinations, or of all."""
        return [
            Learned(dest, key, lane.told())
            for dest in (self.lanes if dests is None else sorted(dests))
            for key, lane in self.lanes.get(dest, {}).items()
        ]

    def calls_out(self) -> dict[int, int]:
        dests = {dest for dest, _ in self.ejections.calling}
        return {dest: sum(lane.calls for lane in self.lanes[dest].values()) for dest in dests}
