"""Slots that balancers have reserved for flows that wait, and offers of them.

The load that it answers: more flows than slots for seconds, at many balancers. A
balancer that is told of a free slot sends a flow, and so does every other one that is
told; all but one come back, and those that are told of none serve their callers last.
So a flow waits at its balancer and reserves a slot at a few agents. Whoever has a slot
to give offers it to one balancer, the one whose flow goes first by the order of all
that wait, and that balancer sends the flow that is its first by then.

Balancers reserve at agents that they draw, so what is reserved here is a fair sample
of what waits for the service: how much of it can't be served before its callers give
up is seen from it, with no one counting the whole.
"""

from collections import Counter, deque
from typing import NamedTuple

from monsoonpier.model.target import QUEUE_AHEAD
from monsoonpier.model.waiting import (
    LATE_TURN,
    MARGIN_RUNS,
    RESERVED_AT,
    WaitingFlow,
    WaitingQueue,
)
from monsoonpier.wire.frames import Reserve

__all__ = ["Reservations", "SlotOffer"]

Endpoint = tuple[str, int]

MAX_RESERVATIONS = 512  # of one agent: ten seconds of runs of 20 ms
# A way to a balancer and back takes 3 ms at most in a region. One that hasn't sent a
# flow in seven times as long has ended, or its link is full.
OFFER_SECONDS = 0.02
MOST_PASSED = 2  # offers in a row that a balancer that lives may miss by a little
# Late ones get what they need for all of them to be served, as long as that is no more
# than this. Where more than that is late the rush is too large to serve all, and slots
# that go to late ones only make others late.
MOST_LATE_SHARE = 0.3


class SlotOffer(NamedTuple):
    """Whom a slot is offered to."""

    balancer: Endpoint
    is_late_turn: bool


class Reservations:
    """What balancers have reserved at one agent. Does no I/O."""

    def __init__(self, *, most: int = MAX_RESERVATIONS) -> None:
        self._most = most
        self._queue = WaitingQueue()
        self._balancers_by_flow: dict[bytes, Endpoint] = {}
        self._late_due = 0.0  # turns of late ones, in parts
        self._passed_by_balancer: Counter[Endpoint] = Counter()
        self._offers: deque[tuple[float, Endpoint]] = deque()

    def __len__(self) -> int:
        return len(self._balancers_by_flow)

    @property
    def offered(self) -> int:
        """How many slots are kept for balancers that have yet to send a flow."""
        return len(self._offers)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is reserved or offered."""
        return not self._balancers_by_flow and not self._offers

    def reserve(self, frame: Reserve, *, balancer: Endpoint, now: float) -> bool:
        """Note a reservation, or its new times; tell if there is room for it."""
        if not frame.wait_ms:
            # Its SYN's copy may wait at another balancer.
            if self._balancers_by_flow.get(frame.flow) == balancer:
                self._forget_flows({frame.flow})
            return True
        waiting = WaitingFlow(
            flow=frame.flow,
            in_time_until=now + frame.in_time_ms / 1000,
            expires=now + frame.wait_ms / 1000,
            priority=frame.priority,
        )
        if frame.flow in self._balancers_by_flow:
            # Its caller has turned out to have asked before.
            self._queue.remove(waiting)
        elif len(self._balancers_by_flow) >= self._most:
            return False
        self._balancers_by_flow[frame.flow] = balancer
        self._queue.add(waiting)
        return True

    def offer(self, *, run_seconds: float, slots: int, now: float) -> SlotOffer | None:
        """Offer a slot to the balancer whose flow goes first, if one waits.

        Args:
            run_seconds: How long a run takes here.
            slots: The target's.
            now: The present time.
        """
        for waiting in self._queue.pop_expired(now=now):
            self._balancers_by_flow.pop(waiting.flow, None)
        if not self._balancers_by_flow:
            return None
        # It begins behind the run that is under way.
        behind = QUEUE_AHEAD / slots / MARGIN_RUNS
        self._queue.sort_out(now=now, run_seconds=run_seconds * (1 + behind))
        seconds_each = run_seconds / slots / RESERVED_AT
        is_late_turn = self._is_late_turn(seconds_each=seconds_each, now=now)
        waiting = self._queue.pop_for(is_late_turn=is_late_turn, answered_at=now)
        balancer = self._balancers_by_flow.pop(waiting.flow)
        self._offers.append((now, balancer))
        return SlotOffer(balancer=balancer, is_late_turn=is_late_turn)

    def _is_late_turn(self, *, seconds_each: float, now: float) -> bool:
        """Tell whether a late one is due, by the share that they need."""
        if not self._queue.late or not self._queue.timely:
            return False
        needed = self._queue.needed_late_share(now=now, seconds_each=seconds_each)
        share = needed if needed <= MOST_LATE_SHARE else 0.0
        self._late_due += max(share, 1 / LATE_TURN)
        is_due = self._late_due >= 1
        self._late_due -= int(is_due)
        return is_due

    def taken(self, balancer: Endpoint) -> None:
        """Note that a balancer has answered an offer, if one was made to it."""
        self._passed_by_balancer.pop(balancer, None)
        for offer in self._offers:
            if offer[1] == balancer:
                self._offers.remove(offer)
                return

    def declined(self, balancer: Endpoint) -> None:
        """Forget a balancer's reservations: nothing waits there any more."""
        self.taken(balancer)
        self._forget({balancer})

    def expire(self, *, now: float) -> Counter[Endpoint]:
        """Take back offers that weren't answered; return how many, by balancer.

        Whoever lets several pass in a row has ended or can't be reached: its
        reservations would cost a slot's time each. If it lives it reserves again.
        """
        passed: Counter[Endpoint] = Counter()
        while self._offers and now - self._offers[0][0] >= OFFER_SECONDS:
            passed[self._offers.popleft()[1]] += 1
        # Several that pass at the same moment are one sign.
        self._passed_by_balancer.update(set(passed))
        self._forget({b for b in passed if self._passed_by_balancer[b] >= MOST_PASSED})
        return passed

    def clear(self) -> None:
        """Forget all: the target takes no new flows any more."""
        self._queue = WaitingQueue()
        self._balancers_by_flow.clear()
        self._offers.clear()
        self._late_due = 0.0
        self._passed_by_balancer.clear()

    def _forget(self, balancers: set[Endpoint]) -> None:
        if not balancers:
            return
        gone = {f for f, b in self._balancers_by_flow.items() if b in balancers}
        self._forget_flows(gone)
        for balancer in balancers:
            self._passed_by_balancer.pop(balancer, None)

    def _forget_flows(self, flows: set[bytes]) -> None:
        for flow in flows:
            self._balancers_by_flow.pop(flow, None)
        self._queue.remove_all(flows)
