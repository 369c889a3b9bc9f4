"""Requests to the platform's agent: a kept connection, one request at a time, never longer than told."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..connection_reuse import ReusePolicy, UnsolicitedBytes, casts_doubt
from .config import Address
from .link import Head, Link, LinkLost

ANSWER_BYTES = 64 << 20  # a whole list of 250,000 endpoints, 170 bytes each, is 42.5 MB


class AgentError(Exception):
    """No answer came in time, or none that can be used."""


class Silent(AgentError):
    """No answer came in time."""


class Agent:
    def __init__(self, address: Address, reuse: ReusePolicy | None = None) -> None:
        self.address = address
        self.reuse = reuse or ReusePolicy()
        self.link: Link | None = None
        self.on_unsolicited: Callable[[UnsolicitedBytes], None] = lambda found: None
        self.on_answer: Callable[[Link], None] = lambda link: None
        self.on_doubt: Callable[[], None] = lambda: None  # what follows the last answer casts doubt on it
        self.in_doubt = False
        self.asked_at_s = 0.0  # on the loop's clock, when the request began that was answered last
        self._reached = False

    @property
    def is_reached(self) -> bool:
        """Whether the latest request had a connection that came up."""
        return self._reached

    @property
    def wait_s(self) -> float:
        """How long a request would wait before its last byte may leave."""
        link = self.link
        answered_at_s = link.idle_since if link is not None and link.usable else None
        return self.reuse.wait_s(self.address, asyncio.get_running_loop().time(), answered_at_s)

    async def ask(self, method: str, target: str, body: bytes, seconds: float) -> tuple[int, bytes]:
        """Safe to repeat at will: the agent takes each of its requests any number of times."""
        self.in_doubt, self.asked_at_s = False, asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(seconds):
                head, answer = await self._ask(method, target, body)
                return head.status, answer
        except TimeoutError as error:
            self.close()
            raise Silent(f"no answer within {seconds:.1f} s") from error
        except LinkLost as error:
            self.close()
            raise AgentError(str(error)) from error

    async def _ask(self, method: str, target: str, body: bytes) -> tuple[Head, bytes]:
        """A kept connection that breaks before the request's last byte costs no more than a new one."""
        headers = [("Host", f"{self.address[0]}:{self.address[1]}")]
        kept = self._kept()
        if kept is not None:
            try:
                self._reached = True
                return await kept.ask(method, target, headers, body, self._hold_s(kept) or None)
            except LinkLost:
                if kept.out:
                    raise
                kept.close()
        began = asyncio.get_running_loop().time()
        self._reached = False
        self.link = link = await Link.open(self.address, ANSWER_BYTES)
        self.reuse.connected(self.address, asyncio.get_running_loop().time() - began)
        self.in_doubt, self._reached = False, True
        link.takes_any_pieces = True
        link.on_answer = self.on_answer
        link.on_unsolicited = self._unsolicited
        link.on_idle_end = self._idle_end
        return await link.ask(method, target, headers, body)

    def _kept(self) -> Link | None:
        """The connection of before, if it may carry another request."""
        link = self.link
        if link is None or not link.usable:
            return None
        if link.quiet and self._hold_s(link) is not None:
            return link
        link.close()
        return None

    def _hold_s(self, link: Link) -> float | None:
        return self.reuse.hold_s(self.address, asyncio.get_running_loop().time(), link.idle_since)

    def _unsolicited(self, found: UnsolicitedBytes) -> None:
        self.reuse.observe(self.address, asyncio.get_running_loop().time(), found)
        self.on_unsolicited(found)
        self._idle_end(found.answered, found.since_answer_s)

    def _idle_end(self, answered: int, since_answer_s: float) -> None:
        if casts_doubt(answered, since_answer_s):
            self.in_doubt = True
            self.on_doubt()

    async def rest(self, seconds: float) -> None:
        """A pause between two requests."""
        await asyncio.sleep(seconds)

    def discard(self) -> None:
        """What it answered cannot be used: the next request goes on another connection."""
        self.close()

    def close(self) -> None:
        if self.link is not None:
            self.link.close()
            self.link = None
