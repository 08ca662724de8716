"""Waiting times of one service and priority at one balancer, for operators."""

import msgspec

__all__ = ["LatelySeen", "WaitingSummary"]


class LatelySeen(msgspec.Struct, frozen=True, kw_only=True):
    """Recent new flows by their result. The counts decay, so they are fractions.

    Attributes:
        served: Flows that a target accepted.
        refused: Flows that were rejected.
        wait_seconds: The sum of the waits of the served flows.
    """

    served: float = 0.0
    refused: float = 0.0
    wait_seconds: float = 0.0


class WaitingSummary(msgspec.Struct, frozen=True, kw_only=True):
    """New flows of one service and priority at one balancer.

    Attributes:
        service: The service of the flows.
        priority: The priority of their route; 0 goes first.
        aim_seconds: The latency target of their callers.
        in_time: Waiting flows that can still meet the latency target.
        late: Waiting flows that can't.
        oldest_seconds: The longest wait since a caller's first attempt.
        waited_seconds: The sum of the waits since the callers' first attempts.
        expected_seconds: How long another flow would wait for a slot, as
            estimated by this balancer; ``None`` while no target serves.
        asked: Flows so far.
        served_late: Flows so far that a target accepted after their latency
            target.
        served_by_data_centre: Flows so far that a target accepted, by its data
            centre.
        refused_by_reason: Flows so far that were rejected.
        wait_seconds: The sum of the waits of the served flows so far.
        lately: The same counts for recent flows.
    """

    service: str
    priority: int
    aim_seconds: float
    in_time: int = 0
    late: int = 0
    oldest_seconds: float = 0.0
    waited_seconds: float = 0.0
    expected_seconds: float | None = None
    asked: int = 0
    served_late: int = 0
    served_by_data_centre: dict[str, int] = {}
    refused_by_reason: dict[str, int] = {}
    wait_seconds: float = 0.0
    lately: LatelySeen = LatelySeen()

    @property
    def waiting(self) -> int:
        """How many flows wait now."""
        return self.in_time + self.late

    @property
    def refused(self) -> int:
        """How many flows were rejected so far."""
        return sum(self.refused_by_reason.values())
