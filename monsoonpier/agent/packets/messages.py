"""Messages in which a target announces itself to its agent."""

from dataclasses import dataclass

__all__ = ["TargetHeartbeat", "LeaveNotice", "TargetInstance"]


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetInstance:
    """One instance of a target, from its start to its end.

    A target may start again under the same identity.

    Attributes:
        identity: The name that the target gives itself.
        born_ms: Start of the instance by its own wall clock, in Unix
            milliseconds; ``None`` if the target doesn't report it.
    """

    identity: str
    born_ms: int | None = None

    @property
    def instance(self) -> bytes:
        """The identifier of the instance in records of the target."""
        if self.born_ms is None:
            return self.identity.encode()
        return f"{self.identity}@{self.born_ms}".encode()


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetHeartbeat:
    """A heartbeat of a target.

    Attributes:
        run: The instance that sent it.
        is_draining: Whether the target is about to leave and wants no new
            flows.
        slots: How many requests the target works on at once.
        cold_seconds: How long the target will still be slower than usual.
        sequence: Grows with each heartbeat of an instance, to detect stale
            ones.
    """

    run: TargetInstance
    is_draining: bool
    slots: int
    cold_seconds: float
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaveNotice:
    """A leave notice: the target is about to end."""

    run: TargetInstance
