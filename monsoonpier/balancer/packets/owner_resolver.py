"""Lookup of the owners of flows that are not in this balancer's flow table."""

import heapq
from collections import deque
from collections.abc import Collection

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.packets.context import ServiceAgents, SteeringContext
from monsoonpier.balancer.packets.directory import OwnerDirectory
from monsoonpier.balancer.packets.flows import FlowEntry, OwnerLookup, PacketDenials
from monsoonpier.balancer.packets.owner_probes import OwnerProbes
from monsoonpier.balancer.packets.owner_queries import OwnerQueries
from monsoonpier.wire.frames import (
    DirectoryQuery,
    DirectoryReply,
    DirectoryUpdate,
    FlowNotOwned,
    OwnershipReply,
)
from monsoonpier.wire.packet import Packet

__all__ = ["TARGET_GONE", "OwnerResolver"]

# Ten round trips to a balancer of the same data centre; then the agents are queried.
DIRECTORY_TIMEOUT_SECONDS = 0.03
# Least time between queries that a caller's packets trigger: half of the time after
# which callers retransmit.
REQUERY_SECONDS = 0.1
# First delay of a repeated query, doubled each time. The balancer repeats queries
# itself: messages get lost, callers back off, and after a power loss agents become
# known one by one.
QUERY_RETRY_SECONDS = 0.1
MAX_REPEATS = 5  # the last after 3.1 s; then only the caller's packets trigger queries
MAX_RETRIED_FLOWS = 16_384  # the open flows of a balancer at the target size
RECHECK_SECONDS = 0.1  # between checks of early denials
MAX_EARLY_DENIALS = 8_192  # flows denied before all agents are known; half of these
MAX_LOGGED_NAMES = 32  # of agents in one field of a log line of 4,096 bytes
ANY_SERVICE = "*"  # used while no configuration names the service
# Reasons of resets.
TARGET_GONE = "target gone"
NOT_OWNED = "nobody holds the flow"


class OwnerResolver:
    """Finds the owner of a flow. Does no I/O.

    Queries the flow's directory balancers, then all agents whose targets may own it.
    """

    def __init__(self, *, context: SteeringContext) -> None:
        self._context = context
        self._directory = OwnerDirectory(membership=context.membership)
        self._probes = OwnerProbes(context=context)
        self._directory_deadlines: deque[tuple[float, bytes]] = deque()
        self._query_retries: list[tuple[float, bytes]] = []  # a heap, by time
        self._early_denials: list[bytes] = []
        self._queries = OwnerQueries(context=context)
        self._rechecked_at = 0.0

    @property
    def is_waiting(self) -> bool:
        """Whether `retry` has pending work."""
        return (
            bool(
                self._directory_deadlines or self._early_denials or self._query_retries
            )
            or self._queries.is_waiting
            or self._directory.is_waiting
            or self._probes.is_waiting
        )

    # Starting lookups

    def resolve(
        self, packet: Packet, *, ended_owners: tuple[str, ...] = (), now: float
    ) -> list:
        """Look up the owner of a packet's flow; the packet is buffered meanwhile.

        Args:
            packet: The packet.
            ended_owners: Names of the targets that owned a flow with these ports and
                have ended. The flow is likely to have ended with them, so the agents
                are queried at once.
            now: The current time.
        """
        route = self._context.route(packet)
        if route is None:
            return self._probe_all(packet)
        entry = FlowEntry(service=route.service, created_at=now)
        self._context.flows.put(packet.flow, entry)
        owner = self._directory.get(packet.flow)
        if owner is not None and self._context.is_possible_owner(owner):
            entry.owners = (owner,)
            return self._context.forward(packet, entry, names=entry.owners)
        queries = [] if ended_owners else self._directory.query(packet.flow)
        lookup = OwnerLookup(
            started_at=now,
            queried_at=now,
            packets=[packet],
            pending_replies=len(queries),
            ended_owners=ended_owners,
        )
        entry.lookup = lookup
        if not queries:
            return self._query_remaining(entry, lookup, now=now)
        self._directory_deadlines.append((now + DIRECTORY_TIMEOUT_SECONDS, packet.flow))
        return queries

    def resume(self, packet: Packet, entry: FlowEntry, *, now: float) -> list:
        """Buffer a further packet of a flow, and query the agents again if due."""
        lookup = entry.lookup
        assert lookup is not None
        lookup.buffer(packet)
        if not lookup.has_queried_agents or now - lookup.queried_at < REQUERY_SECONDS:
            return []
        agents = self._agents_of(entry, now=now)
        decided = self._evaluate(entry, agents, now=now)
        if decided or not agents.names - lookup.denied:
            return decided
        probes = []
        services = self._services_of(entry)
        if not self._context.may_follow_power_loss(services, now=now):
            probes = self._probe_inconclusive(entry, agents, now=now)
        return probes + self._query_agents(entry, lookup, now=now)

    def _query_remaining(
        self, entry: FlowEntry, lookup: OwnerLookup, *, now: float
    ) -> list:
        """Query the agents that haven't denied a flow; decide if there are none."""
        agents = self._agents_of(entry, now=now)
        if agents.names - lookup.denied:
            return self._query_agents(entry, lookup, now=now)
        lookup.has_queried_agents = True
        return self._on_all_denied(entry, agents, now=now)

    def _query_agents(
        self, entry: FlowEntry, lookup: OwnerLookup, *, now: float
    ) -> list:
        """Add the flow to the next query to all agents that may own it."""
        flow = lookup.packets[-1].flow
        if not lookup.has_queried_agents:
            lookup.has_queried_agents = True
            if len(self._query_retries) < MAX_RETRIED_FLOWS:
                heapq.heappush(self._query_retries, (now + QUERY_RETRY_SECONDS, flow))
        lookup.queried_at = now
        self._queries.add(flow, services=self._services_of(entry))
        return self._queries.pop_due(now=now)

    def _services_of(self, entry: FlowEntry) -> frozenset[str]:
        """Return the services whose targets may own a flow that is looked up.

        The result is not cached, since the configuration may change during the lookup.
        """
        assert entry.lookup is not None
        return self._context.services_of(entry.lookup.packets[-1], entry)

    def _agents_of(self, entry: FlowEntry, *, now: float) -> ServiceAgents:
        """Return the agents that may own a flow."""
        return self._context.agents_of(self._services_of(entry), now=now)

    def _cached_agents_of(
        self,
        agents_by_services: dict[frozenset[str], ServiceAgents],
        entry: FlowEntry,
        *,
        now: float,
    ) -> ServiceAgents:
        """Return the agents that may own a flow, from a cache by set of services."""
        services = self._services_of(entry)
        if services not in agents_by_services:
            agents_by_services[services] = self._context.agents_of(services, now=now)
        return agents_by_services[services]

    def _probe_all(self, packet: Packet) -> list:
        """Send a packet to all agents if no configuration has been received yet.

        The flow may be open, and its route is unknown after a restart while the store
        is down. Agents deliver the packet only if their target owns the flow or serves
        the address. A few agents relay it, so that packets of dead flows don't fill
        the links on which the configuration arrives. Once there is a configuration, a
        packet without a route is dropped.
        """
        self._context.counts_by_result["no_route"] += 1
        if self._context.membership.configuration.version:
            return []
        names = [record.name for record in self._context.membership.table.records]
        return self._probes.probe_all(packet, names, service=ANY_SERVICE)

    # Frames of other balancers

    def on_directory_frame(
        self, frame, *, sender: tuple[str, int], now: float
    ) -> list | None:
        """Handle a frame of the directory; return ``None`` for any other frame."""
        match frame:
            case DirectoryUpdate():
                self._directory.store(frame)
                return []
            case DirectoryQuery():
                reply = self._directory.reply(frame)
                return [ToAgent(endpoint=sender, frame=reply)]
            case DirectoryReply():
                return self._on_directory_reply(frame, now=now)
        return None

    def _on_directory_reply(self, frame: DirectoryReply, *, now: float) -> list:
        """Forward packets to the reported owner, or query the agents if none is known.

        The agents are queried once no further directory balancer may reply.
        """
        entry = self._context.flows.get(frame.flow)
        if entry is None or entry.lookup is None:
            return []
        lookup = entry.lookup
        lookup.pending_replies -= 1
        is_possible_owner = self._context.is_possible_owner(frame.owner)
        if is_possible_owner and frame.owner not in lookup.denied:
            self._context.counts_by_result["found"] += 1
            self._context.log.note(
                "owner found", now=now, flow=frame.flow, target=frame.owner
            )
            entry.owners = (frame.owner,)
            return self.finish_lookup(entry)
        if lookup.pending_replies > 0 or lookup.has_queried_agents:
            return []
        return self._query_agents(entry, lookup, now=now)

    def finish_lookup(self, entry: FlowEntry) -> list:
        """End the lookup of a flow whose owner is known; forward buffered packets."""
        lookup, entry.lookup = entry.lookup, None
        if lookup is None:
            return []
        # The owner has already received the probe packet.
        return [
            action
            for packet in lookup.packets
            if packet is not lookup.probe
            for action in self._context.forward(packet, entry, names=entry.owners)
        ]

    # Replies of agents

    def on_agent_reply(self, frame: OwnershipReply, *, now: float) -> list:
        """Handle an agent's reply to a query about many flows."""
        actions: list = []
        age_seconds = None if frame.run_ms is None else frame.run_ms / 1000
        self._context.instances.record(
            frame.agent,
            age_seconds=age_seconds,
            is_absent=frame.is_absent,
            is_seen_from_start=frame.is_conclusive and frame.run_ms is not None,
            now=now,
        )
        query = self._queries.sent(frame.question)
        if query is None:
            return []
        agents_by_services: dict[frozenset[str], ServiceAgents] = {}
        for flow in query.flows:
            entry = self._context.flows.get(flow)
            if entry is None or entry.lookup is None:
                continue
            if query.sent_at < entry.lookup.started_at:
                continue  # The reply is about an earlier flow with these ports.
            agents = self._cached_agents_of(agents_by_services, entry, now=now)
            if flow in frame.held and frame.agent in entry.lookup.denied:
                continue  # It has denied this flow's packet, and owns an earlier flow.
            if flow in frame.held:
                self._context.log.note(
                    "owner found", now=now, flow=flow, target=frame.agent
                )
                entry.owners = (frame.agent,)
                self.schedule_registration(flow, frame.agent, now=now)
                actions += self.finish_lookup(entry)
            elif frame.is_conclusive:
                actions += self._record_denial(
                    entry, flow, frame.agent, agents, now=now
                )
            elif frame.run_ms is not None or frame.is_absent:
                entry.lookup.inconclusive.add(frame.agent)
                actions += self._evaluate(entry, agents, now=now)
            else:
                actions += self._probes.probe(entry, frame.agent, now=now)
        return actions

    def _evaluate(self, entry: FlowEntry, agents: ServiceAgents, *, now: float) -> list:
        """Act on the replies so far: reset the flow, probe targets, or wait.

        An inconclusive reply is never a denial: the target may have opened the flow
        through an earlier agent, however short a time ago it started.
        """
        lookup = entry.lookup
        assert lookup is not None
        replied = len(lookup.denied) + len(lookup.inconclusive)
        if replied + len(agents.absent) < len(agents.names):
            return []  # A fast path: too few replies to decide yet.
        remaining = agents.names - lookup.denied
        if not remaining:
            return self._on_all_denied(entry, agents, now=now)
        pending = remaining - lookup.inconclusive
        if pending <= agents.absent:
            return self._probe_inconclusive(entry, agents, now=now)
        return []

    def _probe_inconclusive(
        self, entry: FlowEntry, agents: ServiceAgents, *, now: float
    ) -> list:
        """Probe the targets of agents whose replies were inconclusive."""
        lookup = entry.lookup
        assert lookup is not None
        inconclusive, lookup.inconclusive = lookup.inconclusive, set()
        names = (inconclusive - lookup.denied) & agents.names
        return self._probes.probe_together(entry, names, now=now)

    def _record_denial(
        self,
        entry: FlowEntry,
        flow: bytes,
        agent: str,
        agents: ServiceAgents,
        *,
        now: float,
    ) -> list:
        """Record that an agent's target doesn't own a flow, and act on all replies."""
        self._context.log.note("flow denied", now=now, flow=flow, target=agent)
        lookup = entry.lookup
        assert lookup is not None
        lookup.denied_at_by_name[agent] = now
        return self._evaluate(entry, agents, now=now)

    def on_denials(
        self, frame: FlowNotOwned, packet: Packet | None, *, now: float
    ) -> list:
        """Handle an agent's reply that its target doesn't own one or more flows."""
        agents_by_services: dict[frozenset[str], ServiceAgents] = {}
        actions: list = []
        for flow in (frame.flow, *frame.others):
            entry = self._context.flows.get(flow)
            if entry is None:
                continue
            if entry.lookup is None:
                actions += self._on_owner_denial(entry, frame, packet, now=now)
                continue
            if not _is_denied(entry.lookup, frame, packet):
                continue  # The reply is about an earlier flow with these ports.
            agents = self._cached_agents_of(agents_by_services, entry, now=now)
            actions += self._record_denial(entry, flow, frame.agent, agents, now=now)
        return actions

    def _on_owner_denial(
        self,
        entry: FlowEntry,
        frame: FlowNotOwned,
        packet: Packet | None,
        *,
        now: float,
    ) -> list:
        """Look up the owner of a flow whose presumed owner has returned its packet."""
        if frame.agent not in entry.owners or packet is None:
            return []
        entry.owners = tuple(name for name in entry.owners if name != frame.agent)
        if entry.owners:
            return []
        self._directory.forget(frame.flow)
        earlier = entry.denials or PacketDenials(packet=packet, names=frozenset())
        entry.denials = earlier.with_denial(packet, frame.agent)
        lookup = OwnerLookup(
            started_at=now,
            queried_at=now,
            packets=[packet],
            denied_at_by_name=dict.fromkeys(entry.denials.names, now),
        )
        entry.lookup = lookup
        return self._query_remaining(entry, lookup, now=now)

    def _on_all_denied(
        self, entry: FlowEntry, agents: ServiceAgents, *, now: float
    ) -> list:
        """Reset a flow that all known agents have denied, or defer the reset.

        The reset is deferred while agents that may own the flow may be unknown.
        """
        lookup = entry.lookup
        assert lookup is not None
        if not lookup.has_queried_agents:
            return []
        if not self._context.knows_all_owners_of(self._services_of(entry), now=now):
            self._defer_reset(lookup.packets[-1].flow)
            return []
        return self._reset_unowned(lookup, agents, now=now)

    def _defer_reset(self, flow: bytes) -> None:
        """Add a denied flow to those that `_recheck_early_denials` resets later."""
        if len(self._early_denials) < MAX_EARLY_DENIALS:
            self._early_denials.append(flow)

    def _reset_unowned(
        self, lookup: OwnerLookup, agents: ServiceAgents, *, now: float
    ) -> list:
        """Reset a flow that no target owns."""
        packet = lookup.packets[-1]
        self._context.flows.drop(packet.flow)
        reason = TARGET_GONE if lookup.ended_owners else NOT_OWNED
        self._context.returning_callers.record_reset(
            packet, first_attempt_at=lookup.started_at, now=now
        )
        evidence = {
            "denials": len(lookup.denied),
            "denied_by": _first_names(lookup.denied),
            "oldest_denial_seconds": _age_of_oldest(lookup, now=now),
            "without_target": _first_names(agents.without_target),
            "lookup_seconds": round(now - lookup.started_at, 3),
            "uptime_seconds": round(now - self._context.started_at, 3),
            "owners": lookup.ended_owners,
        }
        return [self._context.reset_caller(packet, reason, now=now, **evidence)]

    # Timers

    def schedule_registration(self, flow: bytes, owner: str, *, now: float) -> None:
        """Schedule the registration of a confirmed owner in the directory."""
        self._directory.schedule(flow, owner, now=now)

    def retry(self, *, now: float) -> list:
        """Register owners, send due queries and probes, and recheck early denials."""
        actions = self._register(now=now) + self._query_after_timeout(now=now)
        actions += self._repeat_queries(now=now)
        actions += self._probes.flush()
        actions += self._queries.pop_due(now=now)
        if self._early_denials and now - self._rechecked_at >= RECHECK_SECONDS:
            actions += self._recheck_early_denials(now=now)
        return actions

    def _register(self, *, now: float) -> list:
        """Register due flows that are still open and whose owner is unchanged."""
        lasting = []
        for flow, owner in self._directory.pop_due(now=now):
            entry = self._context.flows.get(flow)
            if entry is not None and not entry.has_fin and entry.owners == (owner,):
                lasting.append((flow, owner))
        return self._directory.publish(lasting) if lasting else []

    def _query_after_timeout(self, *, now: float) -> list:
        """Query the agents for flows whose directory balancers did not answer."""
        actions: list = []
        while self._directory_deadlines and self._directory_deadlines[0][0] <= now:
            _, flow = self._directory_deadlines.popleft()
            entry = self._context.flows.get(flow)
            if entry is None or entry.lookup is None or entry.lookup.has_queried_agents:
                continue
            actions += self._query_agents(entry, entry.lookup, now=now)
        return actions

    def _repeat_queries(self, *, now: float) -> list:
        """Repeat the queries to which some agents have not replied."""
        agents_by_services: dict[frozenset[str], ServiceAgents] = {}
        actions: list = []
        while self._query_retries and self._query_retries[0][0] <= now:
            _, flow = heapq.heappop(self._query_retries)
            entry = self._context.flows.get(flow)
            if entry is None or entry.lookup is None:
                continue
            lookup = entry.lookup
            lookup.repeats += 1
            if lookup.repeats < MAX_REPEATS:
                seconds = QUERY_RETRY_SECONDS * 2**lookup.repeats
                heapq.heappush(self._query_retries, (now + seconds, flow))
            if now - lookup.queried_at < QUERY_RETRY_SECONDS / 2:
                continue  # A packet of the caller has just triggered a query.
            agents = self._cached_agents_of(agents_by_services, entry, now=now)
            if not agents.names - lookup.denied:
                self._defer_reset(flow)
                continue
            decided = self._evaluate(entry, agents, now=now)
            actions += decided or self._query_agents(entry, lookup, now=now)
        return actions

    def _recheck_early_denials(self, *, now: float) -> list:
        """Reset flows denied by all known agents, once no unknown agent may own them.

        The agents are computed once for each set of services.
        """
        self._rechecked_at = now
        flows, self._early_denials = dict.fromkeys(self._early_denials), []
        agents_by_services: dict[frozenset[str], ServiceAgents | None] = {}
        actions: list = []
        for flow in flows:
            entry = self._context.flows.get(flow)
            if entry is None or entry.lookup is None:
                continue
            services, lookup = self._services_of(entry), entry.lookup
            if services not in agents_by_services:
                knows = self._context.knows_all_owners_of(services, now=now)
                agents = self._agents_of(entry, now=now) if knows else None
                agents_by_services[services] = agents
            agents = agents_by_services[services]
            if agents is None:
                self._early_denials.append(flow)
            elif lookup.has_queried_agents and not agents.names - lookup.denied:
                actions += self._reset_unowned(lookup, agents, now=now)
        return actions


def _is_denied(lookup: OwnerLookup, frame: FlowNotOwned, packet: Packet | None) -> bool:
    """Return whether an agent's denial is about the flow that is looked up.

    The denial returns the packet, or answers a probe of this lookup.
    """
    if packet is not None:
        return lookup.is_about(packet)
    return frame.agent in lookup.probed_at_by_name


def _age_of_oldest(lookup: OwnerLookup, *, now: float) -> float:
    """Return the age in seconds of a lookup's first denial; 0 without one."""
    return round(now - min(lookup.denied_at_by_name.values(), default=now), 3)


def _first_names(names: Collection[str]) -> list[str]:
    """Return the first few of these names, for a log line."""
    return heapq.nsmallest(MAX_LOGGED_NAMES, names)
