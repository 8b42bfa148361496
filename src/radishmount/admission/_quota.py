"""Request quotas by caller and rule."""

from dataclasses import dataclass, field

from result import Err, Ok, Result

from radishmount.codes import Code, Refusal
from radishmount.publication import Rule


__all__ = ["Quotas", "TokenBucket"]

BURST_S = 1.0


@dataclass(slots=True)
class TokenBucket:
    """Allows `rate_per_s` requests per second, with bursts of up to one second's worth."""

    rate_per_s: float
    tokens: float
    refilled_at_ms: float

    def try_take(self, now_ms: float) -> bool:
        """Take one token; return false when there is none."""
        elapsed_s = max(0.0, now_ms - self.refilled_at_ms) / 1000.0
        self.refilled_at_ms = now_ms
        capacity = max(1.0, self.rate_per_s * BURST_S)
        self.tokens = min(capacity, self.tokens + elapsed_s * self.rate_per_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class Quotas:
    """A token bucket for each caller and rule, filled at this instance's share of the quota.

    The quota is divided among all listed instances, reachable or not, so that the sides of a
    network partition together never grant more than the quota.
    """

    instance_count: int = 1
    buckets_by_key: dict[tuple[str, str], TokenBucket] = field(default_factory=dict)

    def consume(self, caller: str, rule: Rule, now_ms: float) -> Result[None, Refusal]:
        """Take one request of `caller` under `rule` from its quota, or refuse it."""
        rate_per_s = rule.quota_per_s / max(1, self.instance_count)
        key = (caller, rule.name)
        bucket = self.buckets_by_key.get(key)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, max(1.0, rate_per_s * BURST_S), now_ms)
            self.buckets_by_key[key] = bucket
        bucket.rate_per_s = rate_per_s
        if bucket.try_take(now_ms):
            return Ok(None)
        return Err(Refusal(Code.OVER_QUOTA, detail=f"{caller} under {rule.name}"))
