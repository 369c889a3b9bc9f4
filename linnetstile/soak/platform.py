"""The platform: discovery with watches, and the outcomes that relays tell. It may move to another address."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .endpoint import Endpoint
from .ledger import Ledger, Told
from .stand_in import Request, Response, StandIn

MOVED_S = 4.0  # after SIGHUP the news counts as told (TERMS, "Reconfiguration")
OLD_ENDS_S = 1.5  # so long the replaced address keeps its connections
LOOK_S = 0.005
CUT_BEHIND_EXTRAS = 0.5  # of the notices
ANSWER_S = 0.0, 0.06  # of a notice, as over a wide network: several are out at once, over several connections


@dataclass
class Listing:
    """The list of endpoints and its changes, in order of versions."""

    version: int = 1
    states: dict[str, tuple[Endpoint, str]] = field(default_factory=dict)
    changes: list[tuple[int, str]] = field(default_factory=list)  # version, endpoint

    def change(self, endpoint: Endpoint, state: str) -> None:
        self.version += 1
        self.states[endpoint.name] = endpoint, state
        self.changes.append((self.version, endpoint.name))

    def whole(self) -> dict[str, Any]:
        return self._answer(True, [name for name, (_, state) in self.states.items() if state != "gone"])

    def since(self, version: int) -> dict[str, Any]:
        return self._answer(False, dict.fromkeys(name for at, name in self.changes if at > version))

    def _answer(self, reset: bool, names: Iterable[str]) -> dict[str, Any]:
        return {
            "generation": self.version,
            "reset": reset,
            "instances": [
                {
                    "instanceId": name,
                    "hostPort": "{}:{}".format(*self.states[name][0].address),
                    "zone": self.states[name][0].zone,
                    "machineType": self.states[name][0].kind,
                    "cell": self.states[name][0].destination,
                    "lifecycle": self.states[name][1],
                    "weight": 200.0,
                    "startedAtMs": 0,
                }
                for name in names
            ],
        }


@dataclass
class Platform(StandIn):
    """One relay's address of it, so that what is written here is told to that relay."""

    relay: int = 0
    listing: Listing = field(default_factory=Listing)
    ledger: Ledger = field(default_factory=Ledger)
    rng: random.Random = field(default_factory=random.Random)
    lists: asyncio.Event = field(default_factory=asyncio.Event)  # answered while it is set
    delay_s: float = 0.0  # before each call for the list is worked off
    replaced_at: float = float("inf")  # from then on notices here count for nothing

    def __post_init__(self) -> None:
        self.lists.set()

    async def reply(self, request: Request) -> Response | None:
        if request.target.startswith("/v1/servers"):
            await self.lists.wait()
            await asyncio.sleep(self.delay_s)
            return await self._list(request)
        await asyncio.sleep(self.rng.uniform(*ANSWER_S))
        if request.connection.brought_extras and self.rng.random() < CUT_BEHIND_EXTRAS:
            return None  # unread: if the extra bytes were taken for its answer, it shows
        for line in request.body.splitlines():
            notice = json.loads(line)
            if time.monotonic() < self.replaced_at:
                self.ledger.told.setdefault(str(notice["id"]), Told(time.monotonic(), str(notice["state"])))
        return Response(204)

    async def _list(self, request: Request) -> Response:
        query = parse_qs(urlsplit(request.target).query)
        if "from" not in query:
            return Response(200, body=json.dumps(self.listing.whole()).encode())
        version = int(query["from"][0])
        until = time.monotonic() + float(query["hold_ms"][0]) / 1000
        while self.listing.version <= version and time.monotonic() < until:
            await asyncio.sleep(LOOK_S)
        return Response(200, body=json.dumps(self.listing.since(version)).encode())

    def written(self, request: Request, response: Response) -> None:
        if request.target.startswith("/v1/servers") and time.monotonic() < self.replaced_at:
            self.tell(json.loads(response.body)["instances"], time.monotonic())

    def tell(self, instances: Iterable[dict[str, Any]], at: float) -> None:
        for item in instances:
            if item["lifecycle"] != "ready":
                self.ledger.drained.setdefault((self.relay, str(item["instanceId"])), at)

    async def end_as_replaced(self) -> None:
        """Takes no new connections, and closes its open ones a little later."""
        if self.server is not None:
            self.server.close()
            self.server = None
        await asyncio.sleep(OLD_ENDS_S)
        self.reset_all()
