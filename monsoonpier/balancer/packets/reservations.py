"""Slot reservations at agents for the flows queued at this balancer.

A queued flow stays at the balancer and reserves a slot at two agents, chosen at random
and weighted by the speed of their targets. The first agent with a free slot offers it,
and the balancer sends the flow that is then first in its queue (late binding). This
takes a few frames per flow, however many balancers and agents there are, and gives
balancers with longer queues more slots.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.packets.context import SteeringContext
from monsoonpier.balancer.packets.placement import (
    fast_service_seconds,
    requests_per_second,
    without_failing,
)
from monsoonpier.balancer.packets.service_queues import ServiceQueues
from monsoonpier.balancer.target_choice import Candidate
from monsoonpier.model.target import QUEUE_AHEAD
from monsoonpier.model.waiting import MARGIN_RUNS, RESERVATIONS_PER_FLOW
from monsoonpier.wire.frames import DeclineSlot, OfferSlot, ReserveSlot

__all__ = ["SlotReservations"]

# An agent that ends loses its reservations, so a flow that still waits after this
# long reserves at one more agent.
RENEW_SECONDS = 0.5
MAX_AGENTS = 4  # that one flow may reserve at


@dataclass(frozen=True, slots=True, kw_only=True)
class _FlowReservations:
    """The reservations of one flow.

    Attributes:
        service: The service that the flow is queued for.
        renew_at: When to reserve at one more agent.
        agents: Names of the agents that have the reservations.
    """

    service: str
    renew_at: float
    agents: tuple[str, ...]


class SlotReservations:
    """Reservations of one balancer's queued flows. Does no I/O.

    Args:
        context: State shared by the decisions of this balancer.
        queues: The queued flows.
        is_enabled: Whether slots are reserved at all.
    """

    def __init__(
        self, *, context: SteeringContext, queues: ServiceQueues, is_enabled: bool
    ) -> None:
        self._context = context
        self._queues = queues
        self._is_enabled = is_enabled
        self._reservations_by_flow: dict[bytes, _FlowReservations] = {}

    def reserve_initial(
        self, flow: bytes, *, service: str, now: float, draw: random.Random
    ) -> list[ToAgent]:
        """Return the frames that reserve slots for a newly queued flow."""
        if not self._is_enabled:
            return []
        return self._reserve(
            flow, service=service, count=RESERVATIONS_PER_FLOW, now=now, draw=draw
        )

    def renew(self, *, now: float, draw: random.Random) -> list[ToAgent]:
        """Return the frames that reserve at further agents for long-waiting flows."""
        due = [
            (flow, reserved.service)
            for flow, reserved in self._reservations_by_flow.items()
            if reserved.renew_at <= now and len(reserved.agents) < MAX_AGENTS
        ]
        return [
            action
            for flow, service in due
            for action in self._reserve(
                flow, service=service, count=1, now=now, draw=draw
            )
        ]

    def update(self, flow: bytes, *, service: str, now: float) -> list[ToAgent]:
        """Return the frames that update a queued flow's reservations at its agents.

        The reservations of a flow that is presumed abandoned are cancelled.
        """
        reserved = self._reservations_by_flow.get(flow)
        waiting = self._queues.find(flow, service=service)
        if reserved is None or waiting is None:
            return []
        if waiting.is_doubtful:
            # A slot offered for a caller that has left would stay empty.
            return self._cancel_frames(flow, reserved.agents, service=service)
        names = reserved.agents
        return self._context.reserve(waiting, service=service, names=names, now=now)

    def cancel(self, flow: bytes, *, kept: str = "") -> list[ToAgent]:
        """Return the frames that cancel a flow's reservations.

        Without them agents would offer slots for flows that are no longer queued.

        Args:
            flow: A flow that is no longer queued.
            kept: Target whose reservation stays, since it has offered the slot.
        """
        reserved = self._reservations_by_flow.pop(flow, None)
        if reserved is None:
            return []
        names = tuple(name for name in reserved.agents if name != kept)
        return self._cancel_frames(flow, names, service=reserved.service)

    def _cancel_frames(
        self, flow: bytes, names: tuple[str, ...], *, service: str
    ) -> list[ToAgent]:
        """Return the frames that cancel a flow's reservations at these agents."""
        frame = ReserveSlot(service=service, flow=flow, in_time_ms=0, wait_ms=0)
        return self._context.to_agents(frame, names=names)

    def forget(self, flow: bytes) -> None:
        """Drop a flow that is no longer queued; offers for it go to other flows."""
        self._reservations_by_flow.pop(flow, None)

    def claim(self, offer: OfferSlot, *, now: float) -> bytes | None:
        """Remove from the queue and return the flow that fits an offered slot best.

        Returns ``None`` if no flow may take the slot.
        """
        record = self._context.membership.table.record(offer.agent)
        if record is None or not self._queues.count_not_abandoned(record.service):
            return None
        service = record.service
        candidates = self._candidates(service, now=now)
        # The agent may not know yet that its target is leaving or evacuated.
        accepts_flows = any(
            c.record.name == offer.agent and c.takes_flows for c in candidates
        )
        if not accepts_flows:
            return None
        self._queues.update_late(
            service, now=now, run_seconds=fast_service_seconds(candidates)
        )
        # The target serves the flow after the request in progress.
        service_times = MARGIN_RUNS + QUEUE_AHEAD / record.slots
        return self._queues.pop_for(
            service,
            is_late_turn=offer.is_late_turn,
            answered_at=now + service_times * offer.load.service_ms / 1000,
        )

    def decline(self, offer: OfferSlot) -> list[ToAgent]:
        """Return the frames that decline an offer for which no flow is left."""
        record = self._context.membership.table.record(offer.agent)
        if record is None:
            return []
        self._context.counts_by_result["declined"] += 1
        return self._context.to_agents(
            DeclineSlot(service=record.service), names=(offer.agent,)
        )

    def _reserve(
        self, flow: bytes, *, service: str, count: int, now: float, draw: random.Random
    ) -> list[ToAgent]:
        """Return the frames that reserve slots for a flow at further agents."""
        waiting = self._queues.find(flow, service=service)
        if waiting is None:
            self.forget(flow)
            return []
        if waiting.is_doubtful:
            return []
        previous = self._reservations_by_flow.get(flow)
        earlier = previous.agents if previous is not None else ()
        usable = [
            candidate
            for candidate in self._candidates(service, now=now)
            if candidate.takes_flows
            and not candidate.suspected
            and candidate.record.name not in earlier
        ]
        names = _sample(usable, count=count, draw=draw)
        self._reservations_by_flow[flow] = _FlowReservations(
            service=service,
            renew_at=now + RENEW_SECONDS,
            agents=(*earlier, *names),
        )
        self._context.counts_by_result["reserved"] += len(names)
        return self._context.reserve(waiting, service=service, names=names, now=now)

    def _candidates(self, service: str, *, now: float) -> list[Candidate]:
        """Return the targets of a service, without failing ones."""
        return without_failing(
            self._context.membership.table.packet_candidates(service, now=now)
        )


def _sample(
    candidates: Sequence[Candidate], *, count: int, draw: random.Random
) -> list[str]:
    """Return the names of distinct targets drawn at random, weighted by speed."""
    keyed = [
        (draw.random() ** (1 / requests_per_second(c)), c.record.name)
        for c in candidates
    ]
    keyed.sort(reverse=True)
    return [name for _, name in keyed[:count]]
