"""A link with a rate, a delay, a queue and losses, in simulated time."""

import random
from dataclasses import dataclass, field

__all__ = ["Link"]

HEADER_BYTES = 28  # of IPv4 and UDP


@dataclass(kw_only=True)
class Link:
    """Tells when each datagram arrives, or that the link has lost it.

    Args:
        bits_per_second: Its rate.
        queue_seconds: How much of its own time it keeps; what comes then is lost.
        delay_seconds: How long a datagram is on its way beside the queue.
        loss_share: The share of datagrams that are lost anyway.
        draw: Which these are.
    """

    bits_per_second: float
    queue_seconds: float = 0.05
    delay_seconds: float = 0.0
    loss_share: float = 0.0
    draw: random.Random = field(default_factory=lambda: random.Random(1))
    overrun: int = 0  # datagrams that the queue had no room for
    carried_bytes: int = 0  # with headers
    _free_at: float = 0.0

    def arrival(self, size: int, *, now: float) -> float | None:
        """Return when a datagram of ``size`` bytes arrives; ``None`` if it's lost."""
        if self._free_at - now > self.queue_seconds:
            self.overrun += 1
            return None
        self.carried_bytes += size + HEADER_BYTES
        seconds = 8 * (size + HEADER_BYTES) / self.bits_per_second
        self._free_at = max(self._free_at, now) + seconds
        if self.draw.random() < self.loss_share:
            return None
        return self._free_at + self.delay_seconds
