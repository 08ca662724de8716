"""How the callers of one class of work fare at one balancer, for operators."""

import msgspec

__all__ = ["LatelySeen", "WaitingSummary"]


class LatelySeen(msgspec.Struct, frozen=True, kw_only=True):
    """What became of new flows in the last while; fades, so not whole numbers.

    Attributes:
        served: Flows that a target took.
        refused: Flows whose callers were told to go.
        wait_seconds: What the served ones waited, together.
    """

    served: float = 0.0
    refused: float = 0.0
    wait_seconds: float = 0.0


class WaitingSummary(msgspec.Struct, frozen=True, kw_only=True):
    """New flows of one service and priority at one balancer.

    Attributes:
        service: What they are for.
        priority: Of their route; 0 goes first.
        aim_seconds: The latency that their callers want.
        in_time: Those that wait and can still be answered in time.
        late: Those that wait and can't.
        oldest_seconds: Since the one that asked first did.
        waited_seconds: Since each of them asked first, together.
        expected_seconds: Until one more would get a slot, as far as this balancer
            knows; ``None`` while no target serves.
        asked: Flows so far.
        served_late: Flows so far that a target took after their aim.
        served_by_data_centre: Flows so far that a target took, by where it is.
        refused_by_reason: Flows so far whose callers were told to go.
        wait_seconds: What the served ones waited so far, together.
        lately: The same of the last while.
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
        """Those that wait now."""
        return self.in_time + self.late

    @property
    def refused(self) -> int:
        """Those refused so far."""
        return sum(self.refused_by_reason.values())
