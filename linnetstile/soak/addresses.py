"""Addresses of one soak: no other soak, and nothing that came before in this one, is met at any of them.

A port that has become free may be taken by another program at once; what is sent to an endpoint that is gone
would reach that. So each soak has a loopback address of its own, and uses no port of it twice.
"""

from __future__ import annotations

import itertools
import os

FIRST_PORT = 20000  # up to 32767: below the ports that the system deals out to connections
SEEDS, LOWEST = 128, 64


class Addresses:
    def __init__(self, seed: int) -> None:
        process = os.getpid()
        self.host = f"127.{LOWEST + seed % SEEDS}.{process >> 8 & 255}.{process & 255 or 1}"
        self.ports = itertools.count(FIRST_PORT)

    def next(self) -> tuple[str, int]:
        return self.host, next(self.ports)
