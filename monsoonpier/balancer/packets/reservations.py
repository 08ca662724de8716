"""Slots that are reserved for flows that wait at this balancer.

The load that it answers: more flows than slots for seconds, at many balancers. A flow
that waits doesn't know which target comes free first. It reserves a slot at two
agents, drawn by the speed of their targets, and stays here. The first agent that has
a slot to give offers it, and is sent the flow that goes first by then: sampling with
late binding. That takes a few frames a flow, however many balancers and agents there
are, and no balancer gets more slots than what waits there is due.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.packets.placement import fastest_run_seconds, reliable, speed
from monsoonpier.balancer.packets.scope import PacketScope
from monsoonpier.balancer.packets.waiting import WaitingRoom
from monsoonpier.balancer.steering import Candidate
from monsoonpier.model.target import QUEUE_AHEAD
from monsoonpier.model.waiting import MARGIN_RUNS, RESERVED_AT
from monsoonpier.wire.frames import Decline, Offer, Reserve

__all__ = ["SlotReservations"]

# An agent that ends forgets what was reserved there. After so long one more is asked,
# so that a flow has two chances more before its caller gives up.
RENEW_SECONDS = 0.5
MAX_AGENTS = 4  # that one flow reserves at in its life


@dataclass(frozen=True, slots=True, kw_only=True)
class _Reserved:
    service: str
    renew_at: float
    agents: tuple[str, ...]


class SlotReservations:
    """Reservations of one balancer's waiting flows. Does no I/O.

    Args:
        scope: What the balancer knows.
        waiting_room: Where the flows wait.
        is_on: Whether anything is reserved at all.
    """

    def __init__(
        self, *, scope: PacketScope, waiting_room: WaitingRoom, is_on: bool
    ) -> None:
        self._scope = scope
        self._waiting_room = waiting_room
        self._is_on = is_on
        self._reserved_by_flow: dict[bytes, _Reserved] = {}

    def begin(
        self, flow: bytes, *, service: str, now: float, draw: random.Random
    ) -> list[ToAgent]:
        """Return the frames that reserve a slot for a flow that begins to wait."""
        if not self._is_on:
            return []
        return self._reserve(
            flow, service=service, count=RESERVED_AT, now=now, draw=draw
        )

    def renew(self, *, now: float, draw: random.Random) -> list[ToAgent]:
        """Return the frames that reserve anew for those that wait for long."""
        due = [
            (flow, reserved.service)
            for flow, reserved in self._reserved_by_flow.items()
            if reserved.renew_at <= now and len(reserved.agents) < MAX_AGENTS
        ]
        return [
            action
            for flow, service in due
            for action in self._reserve(
                flow, service=service, count=1, now=now, draw=draw
            )
        ]

    def restate(self, flow: bytes, *, service: str, now: float) -> list[ToAgent]:
        """Return the frames that tell agents of the new times of a flow that waits."""
        reserved = self._reserved_by_flow.get(flow)
        waiting = self._waiting_room.find(flow, service=service)
        if reserved is None or waiting is None:
            return []
        if waiting.is_doubtful:
            # A slot that is offered for a caller that has left stands empty.
            return self._withdrawn(flow, reserved.agents, service=service)
        names = reserved.agents
        return self._scope.reserve(waiting, service=service, names=names, now=now)

    def withdraw(self, flow: bytes, *, kept: str = "") -> list[ToAgent]:
        """Return the frames that take back what a flow has reserved.

        Else agents take more for waiting than waits, and offer slots for nothing.

        Args:
            flow: Waits no longer.
            kept: The target that has offered it a slot.
        """
        reserved = self._reserved_by_flow.pop(flow, None)
        if reserved is None:
            return []
        names = tuple(name for name in reserved.agents if name != kept)
        return self._withdrawn(flow, names, service=reserved.service)

    def _withdrawn(
        self, flow: bytes, names: tuple[str, ...], *, service: str
    ) -> list[ToAgent]:
        frame = Reserve(service=service, flow=flow, in_time_ms=0, wait_ms=0)
        return self._scope.tell(frame, names=names)

    def end(self, flow: bytes) -> None:
        """Forget a flow that waits no longer; its agents' offers go to others."""
        self._reserved_by_flow.pop(flow, None)

    def take_up(self, offer: Offer, *, now: float) -> bytes | None:
        """Return the flow that an offered slot is best given to, if any waits.

        It no longer waits then.
        """
        record = self._scope.membership.table.record(offer.agent)
        if record is None or not self._waiting_room.certain(record.service):
            return None
        service = record.service
        candidates = self._candidates(service, now=now)
        # It may leave, or its data centre may be evacuated: its agent needn't know.
        may_take = any(
            c.record.name == offer.agent and c.takes_flows for c in candidates
        )
        if not may_take:
            return None
        self._waiting_room.sort_out(
            service, now=now, run_seconds=fastest_run_seconds(candidates)
        )
        # It begins behind the run that is under way there.
        runs = MARGIN_RUNS + QUEUE_AHEAD / record.slots
        return self._waiting_room.pop_for(
            service,
            is_late_turn=offer.is_late_turn,
            answered_at=now + runs * offer.load.service_ms / 1000,
        )

    def decline(self, offer: Offer) -> list[ToAgent]:
        """Return the answer to an offer for which no flow is left."""
        record = self._scope.membership.table.record(offer.agent)
        if record is None:
            return []
        self._scope.counts_by_result["declined"] += 1
        return self._scope.tell(Decline(service=record.service), names=(offer.agent,))

    def _reserve(
        self, flow: bytes, *, service: str, count: int, now: float, draw: random.Random
    ) -> list[ToAgent]:
        waiting = self._waiting_room.find(flow, service=service)
        if waiting is None:
            self.end(flow)
            return []
        if waiting.is_doubtful:
            return []
        known = self._reserved_by_flow.get(flow)
        earlier = known.agents if known is not None else ()
        usable = [
            candidate
            for candidate in self._candidates(service, now=now)
            if candidate.takes_flows
            and not candidate.suspected
            and candidate.record.name not in earlier
        ]
        names = _drawn(usable, count=count, draw=draw)
        self._reserved_by_flow[flow] = _Reserved(
            service=service,
            renew_at=now + RENEW_SECONDS,
            agents=(*earlier, *names),
        )
        self._scope.counts_by_result["reserved"] += len(names)
        return self._scope.reserve(waiting, service=service, names=names, now=now)

    def _candidates(self, service: str, *, now: float) -> list[Candidate]:
        return reliable(self._scope.membership.table.candidates_of(service, now=now))


def _drawn(
    candidates: Sequence[Candidate], *, count: int, draw: random.Random
) -> list[str]:
    """Draw different targets, the faster ones more often."""
    keyed = [(draw.random() ** (1 / speed(c)), c.record.name) for c in candidates]
    keyed.sort(reverse=True)
    return [name for _, name in keyed[:count]]
