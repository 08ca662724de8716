"""Whether a balancer is in contact with any other process of the system.

The fault that it answers: an entry VM that is cut off from all others but not from
the fabric. Its callers' flows can't be placed and their packets not be passed on,
while the other entry VMs could serve them; so it asks the fabric for no more, and
goes on with what does come. Measured on an entry VM that was cut off for 6 s: it
reset 18 callers a second, and its data centre got 0.85 of what it asked for.

The store is no part of this: an outage of it takes nothing away.
"""

__all__ = ["Contact"]

# Peers gossip once a second and answer gossip in a few milliseconds. After half of
# that they are asked out of turn, three times or more before silence counts.
ASK_SECONDS = 0.5
SILENT_SECONDS = 1.1
# Agents heartbeat once a second, and nobody answers a balancer out of turn that has
# no peers: one heartbeat may be lost and the next one late.
ALONE_SILENT_SECONDS = 3.0
# Contact that was lost again a moment after it had come back is believed later each
# time, so that a link that comes and goes doesn't move callers to and fro.
FIRST_HOLD_SECONDS = 1.0
MAX_HOLD_SECONDS = 8.0
CALM_SECONDS = 15.0  # of contact, and earlier losses count no more


class Contact:
    """When other processes were heard, and what that says. Does no I/O.

    Args:
        now: When the balancer started.
    """

    def __init__(self, *, now: float) -> None:
        self._heard_at = now
        self._since = now  # when the present contact began
        self._hold_seconds = 0.0

    def heard(self, *, has_peers: bool, now: float) -> None:
        """Take any frame of another process as a sign of contact."""
        if self._is_silent(has_peers=has_peers, now=now):
            self._begin_again(now=now)
        self._heard_at = now

    def _begin_again(self, *, now: float) -> None:
        lasted = self._heard_at - self._since
        self._since = now
        if lasted >= CALM_SECONDS:
            self._hold_seconds = 0.0
        else:
            doubled = max(FIRST_HOLD_SECONDS, 2 * self._hold_seconds)
            self._hold_seconds = min(MAX_HOLD_SECONDS, doubled)

    def is_in_contact(self, *, has_peers: bool, now: float) -> bool:
        """Tell whether callers should be sent here."""
        if self._is_silent(has_peers=has_peers, now=now):
            return False
        return now - self._since >= self._hold_seconds

    def should_ask(self, *, now: float) -> bool:
        """Tell whether peers should be asked for a sign, out of turn."""
        return now - self._heard_at >= ASK_SECONDS

    def _is_silent(self, *, has_peers: bool, now: float) -> bool:
        limit = SILENT_SECONDS if has_peers else ALONE_SILENT_SECONDS
        return now - self._heard_at > limit
