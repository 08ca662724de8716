"""Packets that come before a balancer has a configuration.

The load that it answers: power is back, callers send again, and the first packets
reach a balancer 0.1 to 0.3 s before it knows a route. A SYN that is dropped then comes
again after 0.2 and 0.6 s, longer than most answers may take. So the last packet of
each flow is kept and decided on as soon as there is a configuration.
"""

from collections import OrderedDict
from dataclasses import dataclass

from monsoonpier.wire.packet import Packet

__all__ = ["EarlyPacket", "EarlyPackets"]

MAX_FLOWS = 8_192  # half the open flows of a balancer aimed at; 2 MB of small packets
MAX_BYTES = 4 * 1_048_576  # a twentieth of the smallest VM's memory
# Callers send again after 0.2, 0.6 and 1.4 s: by then each has sent something newer.
MAX_SECONDS = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EarlyPacket:
    """A packet, and when it came."""

    packet: Packet
    came_at: float


class EarlyPackets:
    """The last packet of each flow, until there is a configuration. Does no I/O."""

    def __init__(self) -> None:
        self._kept_by_flow: OrderedDict[bytes, EarlyPacket] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._kept_by_flow)

    def keep(self, packet: Packet, *, now: float) -> None:
        """Keep a packet; the ones kept longest make room."""
        self._drop(packet.flow)
        self._kept_by_flow[packet.flow] = EarlyPacket(packet=packet, came_at=now)
        self._bytes += len(packet.raw)
        while len(self._kept_by_flow) > MAX_FLOWS or self._bytes > MAX_BYTES:
            self._drop(next(iter(self._kept_by_flow)))

    def take(self, *, now: float) -> list[EarlyPacket]:
        """Return what is still worth a decision, the oldest first, and keep nothing."""
        kept, self._kept_by_flow = self._kept_by_flow, OrderedDict()
        self._bytes = 0
        return [one for one in kept.values() if now - one.came_at <= MAX_SECONDS]

    def _drop(self, flow: bytes) -> None:
        kept = self._kept_by_flow.pop(flow, None)
        if kept is not None:
            self._bytes -= len(kept.packet.raw)
