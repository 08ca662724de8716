"""What a target that announces itself tells its agent."""

from dataclasses import dataclass

__all__ = ["TargetAnnouncement", "TargetLeft"]


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetAnnouncement:
    """A target's heartbeat.

    Attributes:
        instance: Names the target's run.
        service: What it serves.
        is_draining: It is about to leave and wants no new flows.
        slots: Requests that it works on at once.
        cold_seconds: How much longer it runs slower than later.
        sequence: Grows with each heartbeat of a run: a late one is told by it.
    """

    instance: str
    service: str
    is_draining: bool
    slots: int
    cold_seconds: float
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLeft:
    """A target's last word: it ends now."""

    instance: str
