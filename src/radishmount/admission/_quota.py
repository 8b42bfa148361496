"""The quotas by caller and rule."""

from dataclasses import dataclass, field

from result import Err, Ok, Result

from radishmount.codes import Code, Refusal
from radishmount.publication import Rule


__all__ = ["Quotas", "TokenBucket"]

BURST_S = 1.0


@dataclass(slots=True)
class TokenBucket:
    """Grants `rate_per_s` requests, with a burst of what one second allows."""

    rate_per_s: float
    tokens: float
    filled_at_ms: float

    def take(self, now_ms: float) -> bool:
        """Take one token; tell whether there was one."""
        passed_s = max(0.0, now_ms - self.filled_at_ms) / 1000.0
        self.filled_at_ms = now_ms
        limit = max(1.0, self.rate_per_s * BURST_S)
        self.tokens = min(limit, self.tokens + passed_s * self.rate_per_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class Quotas:
    """The buckets by caller and rule. Each instance grants its share of the fleet's quota.

    The fleet's quota is divided over the listed instances, whether they can be reached or not, so
    that the parts of a split fleet never grant more than the quota together.
    """

    instances: int = 1
    buckets_by_key: dict[tuple[str, str], TokenBucket] = field(default_factory=dict)

    def take(self, caller: str, rule: Rule, now_ms: float) -> Result[None, Refusal]:
        """Grant or refuse one request of `caller` under `rule`."""
        rate_per_s = rule.quota_per_s / max(1, self.instances)
        key = (caller, rule.name)
        bucket = self.buckets_by_key.get(key)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, max(1.0, rate_per_s * BURST_S), now_ms)
            self.buckets_by_key[key] = bucket
        bucket.rate_per_s = rate_per_s
        if bucket.take(now_ms):
            return Ok(None)
        return Err(Refusal(Code.OVER_QUOTA, detail=f"{caller} under {rule.name}"))
