"""Batched queries to agents for the owners of flows.

After a power loss all flows are dead at once, and one query per flow and agent would
fill the links of small entry VMs. Therefore flows that are looked up at about the same
time share a query.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.packets.context import SteeringContext
from monsoonpier.wire.frames import MAX_QUERIED_FLOWS, OwnershipQuery

__all__ = ["OwnerQueries", "SentQuery"]

BATCH_SECONDS = 0.02  # flows looked up within this time share a query
# Batches are longer when many flows are looked up: a query's frame costs as much as
# four flows in it, times the agents of the service.
MAX_BATCH_SECONDS = 0.1
MICROSECONDS = 1_000_000
MAX_REMEMBERED_QUERIES = 256  # of the last ten seconds, at one in 40 ms


@dataclass(frozen=True, slots=True, kw_only=True)
class SentQuery:
    """The flows of a query, and when it was sent."""

    flows: tuple[bytes, ...]
    sent_at: float


class OwnerQueries:
    """Collects flows and queries the agents of their services. Does no I/O."""

    def __init__(self, *, context: SteeringContext) -> None:
        self._context = context
        self._pending_by_service: dict[str, list[bytes]] = {}
        self._sent_by_number: OrderedDict[int, SentQuery] = OrderedDict()
        # A reply may arrive after this balancer has restarted, so query numbers of
        # the previous process must not be reused.
        self._last_query = int(context.started_at * MICROSECONDS)
        self._next_batch_at = 0.0

    @property
    def is_waiting(self) -> bool:
        """Whether flows are waiting for the next query."""
        return bool(self._pending_by_service)

    def add(self, flow: bytes, *, services: Iterable[str]) -> None:
        """Add a flow to the next query to all agents of these services."""
        for service in sorted(services):
            self._pending_by_service.setdefault(service, []).append(flow)
        self._context.counts_by_result["asked"] += 1

    def pop_due(self, *, now: float) -> list[ToAgent]:
        """Return the queries for all collected flows, if the batch is due."""
        if now < self._next_batch_at or not self._pending_by_service:
            return []
        pending, self._pending_by_service = self._pending_by_service, {}
        largest = max(map(len, pending.values()))
        wait = min(BATCH_SECONDS * largest, MAX_BATCH_SECONDS)
        self._next_batch_at = now + max(BATCH_SECONDS, wait)
        return [
            action
            for service, flows in pending.items()
            for start in range(0, len(flows), MAX_QUERIED_FLOWS)
            for action in self._build_queries(
                service, tuple(flows[start : start + MAX_QUERIED_FLOWS]), now=now
            )
        ]

    def sent(self, number: int) -> SentQuery | None:
        """Return the query with this number, if it is still remembered."""
        return self._sent_by_number.get(number)

    def _build_queries(
        self, service: str, flows: tuple[bytes, ...], *, now: float
    ) -> list[ToAgent]:
        """Return the frames of one query to the agents of a service."""
        names = self._agents_to_query(service, flows)
        self._last_query += 1
        self._sent_by_number[self._last_query] = SentQuery(flows=flows, sent_at=now)
        if len(self._sent_by_number) > MAX_REMEMBERED_QUERIES:
            self._sent_by_number.popitem(last=False)
        for flow in flows:
            self._context.log.note(
                "owner queried", now=now, flow=flow, agents=len(names)
            )
        frame = OwnershipQuery(question=self._last_query, service=service, flows=flows)
        return self._context.to_agents(frame, names=names)

    def _agents_to_query(self, service: str, flows: tuple[bytes, ...]) -> list[str]:
        """Return the agents that have not denied all of these flows."""
        entries = [self._context.flows.get(flow) for flow in flows]
        denied = [
            set(entry.lookup.denied)
            for entry in entries
            if entry is not None and entry.lookup is not None
        ]
        by_all = set.intersection(*denied) if denied else set()
        return sorted(self._context.membership.table.names_of(service) - by_all)
