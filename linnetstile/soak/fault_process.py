"""The relay as `run` starts it, in a process whose clock and system calls fail as a file says.

`python -m linnetstile.soak.fault_process` with FAULTS naming a JSON file. It is read at each intercepted
call, so that a test changes the faults while the relay runs. Its keys: `wall_s` (seconds added to the wall
clock) and names of calls, each with a list [kind, every]: every so many such calls one fails. A kind is the
name of an errno, or for `write` "half" (half of the bytes are written) or "torn" (half are, then ENOSPC).
Calls on files fail only in the folder of RELAY_STATE.
"""

from __future__ import annotations

import errno
import fcntl
import json
import os
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

FILE_CALLS = ("write", "ftruncate", "pread", "fstat", "fsync")  # by descriptor
PATH_CALLS = ("open", "rename", "link", "unlink", "listdir", "scandir", "stat")
SOCKET_CALLS = ("accept", "bind", "connect", "listen", "recv", "recv_into", "send", "setsockopt", "shutdown")
SAME_CALL = {"recv_into": "recv"}  # both are recv(2)


class Faults:
    """What fails at present, by the control file."""

    def __init__(self, path: str, folder: str) -> None:
        self.path, self.folder = path, str(Path(folder).resolve())
        self.calls: Counter[str] = Counter()
        self.open, self.time = open, time.time

    def read(self) -> dict[str, Any]:
        with self.open(self.path) as file:
            return dict(json.load(file))

    def kind(self, call: str) -> str:
        """How this call fails; empty if it does not."""
        fault = self.read().get(call)
        if fault is None:
            return ""
        self.calls[call] += 1
        return str(fault[0]) if self.calls[call] % int(fault[1]) == 0 else ""

    def check(self, call: str) -> None:
        if kind := self.kind(call):
            number = int(getattr(errno, kind))
            raise OSError(number, os.strerror(number))

    def lasting(self, file: int) -> bool:
        """Whether this descriptor is of a file in the folder that lasts."""
        try:
            return os.readlink(f"/proc/self/fd/{file}").startswith(self.folder)
        except OSError:
            return False


def patch_files(faults: Faults) -> None:
    real_write = os.write

    def write(file: int, data: bytes) -> int:
        if not faults.lasting(file):
            return real_write(file, data)
        kind = faults.kind("write")
        if kind in ("half", "torn"):
            written = real_write(file, data[: len(data) // 2])
            if kind == "half":
                return written
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if kind:
            raise OSError(int(getattr(errno, kind)), kind)
        return real_write(file, data)

    def by_file(name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def call(file: int, *args: Any) -> Any:
            if faults.lasting(file):
                faults.check(name)
            return real(file, *args)

        return call

    def by_path(name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def call(path: Any = ".", *args: Any, **more: Any) -> Any:
            if str(path).startswith(faults.folder):
                faults.check(name)
            return real(path, *args, **more)

        return call

    for name in FILE_CALLS[1:]:
        setattr(os, name, by_file(name, getattr(os, name)))
    for name in PATH_CALLS:
        setattr(os, name, by_path(name, getattr(os, name)))
    fcntl.flock = by_file("flock", fcntl.flock)
    os.write = write  # type: ignore[assignment]


def patch_sockets(faults: Faults) -> None:
    def method(name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def call(self: socket.socket, *args: Any) -> Any:
            if name == "send" and args and faults.kind("short_send"):
                return real(self, args[0][: max(1, len(args[0]) // 2)])
            faults.check(SAME_CALL.get(name, name))
            return real(self, *args)

        return call

    real_init = socket.socket.__init__

    def init(self: socket.socket, *args: Any, **more: Any) -> None:
        if more.get("fileno") is None and len(args) < 4:
            faults.check("socket")
        real_init(self, *args, **more)

    for name in SOCKET_CALLS:
        setattr(socket.socket, name, method(name, getattr(socket.socket, name)))
    socket.socket.__init__ = init  # type: ignore[method-assign]


def main() -> int:
    faults = Faults(os.environ["FAULTS"], json.loads(Path(os.environ["RELAY_CONFIG"]).read_text())["state"])
    patch_files(faults)
    patch_sockets(faults)
    time.time = lambda: faults.time() + float(faults.read().get("wall_s", 0.0))
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]  # as __main__ does
    from ..net.process import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
