"""Owns the `Relay`: sockets' events become its events, its actions become calls and notices."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from functools import partial
from typing import TypeVar

from .. import interface as api
from .. import liveness
from ..connection_reuse import Peer
from ..client_shares import ClientShares
from ..control import Relay
from ..memory_budget import MemoryBudget, bytes_of_messages
from . import clock
from .agent import Agent
from .client_request import Reply, Request
from .config import Address, Config
from .discovery import Directory, Watch, names_of
from .egress import UNSENT, Answer, Call, Egress, line_of
from .figures import Figures, Refusal
from .hedged_agent import HedgedAgent
from .history import History
from .ingress import ACCEPTS, Ingress
from .intake import Intake, Malformed
from .invariants import LATE_MS, Invariants, Rule
from .log_limit import LimitedLog
from .journal import Entry, Journal, JournalError
from .management import SOCKETS as MANAGEMENT_SOCKETS
from .management import Answer as Told
from .management import Call as Ask
from .management import ManagementServer
from .operator_drain import OperatorDrain
from .outcomes import Notices
from .process_memory import resident_bytes
from .records import WITHDRAWN
from .replacement import Replacement
from .runtime_checks import RuntimeChecks
from .starting import once_possible
from .tasks import Tasks
from .watchdog import Watchdog

log = logging.getLogger(__name__)
traffic = logging.getLogger("linnetstile.traffic")  # what recurs with each message or second
refusals = LimitedLog(traffic)
REFUSED = {
    Refusal.HOLD_FULL: "this relay holds as many messages as it may",
    Refusal.CLIENT_SHARE: "this connection has half of what this relay may hold",
    Refusal.MEMORY: "this relay holds as much as its memory allows",
}

SWEEP_S = 1.0
LOOK_AT_POOL_S = 0.25  # operators are shown nothing that is older than twice this
LONG_PAUSE_MS = 100.0  # of the loop, from which on the log tells of it
CLIENTS_PART = 3  # of the descriptors one part in so many is always the clients', as TERMS has it
OWN_SOCKETS = 24  # the loop's, the log's, the listener's, the journal's and two agents' descriptors
RETRY_S = 1.0  # a client that finds the hold full is told to come again so much later
DEST_MS = 60_000.0  # a destination without endpoints is known for so long: past any message's time
LOOK_S = 0.02
TELL_MS = 150.0  # before its time an end is told whether it is on file or not
TELL_AGAIN_S = 0.05  # an answer reaches its client before the notice that follows it reaches the platform
SERVE_ON_S = 0.5  # after SIGTERM: connections go on coming for up to 0.4 s
PART_S = 2.3  # after SIGTERM, where another process serves: clients move there between two requests
NEWS_S = 1.5  # a process that comes beside another hears of changes first, but not for longer than this
CALLS_END_S = 3.0  # after SIGTERM: no call is out later
GONE_S = 3.4  # after SIGTERM: whatever is still undone is left to the journal


@dataclass(slots=True)
class Held:
    """A message that the module holds, or for which a call is out."""

    entry: Entry
    body_bytes: int  # of its body as it came: an end lets it go
    client: int = 0  # the number of the connection that handed it in
    attempts: int = 0  # sends of this process, as the module counts them
    call: asyncio.Task[None] | None = None
    history: History = field(default_factory=History)


T = TypeVar("T")


def level_of(usual: bool) -> int:
    """Usual steps are logged only where all of them are asked for: else they crowd out those that matter."""
    return logging.DEBUG if usual else logging.INFO


class Host:
    def __init__(self, config: Config) -> None:
        self.config, self.settings = config, config.settings
        self.relay = Relay(config.settings, config.seed)
        self.classes = {cls.name: n for n, cls in enumerate(config.settings.classes)}
        self.tenants = {tenant.name: n for n, tenant in enumerate(config.settings.tenants)}
        self.invariants = Invariants()
        self.ingress = Ingress(self.take, self.withdraw, 1, config.sockets // 12, self.invariants)
        self.ingress.bind(*config.listen)  # before the journal: nothing is touched if another has the address
        try:
            self.operator_drain = OperatorDrain(config.state)
            self.journal = Journal(config.state, config.disk_bytes)
        except OSError:
            self.ingress.unbind()
            raise
        self.directory = Directory.of(config.settings, config.zones)
        self.unnoted = names_of(config.known)  # endpoints that the journal may not know as the list does
        self.intake = Intake(config.settings, self.classes, self.tenants, self._knows_destination)
        self.dests: dict[int, float] = {}  # destinations that are known though none is listed: until when
        self.figures = Figures(self.classes, self.invariants)
        self.checks = RuntimeChecks(config.settings, self.journal, self.directory, self.figures)
        self.egress = Egress(
            config.settings.idle_ms,
            config.settings.connect_timeout_ms,
            1,
            1,
            config.settings.report_fields,
            self.checks.call_written,
        )
        self.egress.on_unsolicited = partial(self.checks.unsolicited, Peer.ENDPOINT)
        self.egress.on_answer = partial(self.checks.answer, Peer.ENDPOINT)
        self.untold: dict[str, Entry] = {}  # ended, but not on file yet: told by their time at the latest
        self.found: set[str] = set()  # ids that an earlier process left: their time may be over
        self.stopping = False
        self.management: ManagementServer | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.replacement = Replacement(
            self.journal,
            self.relay,
            self.directory,
            self._turn_now,
            self._take_up,
            self._withdrawn,
            self._reported_unready,
        )
        self.linked = api.Mode.CALLS
        self.rest_bytes = resident_bytes()
        self._share()
        self.news = asyncio.Event()  # discovery has told something
        self.watch = Watch(
            self._agent(Peer.DISCOVERY),
            self.directory,
            self.told_by_discovery,
            config.settings.relays,
            not config.settings.ask_for_list,
        )
        self.watch.on_unanswered = self._feed
        self.notices = Notices(self._agent(Peer.OUTCOMES), self.noticed)
        self.tasks = Tasks()
        self.watchdog = Watchdog(self._look_at)
        self.talks: list[asyncio.Task[None]] = []  # with the agent: the watch and the notices
        self.closed = False
        self.held: dict[int, Held] = {}
        self.held_body_bytes = 0
        self.shares = ClientShares(self.settings.hold)
        self.ingress.ended_with = self.figures.client_ended_with
        self.leaving: set[str] = set()  # withdrawn while a call was out, which still is
        self.numbers: dict[str, int] = {}
        self.repeated: set[str] = set()  # of these, brought once more under their own id, and answered
        self.last_number = 0
        self.ready = False
        self.events: list[api.Event] = []
        self.turn: asyncio.TimerHandle | None = None
        self.last_turn = 0.0
        self.turns, self.turns_ms = 0, 0.0  # since the last sweep
        self.timer: asyncio.TimerHandle | None = None

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time() * 1000

    def _agent(self, peer: Peer) -> Agent:
        """A connection to the platform at the address that is configured now."""
        kind = HedgedAgent if peer is Peer.DISCOVERY else Agent
        agent = kind(self.config.discovery)
        agent.on_unsolicited = partial(self.checks.unsolicited, peer, agent.address)
        agent.on_answer = partial(self.checks.answer, peer, agent.address)
        return agent

    # -- life --------------------------------------------------------------------------------------------

    async def start(self) -> None:
        self.loop = asyncio.get_running_loop()
        if self.config.mgmt is not None:
            self.management = ManagementServer(
                {
                    "/-/ready": Ask("GET", self._tell_ready),
                    "/-/metrics": Ask("GET", lambda: Told(200, self.figures.text())),
                    "/-/drain": Ask("POST", lambda: self.drain(True)),
                    "/-/resume": Ask("POST", lambda: self.drain(False)),
                }
            )
            self.management.open(self.config.mgmt)
        self._reported_unready(self.journal.known_unlisted())
        if self.config.known:
            try:
                known = self.directory.apply(self.config.known)
                self.listed(replace(known, kind=api.ListKind.CACHED))
                self._feed(api.ListUnconfirmed(api.ListDoubt.STARTED))
            except ValueError as error:
                log.warning("the known list of endpoints is passed over: %s", error)
        self._resume()
        self.replacement.follow()
        self._step()
        if self.replacement.pair:
            self.watch.hurry()
        self._talk()
        self.tasks.start(self._sweep())
        self.tasks.start(self.watchdog.run())
        self.tasks.start(self._look_at_pool())
        self.tasks.start(self._follow())
        self.tasks.start(self.ingress.watch())
        if self.replacement.pair:  # clients are served meanwhile
            with suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), NEWS_S)
        await once_possible(self._listen)
        if self.draining:
            self._send_away()
        self.replacement.serving = True
        self.replacement.follow()  # before operators are told: they end the other process then
        self.ready = True
        self.rest_bytes = resident_bytes() - bytes_of_messages(len(self.held), self.held_body_bytes)
        self.config = replace(self.config, known={})  # the directory has it: it would stand in memory twice

    async def _listen(self) -> None:
        self.ingress.listen()

    def _talk(self) -> None:
        self.talks = [self.tasks.start(self.watch.run()), self.tasks.start(self.notices.run())]

    def reload(self, config: Config) -> None:
        """Moves the watch and the notices to the agent named now; a change of anything else needs a restart.
        Calls, clients and the journal are left alone, so it may come at any moment, also during a stop."""
        if self.closed:
            return
        for task in self.talks:  # Guards against waiting on an agent that is about to go
            task.cancel()
        self.watch.agent.close()
        self.notices.close()
        self.config = replace(self.config, discovery=config.discovery)
        self.watch.move(self._agent(Peer.DISCOVERY))
        self._feed(api.ListUnconfirmed(api.ListDoubt.MOVED))
        self.notices.move(self._agent(Peer.OUTCOMES))
        self._talk()
        log.info("discovery is at %s:%d from now on", *config.discovery)

    async def stop(self) -> None:
        """A planned restart: what cannot end in time stays in the journal."""
        loop = asyncio.get_running_loop()
        begun, self.stopping = loop.time(), True
        self.replacement.stopping = True
        self._feed(api.Closing((begun + CALLS_END_S) * 1000))
        self.replacement.follow()
        if self.replacement.heir:
            self.ingress.leave()
            self.ingress.send_away()
            while not self.ingress.quit and self.replacement.heir and loop.time() < begun + PART_S:
                await asyncio.sleep(LOOK_S)
        else:
            await asyncio.sleep(SERVE_ON_S)
        self.ingress.stop()
        while (self.held or not self.ingress.quit) and loop.time() < begun + CALLS_END_S + 0.1:
            await asyncio.sleep(LOOK_S)
        while (
            self.notices.waiting or self.untold or self.journal.waiting or not self.ingress.quit
        ) and loop.time() < begun + GONE_S:
            self.ingress.hang_up()
            await asyncio.sleep(LOOK_S)
        log.info(
            "%d messages and %d notices are left to the journal", len(self.held), len(self.notices.waiting)
        )
        await self.close()

    async def close(self) -> None:
        self.closed = self.stopping = True
        if self.management is not None:
            self.management.close()
        self.ingress.stop()
        for timer in (self.turn, self.timer):
            if timer is not None:
                timer.cancel()
        await self.tasks.cancel()
        self.ingress.hang_up()
        self.ingress.unbind()
        self.egress.keep_only(lambda key: False)
        self.watch.agent.close()
        self.notices.close()
        self.journal.close()

    # -- operators ---------------------------------------------------------------------------------------

    def _tell_ready(self) -> Told:
        """Called on the management server's thread, as are the other calls that it is given."""
        if self.ready and not self.stopping and not self.draining:
            return Told(200, "ready")
        why = "stopping" if self.stopping else "draining" if self.draining else "starting"
        return Told(503, f"takes no clients: {why}")

    @property
    def draining(self) -> bool:
        """Whether clients are sent away until a resume, which another process may have been told."""
        return self.operator_drain.active

    def drain(self, on: bool) -> Told:
        """Holds at once, whatever the loop is at; connections follow with its next turn."""
        self.operator_drain.set(on)
        if self.loop is not None:
            self.loop.call_soon_threadsafe(self._send_away)
        return Told(200, "draining" if on else "serving")

    def _send_away(self) -> None:
        if self.draining:
            self.ingress.send_away()
        elif not self.stopping:
            self.ingress.welcome()

    async def _look_at_pool(self) -> None:
        gauges = self.figures.gauges
        looked_at = self.now()
        while True:
            pause_ms = self.now() - looked_at - LOOK_AT_POOL_S * 1000
            looked_at = self.now()
            if pause_ms > LONG_PAUSE_MS:
                log.warning("the loop stood still for %.0f ms", pause_ms)
            try:
                gauges["longest_loop_pause_ms"] = max(gauges["longest_loop_pause_ms"], int(pause_ms))
                gauges["folder_bytes"] = self.journal.folder_bytes
                gauges["removed_spares"] = self.journal.folder.removed_spares
                gauges["journal_bytes"] = self.journal.size
                gauges["journal_live_bytes"] = self.journal.live
                gauges["failed_compactions"] = self.journal.budget.failed_compactions
                gauges["unknown_records"] = self.journal.unknown_records
                gauges["pool_size"] = len(self.directory.by_number)
                gauges["accepted_bytes"] = self.held_body_bytes
                gauges["receiving_bytes"] = self.ingress.partial.total_bytes
                gauges["resident_bytes"] = resident_bytes()
                gauges["longest_client_turn_us"] = int(1e6 * self.ingress.turns.take_longest_s())
                gauges["pool_ejected"] = self.relay.ejections.count(self.now())
            except Exception:
                log.exception("the pool's figures could not be read")
            await asyncio.sleep(LOOK_AT_POOL_S)

    # -- the start -------------------------------------------------------------------------------------

    def _resume(self) -> None:
        """Takes up what an earlier process left: it owes each message its end."""
        for entry in list(self.journal.entries.values()):
            if not entry.given:
                self._take_up(entry)

    def _take_up(self, entry: Entry) -> None:
        now = clock.now_ms()
        if entry.owes_notice or entry.ends_by_notice and now < entry.due:
            # Told again also where the earlier process was answered: by whom, and whether its client had
            # heard by then, died with it.
            self.notices.add(entry.id, entry.end, entry.after_ms)
        elif not entry.end and entry.class_ not in self.classes:
            self.found.add(entry.id)
            self._end(entry, "failed")  # the settings no longer know its class
        elif not entry.end:
            log.info(
                "message %s for %d: taken up %.0f ms after it came, %.0f ms left, %d tries%s",
                entry.id,
                entry.dest,
                now - entry.since,
                entry.due - now,
                entry.tries,
                "" if entry.risk is None else ", one unclear",
            )
            self.dests[entry.dest] = self.now() + DEST_MS
            self.found.add(entry.id)
            self._hold(entry, age_ms=max(0.0, now - entry.since))

    # -- a second process --------------------------------------------------------------------------------

    async def _follow(self) -> None:
        while True:
            await asyncio.sleep(self.replacement.look_s)
            try:
                on_file = self.journal.flush()
                if self.untold:
                    self._tell(on_file)
                self.replacement.follow()
                self._share()
                if self.operator_drain.look():
                    self._send_away()
            except Exception:
                log.exception("the other process's journal could not be followed")

    def _share(self) -> None:
        """Two processes share the descriptors. Clients get what calls cannot need: so a flood of connections
        leaves every call its descriptor."""
        config, both = self.config, 1 + self.replacement.pair
        idle, ending = max(1, config.sockets // 8 // both), max(1, config.sockets // 16 // both)
        own = (OWN_SOCKETS + MANAGEMENT_SOCKETS) * both
        clients = (config.sockets - own - config.settings.slots) // both - idle - ending - ACCEPTS
        self.egress.most_idle, self.egress.most_ending = idle, ending
        self.memory = MemoryBudget(config.memory_bytes, self.rest_bytes, both)
        self.ingress.partial.most_bytes = self.memory.receiving_bytes
        clients = min(clients, max(config.sockets // CLIENTS_PART // both, self.memory.connections))
        if self.replacement.mode is not self.linked:  # the other's connections are to take the place of ours
            self.linked = self.replacement.mode
            self._keep_links()
        self.ingress.allow(max(1, clients))

    def _turn_now(self, events: list[api.Event]) -> None:
        self.events += events
        self._step()

    def _give(self, numbers: list[int]) -> None:
        """The journal keeps their bodies until the other process has written them down."""
        entries = [held.entry for number in numbers if (held := self._forget(number)) is not None]
        for entry in entries:
            self.numbers.pop(entry.id, None)
            self.repeated.discard(entry.id)
            self.found.discard(entry.id)
        self.figures.gauges["active"] = len(self.held)
        self._journal(lambda: self.journal.give(entries))

    def _aged(self, event: api.Event) -> api.Event:
        """A message has less time left at its turn than when it came: a hand-over brings many at once."""
        held = self.held.get(event.id) if isinstance(event, api.Message) else None
        if held is None or not isinstance(event, api.Message):
            return event
        since = event.left_ms - (held.entry.due - clock.now_ms())
        return replace(
            event,
            left_ms=event.left_ms - since,
            age_ms=None if event.age_ms is None else event.age_ms + since,
            risk_age_ms=None if event.risk_age_ms is None else event.risk_age_ms + since,
        )

    def _withdrawn(self, ident: str) -> None:
        """Its client gave it up at the other process, which had handed it over."""
        number = self.numbers.get(ident)
        if number is not None:
            self._journal(lambda: self.journal.withdrawn(ident))
            self.found.discard(ident)
            self._let_go(number)
            self._feed(api.Withdrawn(number))

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            try:
                self.egress.sweep()
                self._know_dests()
                self._tell_state()
                self.journal.tidy(clock.now_ms())
            except Exception:
                log.exception("tidying failed")  # and is tried again: without it the folder fills

    def _tell_state(self) -> None:
        """What to compare a good stretch with a bad one by."""
        traffic.info(
            "%d held of %d, %d calls out of %d, %d turns took %.0f ms, %d clients, journal %d bytes, "
            "resident %d bytes, %d being received",
            len(self.held),
            self.settings.hold,
            self.relay.busy,
            self.settings.slots,
            self.turns,
            self.turns_ms,
            len(self.ingress.connections),
            self.journal.size,
            resident_bytes(),
            self.ingress.partial.total_bytes,
        )
        self.turns, self.turns_ms = 0, 0.0
        for dest, queue in self.relay.board.queues.items():
            lanes = [str(lane) for lane in self.relay.lanes.get(dest, {}).values()]
            traffic.debug("%d wait for %d: %s", len(queue), dest, "; ".join(lanes))

    def _knows_destination(self, destination: int) -> bool:
        return destination in self.directory.dests or destination in self.dests

    def _know_dests(self) -> None:
        """One whose endpoints are all being replaced is still known; one long gone is forgotten."""
        now = self.now()
        self.dests = {dest: until for dest, until in self.dests.items() if until > now}
        self.dests.update(dict.fromkeys(self.directory.lost(), now + DEST_MS))

    # -- the module's turn -------------------------------------------------------------------------------

    def _feed(self, event: api.Event) -> None:
        """Events are handed over a tick apart at the least, as the module is used to."""
        self.events.append(event)
        if self.turn is None and not self.closed:  # a turn would begin calls that nobody ends
            wait = max(0.0, self.last_turn + self.settings.tick_ms - self.now()) / 1000
            self.turn = asyncio.get_running_loop().call_later(wait, self._step)

    def _step(self) -> None:
        if self.turn is not None:
            self.turn.cancel()
        self.turn, self.last_turn = None, self.now()
        events, self.events = self.events, []
        try:
            actions = self.relay.handle(self.last_turn, [self._aged(event) for event in events])
        except Exception:
            # A fault in one turn must not stop all later ones.
            log.exception("the module failed on %r", events)
            actions = [api.SetTimer(1000.0, 0)]
        self.turns, self.turns_ms = self.turns + 1, self.turns_ms + self.now() - self.last_turn
        # Each by itself: a fault in one must not stop the others. What it leaves behind the watchdog finds.
        for action in actions:
            self._guarded(self._act, action)
        self._guarded(self._call_out, [action for action in actions if isinstance(action, api.Send)])
        self._guarded(self._give, [action.id for action in actions if isinstance(action, api.HandOver)])
        self._guarded(self.replacement.after_turn, events)

    @staticmethod
    def _guarded(step: Callable[[T], None], what: T) -> None:
        try:
            step(what)
        except Exception:
            log.exception("a step of a turn failed on %r", what)

    def _look_at(self, number: int, entry: Entry) -> None:
        """Soon after its time: whether a message was left behind. Then it ends now, and tells its history."""
        if self.events:  # its outcome may be among them: this process may have been held up
            self._step()
        held = self.held.get(number)
        if held is not None:
            self.invariants.check(Rule.LEFT_BEHIND, False, f"{entry.id}: {held.history.text(entry.since)}")
            call = held.call
            self._turn_now([api.Overdue(number)])
            if number in self.held:
                self._over(number, liveness.LAST_RESORT)
            if call is not None:
                call.cancel()
        elif entry.owes_notice and not self._is_on_its_way(entry):
            self.invariants.check(Rule.LEFT_BEHIND, False, f"{entry.id}: {entry.end}, and nobody tells it")
            self.notices.add(entry.id, entry.end, entry.after_ms)

    def _is_on_its_way(self, entry: Entry) -> bool:
        return entry.given or entry.id in self.untold or entry.id in self.notices.waiting

    def _call_out(self, sends: list[api.Send]) -> None:
        """A turn's sends to one endpoint share calls, up to its kind's batch: the module counts on it."""
        for endpoint in dict.fromkeys(send.endpoint for send in sends):
            mine = [(send.id, self.held[send.id]) for send in sends if send.endpoint == endpoint]
            until = min(send.give_up_at_ms for send in sends if send.endpoint == endpoint)
            keep = all(send.keep for send in sends if send.endpoint == endpoint)
            known = self.directory.by_number.get(endpoint)
            batch = 1 if known is None else self.settings.kinds[known.entry.kind].batch
            for first in range(0, len(mine), batch):
                group = mine[first : first + batch]
                task = self.tasks.start(self._call(group, endpoint, until, keep))
                for _, held in group:
                    held.attempts, held.call = held.attempts + 1, task
                    held.history.add("call to", endpoint)

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Send():
                pass  # see _call_out
            case api.Refuse(ident, stay_away):
                self._over(ident, "returned", stay_away)
            case api.Fail(ident):
                self._over(ident, "failed")
            case api.SetTimer(delay):
                if self.timer is not None:
                    self.timer.cancel()
                self.timer = asyncio.get_running_loop().call_later(delay / 1000, self._wake)
            case api.Cancel(ident):
                held_out = self.held.get(ident)
                if held_out is not None and held_out.call is not None:
                    held_out.call.cancel()
            case api.HandOver():
                pass  # see _give
            case api.WatchList():
                pass  # the watch is always on
            case api.Log(text):
                log.info("module: %s", text)
            case _:
                log.error("the module wants %r, which this relay cannot do", action)

    def _wake(self) -> None:
        self.timer = None
        self._feed(api.TimerFired(0))

    def told_by_discovery(self, event: api.EndpointList) -> None:
        self.news.set()
        self._note_unlisted()
        self.listed(event)

    def _note_unlisted(self) -> None:
        """Follows the change, not the list. What another process has reported since the list was asked for
        is not this one's to say; what no record could be written of is compared again."""
        self.unnoted |= self.directory.touched
        names = {name for name in self.unnoted if name not in self.directory.reports}
        if not names:
            return
        unlisted = {name for name in names if not self.directory.is_ready(name)}
        if self._journal(lambda: self.journal.says_unlisted(unlisted, names)):
            self.unnoted -= names

    def _reported_unready(self, names: set[str]) -> None:
        """Another process of this relay was told that these endpoints drain or are gone, this one perhaps not
        yet: that binds it, and the next one, until discovery has answered a later call."""
        self._journal(lambda: self.journal.heard_unlisted(names))
        endpoints = self.directory.report_unready(names, self.now())
        if endpoints:
            log.info("%d endpoints are not ready, as another process was told", len(endpoints))
            self._keep_links()
            self._feed(api.EndpointsUnready(endpoints))

    def listed(self, event: api.EndpointList) -> None:
        self._know_dests()
        self._keep_links()
        self._feed(event)

    def _keep_links(self) -> None:
        self.egress.keep_only(self._is_listed)

    def _is_listed(self, key: tuple[int, Address]) -> bool:
        """Whether this process may go on with a connection to that endpoint."""
        number, address = key
        known = self.directory.ready(number)
        return self.linked is not api.Mode.HANDS_OVER and known is not None and known.address == address

    # -- messages ----------------------------------------------------------------------------------------

    def take(self, request: Request) -> Reply:
        """One request of a client. All of it happens before the next event of the loop."""
        path = request.target.partition("?")[0]
        if request.method == "GET" and path == "/healthz":
            return Reply(200 if self.ready and not self.draining else 503)
        if request.method != "POST":
            return Reply(405, "POST a message, or GET /healthz")
        try:
            entry = self.intake.entry_of(request, path)
        except Malformed as error:
            return Reply(400, str(error))
        if entry.id in self.leaving:
            return Reply(503, "this message was given up, and its call has not ended", retry_s=RETRY_S)
        known = self.journal.find(entry.id)
        if known is not None and known.end != WITHDRAWN:
            return self._accept_again(entry.id)
        if known is not None and (known.out is not None or known.given):
            return Reply(503, "this message was given up, and its call has not ended", retry_s=RETRY_S)
        if known is not None:  # an attempt before it was given up counts, and may have run
            entry = replace(entry, tries=known.tries, risk=known.risk)
        why = self._refusal(request.client, len(entry.body))
        if why is not None:
            refusals.info(why, "message %s for %d: turned away: %s", entry.id, entry.dest, REFUSED[why])
            self.figures.refuse(entry.class_, why)
            return Reply(503, REFUSED[why], retry_s=RETRY_S)
        try:
            self.journal.take(entry)
        except JournalError as error:
            refusals.info(Refusal.JOURNAL, "refused a message: %s", error)
            self.figures.refuse(entry.class_, Refusal.JOURNAL)
            return Reply(503, str(error), retry_s=RETRY_S)
        traffic.debug(
            "message %s for %d: taken on, %.0f ms left, key %s%s",
            entry.id,
            entry.dest,
            entry.due - entry.since,
            entry.key,
            ", second try " * bool(entry.again) + entry.again,
        )
        self.invariants.check(Rule.ACCEPTED_ON_FILE, not self.journal.waiting, entry.id)
        self._hold(entry, client=request.client)
        return Reply(202, accepted=entry.id)

    def _refusal(self, client: int, body_bytes: int) -> Refusal | None:
        """Why a message of this client cannot be accepted, if it cannot."""
        self.shares.asked(client, self.now())
        if len(self.held) >= self.settings.hold:
            return Refusal.HOLD_FULL
        if not self.shares.may_accept(client, self.now()):
            return Refusal.CLIENT_SHARE
        if not self.memory.may_accept(len(self.held), self.held_body_bytes, body_bytes):
            return Refusal.MEMORY
        return None

    def _accept_again(self, ident: str) -> Reply:
        """Also while it is under way: it is one message, however often it comes."""
        if ident in self.numbers:
            self.repeated.add(ident)
        elif self.replacement.pair and ident not in self.journal.entries:
            self._journal(lambda: self.journal.repeated(ident))
        self._tell_again(ident)
        return Reply(202)

    def _hold(self, entry: Entry, age_ms: float | None = None, client: int = 0) -> None:
        """`age_ms`: of one that an earlier process left."""
        risk = entry.risk
        self.last_number += 1
        held = self.held[self.last_number] = Held(entry, len(entry.body), client)
        self.shares.accepted(client)
        self.held_body_bytes += held.body_bytes
        held.history.add("accepted" if age_ms is None else "taken up")
        self.watchdog.add(self.last_number, entry)
        self.figures.gauges["active"] = len(self.held)
        self.numbers[entry.id] = self.last_number
        self._feed(
            api.Message(
                self.last_number,
                entry.dest,
                self.classes[entry.class_],
                entry.due - clock.now_ms(),
                self.tenants.get(entry.tenant, 0),
                size=self._size(entry),
                again=entry.again == "1",
                from_dead_relay=entry.again == "again",
                age_ms=age_ms,
                tries=entry.tries,
                risk_age_ms=None if risk is None else max(0.0, clock.now_ms() - risk.at),
                risk=None
                if risk is None
                else api.Endpoint(
                    self.directory.number(risk.endpoint), entry.dest, api.Listing.READY, zone=risk.zone
                ),
            )
        )

    def _size(self, entry: Entry) -> int:
        """Its part of a call of several. One whose id or key a line there cannot hold fills a call alone."""
        if len(f"{entry.id} {entry.key}".split()) != 2 or entry.key == "-":
            return self.settings.call_bytes
        return len(line_of(entry.id, entry.key, entry.body))

    def withdraw(self, ident: str) -> None:
        """Its client never read the answer, and hands it in again under another id. Not so where a close
        crossed the request: then it has come again under its own id, and that answer stands."""
        if ident in self.repeated or self.replacement.pair and self.journal.has_come_again(ident):
            return
        traffic.info("message %s: taken back, as its client has gone without the answer", ident)
        if ident in self.numbers:
            self._withdrawn(ident)
        elif self.replacement.pair:
            self._journal(lambda: self.journal.withdrawn(ident))

    def _let_go(self, number: int) -> None:
        """No end is owed any more; a call that is out keeps its own reference."""
        held = self._forget(number)
        self.figures.gauges["active"] = len(self.held)
        if held is not None:
            self.numbers.pop(held.entry.id, None)
            self.repeated.discard(held.entry.id)
            if held.call is not None:
                self.leaving.add(held.entry.id)

    def _forget(self, number: int) -> Held | None:
        held = self.held.pop(number, None)
        if held is not None:
            self.held_body_bytes -= held.body_bytes
            self.shares.ended(held.client)
        return held

    def _over(self, number: int, state: str, after_ms: float = 0.0) -> None:
        held = self.held.get(number)
        if held is not None:
            self._let_go(number)
            self._end(held.entry, state, after_ms, held.history)

    def _end(self, entry: Entry, state: str, after_ms: float = 0.0, history: History | None = None) -> None:
        traffic.log(
            level_of(state in ("delivered", "over")),
            "message %s for %d: %s after %.0f ms, %d tries, come again in %.0f ms",
            entry.id,
            entry.dest,
            state,
            clock.now_ms() - entry.since,
            entry.tries,
            after_ms,
        )
        self.invariants.check(Rule.ONE_END, not entry.end, f"{entry.id}: {entry.end}, then {state}")
        late_ms = clock.now_ms() - entry.due
        in_time = late_ms < LATE_MS or entry.id in self.found
        self.invariants.check(Rule.END_IN_TIME, in_time, f"{entry.id}: {state}, {late_ms:.0f} ms late")
        unclear = state == "failed" and entry.risk is not None
        if history is not None and (unclear or not in_time):
            log.info("message %s: %s", entry.id, history.text(entry.since))
        self.found.discard(entry.id)
        self.figures.ended(entry.class_, state)
        on_file = self._journal(lambda: self.journal.ended(entry, state, after_ms))
        if entry.owes_notice:
            self.untold[entry.id] = entry
            self._tell(on_file)

    def _tell(self, on_file: bool) -> None:
        """Tells the platform of ends. One that is not on file waits for it while it has time: a kill before
        that would have the next process forward what the platform takes for ended."""
        now = clock.now_ms()
        for entry in list(self.untold.values()):
            if on_file or now >= entry.due - TELL_MS:
                del self.untold[entry.id]
                self.notices.add(entry.id, entry.end, entry.after_ms)

    def _tell_again(self, ident: str) -> None:
        """For a client that asks again after the end was told: it waits for an end from this answer on."""
        entry = self.journal.entries.get(ident)
        if entry is not None and entry.ends_by_notice and entry.told and ident not in self.notices.waiting:
            self.notices.add(ident, entry.end, entry.after_ms, TELL_AGAIN_S)

    def noticed(self, idents: list[str]) -> None:
        self._journal(lambda: self.journal.told(idents))

    @staticmethod
    def _journal(write: Callable[[], None]) -> bool:
        try:
            write()
            return True
        except JournalError as error:
            log.error("%s", error)
            return False

    # -- calls -------------------------------------------------------------------------------------------

    async def _call(self, group: list[tuple[int, Held]], endpoint: int, until: float, keep: bool) -> None:
        begun = self.now()
        attempts = [held.attempts - 1 for _, held in group]
        known = self.directory.by_number.get(endpoint)
        answers = [UNSENT] * len(group)
        try:
            if known is not None:
                answers = await self.egress.together(
                    [
                        Call(
                            endpoint,
                            known.address,
                            held.entry.id,
                            held.entry.key,
                            held.entry.body,
                            until / 1000,
                            partial(self._may_write, number, held, endpoint),
                            careful=self._effect(held.entry) is api.Effect.UNSAFE,
                            class_=held.entry.class_,
                            keep=keep,
                            note=self._noted(held.entry, known.name, known.entry.zone),
                            told_wait=partial(self._wait_told, number, held),
                        )
                        for number, held in group
                    ]
                )
        except asyncio.CancelledError:
            answers = [Answer(api.Outcome.CANCELLED)] * len(group)  # by the module, or at the process's end
        except Exception:
            # A fault of ours must not leave the messages without an outcome.
            log.exception("a call failed")
            answers = [
                Answer(api.Outcome.RESET if held.entry.out else api.Outcome.CONNECT_FAILED)
                for _, held in group
            ]
        took = self.now() - begun
        for (number, held), attempt, answer in zip(group, attempts, answers, strict=True):
            self._guarded(partial(self._ended, number, held, attempt, endpoint, answer), took)

    def _note_outcome_of_withdrawn(self, entry: Entry, answer: Answer) -> None:
        """Nobody is told of it, but its id may come again."""
        if answer.outcome is api.Outcome.OK:
            self._journal(lambda: self.journal.ended(entry, "delivered"))
        else:
            self._journal(lambda: self.journal.outcome(entry, not answer.outcome.proves_no_effect))

    def _effect(self, entry: Entry) -> api.Effect:
        return self.settings.classes[self.classes[entry.class_]].effect

    def _may_write(self, number: int, held: Held, endpoint: int) -> bool:
        """Asked before the first byte on each connection, and before the last. What a client has taken back,
        or a list has told, is known here before the decisions hear of it with their next turn."""
        ready = self.directory.ready(endpoint) is not None
        return ready and self.held.get(number) is held and self.relay.may_write(self.now(), number)

    def _wait_told(self, number: int, held: Held, wait_ms: float | None) -> None:
        """At once, not with the next turn: another call may be about to write its first byte."""
        traffic.info(
            "message %s for %d: its answer tells a wait of %s ms",
            held.entry.id,
            held.entry.dest,
            "..." if wait_ms is None else f"{wait_ms:.0f}",
        )
        if not self.closed:
            self._turn_now([api.WaitTold(number, wait_ms)])

    def _noted(self, entry: Entry, endpoint: str, zone: int) -> Callable[[], bool]:
        """One attempt in the journal, on however many connections it is begun."""
        noted = False

        def note() -> bool:
            nonlocal noted
            noted = noted or self._journal(lambda: self.journal.tried(entry, clock.now_ms(), endpoint, zone))
            return noted

        return note

    def _ended(
        self, number: int, held: Held, attempt: int, endpoint: int, answer: Answer, took: float
    ) -> None:
        entry, held.call = held.entry, None
        self.leaving.discard(entry.id)
        self.checks.call_ended(entry)
        held.history.add(answer.outcome.value, answer.on)
        told = " ".join(f"{value:.2f}" for value in answer.report)
        traffic.log(
            level_of(answer.outcome is api.Outcome.OK),
            "message %s for %d: try %d at %d, %.0f ms after it came: %s after %.0f ms, "
            "wait %.0f ms, told %s%s",
            entry.id,
            entry.dest,
            attempt,
            endpoint,
            clock.now_ms() - entry.since - took,
            answer.outcome.value,
            took,
            answer.wait_ms,
            told,
            answer.on,
        )
        self._feed(
            api.AttemptEnded(
                number,
                attempt,
                endpoint,
                answer.outcome,
                took,
                answer.over,
                answer.wait_ms,
                answer.no_slot,
                answer.report,
                answer.kept,
                answer.local,
            )
        )
        self._note_outcome(number, held, answer)

    def _note_outcome(self, number: int, held: Held, answer: Answer) -> None:
        entry = held.entry
        if self.journal.entries.get(entry.id) is entry and not entry.end:  # the watchdog may have ended it
            if answer.over:
                self._let_go(number)
                self._end(
                    entry, "delivered" if answer.outcome is api.Outcome.OK else "over", 0.0, held.history
                )
            elif entry.out is not None:
                self._journal(lambda: self.journal.outcome(entry, not answer.outcome.proves_no_effect))
        elif entry.end == WITHDRAWN and entry.out is not None:
            self._note_outcome_of_withdrawn(entry, answer)
