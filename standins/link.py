"""A simulated link with a rate, a delay, a queue and random loss."""

import random
from dataclasses import dataclass, field

__all__ = ["Link"]

HEADER_BYTES = 28  # of IPv4 and UDP


@dataclass(kw_only=True)
class Link:
    """Computes when each datagram arrives and which datagrams are lost.

    Args:
        bits_per_second: Transmission rate.
        queue_seconds: Queue limit, as transmission time; the link drops datagrams
            that arrive while more is queued.
        delay_seconds: Propagation delay.
        loss_share: Share of datagrams lost at random.
        draw: Source of randomness for the loss.
    """

    bits_per_second: float
    queue_seconds: float = 0.05
    delay_seconds: float = 0.0
    loss_share: float = 0.0
    draw: random.Random = field(default_factory=lambda: random.Random(1))
    queue_drops: int = 0  # datagrams dropped because the queue was full
    carried_bytes: int = 0  # including headers
    _free_at: float = 0.0

    def arrival(self, size: int, *, now: float) -> float | None:
        """Return the arrival time of a datagram of ``size`` bytes; ``None`` if lost."""
        if self._free_at - now > self.queue_seconds:
            self.queue_drops += 1
            return None
        self.carried_bytes += size + HEADER_BYTES
        seconds = 8 * (size + HEADER_BYTES) / self.bits_per_second
        self._free_at = max(self._free_at, now) + seconds
        if self.draw.random() < self.loss_share:
            return None
        return self._free_at + self.delay_seconds
