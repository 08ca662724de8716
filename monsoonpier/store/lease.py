"""A lease as its holder sees it, judged by the holder's own clock."""

from dataclasses import dataclass, replace

from monsoonpier.charts import load_chart

__all__ = ["Lease"]

SAFETY_SHARE = 0.1  # of the term, given up for the clocks' different rates


@dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """State on ``charts/lease.toml`` and the monotonic time of its end.

    The end counts from before the request was sent: the platform's own term
    began later, so the holder stops first.
    """

    id: int = 0
    state: str = "absent"
    ends: float = 0.0

    def may_act(self, *, now: float) -> bool:
        """Tell whether the holder may still do what the lease entitles it to."""
        return load_chart("lease").has(self.at(now=now).state, "may_act")

    def at(self, *, now: float) -> "Lease":
        """Return the lease at this time: it runs out by the holder's clock."""
        if now < self.ends:
            return self
        return self._after("ran_out")

    def granted(self, lease: int, *, ttl_seconds: float, asked_at: float) -> "Lease":
        """Return the lease after a grant that was asked for at ``asked_at``."""
        ends = asked_at + ttl_seconds * (1 - SAFETY_SHARE)
        return replace(self._after("granted"), id=lease, ends=ends)

    def renewed(self, *, ttl_seconds: float, asked_at: float, now: float) -> "Lease":
        """Return the lease after a renewal; one that ran out stays so."""
        current = self.at(now=now)
        after = current._after("renewed")
        if after.state != "held":
            return after
        return replace(after, ends=asked_at + ttl_seconds * (1 - SAFETY_SHARE))

    def renewal_failed(self) -> "Lease":
        """Return the lease after a renewal that got no answer."""
        return self._after("renewal_failed")

    def lost(self) -> "Lease":
        """Return the lease after the platform said that it has ended."""
        return self._after("lost")

    def released(self) -> "Lease":
        """Return the lease after its holder gave it back."""
        return replace(self._after("released"), id=0, ends=0.0)

    def _after(self, event: str) -> "Lease":
        return replace(self, state=load_chart("lease").step(self.state, event))
