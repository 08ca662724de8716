"""The flows without a token that one target holds, as its agent sees them."""

from dataclasses import dataclass
from enum import IntEnum

from monsoonpier.wire.packet import Packet

__all__ = ["PacketFlow", "Phase"]


class Phase(IntEnum):
    """Where a flow stands with the target's slots."""

    IDLE = 0
    EXPECTED = 1  # opened a moment ago; its first request is on its way
    RUNNING = 2  # the caller has sent data and the target has not answered yet


@dataclass(slots=True, kw_only=True)
class PacketFlow:
    """One flow.

    Attributes:
        caller_ip: Where resets go.
        balancer: The balancer that sent its last packet that needs an answer.
        seen_at: When its last packet passed.
        changed_at: When its phase began.
        target_sequence: The target's first one; ``None`` until it has answered.
        is_open: The caller has acknowledged this target's answer to its SYN.
        guessed: The caller's packet, if this agent did not see the flow open and
            the target has yet to tell.
        acknowledged: The caller's last one, which a reset must be near to.
        asks: The balancer keeps the guessed packet itself.
        run_began_at: When the target began its request; ``None`` while it waits there.
        is_overdue: Its request is counted as failed; it may still be answered.
        kept_from: What a flow whose request is expected had of empty slots when it
            began to be (`SlotUse.kept_each`).
        caller_end: The sequence after the caller's last data.
    """

    caller_ip: str
    balancer: tuple[str, int]
    seen_at: float
    changed_at: float
    acknowledged: int = 0
    caller_end: int | None = None
    tried: tuple[str, ...] = ()
    target_sequence: int | None = None
    is_open: bool = False
    guessed: Packet | None = None
    phase: Phase = Phase.IDLE
    asks: bool = False
    run_began_at: float | None = None
    is_overdue: bool = False
    kept_from: float = 0.0
    has_caller_fin: bool = False
    has_target_fin: bool = False

    @property
    def is_ended(self) -> bool:
        """Whether both ends have closed."""
        return self.has_caller_fin and self.has_target_fin
