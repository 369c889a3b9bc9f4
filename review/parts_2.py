"""Stand-ins and helpers for the cases of the second review (`review/6` and later).

Everything listens on 127.0.0.1, on ports that the system gives. Times are seconds on the monotonic clock.
The forms are those of PROTOCOL, DEPLOY and LATER. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes of a case
CASE_S = 110.0  # a case is ended after this time
READY_S = 30.0  # STANDING: a relay takes no longer than 30 s to be ready
DOWN_S = 0.6  # PROTOCOL, "Figures": the next start comes 0.6 s after SIGKILL
KILL_AFTER_TERM_S = 3.7  # the same: SIGKILL comes no sooner after SIGTERM
ID_CHARACTERS = 16  # of a message's id, as in the examples of PROTOCOL
PATIENCE_S = 0.4  # PROTOCOL: a client waits 400 ms for its answer


def now() -> float:
    return time.monotonic()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class CouldNotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """`record.txt`: what was sent, answered and run, with the time since the case began."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = now()

    def write(self, text: str) -> None:
        self.file.write(f"{now() - self.began:8.3f} {text}\n")
        self.file.flush()


# -- HTTP servers --------------------------------------------------------------------------------------------


@dataclass
class Request:
    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    first_byte_at: float
    body: bytes = b""
    is_first: bool = False  # on its connection


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def chunked(parts: list[bytes]) -> bytes:
    """A 200 whose body has one chunk for each part (RFC 9112, section 7.1)."""
    head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return head + chunks + b"0\r\n\r\n"


async def read_request(reader: asyncio.StreamReader) -> Request:
    """The next request; asyncio.IncompleteReadError at the end of the connection."""
    first = await reader.readexactly(1)
    first_byte_at = now()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.split("\r\n")
    method, target, _ = line.split(" ", 2)
    pairs = (each.split(":", 1) for each in fields if ":" in each)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    request = Request(method, target, headers, first_byte_at)
    request.body = await reader.readexactly(int(headers.get("content-length", "0")))
    return request


class Server:
    """An HTTP/1.1 server on loopback that answers each request with what `reply` returns."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()  # nothing is read or written on them any more

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None

    def reset_all(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    def silence_open(self) -> None:
        """The connections of now stay open and say nothing any more; new ones do well."""
        self.silent.update(self.writers)

    async def reply(self, request: Request) -> bytes:
        raise NotImplementedError

    def written(self, request: Request, data: bytes) -> None:
        """Called right after an answer was written."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        answered = 0
        try:
            while True:
                request = await read_request(reader)
                request.is_first = not answered
                await self._unless_silent(writer)
                data = await self.reply(request)
                await self._unless_silent(writer)
                writer.write(data)
                answered += 1
                self.written(request, data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def _unless_silent(self, writer: asyncio.StreamWriter) -> None:
        if writer in self.silent:
            await asyncio.sleep(CASE_S)


# -- the platform --------------------------------------------------------------------------------------------


class Listing:
    """The list of endpoints, with versions (PROTOCOL, "Discovery")."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, str]] = []

    def put(self, name: str, address: str, cell: int, lifecycle: str = "ready", kind: str = "small") -> None:
        self.version += 1
        self.entries[name] = {
            "instanceId": name,
            "hostPort": address,
            "zone": "room-a",
            "machineType": kind,
            "cell": cell,
            "lifecycle": lifecycle,
            "weight": 200.0,
            "startedAtMs": 0,
        }
        self.changes.append((self.version, name))

    def change(self, name: str, lifecycle: str) -> None:
        self.version += 1
        self.entries[name] = {**self.entries[name], "lifecycle": lifecycle}
        self.changes.append((self.version, name))

    def whole(self) -> dict[str, Any]:
        listed = [entry for entry in self.entries.values() if entry["lifecycle"] != "gone"]
        return {"generation": self.version, "reset": True, "instances": listed}

    def since(self, version: int) -> dict[str, Any]:
        names = dict.fromkeys(name for at, name in self.changes if at > version)
        changed = [self.entries[name] for name in names]
        return {"generation": self.version, "reset": False, "instances": changed}


class Platform(Server):
    """Discovery and the notices of one relay."""

    def __init__(self, record: Record, listing: Listing) -> None:
        super().__init__()
        self.record, self.listing = record, listing
        self.told: dict[tuple[str, str], float] = {}  # (endpoint, lifecycle) -> first written to the relay
        self.notices: dict[str, float] = {}  # message -> when its first notice was answered
        self.asked = asyncio.Event()  # set each time a call for the list begins
        self.overbooked = False  # a call that begins now waits too long, and ends with 503
        self.waits_s = 0.5  # how long such a call waits
        self.path_s = 0.0  # one way between it and the relay, for notices and their answers
        self.in_chunks = False  # a list is written with one chunk for each entry

    async def reply(self, request: Request) -> bytes:
        if request.method == "POST":
            # The first on a connection waits also for the handshake: one round trip.
            await asyncio.sleep(self.path_s * (3 if request.is_first else 1))
            answer = self._outcomes(request)
            await asyncio.sleep(self.path_s)
            return answer
        query = parse_qs(urlsplit(request.target).query)
        self.asked.set()
        if self.overbooked:
            await asyncio.sleep(self.waits_s)
            self.record.write(f"discovery answers 503 to {request.target}")
            return response(503)
        if "from" not in query:
            return self._list(request, self.listing.whole())
        version, until = int(query["from"][0]), now() + float(query["hold_ms"][0]) / 1000
        while self.listing.version <= version and now() < until:
            await asyncio.sleep(0.005)
        return self._list(request, self.listing.since(version))

    def _list(self, request: Request, content: dict[str, Any]) -> bytes:
        if content["instances"]:
            entries = [f"{each['instanceId']} {each['lifecycle']}" for each in content["instances"]]
            shown = ", ".join(entries[:4]) + (", ..." if len(entries) > 4 else "")
            self.record.write(f"discovery answers {request.target}: {len(entries)} entries: {shown}")
        text = json.dumps(content)
        if not self.in_chunks:
            return response(200, text.encode())
        return chunked([part.encode() for part in text.replace("}, {", "},\n {").splitlines(keepends=True)])

    def written(self, request: Request, data: bytes) -> None:
        if request.method == "GET" and data.startswith(b"HTTP/1.1 200"):
            query = parse_qs(urlsplit(request.target).query)
            since = int(query["from"][0]) if "from" in query else -1
            for entry in self.listing.since(since)["instances"]:
                self.told.setdefault((entry["instanceId"], entry["lifecycle"]), now())

    def _outcomes(self, request: Request) -> bytes:
        for line in request.body.splitlines():
            notice = json.loads(line)
            self.notices.setdefault(notice["id"], now())
            self.record.write(f"notice: {notice['id']} {notice['state']}")
        return response(204)


# -- endpoints -----------------------------------------------------------------------------------------------


@dataclass
class Call:
    """One message in one call, as its endpoint saw it."""

    ident: str
    endpoint: str
    first_byte_at: float


class Endpoint(Server):
    """Takes calls of one message and answers 200 after `takes_s`."""

    def __init__(self, record: Record, name: str, cell: int, takes_s: float = 0.02) -> None:
        super().__init__()
        self.record, self.name, self.cell, self.takes_s = record, name, cell, takes_s
        self.calls: list[Call] = []
        self.hangs = False  # it says nothing to a call

    async def reply(self, request: Request) -> bytes:
        if request.target != "/inbox":
            return response(404)
        ident = request.headers["x-trace-id"]
        self.calls.append(Call(ident, self.name, request.first_byte_at))
        self.record.write(f"{self.name} gets {ident}")
        await asyncio.sleep(CASE_S if self.hangs else self.takes_s)
        self.record.write(f"{self.name} has run {ident}, answers 200")
        return response(200)


# -- clients -------------------------------------------------------------------------------------------------


@dataclass
class Client:
    """Hands in messages of the class `session-event`, each on a connection of its own or on a kept one."""

    record: Record
    port: int
    accepted: dict[str, float] = field(default_factory=dict)  # when each was sent whose 202 was read
    number: int = 0

    async def hand_in(
        self, cell: int, left_ms: int = 16000, name: str = "m", body: bytes = b"hello"
    ) -> int | None:
        """The answer's status; None if none came in time."""
        self.number += 1
        ident = name + str(self.number).zfill(ID_CHARACTERS - len(name))
        lines = [
            "POST /session-event HTTP/1.1",
            "Host: origin.svc",
            f"X-Trace-Id: {ident}",
            "X-Qos: session-event",
            f"X-Expires-In-Ms: {left_ms}",
            f"Idempotency-Key: key-{ident}",
            f"X-Addressing: dest={cell}",
            f"Content-Length: {len(body)}",
        ]
        sent_at = now()
        status = await ask(self.port, "\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        self.record.write(f"client hands in {ident} for destination {cell}: answer {status}")
        if status in (200, 202):
            self.accepted[ident] = sent_at
        return status


async def ask(port: int, data: bytes, patience_s: float = PATIENCE_S) -> int | None:
    """The status of the answer to one request on a new connection; None if none comes in time."""
    writer = None
    try:
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(data)
            line = await reader.readline()
            return int(line.split()[1]) if line else None
    except (OSError, TimeoutError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def get(port: int, path: str, method: str = "GET") -> int | None:
    return await ask(port, f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode(), 1.0)


# -- the relay -----------------------------------------------------------------------------------------------


def settings(relays: int, mode: str = "ask") -> dict[str, Any]:
    """Those of a small deployment: the example in WIRE, with the number of relays and the form of lists."""
    return {
        "az": 0,
        "balancers": relays,
        "classes": [
            {
                "name": "session-event",
                "effect": "by_key",
                "dedup-scope": "all",
                "aim-ms": 2000.0,
                "deadline-ms": 16000.0,
                "late-share": 0.5,
                "window-ms": 10000.0,
                "worth": 1.0,
            }
        ],
        "client-habits": {"marks-retry": True},
        "registry-mode": mode,
        "extra": {
            "call-slots": 12,
            "loses-worth": "line",
            "per-call": [20, 1],
            "separate-routes": [False, False],
        },
        "feedback": {"fields": [], "how": "silent"},
        "goal": {"whole": 0.75, "worst-window": 0.25},
        "kinds": ["bulk", "small"],
        "limits": {
            "cancelling": True,
            "conn-idle-ms": 15000.0,
            "connect-timeout-ms": 1000.0,
            "max-retry-after-ms": 3000.0,
            "open-cap": 267,
            "probing": True,
            "second-copies": False,
            "streams-per-conn": 1,
            "try-limit": 8,
        },
        "orgs": [],
        "safety": {
            "answer-slack-ms": 20.0,
            "ask-within-ms": 10000.0,
            "cold-from": 0.2,
            "cold-ms": 13000.0,
            "drain-grace-ms": 250.0,
            "fall-ms": 1500.0,
            "fall-multiple": 2.0,
        },
        "tick-ms": 5.0,
        "weight-kind": "nominal",
        "zones": ["room-a", "room-b"],
    }


class Relay:
    """One relay, started with the deploy file's `run`; it may have a second process beside the first."""

    def __init__(self, record: Record, folder: Path, platform: Platform, setup: dict[str, Any]) -> None:
        self.record, self.folder, self.platform, self.setup = record, folder, platform, setup
        self.port = free_port()
        self.door = 0  # the operators' port of the process that was started last
        self.known: dict[str, Any] = platform.listing.whole()
        self.processes: list[asyncio.subprocess.Process] = []
        self.run_line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.state.mkdir()

    @property
    def state(self) -> Path:
        """The folder that lasts."""
        return self.folder / "state"

    def configure(self) -> None:
        content = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": self.platform.address,
            "state": str(self.state),
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": self.known,
            "settings": self.setup,
        }
        spare = self.folder / "config.new"
        spare.write_text(json.dumps(content))
        spare.replace(self.folder / "config.json")

    async def begin(self) -> asyncio.subprocess.Process:
        """Starts a process and does not wait for it."""
        self.configure()
        self.door = free_port()
        spare = Path(tempfile.mkdtemp(dir=self.folder))
        env = {
            **os.environ,
            "TMPDIR": str(spare),
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_MGMT": f"{HOST}:{self.door}",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.run_line, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.record.write("a process of the relay is started")
        return process

    async def ready(self, process: asyncio.subprocess.Process) -> None:
        """Returns once this process, the one started last, says that it takes clients."""
        until = now() + READY_S
        while await get(self.door, "/-/ready") != 200:
            if process.returncode is not None or now() > until:
                raise CouldNotRun(f"the relay is not ready, exit code {process.returncode}")
            await asyncio.sleep(0.01)
        self.record.write("the relay says that it is ready")

    async def start(self) -> asyncio.subprocess.Process:
        process = await self.begin()
        await self.ready(process)
        return process

    async def kill(self, process: asyncio.subprocess.Process) -> None:
        with suppress(ProcessLookupError):  # it has ended already
            process.kill()
        await process.wait()
        self.record.write("a process of the relay was killed")

    async def terminate(self, process: asyncio.subprocess.Process) -> None:
        """A planned end: SIGTERM, and SIGKILL where that takes longer than the pages give it."""
        process.send_signal(signal.SIGTERM)
        self.record.write("SIGTERM is sent")
        try:
            async with asyncio.timeout(KILL_AFTER_TERM_S):
                await process.wait()
        except TimeoutError:
            await self.kill(process)
        self.record.write(f"the process has ended with {process.returncode}")

    async def end(self) -> None:
        """Leaves no process behind."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()


# -- a case --------------------------------------------------------------------------------------------------

Case = Callable[["Bench", bool], Awaitable[list[str]]]


class Bench:
    """What a case needs: its record, a temporary folder, and what it started."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self.folder = record, folder
        self.listing = Listing()
        self.relays: list[Relay] = []
        self.servers: list[Server] = []

    async def platform(self) -> Platform:
        platform = Platform(self.record, self.listing)
        await platform.listen()
        self.servers.append(platform)
        return platform

    async def endpoint(self, name: str, cell: int, takes_s: float = 0.02) -> Endpoint:
        """Listens; it is not listed yet."""
        endpoint = Endpoint(self.record, name, cell, takes_s)
        await endpoint.listen()
        self.servers.append(endpoint)
        return endpoint

    def relay(self, platform: Platform, setup: dict[str, Any]) -> Relay:
        folder = Path(tempfile.mkdtemp(dir=self.folder))
        relay = Relay(self.record, folder, platform, setup)
        self.relays.append(relay)
        return relay

    async def end(self) -> None:
        for relay in self.relays:
            await relay.end()
        for server in self.servers:
            server.close()
            server.reset_all()


async def _judged(case: Case, bench: Bench, trouble: bool) -> int:
    try:
        async with asyncio.timeout(CASE_S):
            breaches = await case(bench, trouble)
    except (CouldNotRun, TimeoutError, OSError) as error:
        bench.record.write(f"could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        await bench.end()
    for breach in breaches:
        bench.record.write(f"RULE BROKEN: {breach}")
    bench.record.write("the rule was broken" if breaches else "the rule held")
    return BROKEN if breaches else HELD


def main(case: Case, folder: Path) -> None:
    """Plays the case, writes `record.txt` into its folder, and exits with its result."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"the disruption is {'on' if trouble else 'off'}")
    with tempfile.TemporaryDirectory() as spare:
        try:
            code = asyncio.run(_judged(case, Bench(record, Path(spare)), trouble))
        except Exception:
            record.write(traceback.format_exc())
            code = COULD_NOT_RUN
        for log in Path(spare).glob("*/log"):
            record.write("log of the relay:\n" + log.read_text(errors="replace"))
    sys.exit(code)
