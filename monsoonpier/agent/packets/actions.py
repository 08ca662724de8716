"""Actions that the agent's packet logic returns for the process to carry out."""

import msgspec

__all__ = ["ResetFlow", "ToCallerPacket", "ToProcess", "ToTarget"]


class ToTarget(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Deliver a packet to the target."""

    raw: bytes


class ToCallerPacket(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a packet of the target to its caller."""

    ip: str
    raw: bytes
    flow: bytes


class ToProcess(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a frame to the internal address of a balancer or of another agent."""

    endpoint: tuple[str, int]
    frame: object


class ResetFlow(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a reset to a flow's caller, since the flow's target has ended."""

    ip: str
    flow: bytes
    acknowledged: int
