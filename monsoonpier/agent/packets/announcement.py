"""What a target that announces itself tells its agent."""

from dataclasses import dataclass

__all__ = ["TargetAnnouncement", "TargetLeft", "TargetRun"]


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRun:
    """One run of a target: its identity alone may come back after a restart.

    Attributes:
        identity: The name that the target gives itself.
        born_ms: When the run began by its own wall clock, in Unix milliseconds;
            ``None`` if the target doesn't tell.
    """

    identity: str
    born_ms: int | None = None

    @property
    def instance(self) -> bytes:
        """Names the run in records of the target."""
        if self.born_ms is None:
            return self.identity.encode()
        return f"{self.identity}@{self.born_ms}".encode()


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetAnnouncement:
    """A target's heartbeat.

    Attributes:
        run: The run that sent it.
        is_draining: It is about to leave and wants no new flows.
        slots: Requests that it works on at once.
        cold_seconds: How much longer it runs slower than later.
        sequence: Grows with each heartbeat of a run: a late one is told by it.
    """

    run: TargetRun
    is_draining: bool
    slots: int
    cold_seconds: float
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLeft:
    """A target's last word: it ends now."""

    run: TargetRun
