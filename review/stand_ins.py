"""Stand-ins for clients, endpoints and the platform, and the relay as a process; shared by all cases.

They follow PROTOCOL, DEPLOY, WIRE and LATER of the operators' pages. All addresses are loopback addresses
with ports that were free. All times are seconds on the monotonic clock, counted from the start of the script.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
RUN_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
HOST = "127.0.0.1"
CLIENT_PATIENCE_S = 0.4  # PROTOCOL: "A client waits 400 ms for this answer."
READY_MOST_S = 30.0  # STANDING: no relay "takes over 30 s to be ready"
DOWN_S = 0.6  # PROTOCOL: the next start comes "0.6 s after SIGKILL"
KILL_AFTER_TERM_S = 3.7  # PROTOCOL: "SIGKILL comes no sooner than 3.7 s after SIGTERM."
SCRIPT_MOST_S = 115.0
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a script

Address = tuple[str, int]
BEGAN = time.monotonic()


class CannotRun(Exception):
    """The case could not be played; the text says why."""


def now_s() -> float:
    """Seconds since the start of the script."""
    return time.monotonic() - BEGAN


def trouble_wanted() -> bool:
    """Whether the disruption is to be played: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


# Below the ports that the system deals out to connections, so that an endpoint that opens late finds its own
# free; scripts that run beside each other begin at different ones.
PORTS = itertools.cycle(range(20_000, 32_000))
for _ in range(os.getpid() * 41 % 12_000):
    next(PORTS)


def free_address() -> Address:
    """A loopback address with a port that nobody uses, and that was not given before."""
    while True:
        port = next(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return HOST, port


class Record:
    """What was sent, answered and run, one line an event, in `record.txt` of the case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")

    def add(self, text: str) -> None:
        self.file.write(f"{now_s():9.3f} {text}\n")
        self.file.flush()


# -- HTTP for the stand-ins ----------------------------------------------------------------------------------


@dataclass
class Request:
    """One request as a stand-in has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_byte_s: float
    whole_s: float
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def abandoned(self) -> bool:
        """Whether whoever asked has ended the connection."""
        return self.reader.at_eof() or self.writer.is_closing()


@dataclass
class Response:
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def encode(self) -> bytes:
        lines = [f"HTTP/1.1 {self.status} Answer"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        lines += [f"Content-Length: {len(self.body)}", "", ""]
        return "\r\n".join(lines).encode() + self.body


async def read_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Request | None:
    """The next request of a connection; None if the connection ended."""
    try:
        first = await reader.readexactly(1)
        first_byte_s = now_s()
        head = first + await reader.readuntil(b"\r\n\r\n")
        first_line, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first_line.split(" ")
        headers = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body, first_byte_s, now_s(), reader, writer)


class Server:
    """A small HTTP/1.1 server; its subclass says what is answered."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.address = free_address()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """From here on it takes connections."""
        self.server = await asyncio.start_server(
            self._serve, *self.address, backlog=512, limit=1 << 20, reuse_address=True
        )

    def refuse(self) -> None:
        """Connections are refused from here on, and the open ones are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader, writer)) is not None:
                response = await self.reply(request)
                if response is None:
                    return
                if writer.is_closing():
                    return
                writer.write(response.encode())
                self.written(request, response)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def reply(self, request: Request) -> Response | None:
        """The answer; None ends the connection without one."""
        raise NotImplementedError

    def written(self, request: Request, response: Response) -> None:
        """Called when an answer was written."""


# -- endpoints -----------------------------------------------------------------------------------------------


def messages_of(request: Request) -> list[tuple[str, str, bytes]]:
    """Id, key (or `-`) and body of each message in a call (PROTOCOL, "Relays to endpoints")."""
    if request.target != "/inbox/bulk":
        key = request.headers.get("idempotency-key", "-")
        return [(request.headers["x-trace-id"], key, request.body)]
    found = []
    rest = request.body
    while rest:
        line, _, rest = rest.partition(b"\r\n")
        ident, key, length = line.decode().split(" ")
        found.append((ident, key, rest[: int(length)]))
        rest = rest[int(length) + 2 :]
    return found


@dataclass
class Call:
    """One call that has reached an endpoint."""

    endpoint: str
    idents: list[str]
    first_byte_s: float
    whole_s: float
    status: int = 0  # 0: not answered


class Endpoint(Server):
    """An endpoint of one destination. `manner` may be replaced while the case runs."""

    def __init__(
        self, record: Record, name: str, destination: int, kind: str = "single", zone: str = "z"
    ) -> None:
        super().__init__(record)
        self.name, self.destination, self.kind, self.zone = name, destination, kind, zone
        self.weight = 50.0
        self.takes_s = 0.03
        self.calls: list[Call] = []
        self.delivered: dict[str, float] = {}
        self.manner: Callable[[Call], Awaitable[Response | None]] = self.well

    async def well(self, call: Call) -> Response | None:
        """Each message is delivered."""
        await asyncio.sleep(self.takes_s)
        if len(call.idents) == 1:
            return Response(200)
        return Response(200, body="".join(f"{ident} delivered\r\n" for ident in call.idents).encode())

    async def reply(self, request: Request) -> Response | None:
        if request.method != "POST" or request.target not in ("/inbox", "/inbox/bulk"):
            return Response(404)
        idents = [ident for ident, _, _ in messages_of(request)]
        call = Call(self.name, idents, request.first_byte_s, request.whole_s)
        self.calls.append(call)
        self.record.add(
            f"endpoint {self.name} of destination {self.destination}: call with {' '.join(idents)}, "
            f"first byte at {call.first_byte_s:.3f}, whole at {call.whole_s:.3f}"
        )
        response = await self.manner(call)
        call.status = 0 if response is None else response.status
        return response

    def written(self, request: Request, response: Response) -> None:
        idents = [ident for ident, _, _ in messages_of(request)]
        self.record.add(f"endpoint {self.name}: answered {response.status} to {' '.join(idents)}")
        if response.status == 200:
            for ident in idents:
                self.delivered.setdefault(ident, now_s())


# -- the platform --------------------------------------------------------------------------------------------


@dataclass
class Listed:
    """One endpoint as discovery lists it."""

    endpoint: Endpoint
    lifecycle: str
    changed_at: int  # version


class Platform(Server):
    """Discovery and the notices of outcomes, at one address."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.version = 40
        self.listed: dict[str, Listed] = {}
        self.answers_lists = asyncio.Event()
        self.answers_lists.set()
        self.crowded_wait_s: float | None = None  # so long a call for the list waits, and then fails
        self.notices: dict[str, tuple[float, str]] = {}  # id -> first notice: when, and the state
        self.told_s: dict[tuple[str, str], float] = {}  # (endpoint, lifecycle) -> first written to the relay

    def change(self, endpoint: Endpoint, lifecycle: str) -> None:
        """A newer version of the list, in which this endpoint stands so."""
        self.version += 1
        self.listed[endpoint.name] = Listed(endpoint, lifecycle, self.version)
        self.record.add(f"discovery: version {self.version}, {endpoint.name} is {lifecycle}")

    def end_watches(self) -> None:
        """All open connections end, as they do when discovery goes down."""
        self.record.add("discovery: its watches end")
        for writer in list(self.writers):
            writer.transport.abort()

    def whole(self) -> dict[str, Any]:
        names = [name for name, each in self.listed.items() if each.lifecycle != "gone"]
        return self._list(True, names)

    def _list(self, whole: bool, names: list[str]) -> dict[str, Any]:
        return {
            "generation": self.version,
            "reset": whole,
            "instances": [self._instance(name) for name in names],
        }

    def _instance(self, name: str) -> dict[str, Any]:
        listed = self.listed[name]
        return {
            "instanceId": name,
            "hostPort": "{}:{}".format(*listed.endpoint.address),
            "zone": listed.endpoint.zone,
            "machineType": listed.endpoint.kind,
            "cell": listed.endpoint.destination,
            "lifecycle": listed.lifecycle,
            "weight": listed.endpoint.weight,
            "startedAtMs": 0,
        }

    async def reply(self, request: Request) -> Response | None:
        if request.target.startswith("/v1/servers"):
            self.record.add(f"discovery: {request.method} {request.target}")
            await self.answers_lists.wait()
            if self.crowded_wait_s is None:
                return await self._answer_list(request)
            return await self._turned_away(self.crowded_wait_s)
        if request.target == "/v1/outcomes" and request.method == "POST":
            return self._answer_notices(request)
        return Response(404)

    async def _answer_list(self, request: Request) -> Response | None:
        query = parse_qs(urlsplit(request.target).query)
        if "from" not in query:
            return Response(200, body=json.dumps(self.whole()).encode())
        version = int(query["from"][0])
        until_s = now_s() + float(query["hold_ms"][0]) / 1000
        while now_s() < until_s and (self.version <= version or not self.answers_lists.is_set()):
            if request.abandoned:
                return None
            await asyncio.sleep(0.005)
        await self.answers_lists.wait()
        names = [name for name, each in self.listed.items() if each.changed_at > version]
        return Response(200, body=json.dumps(self._list(False, names)).encode())

    async def _turned_away(self, wait_s: float) -> Response:
        """A call that waited too long (PROTOCOL, "Discovery")."""
        await asyncio.sleep(wait_s)
        self.record.add("discovery: 503, the call waited too long")
        return Response(503)

    def _answer_notices(self, request: Request) -> Response:
        for line in request.body.splitlines():
            notice = json.loads(line)
            self.record.add(f"platform: notice {line.decode()}")
            self.notices.setdefault(str(notice["id"]), (now_s(), str(notice["state"])))
        return Response(204)

    def written(self, request: Request, response: Response) -> None:
        if not request.target.startswith("/v1/servers") or response.status != 200:
            return
        answer = json.loads(response.body)
        told = [f"{item['instanceId']} {item['lifecycle']}" for item in answer["instances"]]
        self.record.add(f"discovery: told version {answer['generation']}: {', '.join(told) or 'no changes'}")
        for item in answer["instances"]:
            self.told_s.setdefault((item["instanceId"], item["lifecycle"]), now_s())


# -- the relay -----------------------------------------------------------------------------------------------


def settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment, in the form of WIRE; `changes` replace whole top-level values."""
    return {
        "az": 0,
        "balancers": 2,
        "zones": ["z"],
        "kinds": ["single", "bulk"],
        "tick-ms": 5.0,
        "weight-kind": "nominal",
        "registry-mode": "ask",
        "classes": [
            {
                "name": "keyed",
                "effect": "by_key",
                "dedup-scope": "all",
                "aim-ms": 2000.0,
                "deadline-ms": 16000.0,
                "window-ms": 10000.0,
                "late-share": 0.5,
                "worth": 1.0,
            },
            {"name": "once", "effect": "once", "aim-ms": 2000.0, "deadline-ms": 16000.0},
            {"name": "safe", "effect": "repeatable", "aim-ms": 2000.0, "deadline-ms": 16000.0},
        ],
        "extra": {"call-slots": 16, "loses-worth": "line", "per-call": [1, 10]},
        "limits": {
            "open-cap": 200,
            "try-limit": 8,
            "conn-idle-ms": 15000.0,
            "connect-timeout-ms": 1000.0,
            "max-retry-after-ms": 3000.0,
            "second-copies": False,
        },
        "orgs": [],
        "client-habits": {"marks-retry": True},
        "safety": {
            "answer-slack-ms": 20.0,
            "drain-grace-ms": 250.0,
            "cold-from": 0.2,
            "cold-ms": 13000.0,
            "fall-ms": 1500.0,
            "fall-multiple": 2.0,
            "ask-within-ms": 10000.0,
        },
        **changes,
    }


@dataclass
class Relay:
    """One relay: its address and its folder outlive its processes."""

    record: Record
    folder: Path
    platform: Platform
    settings: dict[str, Any]
    name: str = "n0"
    memory_mb: int = 80
    sockets: int = 384
    address: Address = field(default_factory=free_address)
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)

    def __post_init__(self) -> None:
        (self.folder / "state").mkdir(parents=True)

    def configure(self, known: dict[str, Any], mgmt: Address | None = None) -> None:
        """Writes the configuration; the process reads it at its start and at SIGHUP."""
        config = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*self.platform.address),
            "seed": "8c1f30d27a5be964",
            "state": str(self.folder / "state"),
            "limits": {
                "cores": 1.0,
                "memory_mb": self.memory_mb,
                "sockets": self.sockets,
                "disk_mb": 3,
            },
            "known": known,
            "settings": self.settings,
        }
        if mgmt is not None:
            config["mgmt"] = "{}:{}".format(*mgmt)
        spare = self.folder / "config.json.new"
        spare.write_text(json.dumps(config))
        spare.replace(self.folder / "config.json")

    async def start(self) -> asyncio.subprocess.Process:
        """Starts a process with the command of the deploy file."""
        scratch = self.folder / f"tmp-{len(self.processes)}"
        scratch.mkdir()
        environment = {
            **os.environ,
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(scratch),
        }
        environment.pop("PYTHONPATH", None)  # this script's own
        with (self.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", RUN_COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.record.add(f"relay {self.name}: process {len(self.processes)} is started")
        return process

    async def ready(self) -> float:
        """Waits for a yes of GET /healthz; when that came."""
        until_s = now_s() + READY_MOST_S
        while now_s() < until_s:
            if await status_of(self.address, "GET", "/healthz") == 200:
                self.record.add(f"relay {self.name}: ready")
                return now_s()
            if all(process.returncode is not None for process in self.processes):
                raise CannotRun("the relay ended: see its log")
            await asyncio.sleep(0.01)
        raise CannotRun("the relay does not get ready")

    async def end(self, process: asyncio.subprocess.Process, how: signal.Signals) -> None:
        """Sends the signal and waits; after SIGTERM, SIGKILL follows in 3.7 s."""
        self.record.add(f"relay {self.name}: {how.name} to process {1 + self.processes.index(process)}")
        if process.returncode is not None:
            raise CannotRun(f"a process of the relay had ended with {process.returncode}")
        process.send_signal(how)
        try:
            async with asyncio.timeout(KILL_AFTER_TERM_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        self.record.add(f"relay {self.name}: process {1 + self.processes.index(process)} has ended")

    def kill_all(self) -> None:
        """Ends what is left of it."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()


# -- clients -------------------------------------------------------------------------------------------------


async def exchange(address: Address, data: bytes, patience_s: float) -> bytes | None:
    """Sends this on a new connection and returns the head of the answer; None if none came."""
    try:
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(data)
                return await reader.readuntil(b"\r\n\r\n")
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


async def status_of(address: Address, method: str, path: str) -> int | None:
    """The status of the answer to a request without a body; None if no answer came within a second."""
    request = f"{method} {path} HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    head = await exchange(address, request.encode(), 1.0)
    return None if head is None else int(head.split()[1])


@dataclass
class HandIn:
    """One message that a client has handed in."""

    ident: str
    class_: str
    destination: int
    sent_s: float
    left_s: float
    status: int | None = None  # of the answer; None: no answer came

    @property
    def due_s(self) -> float:
        return self.sent_s + self.left_s

    @property
    def accepted(self) -> bool:
        return self.status in (200, 202)


async def hand_in(
    record: Record, relay: Relay, ident: str, class_: str, destination: int, left_ms: int, body: bytes
) -> HandIn:
    """Hands in one message on a new connection."""
    lines = [
        f"POST /{class_} HTTP/1.1",
        "Host: origin.svc",
        f"X-Trace-Id: {ident}",
        f"X-Qos: {class_}",
        f"X-Expires-In-Ms: {left_ms}",
        f"X-Addressing: dest={destination}",
        f"Content-Length: {len(body)}",
    ]
    if class_ == "keyed":
        lines.append(f"Idempotency-Key: k-{ident}")
    message = HandIn(ident, class_, destination, now_s(), left_ms / 1000)
    data = "\r\n".join([*lines, "", ""]).encode() + body
    head = await exchange(relay.address, data, CLIENT_PATIENCE_S)
    message.status = None if head is None else int(head.split()[1])
    record.add(
        f"client: {ident} of class {class_} for destination {destination}, {left_ms} ms, "
        f"{len(body)} bytes, sent at {message.sent_s:.3f}: answered {message.status}"
    )
    return message


# -- the script ----------------------------------------------------------------------------------------------

Play = Callable[[Record, Path], Awaitable[list[str]]]


def main(case: Path, play: Play, relays: list[Relay]) -> None:
    """Plays a case, and exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run."""
    signal.signal(
        signal.SIGTERM, signal.default_int_handler
    )  # whoever ends the script ends the relay as well
    record = Record(case / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def bounded() -> list[str]:
        try:
            async with asyncio.timeout(SCRIPT_MOST_S):
                return await play(record, folder)
        finally:
            for relay in relays:
                relay.kill_all()
                for process in relay.processes:
                    await process.wait()

    try:
        broken = asyncio.run(bounded())
    except Exception as error:  # whatever it is, it shows nothing about the rule
        record.add(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    finally:
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    for line in broken:
        record.add(f"BROKEN: {line}")
        print(line)
    record.add("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
