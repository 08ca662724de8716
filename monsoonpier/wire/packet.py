"""Packets of flows without a token, identified by addresses and ports."""

from typing import Protocol

import msgspec

from monsoonpier.model.address import Address
from monsoonpier.wire.codec import Dropped

__all__ = [
    "MAX_SEQUENCE_GAP_BYTES",
    "SEQUENCE_SPACE",
    "Packet",
    "PacketCodec",
    "are_near",
    "are_of_one_flow",
    "sequence_distance",
]

SEQUENCE_SPACE = 1 << 32
MAX_SEQUENCE_GAP_BYTES = 65_536  # of one flow; callers have less in flight


class Packet(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One decoded packet; ``raw`` is forwarded unchanged.

    Attributes:
        raw: The packet as received.
        flow: The addresses and ports of caller and service, 12 bytes; the same for
            both directions.
        caller_ip: The caller's IP address.
        service_address: The service's IP address and port.
        sequence, acknowledged: Sequence and acknowledgement numbers, as in TCP.
        size: Bytes of data.
        is_returned: The target rejected this packet and sent it back; ``raw`` is the
            packet as it was delivered.
        is_failure: The target's answer says that it failed a request.
        waited: Seconds since the caller's first SYN, if this is a retransmission.
    """

    raw: bytes
    flow: bytes
    caller_ip: str
    service_address: Address
    sequence: int
    acknowledged: int
    size: int
    is_syn: bool
    is_ack: bool
    is_fin: bool
    is_reset: bool
    is_returned: bool = False
    is_failure: bool = False
    waited: float = 0.0

    @property
    def is_bare(self) -> bool:
        """Whether this is an acknowledgement alone, which its receiver won't answer."""
        return not self.size and not self.is_fin


class PacketCodec(Protocol):
    """Parses packets and builds resets; implemented by the platform's adapter."""

    def decode(self, data: bytes, *, from_target: bool) -> Packet | Dropped:
        """Return the packet in ``data``, or a `Dropped` with the reason.

        Args:
            data: The packet as received.
            from_target: Whether a target sent it, rather than a caller.
        """

    def reset(self, flow: bytes, *, acknowledged: int) -> bytes:
        """Return a reset packet for a flow's caller.

        Args:
            flow: The flow's addresses and ports, as in `Packet`.
            acknowledged: The caller's last acknowledgement number, which the reset's
                sequence number must be close to.
        """


def sequence_distance(start: int, end: int) -> int:
    """Return the distance from ``start`` to ``end``, modulo the sequence space."""
    return (end - start) % SEQUENCE_SPACE


def are_near(first: int, second: int) -> bool:
    """Return whether two numbers of one end can be of the same flow."""
    shifted = second - first + MAX_SEQUENCE_GAP_BYTES
    return shifted % SEQUENCE_SPACE <= 2 * MAX_SEQUENCE_GAP_BYTES


def are_of_one_flow(first: Packet, second: Packet) -> bool:
    """Return whether two packets of a caller with the same ports are of one flow.

    A later flow may use the ports of an earlier one, and numbers near those of its
    caller. The acknowledgement number tells which target has opened the flow.
    """
    if not are_near(first.sequence, second.sequence):
        return False
    is_told = first.is_ack and second.is_ack
    return not is_told or are_near(first.acknowledged, second.acknowledged)
