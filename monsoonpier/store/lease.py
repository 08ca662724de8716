"""A lease as seen by its holder, timed by the holder's own clock."""

from dataclasses import dataclass, replace

from monsoonpier.charts import load_chart

__all__ = ["Lease"]

SAFETY_SHARE = 0.1  # fraction of the TTL subtracted to allow for clock drift


@dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """The lease's state in ``charts/lease.toml`` and its expiry (monotonic time).

    The expiry is computed from the time at which the request was sent. The store
    counts from when it receives the request, so the holder stops acting first.
    """

    id: int = 0
    state: str = "absent"
    expires_at: float = 0.0

    def may_act(self, *, now: float) -> bool:
        """Return whether the holder may still act under the lease."""
        return load_chart("lease").has(self.at(now=now).state, "may_act")

    def at(self, *, now: float) -> "Lease":
        """Return the lease as of ``now``: expired if ``expires_at`` has passed."""
        if now < self.expires_at:
            return self
        return self._step("ran_out")

    def granted(self, lease: int, *, ttl_seconds: float, asked_at: float) -> "Lease":
        """Return the lease after a grant that was requested at ``asked_at``."""
        expires_at = asked_at + ttl_seconds * (1 - SAFETY_SHARE)
        return replace(self._step("granted"), id=lease, expires_at=expires_at)

    def renewed(self, *, ttl_seconds: float, asked_at: float, now: float) -> "Lease":
        """Return the lease after a renewal; an expired lease stays expired."""
        current = self.at(now=now)
        after = current._step("renewed")
        if after.state != "held":
            return after
        return replace(after, expires_at=asked_at + ttl_seconds * (1 - SAFETY_SHARE))

    def renewal_failed(self) -> "Lease":
        """Return the lease after a renewal that failed without a response."""
        return self._step("renewal_failed")

    def lost(self) -> "Lease":
        """Return the lease after the store reported that it does not exist."""
        return self._step("lost")

    def released(self) -> "Lease":
        """Return the lease after its holder revoked it."""
        return replace(self._step("released"), id=0, expires_at=0.0)

    def _step(self, event: str) -> "Lease":
        return replace(self, state=load_chart("lease").step(self.state, event))
