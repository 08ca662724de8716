"""SYNs that wait at a balancer for a slot to come free: late binding.

The load that it answers: all slots of a service are taken (a burst, a cold
start, everything restarted at once). A SYN that is handed to a busy target
waits for that target's run to end, though another one comes free earlier; one
that waits here goes to the first. It waits at most as long as its caller waits
for an answer, and is refused at once when the work ahead takes longer.
"""

import heapq
from dataclasses import dataclass, field

__all__ = ["MAX_WAIT_SECONDS", "MAX_WAIT_SHARE", "WaitingRoom"]

MAX_WAITING = 4_096  # a second of fifty times the new flows aimed at
MAX_WAIT_SECONDS = 1.0  # of the 1.4 s after which callers give a SYN up
MAX_WAIT_SHARE = 0.3  # of the time after which an answer is of no use
PRIORITY_SECONDS = 0.1  # what a less urgent flow falls behind per level


@dataclass(order=True, slots=True, kw_only=True)
class _Waiting:
    rank: float
    flow: bytes = field(compare=False)
    expires: float = field(compare=False)


class WaitingRoom:
    """Flows by service, the longest waiting first, urgent ones a little earlier."""

    def __init__(self, *, most: int = MAX_WAITING) -> None:
        self._most = most
        self._heaps_by_service: dict[str, list[_Waiting]] = {}
        self._flows: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._flows)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._flows

    @property
    def services(self) -> list[str]:
        """Names of services that flows wait for."""
        return [name for name, heap in self._heaps_by_service.items() if heap]

    def ahead(self, service: str) -> int:
        """Return how many flows wait for the service."""
        return len(self._heaps_by_service.get(service, ()))

    def add(
        self, flow: bytes, *, service: str, since: float, priority: int, most: float
    ) -> bool:
        """Let a flow wait ``most`` seconds from ``since``; tell if there is room."""
        if flow in self._flows:
            return True
        if len(self._flows) >= self._most:
            return False
        waiting = _Waiting(
            rank=since + priority * PRIORITY_SECONDS, flow=flow, expires=since + most
        )
        heapq.heappush(self._heaps_by_service.setdefault(service, []), waiting)
        self._flows.add(flow)
        return True

    def pop(self, service: str) -> bytes | None:
        """Return the flow whose turn it is, which then no longer waits."""
        heap = self._heaps_by_service.get(service)
        if not heap:
            return None
        flow = heapq.heappop(heap).flow
        self._flows.discard(flow)
        return flow

    def expired(self, *, now: float) -> list[bytes]:
        """Return the flows that have waited too long, which then no longer wait."""
        flows = []
        for service, heap in list(self._heaps_by_service.items()):
            gone = [waiting for waiting in heap if waiting.expires <= now]
            if not gone:
                continue
            kept = [waiting for waiting in heap if waiting.expires > now]
            heapq.heapify(kept)
            self._heaps_by_service[service] = kept
            flows += [waiting.flow for waiting in gone]
        self._flows.difference_update(flows)
        return flows
