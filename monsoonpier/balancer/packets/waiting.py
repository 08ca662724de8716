"""SYNs that wait at a balancer for a slot to come free: late binding.

The load that it answers: all slots of a service are taken, and the queues of its
agents are full. A SYN that is handed to a busy target waits for that target's run
to end, though another one comes free earlier; one that waits here goes to the first.
"""

from monsoonpier.model.waiting import WaitingFlow, WaitingQueue

__all__ = ["WaitingRoom"]

MAX_WAITING = 4_096  # a second of fifty times the new flows aimed at


class WaitingRoom:
    """Flows by the service that they wait for. Does no I/O."""

    def __init__(self, *, most: int = MAX_WAITING) -> None:
        self._most = most
        self._queues_by_service: dict[str, WaitingQueue] = {}
        self._flows: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._flows)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._flows

    @property
    def services(self) -> list[str]:
        """Names of services that flows wait for."""
        return [name for name, queue in self._queues_by_service.items() if len(queue)]

    @property
    def flows_by_service(self) -> dict[str, list[WaitingFlow]]:
        """All that wait; to be asked for now and then, never for each packet."""
        return {name: queue.flows for name, queue in self._queues_by_service.items()}

    def ahead(self, waiting: WaitingFlow, *, service: str, in_time: bool) -> int:
        """Return how many flows wait that would go before one more.

        Args:
            waiting: The one more.
            service: What it waits for.
            in_time: It can still be answered in time.
        """
        queue = self._queues_by_service.get(service)
        if queue is None:
            return 0
        return queue.ahead(waiting, in_time=in_time)

    def waiting(self, service: str) -> int:
        """Return how many flows wait for the service."""
        return len(self._queues_by_service.get(service, ()))

    def certain(self, service: str) -> int:
        """Return how many wait for the service whose callers aren't doubtful."""
        queue = self._queues_by_service.get(service)
        return queue.certain if queue is not None else 0

    def add(self, waiting: WaitingFlow, *, service: str) -> bool:
        """Let a flow wait; tell if there is room."""
        if waiting.flow in self._flows:
            return True
        if len(self._flows) >= self._most:
            return False
        self._queues_by_service.setdefault(service, WaitingQueue()).add(waiting)
        self._flows.add(waiting.flow)
        return True

    def rekey(self, waiting: WaitingFlow, *, service: str) -> None:
        """Give a flow that waits another place; one that doesn't has none."""
        if waiting.flow in self._flows:
            queue = self._queues_by_service[service]
            queue.remove(waiting)
            queue.add(waiting)

    def sort_out(self, service: str, *, now: float, run_seconds: float) -> bool:
        """Count again who is late; tell whether one in time is left."""
        queue = self._queues_by_service[service]
        queue.sort_out(now=now, run_seconds=run_seconds)
        return queue.timely > 0

    def pop(self, service: str) -> bytes:
        """Return the flow whose turn it is, which then no longer waits."""
        flow = self._queues_by_service[service].pop().flow
        self._flows.discard(flow)
        return flow

    def pop_for(self, service: str, *, is_late_turn: bool, answered_at: float) -> bytes:
        """Return the flow that a certain slot is best given to; it waits no longer.

        Raises:
            LookupError: If none waits for the service.
        """
        queue = self._queues_by_service[service]
        flow = queue.pop_for(is_late_turn=is_late_turn, answered_at=answered_at).flow
        self._flows.discard(flow)
        return flow

    def find(self, flow: bytes, *, service: str) -> WaitingFlow | None:
        """Return what is known of a flow that waits."""
        queue = self._queues_by_service.get(service)
        return queue.find(flow) if queue is not None else None

    def expired(self, *, now: float) -> list[bytes]:
        """Return the flows that have waited too long, which then no longer wait."""
        flows = [
            waiting.flow
            for queue in self._queues_by_service.values()
            for waiting in queue.pop_expired(now=now)
        ]
        self._flows.difference_update(flows)
        return flows
