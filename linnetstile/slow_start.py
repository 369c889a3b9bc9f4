"""Slow start: what a fleet may send a destination that comes back from an outage, and each relay's part.

A destination falls when it gets more than `allowed(N)` calls within the time that the settings name, N being
what it can take then. Relays know nothing of each other but their number. So each reckons how many of them
may know of the outage, and sends its part of a mean that leaves room for chance. Source: STANDING.md.
"""

from __future__ import annotations

import math

FEW = 30.0  # calls in the window: below, chance is allowed for more generously
SPREAD = 4.5  # standard deviations of a window's calls that fit into what is allowed


def allowed(calls: float) -> float:
    """Calls in one window that bring nothing down, where the destination can take so many."""
    root = math.sqrt(calls)
    return calls + (2.0 * root + 2.0 if calls >= FEW else 3.0 * root + 3.0)


def mean_calls(calls: float, relays: float) -> float:
    """Calls in one window that so many relays may send together in the mean, where it can take `calls`.

    Each keeps its own pace, so its calls in a window stray by half a call; many that send rarely stray as
    chance does, by the root of their number.
    """
    room = allowed(calls) - 1.0
    paced = room - SPREAD * math.sqrt(relays) / 2.0
    root = (math.sqrt(SPREAD**2 + 4.0 * room) - SPREAD) / 2.0
    return min(calls, max(paced, root * root))


def heaviest_call(calls: float, relays: float) -> float:
    """How many calls' work one call of several messages may be: a part of what is left for chance."""
    return (allowed(calls) - mean_calls(calls, relays)) / (1.5 * SPREAD)


def knowing(relays: float, calls: float) -> float:
    """How many of so many relays may have met an outage in which so many calls were made by all of them."""
    return 1.0 + (relays - 1.0) * (1.0 - math.exp(-calls / relays))
