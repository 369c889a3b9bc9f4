"""Calls to endpoints: one at a time on a connection, and what each one's end proves."""

from __future__ import annotations

import asyncio
import logging
import math
import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from ..connection_reuse import ReusePolicy, UnsolicitedBytes, names_only
from ..interface import Outcome
from .backoff import Backoff
from .config import Address
from .link import Head, Link, LinkLost, NotBegun

log = logging.getLogger(__name__)

IDLE_SHARE = 0.8  # of the idle limit: an older connection may be closed while a call is written to it
BODY_S = 1.0  # a body that takes longer costs its connection, and a refusal its proof
BODY_BYTES = 64 * 1024
CAREFUL_HOLD_S = 0.025  # the last byte of what must not run twice waits for an end that is on its way
HOLD_S = 0.005  # and that of other calls, while connections break: most ends come as quickly as this
WAIT_TOLD = (429, 503)  # refusals, whose heads may hold a wait; so may a 200 for several messages
REPORT = re.compile(r"(\w+)=([^\s,]+)")  # in Endpoint-Load-Metrics: TEXT x0=0.4, x1=25
AGAIN_S, AGAIN_MOST_S = 0.005, 0.1  # pauses while this machine cannot begin a connection
WARY_S = 10.0  # so long after one that was kept has broken
AT_ONCE_BYTES = 2048  # with its head less than 4 KiB: the least that Linux keeps for a socket to send


Key = tuple[int, Address]  # an endpoint's number and where it is: another may come to its address


@dataclass(frozen=True, slots=True)
class Call:
    endpoint: int
    address: Address
    trace_id: str
    key: str | None
    body: bytes
    give_up_at: float  # on the loop's clock, in seconds
    may_write: Callable[[], bool]  # asked right before the first byte, and the last if it is held back
    careful: bool = False  # an unclear outcome would be final
    class_: str = ""  # for the figures
    keep: bool = True  # the connection, once answered
    note: Callable[[], bool] = lambda: True  # writes the try down, before its last byte may leave
    # Told as soon as the answer's head is read: the wait in it (ms); None: its first line has come, and what
    # follows may tell one.
    told_wait: Callable[[float | None], None] = lambda wait_ms: None


@dataclass(frozen=True, slots=True)
class Answer:
    outcome: Outcome
    wait_ms: float = 0.0
    no_slot: bool = False
    over: bool = False  # the endpoint says that nothing more is owed
    report: tuple[float, ...] = ()  # what it told of its limit, in the order of the settings' fields
    on: str = field(default="", compare=False)  # the connection that it was on, for the log
    kept: bool | None = field(default=None, compare=False)  # whether that was one from an earlier call
    local: bool = False  # nothing of it left this process: no attempt, and no evidence of anybody


UNSENT = Answer(Outcome.NOT_SENT, local=True)


@dataclass(slots=True)
class Trip:
    """How far one call has got. Kept where the bytes go out: an end in the turn of the last byte or of the
    answer finds what there is."""

    link: Link | None = None
    free: bool = True  # it is nobody else's: the call's end is its end
    sent: list[Call] = field(default_factory=list)  # those of its messages that may go
    hinted: bool = False  # the answer has begun and may tell a wait
    not_begun: bool = False  # so far this machine has failed to begin a connection

    def heard(self, code: int, head: Head | None) -> None:
        """A wait binds the whole destination from when it is written: it is told on as soon as it is read,
        whatever becomes of the rest of its answer, and of the call's task."""
        if self.may_tell(code):
            wait = None if head is None else wait_of(head)
            if wait is None or wait > 0 or self.hinted:
                self.hinted = True
                self.sent[0].told_wait(wait)

    def may_tell(self, code: int) -> bool:
        """Whether an answer to this call may tell a wait."""
        return code in WAIT_TOLD or code == 200 and len(self.sent) > 1

    def cut_off(self, cut: Outcome, on: str = "") -> Answer:
        """What is known of a call that ends without its whole answer."""
        link = self.link
        head = None if link is None else link.read_head
        wait_ms = 0.0 if head is None or not self.may_tell(head.status) else wait_of(head)
        if link is None and self.not_begun:
            return UNSENT
        if link is None or not link.out:
            return Answer(Outcome.CONNECT_FAILED, wait_ms=wait_ms, on=on)  # no endpoint had all of it
        if len(self.sent) == 1 and link.code == 200:
            return Answer(Outcome.OK, over=True, on=on)
        return Answer(cut, wait_ms=wait_ms, on=on)


def answer_of(head: Head) -> Answer:
    """Each row of the protocol's table in which an answer came back."""
    wait = wait_of(head)
    match head.status:
        case 200:
            return Answer(Outcome.OK, over=True)
        case 429:
            return Answer(Outcome.FULL, wait_ms=wait)
        case 503 if head.headers.get("x-over-slots") == "1":
            return Answer(Outcome.NOT_SENT, no_slot=True)
        case 503:  # the protocol names no wait here, but one that is told is kept
            return Answer(Outcome.FULL, wait_ms=wait)
        case 504:
            return Answer(Outcome.NOT_SENT)
        case 410:
            return Answer(Outcome.NOT_SENT, over=True)
        case _:  # 500, and whatever else the protocol does not name: it may have run
            return Answer(Outcome.ERROR)


def answer_of_all(head: Head) -> Answer:
    """For several messages in a call that fared alike. 400 and 413 mean that none has run; what belongs to
    one message only, as 410 and 504 do, cannot be read as the protocol requires."""
    match head.status:
        case 429 | 500 | 503:
            return answer_of(head)
        case 400 | 413:
            return Answer(Outcome.NOT_SENT)
        case _:
            return Answer(Outcome.ERROR)


FATES = {
    "delivered": Answer(Outcome.OK, over=True),
    "failed": Answer(Outcome.ERROR),
    "refused": Answer(Outcome.FULL),
    "over": Answer(Outcome.NOT_SENT, over=True),
    "spent": Answer(Outcome.NOT_SENT),
}


def answers_of(head: Head, body: bytes, sent: list[str]) -> dict[str, Answer]:
    """How each message of a call of several ended, by its id; a line that makes no sense tells of none, and
    an answer about others belongs to another call."""
    wait = wait_of(head)
    lines = [line.split() for line in body.decode("latin-1").splitlines()]
    told = {
        line[0]: replace(FATES[line[1]], wait_ms=wait)
        for line in lines
        if len(line) == 2 and line[1] in FATES
    }
    return told if names_only(told, sent) else {}


def line_of(trace_id: str, key: str | None, body: bytes) -> bytes:
    return f"{trace_id} {key or '-'} {len(body)}\r\n".encode("latin-1") + body + b"\r\n"


def bulk(calls: list[Call]) -> bytes:
    """The body of a call of several messages."""
    return b"".join(line_of(call.trace_id, call.key, call.body) for call in calls)


def wait_of(head: Head) -> float:
    """How long an answer tells to wait, in milliseconds; 0 if it tells nothing that makes sense."""
    try:
        wait = float(head.headers.get("x-ratelimit-wait-ms", ""))
    except ValueError:
        return 0.0
    return wait if wait > 0 and math.isfinite(wait) else 0.0


def report_of(head: Head, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Empty unless every field is told as a number: half a report would be read as a limit of nought."""
    told = dict(REPORT.findall(head.headers.get("endpoint-load-metrics", "")))
    try:
        report = tuple(float(told[name]) for name in fields)
    except (KeyError, ValueError):
        return ()
    return report if all(math.isfinite(value) and value >= 0 for value in report) else ()


class Egress:
    def __init__(
        self,
        idle_ms: float,
        connect_timeout_ms: float,
        most_idle: int,
        most_ending: int = 16,
        report_fields: tuple[str, ...] = (),
        written: Callable[[list[Call]], None] = lambda calls: None,
    ) -> None:
        self.written = written  # told of each message whose call's last byte is out
        self.report_fields = report_fields
        self.idle_s = IDLE_SHARE * idle_ms / 1000
        self.connect_s = connect_timeout_ms / 1000 or None
        self.most_idle = most_idle
        self.idle: dict[Key, list[Link]] = {}
        self.listed: Callable[[Key], bool] = lambda key: True
        self.on_unsolicited: Callable[[Address, UnsolicitedBytes], None] = lambda address, found: None
        self.on_answer: Callable[[Address, Link], None] = lambda address, link: None
        self.reuse = ReusePolicy()
        self.ending: dict[Link, None] = {}  # answered, but their bodies have not come; oldest first
        self.most_ending = most_ending
        self.broke_at = -WARY_S  # when a connection that was kept broke before its call was answered

    async def call(self, call: Call) -> Answer:
        return (await self.together([call]))[0]

    async def together(self, calls: list[Call]) -> list[Answer]:
        """Makes one call of what goes to one endpoint until one moment, and tells how each message fared."""
        trip = Trip()
        answer, each = await self._together(calls, trip)
        kept = None if trip.link is None else trip.link.calls > 1
        return [
            replace(each.get(call.trace_id, answer), kept=kept)
            if call in trip.sent or not trip.sent
            else UNSENT
            for call in calls
        ]

    async def _together(self, calls: list[Call], trip: Trip) -> tuple[Answer, dict[str, Answer]]:
        """How all fared that were sent, and those that the answer names. Giving up closes the connection,
        which frees the slot at the endpoint."""
        call, each = calls[0], dict[str, Answer]()
        key = call.endpoint, call.address
        try:
            async with asyncio.timeout_at(call.give_up_at):
                link = await self._written(calls, trip, key)
                if link is None:
                    return UNSENT, each
                if await link.status == 200:
                    # True also if the rest of the answer is spoilt: the message is over. Not so with several:
                    # then only the whole answer tells.
                    answer = Answer(Outcome.OK, over=True)
                    if len(trip.sent) > 1:
                        answer, each = (
                            Answer(Outcome.ERROR),
                            answers_of(
                                await link.head, await link.whole, [call.trace_id for call in trip.sent]
                            ),
                        )
                else:
                    one = len(trip.sent) == 1
                    answer = answer_of(await link.head) if one else answer_of_all(await link.head)
                if (head := link.read_head) is not None:
                    report = report_of(head, self.report_fields)
                    answer = replace(answer, report=report)
                    each = {ident: replace(one, report=report) for ident, one in each.items()}
                if answer.outcome is not Outcome.OK:
                    await self._to_its_end(link, answer.outcome.proves_no_effect)
            unread = len(trip.sent) > 1 and link.code == 200 and not each  # the true answer may yet come
            if call.keep and not unread and (answer.outcome is Outcome.OK or link.whole.done()):
                trip.free = False
                self._after_body(key, link)
            return answer, each
        except TimeoutError:
            return trip.cut_off(Outcome.TIMEOUT), {}
        except asyncio.CancelledError:  # the process ends: what has come is all that there will be
            return trip.cut_off(Outcome.CANCELLED), {}
        except LinkLost:
            link, on = trip.link, ""
            if link is not None and link.out:
                if link.calls > 1:
                    self.broke_at = asyncio.get_running_loop().time()
                on = f"call {link.calls}, idle {link.rested * 1000:.0f} ms"
            return trip.cut_off(Outcome.RESET, on), {}
        finally:
            if trip.link is not None and trip.free:
                trip.link.close()

    @staticmethod
    async def _to_its_end(link: Link, must: bool) -> None:
        """The message may go out again: until then this call's answer has to have ended, as the endpoint
        still has the call otherwise. Guards unsafe messages too: what looks like a refusal but does not end
        as one is spoilt, and a spoilt answer's request has run."""
        try:
            async with asyncio.timeout(BODY_S):
                await link.whole
        except (TimeoutError, LinkLost):
            if must:
                raise

    async def _written(self, calls: list[Call], trip: Trip, key: Key) -> Link | None:
        """A connection with the whole call on it, of the messages that may still go; None if it may not go
        out after all. One that was kept and breaks before the last byte tells nothing of the endpoint: the
        call goes on another at once."""
        for may_be_kept in (True, True, False):
            link = self._pooled(key) if may_be_kept else None
            kept = link is not None
            trip.link = link = link or await self._begun(calls[0].address, trip)
            sent = [call for call in calls if call.may_write()]
            hold_s = self._hold_s(sent, link, kept)
            trip.sent = sent = [call for call in sent if call.note()] if hold_s is None else sent
            if not sent:
                trip.free = False
                self._keep(key, link)
                return None
            link.heard = trip.heard
            try:
                if len(sent) == 1:
                    await link.send("POST", "/inbox", self._headers(sent[0]), sent[0].body, hold_s)
                else:
                    await link.send("POST", "/inbox/bulk", self._shared_headers(sent[0]), bulk(sent), hold_s)
                if hold_s is not None:
                    # The time until the last byte counts too. The try is written down only now: a process
                    # that dies before this byte has made no call.
                    if not all(call.may_write() and call.note() for call in sent):
                        trip.sent = []
                        return None
                    await link.finish()
                self.written(sent)
                return link
            except LinkLost:
                if not kept:
                    raise
                self.broke_at = asyncio.get_running_loop().time()
                link.close()
                trip.link = None
        raise LinkLost("no connection stays up")

    def _hold_s(self, calls: list[Call], link: Link, kept: bool) -> float | None:
        """How long the last byte is held back; None if all goes out as one."""
        holds = [self._hold_of_calls_s(calls, kept)]
        if kept and calls:
            holds.append(self._rest_s(calls[0].address, link) or None)
        return max((hold_s for hold_s in holds if hold_s is not None), default=None)

    def _hold_of_calls_s(self, calls: list[Call], kept: bool) -> float | None:
        """For what the calls are, whatever connection they go on. Guards against resets that say
        nothing: a call begins with its last byte, so a connection that breaks before it, as one does that
        had ended unnoticed, proves that nothing ran. What may not fit into the socket at once leaves later
        than it is written: whether it still may is asked again before its last byte."""
        if any(call.careful for call in calls):
            return CAREFUL_HOLD_S
        if kept and asyncio.get_running_loop().time() < self.broke_at + WARY_S:
            return HOLD_S
        return 0.0 if sum(len(call.body) for call in calls) > AT_ONCE_BYTES else None

    def keep_only(self, listed: Callable[[Key], bool]) -> None:
        """Closes the idle connections to endpoints that drain, are gone or have moved; asked anew of each
        connection that is to be kept from here on."""
        self.listed = listed
        for key in [key for key in self.idle if not listed(key)]:
            for link in self.idle.pop(key):
                link.close()

    def sweep(self) -> None:
        """Drops connections that have ended or stood idle too long; endpoints hold only so many."""
        for key, links in list(self.idle.items()):
            fresh = [link for link in links if self._fresh(link)]
            for link in links:
                if link not in fresh:
                    link.close()
            self.idle[key] = fresh
            if not fresh:
                del self.idle[key]

    def _headers(self, call: Call) -> list[tuple[str, str]]:
        headers = [*self._shared_headers(call), ("X-Trace-Id", call.trace_id)]
        return headers if call.key is None else [*headers, ("Idempotency-Key", call.key)]

    @staticmethod
    def _shared_headers(call: Call) -> list[tuple[str, str]]:
        left = max(1, int((call.give_up_at - asyncio.get_running_loop().time()) * 1000))
        return [("Host", f"{call.address[0]}:{call.address[1]}"), ("X-Expires-In-Ms", str(left))]

    def _fresh(self, link: Link) -> bool:
        return link.usable and asyncio.get_running_loop().time() - link.idle_since < self.idle_s

    def _pooled(self, key: Key) -> Link | None:
        links = self.idle.get(key, [])
        while (best := self._best_rested(key, links)) is not None:
            link = links.pop(best)
            if self._fresh(link) and link.quiet:
                return link
            link.close()
        return None

    def _best_rested(self, key: Key, links: list[Link]) -> int | None:
        """Of connections that were answered one after the other: the last that has rested, else the one that
        rests for longest."""
        for index in reversed(range(len(links))):
            if self._rest_s(key[1], links[index]) == 0.0:
                return index
        return 0 if links and self._rest_s(key[1], links[0]) is not None else None

    def _rest_s(self, address: Address, link: Link) -> float | None:
        if not link.calls:
            return 0.0  # nothing has been answered on it
        return self.reuse.hold_s(address, asyncio.get_running_loop().time(), link.idle_since)

    def _observe(self, address: Address, found: UnsolicitedBytes) -> None:
        self.reuse.observe(address, asyncio.get_running_loop().time(), found)
        self.on_unsolicited(address, found)

    async def _begun(self, address: Address, trip: Trip) -> Link:
        """A new connection. Where this machine cannot begin one it tries again until the call is given up."""
        pauses = Backoff(AGAIN_S, AGAIN_MOST_S)
        while True:
            try:
                trip.not_begun = False
                return await self._connect(address)
            except NotBegun as error:
                trip.not_begun = True
                log.warning("a call has to wait: %s", error)
            await pauses.pause()

    async def _connect(self, address: Address) -> Link:
        async with asyncio.timeout(self.connect_s):
            link = await Link.open(address, BODY_BYTES)
        link.on_unsolicited = partial(self._observe, address)
        link.on_answer = partial(self.on_answer, address)
        return link

    def _keep(self, key: Key, link: Link) -> None:
        if not link.usable or not self.listed(key):
            link.close()
            return
        if sum(map(len, self.idle.values())) >= self.most_idle:
            oldest = min(
                (at for at, links in self.idle.items() if links), key=lambda at: self.idle[at][0].idle_since
            )
            self.idle[oldest].pop(0).close()
        self.idle.setdefault(key, []).append(link)

    def _after_body(self, key: Key, link: Link) -> None:
        """The outcome is known before the body; the connection is free once the body has come."""
        if link.whole.done():
            self._keep(key, link)
            return
        cut = asyncio.get_running_loop().call_later(BODY_S, link.close)
        if len(self.ending) >= self.most_ending:  # Guards the descriptors against bodies that never end
            next(iter(self.ending)).close()
        self.ending[link] = None

        def ended(whole: asyncio.Future[bytes]) -> None:
            cut.cancel()
            self.ending.pop(link, None)
            if not whole.cancelled() and whole.exception() is None:
                self._keep(key, link)

        link.whole.add_done_callback(ended)
