"""Outlier detection: what speaks against an endpoint or a destination, by answers given and owed."""

from __future__ import annotations

import heapq

from .state import NEVER, EndpointState, Lane

FADE_MS = 10000.0  # older evidence counts no more: an answer or a failure of so long ago
OVERDUE = 4.0  # an answer is overdue so many mean deviations above the mean


def averaged(mean: float, dev: float, took: float, gain: float) -> tuple[float, float]:
    return mean + gain * (took - mean), dev + gain * (abs(took - mean) - dev)


def doubt(endpoint: EndpointState, now: float, class_: int) -> float:
    """Guards against an endpoint that fails, or fails one class: others go first until that fades."""
    recent = [c for c, at in endpoint.faults.items() if now - at < FADE_MS]
    return 8.0 * (class_ in recent) + 2.0 * len(recent)


def suspect(lane: Lane, now: float) -> bool:
    """Out, or each endpoint owes an answer that is overdue, and none came since: hung, gone or slow."""
    if lane.sick or not lane.out:
        return lane.sick
    overdue = now - lane.takes(OVERDUE)
    late = [held.out for held in lane.out.values() if held.out and lane.last_ok <= held.out_since < overdue]
    return bool(late) and {endpoint.entry.id for endpoint in late}.issuperset(lane.endpoints)


def forgotten(lane: Lane, now: float) -> bool:
    """Nothing is listed or out there, and what was seen of it tells nothing any more."""
    return not (lane.endpoints or lane.out or now <= max(lane.wait_until, (lane.bad_since or 0.0) + FADE_MS))


class Ejections:
    """Which listed endpoints are ejected: those to which nothing goes but what asks whether they are back, or
    that go last. Kept up as evidence comes, so that asking costs what has changed and not what is listed."""

    def __init__(self) -> None:
        self.ids: set[int] = set()  # in a destination that is out, or with a failure that has not faded
        self.calling: dict[tuple[int, int], Lane] = {}  # those with calls out, whose answers may be overdue
        self.fades: list[tuple[float, int]] = []  # heap: when an endpoint is looked at again
        self.fading: dict[int, tuple[float, EndpointState]] = {}  # endpoint -> its place there

    def see(self, now: float, lane: Lane) -> None:
        """Called whenever what speaks for or against a destination or its endpoints has changed."""
        for ident, endpoint in lane.endpoints.items():
            until = max(endpoint.faults.values(), default=NEVER) + FADE_MS
            if lane.sick or now < until:
                self.ids.add(ident)
            else:
                self.ids.discard(ident)
            if now < until and (ident not in self.fading or until < self.fading[ident][0]):
                self.fading[ident] = until, endpoint
                heapq.heappush(self.fades, (until, ident))

    def ended(self, now: float, key: tuple[int, int], lane: Lane) -> None:
        """An attempt there has an outcome."""
        self.see(now, lane)
        if not lane.out:
            self.calling.pop(key, None)

    def drop(self, endpoint: EndpointState) -> None:
        self.ids.discard(endpoint.entry.id)
        self.fading.pop(endpoint.entry.id, None)

    def ejected(self, now: float) -> set[int]:
        return self._settled(now) | self._overdue(now)

    def count(self, now: float) -> int:
        """How many these are, without making them up."""
        return len(self._settled(now)) + len(self._overdue(now))

    def _settled(self, now: float) -> set[int]:
        while self.fades and self.fades[0][0] <= now:
            until, ident = heapq.heappop(self.fades)
            if self.fading.get(ident, (None,))[0] == until:
                self.see(now, self.fading.pop(ident)[1].lane)
        return self.ids

    def _overdue(self, now: float) -> set[int]:
        late = [lane for lane in self.calling.values() if not lane.sick and suspect(lane, now)]
        return {ident for lane in late for ident in lane.endpoints} - self.ids
