"""State shared by the parts of a packet balancer's steering, and frames for agents."""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import msgspec

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.membership import ALONE_SECONDS, Membership
from monsoonpier.balancer.packets.first_attempts import FirstAttempts
from monsoonpier.balancer.packets.flows import FlowEntry, FlowTable
from monsoonpier.balancer.packets.returning import ReturningCallers
from monsoonpier.balancer.packets.shares import EarlierServices, choose_service
from monsoonpier.balancer.packets.target_instances import TargetInstances
from monsoonpier.balancer.packets.wait_statistics import WaitStatistics
from monsoonpier.model.address import Address
from monsoonpier.model.service import PacketRoute
from monsoonpier.model.target import ABSENT_SECONDS, Condition, TargetRecord
from monsoonpier.model.waiting import WaitingFlow
from monsoonpier.process.logs import DecisionLog
from monsoonpier.wire.frames import (
    MAX_PRIORITY,
    MAX_TRIED,
    ForwardPacket,
    ReserveSlot,
    to_milliseconds,
)
from monsoonpier.wire.packet import Packet

__all__ = ["SteeringContext", "ResetCaller", "ServiceAgents"]

PEER_DISCOVERY_SECONDS = 0.3  # balancers that start together know each other by then
# A new agent, which looks for its target ten times a second, has found it by then.
TARGET_DISCOVERY_SECONDS = 1.0
HEARTBEAT_SECONDS = 1.2  # an agent that kept running has sent a heartbeat by then


class ResetCaller(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """The action that resets a packet's flow, which no target owns or accepts."""

    packet: Packet
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceAgents:
    """The agents that may own flows of some services.

    Attributes:
        names: Agents that have not ended, except those without a target that could
            own a flow from before.
        absent: Those among ``names`` that currently report no target.
        without_target: Agents of the services that are not among ``names``.
    """

    names: frozenset[str]
    absent: frozenset[str]
    without_target: frozenset[str]


class SteeringContext:
    """The state that the parts of one balancer's steering share.

    Attributes:
        membership: Targets, peers and the configuration.
        flows: Table of recently seen flows.
        instances: When targets started, as their agents report.
        returning_callers: Rejected attempts that this balancer stores.
        first_attempts: Exchange of rejected attempts with the other balancers of the
            data centre.
        log: Log of decisions.
        counts_by_result: Number of decisions since the start, for metrics.
        wait_statistics: Outcomes of new flows, by service and priority.
        opened_by_service: New flows by the service chosen for them, for metrics.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        log: DecisionLog,
        data_centres: Collection[str] = (),
    ) -> None:
        self.membership = membership
        self.flows = FlowTable()
        self.instances = TargetInstances()
        self.returning_callers = ReturningCallers()
        self.first_attempts = FirstAttempts(
            membership=membership, returning=self.returning_callers
        )
        self._data_centres = frozenset(data_centres)
        self.log = log
        self.counts_by_result: Counter[str] = Counter()
        self.wait_statistics = WaitStatistics()
        self.opened_by_service: Counter[str] = Counter()
        self._earlier_services = EarlierServices()
        self._services_by_address: dict[Address, frozenset[str]] = {}
        self._address_changes = 0  # of the table, when the former was last cleared

    @property
    def started_at(self) -> float:
        """When this balancer started, on its monotonic clock."""
        return self.membership.started_at

    def route(self, packet: Packet) -> PacketRoute | None:
        """Return the current route of the packet's address."""
        routes = self.membership.configuration.routes_by_address
        return routes.get(packet.service_address)

    def configured(self) -> None:
        """Apply a new configuration."""
        self._earlier_services.configured(
            self.membership.configuration.routes_by_address
        )
        self._services_by_address.clear()

    def choose_service(self, packet: Packet, route: PacketRoute, *, now: float) -> str:
        """Choose the service of a new flow, and count the flow as opened there."""
        is_converged = self.is_converged(now=now)
        table = self.membership.table

        def serves(service: str) -> bool:
            # Before convergence a service may have targets unknown here.
            return not is_converged or table.is_served(service, now=now)

        choice = choose_service(packet.flow, route, serves=serves)
        self.opened_by_service[choice.service] += 1
        if choice.passed_over:
            self.log.note(
                "share given to next service",
                now=now,
                flow=packet.flow,
                service=choice.service,
                without_target=choice.passed_over,
                weights=dict(route.weights_by_service),
            )
        return choice.service

    def services_of(self, packet: Packet, entry: FlowEntry) -> frozenset[str]:
        """Return the services whose targets may own a packet's flow."""
        services = self._services_at(packet)
        if entry.service in services or not entry.service:
            return services
        return services | {entry.service}

    def _services_at(self, packet: Packet) -> frozenset[str]:
        """Return the services that a packet's address is or was routed to.

        Earlier ones are known from earlier configurations, and from the records of
        their targets, which name the addresses at which they may own flows. The result
        is cached, since it is needed for each reply on each dead flow.
        """
        address = packet.service_address
        table = self.membership.table
        if self._address_changes != table.address_changes:
            self._address_changes = table.address_changes
            self._services_by_address.clear()
        services = self._services_by_address.get(address)
        if services is not None:
            return services
        route = self.route(packet)
        if route is None:
            return frozenset()
        services = route.services | self._earlier_services.get(address)
        services |= table.services_at(address)
        self._services_by_address[address] = services
        return services

    def _names_of(self, services: Collection[str]) -> set[str]:
        """Return the names of these services' targets that have not ended."""
        names: set[str] = set()
        for service in services:
            names |= self.membership.table.names_of(service)
        return names

    def is_converged(self, *, now: float) -> bool:
        """Return whether all reachable targets are likely to be known."""
        return self.membership.is_converged(now=now)

    def knows_all_owners_of(self, services: Collection[str], *, now: float) -> bool:
        """Return whether no unknown target can own a flow of these services."""
        names = self._names_of(services)
        if self.instances.any_older_than_agent(names):
            # The agent of a target with open flows may not have restarted yet.
            return now - self.started_at >= ALONE_SECONDS
        if self._all_started_with_balancer(names, now=now):
            membership = self.membership
            has_agreed = membership.has_agreed or membership.has_agreed_with_any
            needed = PEER_DISCOVERY_SECONDS if has_agreed else HEARTBEAT_SECONDS
            return now - self.started_at >= needed
        return self.is_converged(now=now)

    def _all_started_with_balancer(self, names: Collection[str], *, now: float) -> bool:
        """Return whether all of these targets started when this balancer did.

        If so, power was lost everywhere. Targets of all data centres must be known,
        since a power loss may affect one data centre only. A peer that is older than
        this balancer shows that power was not lost then. The age of a target whose
        agent started later is the least that it can be.
        """
        if self.membership.has_older_peer:
            return False
        records = self.membership.table.records
        known_data_centres = {record.data_centre for record in records}
        if not self._data_centres or not self._data_centres <= known_data_centres:
            return False
        starting = self._starting(names)
        found = set(names) - starting
        if not self.instances.all_started_around(
            found, balancer_started_at=self.started_at
        ):
            return False
        # If most targets in all data centres have restarted, the others have too;
        # waiting for the last one would delay callers by 0.3 s.
        covered = {record.data_centre for record in records if record.name in found}
        is_majority = len(found) > len(starting) and self._data_centres <= covered
        return is_majority or all(
            self._had_time_to_report(name, now=now) for name in starting
        )

    def may_follow_power_loss(self, services: Collection[str], *, now: float) -> bool:
        """Return whether the services' targets may all have started with this balancer.

        This holds for a while after the start, unless a target or a peer is known to be
        older.
        """
        is_late = now - self.started_at >= ALONE_SECONDS
        if is_late or self.membership.has_older_peer:
            return False
        names = self._names_of(services)
        return not self.instances.any_started_before(
            names, balancer_started_at=self.started_at
        )

    def agents_of(self, services: Collection[str], *, now: float) -> "ServiceAgents":
        """Return the agents whose replies on the services' flows are needed."""
        names = self._names_of(services)
        vacant = {name for name in names if self._has_no_target(name, now=now)}
        vacant |= self._empty_after_power_loss(names, now=now)
        return ServiceAgents(
            names=frozenset(names - vacant),
            absent=frozenset(
                name for name in names - vacant if self._reports_no_target(name)
            ),
            without_target=frozenset(vacant),
        )

    def _empty_after_power_loss(self, names: set[str], *, now: float) -> set[str]:
        """Return the agents that have found no target since power was lost everywhere.

        An agent that is restarted beside its running target looks the same, so this
        holds only while the whole fleet has just started. An agent that has not said
        that it finds no target counts only if the other targets' agents have seen them
        start.
        """
        if now - self.started_at >= ALONE_SECONDS:
            return set()
        starting = self._starting(names)
        if not starting or not self._all_started_with_balancer(names, now=now):
            return set()
        if self.instances.all_seen_from_start(names - starting):
            return starting
        return {
            name
            for name in starting
            if self._reports_no_target(name) or self.instances.reports_absence(name)
        }

    def _has_no_target(self, name: str, *, now: float) -> bool:
        """Return whether an agent has had no target for `ABSENT_SECONDS`."""
        record = self.membership.table.record(name)
        if record is not None and record.condition is not Condition.STARTING:
            return False
        known_for = self.membership.table.record_age(name, now=now)
        is_long_absent = record is not None and record.is_absent
        is_long_absent &= known_for >= ABSENT_SECONDS
        return is_long_absent or self.instances.is_absent(name, now=now)

    def _reports_no_target(self, name: str) -> bool:
        """Return whether an agent reports that it finds no target."""
        record = self.membership.table.record(name)
        return record is not None and record.is_absent

    def _starting(self, names: Collection[str]) -> set[str]:
        """Return the agents that have not reported their target since they started."""
        records = {name: self.membership.table.record(name) for name in names}
        return {
            name
            for name, record in records.items()
            if record is not None
            and record.condition is Condition.STARTING
            and not self.instances.has_reported(name)
        }

    def _had_time_to_report(self, name: str, *, now: float) -> bool:
        """Return whether an agent would have found a running target by now."""
        record = self.membership.table.record(name)
        known_for = self.membership.table.record_age(name, now=now)
        return known_for >= TARGET_DISCOVERY_SECONDS or (
            record is not None and record.is_absent
        )

    def is_possible_owner(self, name: str) -> bool:
        """Return whether a target is known and has not ended."""
        record = self.membership.table.record(name)
        return record is not None and record.condition is not Condition.GONE

    def forward(
        self,
        packet: Packet,
        entry: FlowEntry,
        *,
        names: Iterable[str],
        wants_reply: bool = False,
    ) -> list[ToAgent]:
        """Return the frames that forward a packet to these targets.

        Args:
            packet: The caller's packet.
            entry: The flow's entry in the flow table.
            names: Names of the targets.
            wants_reply: Whether the agents must answer if they don't own the flow.
        """
        tried = entry.tried[-MAX_TRIED:] if packet.is_syn else ()
        return [
            ToAgent(
                endpoint=(record.ip, record.port),
                frame=ForwardPacket(
                    service=self._service_at(record, packet, entry),
                    payload=packet.raw,
                    tried=tried,
                    wants_reply=wants_reply,
                    takes_batches=wants_reply,
                ),
                flow=packet.flow,
            )
            for record in self._records(names)
        ]

    def _service_at(
        self, record: TargetRecord, packet: Packet, entry: FlowEntry
    ) -> str:
        """Return the service that a packet's frame names; agents reject any other.

        A new flow goes to the service chosen for it; an open flow may be owned by a
        target of any service of the route.
        """
        if packet.is_syn or record.service == entry.service:
            return entry.service
        # A directory balancer may report an owner of a service unknown here.
        is_routed = not entry.service or record.service in self.services_of(
            packet, entry
        )
        return record.service if is_routed else entry.service

    def forward_syn(
        self,
        packet: Packet,
        entry: FlowEntry,
        *,
        name: str,
        in_time_seconds: float,
        wait_seconds: float,
        priority: int,
        is_offered: bool = False,
    ) -> list[ToAgent]:
        """Return the frame that forwards a SYN to a target, with its wait limits."""
        frame = ForwardPacket(
            service=entry.service,
            payload=packet.raw,
            tried=entry.tried[-MAX_TRIED:],
            in_time_ms=to_milliseconds(in_time_seconds),
            wait_ms=to_milliseconds(wait_seconds),
            priority=min(priority, MAX_PRIORITY),
            is_offered=is_offered,
        )
        return self.to_agents(frame, names=(name,), flow=packet.flow)

    def reserve(
        self, waiting: WaitingFlow, *, service: str, names: Iterable[str], now: float
    ) -> list[ToAgent]:
        """Return the frames that reserve slots for a queued flow."""
        frame = ReserveSlot(
            service=service,
            flow=waiting.flow,
            in_time_ms=to_milliseconds(waiting.in_time_until - now),
            wait_ms=to_milliseconds(waiting.expires - now),
            priority=min(waiting.priority, MAX_PRIORITY),
        )
        return self.to_agents(frame, names=names)

    def to_agents(
        self, frame, *, names: Iterable[str], flow: bytes = b""
    ) -> list[ToAgent]:
        """Return actions that send a frame to the agents of these targets, if known."""
        return [
            ToAgent(endpoint=(record.ip, record.port), frame=frame, flow=flow)
            for record in self._records(names)
        ]

    def group_by_service(self, names: Iterable[str]) -> dict[str, list[str]]:
        """Return the names of known targets by their service."""
        names_by_service: dict[str, list[str]] = {}
        for record in self._records(names):
            names_by_service.setdefault(record.service, []).append(record.name)
        return names_by_service

    def _records(self, names: Iterable[str]) -> list[TargetRecord]:
        """Return the records of those targets that are known."""
        records = [self.membership.table.record(name) for name in names]
        return [record for record in records if record is not None]

    def reset_caller(
        self, packet: Packet, reason: str, *, now: float, **evidence
    ) -> ResetCaller:
        """Count and log a reset of a packet's flow, and return the action for it.

        Args:
            packet: The packet whose flow is reset.
            reason: Why, as in ``docs/OPERATIONS.md``.
            now: The current time.
            evidence: Further fields of the log line: what the decision rests on.
        """
        self.counts_by_result["reset"] += 1
        self.log.note(
            "caller reset",
            now=now,
            flow=packet.flow,
            reason=reason,
            sequence=packet.sequence,
            acknowledged=packet.acknowledged,
            version=self.membership.configuration.version,
            targets=len(self.membership.table),
            **evidence,
        )
        return ResetCaller(packet=packet, reason=reason)
