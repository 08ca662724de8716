"""Detection of a balancer that is cut off from all other processes.

Such a balancer can't place or forward its callers' flows. If the fabric still reaches
it, it must stop being ready, so that the fabric sends callers to other entry VMs.

The store does not count here: its outage doesn't stop a balancer from serving.
"""

__all__ = ["ContactMonitor"]

# Peers gossip once a second and answer gossip within milliseconds. After this much
# silence they are probed, which leaves time for several probes before the limit.
PROBE_AFTER_SECONDS = 0.5
SILENT_SECONDS = 1.1
# Without peers there are only the agents' heartbeats, one a second: one may be lost
# and the next one late.
ALONE_SILENT_SECONDS = 3.0
# Hold-down: after each loss of a short contact the balancer waits longer before it is
# ready again, so that an unstable link doesn't move callers back and forth.
FIRST_HOLD_SECONDS = 1.0
MAX_HOLD_SECONDS = 8.0
STABLE_SECONDS = 15.0  # contact of this length resets the hold-down


class ContactMonitor:
    """Decides whether a balancer is in contact with other processes. Does no I/O.

    A balancer that isn't must not be ready.

    Args:
        now: When the balancer started.
    """

    def __init__(self, *, now: float) -> None:
        self._last_frame_at = now
        self._since = now  # start of the current contact
        self._hold_seconds = 0.0

    def frame_received(self, *, has_peers: bool, now: float) -> None:
        """Record a frame from any other process."""
        if self._is_silent(has_peers=has_peers, now=now):
            self._restart_contact(now=now)
        self._last_frame_at = now

    def _restart_contact(self, *, now: float) -> None:
        lasted = self._last_frame_at - self._since
        self._since = now
        if lasted >= STABLE_SECONDS:
            self._hold_seconds = 0.0
        else:
            doubled = max(FIRST_HOLD_SECONDS, 2 * self._hold_seconds)
            self._hold_seconds = min(MAX_HOLD_SECONDS, doubled)

    def is_in_contact(self, *, has_peers: bool, now: float) -> bool:
        """Return whether frames arrive and the hold-down is over."""
        if self._is_silent(has_peers=has_peers, now=now):
            return False
        return now - self._since >= self._hold_seconds

    def should_probe(self, *, now: float) -> bool:
        """Return whether peers should be probed, since no frame arrived recently."""
        return now - self._last_frame_at >= PROBE_AFTER_SECONDS

    def _is_silent(self, *, has_peers: bool, now: float) -> bool:
        limit = SILENT_SECONDS if has_peers else ALONE_SILENT_SECONDS
        return now - self._last_frame_at > limit
