"""What an agent's decisions on packets lead to."""

import msgspec

__all__ = ["ResetFlow", "ToCallerPacket", "ToProcess", "ToTarget"]


class ToTarget(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Deliver a packet to the target."""

    raw: bytes


class ToCallerPacket(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a target's packet to its caller."""

    ip: str
    raw: bytes
    flow: bytes


class ToProcess(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a frame to a balancer's or another agent's internal address."""

    endpoint: tuple[str, int]
    frame: object


class ResetFlow(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a flow's caller a reset: the target that held it has ended."""

    ip: str
    flow: bytes
    acknowledged: int
