"""Tenants' quotas: a token bucket for each, of its part that falls to this relay."""

from __future__ import annotations

from .interface import Settings

SAVED_S = 2.0  # of its quota that a tenant may save up


class Quotas:
    """What a tenant sends beyond its quota is worth less, whatever becomes of it."""

    def __init__(self, settings: Settings) -> None:
        self.over = settings.over_share_worth
        self.per_s = [tenant.quota_per_s / settings.relays for tenant in settings.tenants]
        self.buckets = [(SAVED_S * quota, 0.0) for quota in self.per_s]

    def share(self, now: float, tenant: int) -> float:
        """The part of its worth that one more message of this tenant keeps; one not known has no quota."""
        if tenant >= len(self.per_s):
            return 1.0
        (left, at), quota = self.buckets[tenant], self.per_s[tenant]
        left = min(SAVED_S * quota, left + quota * (now - at) / 1000)
        self.buckets[tenant] = left - (left >= 1), now
        return 1.0 if left >= 1 else self.over
