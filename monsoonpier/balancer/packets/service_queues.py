"""Queues of SYNs that wait at a balancer for a free slot.

They are used while all slots of a service are taken and the queues of its agents are
full. A SYN sent to a busy target would wait there even if another target had a free
slot earlier; a SYN that is queued here goes to the first free slot (late binding).
"""

from monsoonpier.model.waiting import WaitingFlow, WaitingQueue

__all__ = ["ServiceQueues"]

MAX_WAITING = 4_096  # flows; a second of fifty times the new flows at the target size


class ServiceQueues:
    """One queue of waiting flows for each service. Does no I/O."""

    def __init__(self, *, limit: int = MAX_WAITING) -> None:
        self._limit = limit
        self._queues_by_service: dict[str, WaitingQueue] = {}
        self._flows: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._flows)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._flows

    @property
    def services(self) -> list[str]:
        """Names of services that have queued flows."""
        return [name for name, queue in self._queues_by_service.items() if len(queue)]

    @property
    def flows_by_service(self) -> dict[str, list[WaitingFlow]]:
        """Queued flows by service; too slow to be read for each packet."""
        return {name: queue.flows for name, queue in self._queues_by_service.items()}

    def ahead(self, waiting: WaitingFlow, *, service: str, in_time: bool) -> int:
        """Return how many queued flows would be served before a given one.

        Args:
            waiting: The given flow, which is not queued.
            service: The service that the flow is for.
            in_time: Whether the flow can still meet its latency target.
        """
        queue = self._queues_by_service.get(service)
        if queue is None:
            return 0
        return queue.ahead(waiting, in_time=in_time)

    def count_queued(self, service: str) -> int:
        """Return how many flows are queued for the service."""
        return len(self._queues_by_service.get(service, ()))

    def count_not_abandoned(self, service: str) -> int:
        """Return how many of the service's queued flows are not presumed abandoned."""
        queue = self._queues_by_service.get(service)
        return queue.certain if queue is not None else 0

    def add(self, waiting: WaitingFlow, *, service: str) -> bool:
        """Queue a flow; return whether there was room."""
        if waiting.flow in self._flows:
            return True
        if len(self._flows) >= self._limit:
            return False
        self._queues_by_service.setdefault(service, WaitingQueue()).add(waiting)
        self._flows.add(waiting.flow)
        return True

    def reposition(self, waiting: WaitingFlow, *, service: str) -> None:
        """Move a queued flow to its new place; do nothing if it isn't queued."""
        if waiting.flow in self._flows:
            queue = self._queues_by_service[service]
            queue.remove(waiting)
            queue.add(waiting)

    def update_late(self, service: str, *, now: float, run_seconds: float) -> bool:
        """Reclassify flows that have become late; return whether any is in time."""
        queue = self._queues_by_service[service]
        queue.sort_out(now=now, run_seconds=run_seconds)
        return queue.timely > 0

    def pop(self, service: str) -> bytes:
        """Remove and return the first flow in the queue."""
        flow = self._queues_by_service[service].pop().flow
        self._flows.discard(flow)
        return flow

    def pop_for(self, service: str, *, is_late_turn: bool, answered_at: float) -> bytes:
        """Remove and return the flow that fits a given slot best.

        Args:
            service: The service that the slot belongs to.
            is_late_turn: Whether to prefer a late flow.
            answered_at: When a response from this slot is expected.

        Raises:
            LookupError: If no flow is queued for the service.
        """
        queue = self._queues_by_service[service]
        flow = queue.pop_for(is_late_turn=is_late_turn, answered_at=answered_at).flow
        self._flows.discard(flow)
        return flow

    def find(self, flow: bytes, *, service: str) -> WaitingFlow | None:
        """Return a queued flow, if it is queued for the service."""
        queue = self._queues_by_service.get(service)
        return queue.find(flow) if queue is not None else None

    def pop_expired(self, *, now: float) -> list[bytes]:
        """Remove and return the flows that have waited too long."""
        flows = [
            waiting.flow
            for queue in self._queues_by_service.values()
            for waiting in queue.pop_expired(now=now)
        ]
        self._flows.difference_update(flows)
        return flows
