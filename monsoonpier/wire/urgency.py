"""How urgent a frame is on a narrow link."""

from monsoonpier.link.schedule import Urgency
from monsoonpier.wire.frames import (
    Bounce,
    Carry,
    Forward,
    NotHeld,
    PassOn,
    Return,
    Turned,
    Whose,
)

__all__ = ["urgency_of"]

# They bring packets, or are as large and many: a question to each agent of a service
# after a loss of power takes longer on the link than heartbeats may be late.
_WITH_PACKETS = Bounce | Carry | Forward | NotHeld | PassOn | Return | Turned | Whose


def urgency_of(frame, *, size: int) -> Urgency:
    """Return a frame's urgency.

    Args:
        frame: The frame.
        size: Its datagram's bytes.
    """
    if isinstance(frame, _WITH_PACKETS):
        return Urgency.by_size(size)
    return Urgency.CONTROL
