"""An agent's record of one flow without a token."""

from dataclasses import dataclass
from enum import IntEnum

from monsoonpier.wire.packet import Packet, are_near

__all__ = ["PacketFlow", "Phase"]


class Phase(IntEnum):
    """Whether a flow uses one of the target's slots."""

    IDLE = 0
    EXPECTED = 1  # a slot is kept for the caller's next packet
    RUNNING = 2  # the caller has sent data and the target has not answered yet


@dataclass(slots=True, kw_only=True)
class PacketFlow:
    """The state of one flow.

    Attributes:
        caller_ip: The caller's address, where resets are sent.
        balancer: The address of the balancer to send replies to.
        seen_at: When the last packet of the flow passed.
        phase_began_at: When the current phase began.
        acknowledged: The caller's last acknowledgement number, from which a
            reset gets its sequence number.
        caller_end: The sequence number after the caller's last data.
        tried: The names of the targets that the flow's SYN was sent to.
        target_sequence: The target's initial sequence number; ``None`` before
            its answer.
        target_end: The sequence number after the target's latest packet; ``None``
            before its first packet here.
        is_open: Whether the caller has acknowledged this target's answer to
            its SYN.
        probe_packet: A packet that was delivered to learn whether the target
            owns the flow; ``None`` once the target has answered, or if the
            agent saw the flow open.
        phase: Whether the flow uses a slot.
        balancer_keeps_packet: Whether the balancer that sent the probe packet
            has buffered it, so that a reply can omit it.
        run_began_at: When the target began to work on the flow's request;
            ``None`` while the request waits at the target.
        is_overdue: Whether the request was counted as failed because its
            answer is late.
        kept_seconds_at_start: `SlotUse.kept_seconds_per_flow` when the flow's
            first request became expected.
        has_caller_fin: Whether the caller has closed its direction.
        has_target_fin: Whether the target has closed its direction.
    """

    caller_ip: str
    balancer: tuple[str, int]
    seen_at: float
    phase_began_at: float
    acknowledged: int = 0
    caller_end: int | None = None
    tried: tuple[str, ...] = ()
    target_sequence: int | None = None
    target_end: int | None = None
    is_open: bool = False
    probe_packet: Packet | None = None
    phase: Phase = Phase.IDLE
    balancer_keeps_packet: bool = False
    run_began_at: float | None = None
    is_overdue: bool = False
    kept_seconds_at_start: float = 0.0
    has_caller_fin: bool = False
    has_target_fin: bool = False

    @property
    def is_ended(self) -> bool:
        """Whether both sides have closed."""
        return self.has_caller_fin and self.has_target_fin

    def is_followed_by(self, packet: Packet) -> bool:
        """Return whether a target's SYN opens a later flow with the same ports."""
        if self.target_sequence is not None:
            return packet.sequence != self.target_sequence
        return self.target_end is not None and not are_near(
            packet.sequence, self.target_end
        )

    def record_target_packet(self, packet: Packet) -> bool:
        """Record how far the target's numbers have come.

        Returns:
            Whether the packet can be of this flow.
        """
        if packet.is_syn and self.target_sequence is None:
            self.target_sequence = packet.sequence
        end = packet.sequence + packet.size + (packet.is_syn or packet.is_fin)
        if self.target_end is not None and not are_near(end, self.target_end):
            return packet.is_syn  # A repeated SYN has the flow's first number.
        self.target_end = end
        return True

    def may_include(self, packet: Packet) -> bool:
        """Return whether a caller's packet can be of this flow.

        A later flow may use the same addresses and ports. It is of the target whose
        numbers its caller acknowledges.
        """
        if self.target_end is None or not packet.is_ack:
            return True
        return are_near(packet.acknowledged, self.target_end)
