"""Slots that balancers reserve for waiting flows, and offers of them.

When there are more flows than slots, every balancer that is notified of a free
slot would send a flow, and all but one would be rejected. Instead a flow waits
at its balancer, which reserves a slot at a few agents. An agent with a free
slot offers it to the balancer whose flow comes first in the order of all that
wait, and the balancer sends the flow that is its first by then.

Balancers reserve at random agents, so the reservations here are a fair sample
of the service's waiting flows. The share of late flows that need a slot is
estimated from these reservations.
"""

from collections import Counter, deque
from typing import NamedTuple

from monsoonpier.model.target import QUEUE_AHEAD
from monsoonpier.model.waiting import (
    LATE_TURN_INTERVAL,
    MARGIN_RUNS,
    RESERVATIONS_PER_FLOW,
    WaitingFlow,
    WaitingQueue,
)
from monsoonpier.wire.frames import ReserveSlot

__all__ = ["Reservations", "SlotOffer"]

Endpoint = tuple[str, int]

MAX_RESERVATIONS = 512  # of one agent; ten seconds of runs of 20 ms
# A round trip to a balancer in the same region takes 3 ms at most. A balancer that has
# sent no flow in seven times as long has ended, or its link is full.
OFFER_SECONDS = 0.02
# In a row, then a balancer's reservations are removed. One that is alive may miss an
# offer by a little.
MAX_UNANSWERED_OFFERS = 2
# Late flows get the share of slots that serves all of them, up to this share.
# If they need more, they get only one slot in `LATE_TURN_INTERVAL`, since not
# all of them can be served and their slots would make other flows late.
MAX_LATE_SHARE = 0.3


class SlotOffer(NamedTuple):
    """An offer of a slot.

    Attributes:
        balancer: The internal address of the balancer that gets the offer.
        is_late_turn: Whether the slot is for a flow that can't be answered in
            time.
    """

    balancer: Endpoint
    is_late_turn: bool


class Reservations:
    """Balancers' reservations of one target's slots, and open offers of slots.

    Does no I/O.
    """

    def __init__(self, *, most: int = MAX_RESERVATIONS) -> None:
        self._max_reservations = most
        self._queue = WaitingQueue()
        self._balancers_by_flow: dict[bytes, Endpoint] = {}
        self._late_credit = 0.0  # slots due to late flows, with fractions
        self._unanswered_by_balancer: Counter[Endpoint] = Counter()
        self._offers: deque[tuple[float, Endpoint]] = deque()

    def __len__(self) -> int:
        return len(self._balancers_by_flow)

    @property
    def offered(self) -> int:
        """How many offers have not been answered yet."""
        return len(self._offers)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is reserved or offered."""
        return not self._balancers_by_flow and not self._offers

    def reserve(self, frame: ReserveSlot, *, balancer: Endpoint, now: float) -> bool:
        """Add, update or cancel a reservation; return whether it is kept.

        A frame whose ``wait_ms`` is 0 cancels the flow's reservation, and
        ``True`` is returned.
        """
        if not frame.wait_ms:
            # A retransmission of its SYN may wait at another balancer.
            if self._balancers_by_flow.get(frame.flow) == balancer:
                self._remove_flows({frame.flow})
            return True
        waiting = WaitingFlow(
            flow=frame.flow,
            in_time_until=now + frame.in_time_ms / 1000,
            expires=now + frame.wait_ms / 1000,
            priority=frame.priority,
        )
        if frame.flow in self._balancers_by_flow:
            # The times change if the caller turns out to have made an earlier
            # attempt.
            self._queue.remove(waiting)
        elif len(self._balancers_by_flow) >= self._max_reservations:
            return False
        self._balancers_by_flow[frame.flow] = balancer
        self._queue.add(waiting)
        return True

    def offer(self, *, run_seconds: float, slots: int, now: float) -> SlotOffer | None:
        """Record an offer to the balancer whose flow is next; ``None`` if none waits.

        Args:
            run_seconds: The service time of a run.
            slots: How many requests the target works on at once.
            now: The present time.
        """
        for waiting in self._queue.pop_expired(now=now):
            self._balancers_by_flow.pop(waiting.flow, None)
        if not self._balancers_by_flow:
            return None
        # The flow's first run starts after the one that now uses the slot.
        behind = QUEUE_AHEAD / slots / MARGIN_RUNS
        self._queue.sort_out(now=now, run_seconds=run_seconds * (1 + behind))
        seconds_each = run_seconds / slots / RESERVATIONS_PER_FLOW
        is_late_turn = self._is_late_turn(seconds_each=seconds_each, now=now)
        waiting = self._queue.pop_for(is_late_turn=is_late_turn, answered_at=now)
        balancer = self._balancers_by_flow.pop(waiting.flow)
        self._offers.append((now, balancer))
        return SlotOffer(balancer=balancer, is_late_turn=is_late_turn)

    def _is_late_turn(self, *, seconds_each: float, now: float) -> bool:
        """Return whether the next slot is due to a late flow."""
        if not self._queue.late or not self._queue.timely:
            return False
        needed = self._queue.needed_late_share(now=now, seconds_each=seconds_each)
        share = needed if needed <= MAX_LATE_SHARE else 0.0
        self._late_credit += max(share, 1 / LATE_TURN_INTERVAL)
        is_due = self._late_credit >= 1
        self._late_credit -= int(is_due)
        return is_due

    def taken(self, balancer: Endpoint) -> None:
        """Record that a balancer responded; close its oldest open offer, if any."""
        self._unanswered_by_balancer.pop(balancer, None)
        for offer in self._offers:
            if offer[1] == balancer:
                self._offers.remove(offer)
                return

    def declined(self, balancer: Endpoint) -> None:
        """Record a declined offer, and remove the balancer's reservations."""
        self.taken(balancer)
        self._remove_balancers({balancer})

    def expire(self, *, now: float) -> Counter[Endpoint]:
        """Withdraw unanswered offers; return their counts by balancer.

        A balancer that leaves several offers in a row unanswered has ended or
        can't be reached. Its reservations are removed, since each would keep a
        slot empty. A balancer that still runs will reserve again.
        """
        expired: Counter[Endpoint] = Counter()
        while self._offers and now - self._offers[0][0] >= OFFER_SECONDS:
            expired[self._offers.popleft()[1]] += 1
        # Several offers that expire together count once.
        self._unanswered_by_balancer.update(set(expired))
        self._remove_balancers(
            {
                b
                for b in expired
                if self._unanswered_by_balancer[b] >= MAX_UNANSWERED_OFFERS
            }
        )
        return expired

    def clear(self) -> None:
        """Remove all reservations and offers, since no new flow is accepted."""
        self._queue = WaitingQueue()
        self._balancers_by_flow.clear()
        self._offers.clear()
        self._late_credit = 0.0
        self._unanswered_by_balancer.clear()

    def _remove_balancers(self, balancers: set[Endpoint]) -> None:
        if not balancers:
            return
        gone = {f for f, b in self._balancers_by_flow.items() if b in balancers}
        self._remove_flows(gone)
        for balancer in balancers:
            self._unanswered_by_balancer.pop(balancer, None)

    def _remove_flows(self, flows: set[bytes]) -> None:
        for flow in flows:
            self._balancers_by_flow.pop(flow, None)
        self._queue.remove_all(flows)
