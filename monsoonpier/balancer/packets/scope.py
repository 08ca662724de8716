"""What all decisions of a balancer on packets share: knowledge and ways to act."""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import msgspec

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.membership import ALONE_SECONDS, Membership
from monsoonpier.balancer.packets.caller_waits import CallerWaits
from monsoonpier.balancer.packets.first_asked import FirstAskedTimes
from monsoonpier.balancer.packets.flows import FlowTable, KnownFlow
from monsoonpier.balancer.packets.returning import ReturningCallers
from monsoonpier.balancer.packets.runs import TargetRuns
from monsoonpier.balancer.packets.shares import EarlierServices, choose_service
from monsoonpier.model.address import Address
from monsoonpier.model.service import PacketRoute
from monsoonpier.model.target import ABSENT_SECONDS, Condition, TargetRecord
from monsoonpier.model.waiting import WaitingFlow
from monsoonpier.process.logs import DecisionLog
from monsoonpier.wire.frames import (
    MAX_PRIORITY,
    MAX_TRIED,
    Carry,
    Reserve,
    to_milliseconds,
)
from monsoonpier.wire.packet import Packet

__all__ = ["PacketScope", "ResetCaller", "ServiceAgents"]

RESTARTED_SECONDS = 0.3  # all that start together have found each other in 0.2 s
# An agent looks for its target ten times a second, and tells at once that it listens.
UNMET_SECONDS = 1.0
HEARD_SECONDS = 1.2  # an agent that lived on has sent a heartbeat by then


class ResetCaller(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a packet's caller a reset: nobody holds the flow, or takes it."""

    packet: Packet
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceAgents:
    """The agents of services that may hold their flows, by what is known of them.

    Attributes:
        names: All that have not ended, without those where no target is left.
        absent: Those of them that have found no target since their start.
        starting: Those of them that have met no target yet; after a loss of power
            everywhere no flow can be there.
    """

    names: frozenset[str]
    absent: frozenset[str]
    starting: frozenset[str]


class PacketScope:
    """One balancer's knowledge of targets and flows, and its log of decisions.

    Attributes:
        membership: Targets, peers and the configuration.
        flows: The flows seen last.
        runs: What agents have said of their targets' runs.
        returning: Callers that were reset and may come back, as far as kept here.
        first_asked: The same, shared with the other balancers of the data centre.
        counts_by_result: Decisions, for metrics.
        waits: What became of new flows, by class of work.
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
        self.runs = TargetRuns()
        self.returning = ReturningCallers()
        self.first_asked = FirstAskedTimes(
            membership=membership, returning=self.returning
        )
        self._data_centres = frozenset(data_centres)
        self.log = log
        self.counts_by_result: Counter[str] = Counter()
        self.waits = CallerWaits()
        self.opened_by_service: Counter[str] = Counter()
        self._earlier = EarlierServices()
        self._services_by_address: dict[Address, frozenset[str]] = {}

    @property
    def started_at(self) -> float:
        """When this balancer started, by its steady clock."""
        return self.membership.started_at

    def route(self, packet: Packet) -> PacketRoute | None:
        """Return where the packet's address leads in the present configuration."""
        routes = self.membership.configuration.routes_by_address
        return routes.get(packet.service_address)

    def configured(self) -> None:
        """Take a newer configuration into account."""
        self._earlier.configured(self.membership.configuration.routes_by_address)
        self._services_by_address.clear()

    def choose_service(self, packet: Packet, route: PacketRoute, *, now: float) -> str:
        """Return the service that a new flow goes to."""
        is_settled = self.is_settled(now=now)
        table = self.membership.table

        def serves(service: str) -> bool:
            # Its targets may just not be known yet.
            return not is_settled or table.is_served(service, now=now)

        choice = choose_service(packet.flow, route, serves=serves)
        self.opened_by_service[choice.service] += 1
        if choice.passed_over:
            self.log.note(
                "share passed on",
                now=now,
                flow=packet.flow,
                service=choice.service,
                without_target=choice.passed_over,
                weights=dict(route.weights_by_service),
            )
        return choice.service

    def services_of(self, packet: Packet, known: KnownFlow) -> frozenset[str]:
        """Return the services whose targets may hold a packet's flow."""
        services = self._named(packet)
        if known.service in services or not known.service:
            return services
        return services | {known.service}

    def _named(self, packet: Packet) -> frozenset[str]:
        """Return the services that a packet's address leads to, or has led to.

        Kept, since it is asked for with each answer on each dead flow.
        """
        address = packet.service_address
        services = self._services_by_address.get(address)
        if services is not None:
            return services
        route = self.route(packet)
        if route is None:
            return frozenset()
        services = route.services | self._earlier.of(address)
        self._services_by_address[address] = services
        return services

    def _names_of(self, services: Collection[str]) -> set[str]:
        """Return the names of these services' targets that have not ended."""
        names: set[str] = set()
        for service in services:
            names |= self.membership.table.names_of(service)
        return names

    def is_settled(self, *, now: float) -> bool:
        """Tell whether all targets that can be reached are likely to be known."""
        return self.membership.is_settled(now=now)

    def knows_holders_of(self, services: Collection[str], *, now: float) -> bool:
        """Tell whether no other target can hold a flow that these have denied."""
        names = self._names_of(services)
        if self.runs.lived_on(names):
            # An agent that isn't back yet may stand beside one that holds flows.
            return now - self.started_at >= ALONE_SECONDS
        if self._began_with(names, now=now):
            membership = self.membership
            has_agreed = membership.has_agreed or membership.has_agreed_with_any
            needed = RESTARTED_SECONDS if has_agreed else HEARD_SECONDS
            return now - self.started_at >= needed
        return self.is_settled(now=now)

    def lost_power_everywhere(self, services: Collection[str], *, now: float) -> bool:
        """Tell whether the services' targets all began with this balancer.

        In its own data centre alone they may have, so targets of all must be
        known.
        """
        return self._began_with(self._names_of(services), now=now)

    def _began_with(self, names: Collection[str], *, now: float) -> bool:
        records = self.membership.table.records
        known = {record.data_centre for record in records}
        if not self._data_centres or not self._data_centres <= known:
            return False
        starting = self._starting(names)
        met = set(names) - starting
        if not self.runs.all_began_with(met, started_at=self.started_at):
            return False
        # Where most targets have begun anew in all data centres, those that are yet
        # to be met have too: to wait for the last one costs its callers 0.3 s.
        places = {record.data_centre for record in records if record.name in met}
        is_plain = len(met) > len(starting) and self._data_centres <= places
        return is_plain or all(self._had_time(name, now=now) for name in starting)

    def may_have_lost_power(self, services: Collection[str], *, now: float) -> bool:
        """Tell whether all may have begun with this balancer, a moment ago."""
        if now - self.started_at >= ALONE_SECONDS:
            return False
        names = self._names_of(services)
        return not self.runs.any_began_before(names, started_at=self.started_at)

    def agents_of(self, services: Collection[str], *, now: float) -> "ServiceAgents":
        """Return the agents whose word on the services' flows counts now."""
        names = self._names_of(services)
        vacant = {name for name in names if self._is_vacant(name, now=now)}
        return ServiceAgents(
            names=frozenset(names - vacant),
            absent=frozenset(name for name in names - vacant if self._is_absent(name)),
            starting=frozenset(self._starting(names - vacant)),
        )

    def _is_vacant(self, name: str, *, now: float) -> bool:
        """Tell whether an agent has no target: it found none, and none has come."""
        record = self.membership.table.record(name)
        if record is not None and record.condition is not Condition.STARTING:
            return False
        known_for = self.membership.table.known_for(name, now=now)
        is_long_absent = record is not None and record.is_absent
        is_long_absent &= known_for >= ABSENT_SECONDS
        return is_long_absent or self.runs.is_absent(name, now=now)

    def _is_absent(self, name: str) -> bool:
        """Tell whether an agent has said that it finds no target."""
        record = self.membership.table.record(name)
        return record is not None and record.is_absent

    def _starting(self, names: Collection[str]) -> set[str]:
        """Return the agents that have met no target since their start."""
        records = {name: self.membership.table.record(name) for name in names}
        return {
            name
            for name, record in records.items()
            if record is not None
            and record.condition is Condition.STARTING
            and not self.runs.has_told(name)
        }

    def _had_time(self, name: str, *, now: float) -> bool:
        """Tell whether an agent would have told of its target by now."""
        record = self.membership.table.record(name)
        known_for = self.membership.table.known_for(name, now=now)
        return known_for >= UNMET_SECONDS or (record is not None and record.is_absent)

    def may_hold(self, name: str) -> bool:
        """Tell whether a target of that name is known and has not ended."""
        record = self.membership.table.record(name)
        return record is not None and record.condition is not Condition.GONE

    def carry(
        self,
        packet: Packet,
        known: KnownFlow,
        *,
        names: Iterable[str],
        asks: bool = False,
    ) -> list[ToAgent]:
        """Return the frames that bring a packet to the targets of these names."""
        tried = known.tried[-MAX_TRIED:] if packet.is_syn else ()
        return [
            ToAgent(
                endpoint=(record.ip, record.port),
                frame=Carry(
                    service=self._service_at(record, packet, known),
                    payload=packet.raw,
                    tried=tried,
                    asks=asks,
                ),
                flow=packet.flow,
            )
            for record in self._records(names)
        ]

    def _service_at(
        self, record: TargetRecord, packet: Packet, known: KnownFlow
    ) -> str:
        """Return the service in whose name an agent is brought a packet.

        An agent of another service refuses it. A new flow goes to the service chosen
        for it; an open one may be held by a target of any that its route names.
        """
        if packet.is_syn or record.service == known.service:
            return known.service
        # A keeper may name a holder of a service that this balancer never heard of.
        is_named = not known.service or record.service in self.services_of(
            packet, known
        )
        return record.service if is_named else known.service

    def carry_syn(
        self,
        packet: Packet,
        known: KnownFlow,
        *,
        name: str,
        in_time_seconds: float,
        wait_seconds: float,
        priority: int,
        is_offered: bool = False,
    ) -> list[ToAgent]:
        """Return the frame that brings a SYN to a target, and says how it may wait."""
        frame = Carry(
            service=known.service,
            payload=packet.raw,
            tried=known.tried[-MAX_TRIED:],
            in_time_ms=to_milliseconds(in_time_seconds),
            wait_ms=to_milliseconds(wait_seconds),
            priority=min(priority, MAX_PRIORITY),
            is_offered=is_offered,
        )
        return self.tell(frame, names=(name,), flow=packet.flow)

    def reserve(
        self, waiting: WaitingFlow, *, service: str, names: Iterable[str], now: float
    ) -> list[ToAgent]:
        """Return the frames that reserve a slot for a flow that waits."""
        frame = Reserve(
            service=service,
            flow=waiting.flow,
            in_time_ms=to_milliseconds(waiting.in_time_until - now),
            wait_ms=to_milliseconds(waiting.expires - now),
            priority=min(waiting.priority, MAX_PRIORITY),
        )
        return self.tell(frame, names=names)

    def tell(self, frame, *, names: Iterable[str], flow: bytes = b"") -> list[ToAgent]:
        """Return a frame to the agents of these targets, as far as they're known."""
        return [
            ToAgent(endpoint=(record.ip, record.port), frame=frame, flow=flow)
            for record in self._records(names)
        ]

    def by_service(self, names: Iterable[str]) -> dict[str, list[str]]:
        """Return the names of targets that are known, by their service."""
        names_by_service: dict[str, list[str]] = {}
        for record in self._records(names):
            names_by_service.setdefault(record.service, []).append(record.name)
        return names_by_service

    def _records(self, names: Iterable[str]) -> list[TargetRecord]:
        records = [self.membership.table.record(name) for name in names]
        return [record for record in records if record is not None]

    def reset(self, packet: Packet, reason: str, *, now: float) -> ResetCaller:
        """Return the reset of a packet's flow, and leave a line why."""
        self.counts_by_result["reset"] += 1
        self.log.note(
            "caller reset",
            now=now,
            flow=packet.flow,
            reason=reason,
            version=self.membership.configuration.version,
            targets=len(self.membership.table),
        )
        return ResetCaller(packet=packet, reason=reason)
