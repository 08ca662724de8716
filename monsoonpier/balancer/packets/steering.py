"""Steering of flows without a token: forwards packets to the target that owns the flow.

A packet identifies its flow by addresses and ports only. The agent beside a target
sees all of the target's packets, so only it knows which flows the target owns, and
it delivers packets of no others. A balancer caches owners in a bounded table that
may be lost at any time. For an unknown flow it queries the flow's directory balancers,
then all agents of the services of its route. A caller is reset only when every agent
has denied its flow: an agent that can't be reached may still own it.
"""

import random
from collections import Counter
from collections.abc import Collection

from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.packets.context import SteeringContext
from monsoonpier.balancer.packets.flows import FlowEntry
from monsoonpier.balancer.packets.new_flows import NewFlowHandler
from monsoonpier.balancer.packets.owner_resolver import TARGET_GONE, OwnerResolver
from monsoonpier.balancer.packets.wait_statistics import ServiceWaits
from monsoonpier.model.waiting_summary import WaitingSummary
from monsoonpier.process.logs import DecisionLog
from monsoonpier.process.metrics import Metric
from monsoonpier.wire.frames import (
    AttemptRejected,
    FirstAttemptQuery,
    FirstAttemptReply,
    FlowNotOwned,
    FlowOwned,
    LoadUpdate,
    OfferSlot,
    OwnershipReply,
    SynQueued,
    SynRejected,
)
from monsoonpier.wire.packet import Packet

__all__ = ["PacketSteering"]


class PacketSteering:
    """Decides where callers' packets go and what to reply to agents and balancers.

    Does no I/O: methods return the actions that the process then performs.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        log: DecisionLog,
        data_centres: Collection[str] = (),
        reserves: bool = False,
    ) -> None:
        self._context = SteeringContext(
            membership=membership,
            log=log,
            data_centres=data_centres,
        )
        self._new_flows = NewFlowHandler(context=self._context, reserves=reserves)
        self._resolver = OwnerResolver(context=self._context)

    @property
    def flows(self) -> int:
        """How many flows are in the flow table."""
        return len(self._context.flows)

    @property
    def counts_by_result(self) -> Counter[str]:
        """Decisions since the start, by result."""
        return self._context.counts_by_result

    @property
    def opened_by_service(self) -> Counter[str]:
        """New flows since the start, by the service chosen for them."""
        return self._context.opened_by_service

    @property
    def histograms(self) -> tuple[Metric, ...]:
        """Histograms of placement waits and of the age of load reports."""
        return (self._new_flows.wait_seconds, self._new_flows.load_age_seconds)

    @property
    def is_waiting(self) -> bool:
        """Whether `retry` has pending work."""
        return self._new_flows.is_waiting or self._resolver.is_waiting

    def configured(self) -> None:
        """Apply a new configuration."""
        self._context.configured()
        self._new_flows.configured()
        self._context.wait_statistics.configured(self._services)

    def waiting_summaries(self, *, now: float) -> tuple[WaitingSummary, ...]:
        """Return counts of queued, served and rejected flows, by traffic class."""
        return self._summaries(self._services, now=now)

    @property
    def _services(self) -> set[str]:
        """All services that the current configuration has a route to."""
        routes = self._context.membership.configuration.routes_by_address
        return {name for route in routes.values() for name in route.services}

    def _summaries(
        self, services: Collection[str], *, now: float
    ) -> tuple[WaitingSummary, ...]:
        """Return the summaries of all traffic classes.

        Queued flows are counted only for these services; other summaries show none.
        """
        flows_by_service = self._new_flows.waiting_by_service
        waits_by_service = {
            service: ServiceWaits(
                flows=flows_by_service.get(service, ()),
                candidates=self._context.membership.table.packet_candidates(
                    service, now=now
                ),
            )
            for service in services
        }
        return self._context.wait_statistics.summaries(
            waits_by_service, first_attempt_at=self._first_attempt_at, now=now
        )

    def _first_attempt_at(self, flow: bytes) -> float | None:
        """Return when a flow's caller made its first attempt, if it is known."""
        entry = self._context.flows.get(flow)
        return None if entry is None else entry.first_attempt_at

    def retry(self, *, now: float, draw: random.Random) -> list:
        """Do the pending work; to be called repeatedly while `is_waiting`."""
        if self._context.wait_statistics.is_log_due(now=now):
            self._log_waits(now=now)
        return self._new_flows.retry(now=now, draw=draw) + self._resolver.retry(now=now)

    def _log_waits(self, *, now: float) -> None:
        """Log a line for each traffic class with queued or rejected flows."""
        # Only services with queued flows: going through all targets is slow.
        flows_by_service = self._new_flows.waiting_by_service
        services = [name for name, flows in flows_by_service.items() if flows]
        summaries = self._summaries(services, now=now)
        for fields in self._context.wait_statistics.log_fields(summaries):
            self._context.log.note("callers wait", now=now, **fields)

    def from_caller(self, packet: Packet, *, now: float, draw: random.Random) -> list:
        """Handle a packet from a caller."""
        entry = self._context.flows.touch(packet.flow)
        if packet.is_syn:
            return self._new_flows.open(packet, entry, now=now, draw=draw)
        if entry is None:
            return self._resolver.resolve(packet, now=now)
        if entry.lookup is not None and not entry.lookup.is_about(packet):
            # The replies so far are about an earlier flow with these ports.
            self._context.flows.drop(packet.flow)
            return self._resolver.resolve(packet, now=now)
        entry.has_fin |= packet.is_fin
        self._new_flows.observe_flow(packet, entry, now=now)
        if entry.lookup is not None:
            return self._resolver.resume(packet, entry, now=now)
        if not any(self._context.is_possible_owner(name) for name in entry.owners):
            return self._on_owners_gone(packet, entry, now=now)
        return self._context.forward(packet, entry, names=entry.owners)

    def from_process(
        self,
        frame,
        packet: Packet | None,
        *,
        sender: tuple[str, int],
        now: float,
        draw: random.Random,
    ) -> list | None:
        """Handle a frame of an agent or balancer; ``None`` if its type is unexpected.

        Args:
            frame: The frame.
            packet: The caller's packet that the frame returns, if any.
            sender: The sender's IP address and port.
            now: The current time.
            draw: Source of random numbers.
        """
        match frame:
            case LoadUpdate(load=load):
                table = self._context.membership.table
                table.record_load(table.name_at(sender), load, now=now)
                return self._new_flows.place_waiting(now=now, draw=draw)
            case FlowOwned():
                return self._on_flow_owned(frame, now=now)
            case FlowNotOwned():
                return self._resolver.on_denials(frame, packet, now=now)
            case OwnershipReply():
                return self._resolver.on_agent_reply(frame, now=now)
            case OfferSlot():
                return self._new_flows.on_offer(frame, now=now)
            case SynQueued():
                return self._new_flows.on_queued(frame, now=now)
            case SynRejected() if packet is not None:
                return self._new_flows.on_rejected(frame, packet, now=now, draw=draw)
            case FirstAttemptReply():
                return self._new_flows.on_first_attempt_reply(frame, now=now)
            case AttemptRejected():
                self._context.first_attempts.store_rejection(frame, now=now)
                return []
            case FirstAttemptQuery():
                return self._context.first_attempts.reply(frame, sender=sender, now=now)
        return self._resolver.on_directory_frame(frame, sender=sender, now=now)

    def _on_flow_owned(self, frame: FlowOwned, *, now: float) -> list:
        """Handle an agent's report that its target has accepted or owns a flow."""
        table = self._context.membership.table
        table.record_load(frame.agent, frame.load, now=now)
        record = table.record(frame.agent)
        if record is None:
            return []
        entry = self._context.flows.get(frame.flow)
        if entry is None:
            entry = FlowEntry(service=record.service, created_at=now)
            self._context.flows.put(frame.flow, entry)
        self._note_served(entry, data_centre=record.data_centre, now=now)
        if frame.is_open:
            return self._on_open(frame, entry, now=now)
        self._new_flows.on_accepted(frame, now=now)
        return []

    def _note_served(self, entry: FlowEntry, *, data_centre: str, now: float) -> None:
        """Count a flow as served when a target accepts it for the first time."""
        if entry.is_accepted or entry.is_confirmed or entry.syn is None:
            return
        route = self._context.route(entry.syn)
        if route is not None:
            self._context.wait_statistics.count_served(
                entry.service,
                route,
                first_attempt_at=entry.first_attempt_at,
                data_centre=data_centre,
                now=now,
            )

    def _on_open(self, frame: FlowOwned, entry: FlowEntry, *, now: float) -> list:
        """Record the confirmed owner of an open flow."""
        if entry.owners != (frame.agent,):
            self._context.log.note(
                "owner learned",
                now=now,
                flow=frame.flow,
                target=frame.agent,
                before=entry.owners,
            )
        entry.owners = (frame.agent,)
        entry.is_confirmed = True
        entry.denials = None
        entry.syn = None
        self._resolver.schedule_registration(frame.flow, frame.agent, now=now)
        return self._resolver.finish_lookup(entry)

    def _on_owners_gone(self, packet: Packet, entry: FlowEntry, *, now: float) -> list:
        """Look up the owner of a flow whose known owner has ended or isn't known.

        The known owner may be that of an earlier flow with the same ports, so its end
        alone is no reason for a reset.
        """
        self._context.flows.drop(packet.flow)
        table = self._context.membership.table
        records = [table.record(name) for name in entry.owners]
        if not entry.is_confirmed or None in records:
            return self._resolver.resolve(packet, now=now)
        if self._context.route(packet) is None:
            return [
                self._context.reset_caller(
                    packet, TARGET_GONE, now=now, owners=entry.owners
                )
            ]
        return self._resolver.resolve(packet, ended_owners=entry.owners, now=now)
