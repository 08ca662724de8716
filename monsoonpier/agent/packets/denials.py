"""Denials of flows, batched for each balancer.

After a loss of power all flows are dead, and each is denied by every agent of its
service. A frame for each denial would fill the links of small entry VMs.
"""

from monsoonpier.agent.packets.actions import ToProcess
from monsoonpier.wire.frames import MAX_QUERIED_FLOWS, FlowNotOwned

__all__ = ["DenialBatches"]

MAX_BALANCERS = 1_024  # more than twice those of the target size


class DenialBatches:
    """Collects the denials for the balancers that read batches. Does no I/O.

    Args:
        name: The target's name.
    """

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._reading_batches: set[tuple[str, int]] = set()
        self._flows_by_balancer: dict[tuple[str, int], dict[bytes, None]] = {}

    def record_capability(self, balancer: tuple[str, int], *, reads: bool) -> None:
        """Record whether a balancer reads batches; one of an older build doesn't."""
        if not reads:
            self._reading_batches.discard(balancer)
        elif len(self._reading_batches) < MAX_BALANCERS:
            self._reading_batches.add(balancer)

    def add(self, flow: bytes, *, balancer: tuple[str, int]) -> bool:
        """Add a denial to the next batch; return whether the balancer reads batches."""
        if balancer not in self._reading_batches:
            return False
        self._flows_by_balancer.setdefault(balancer, {})[flow] = None
        return True

    def pop(self) -> list[ToProcess]:
        """Return the frames with all collected denials."""
        collected, self._flows_by_balancer = self._flows_by_balancer, {}
        return [
            ToProcess(endpoint=balancer, frame=frame)
            for balancer, flows in collected.items()
            for frame in self._frames(tuple(flows))
        ]

    def _frames(self, flows: tuple[bytes, ...]) -> list[FlowNotOwned]:
        size = MAX_QUERIED_FLOWS
        batches = [flows[start : start + size] for start in range(0, len(flows), size)]
        return [
            FlowNotOwned(agent=self._name, flow=first, others=tuple(others))
            for first, *others in batches
        ]
