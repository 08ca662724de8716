"""SYNs that wait at an agent for a slot of its target.

Only the agent knows when a slot comes free. A SYN that waits here is delivered
at once, without a round trip to its balancer, and the SYNs of all balancers
are served in one order.

The queue is short, since a flow that waits here can't go to another target
whose slot comes free earlier. When the queue is full, a flow that can still be
answered within its latency target replaces a late one.
"""

from dataclasses import dataclass

from monsoonpier.model.waiting import WaitingFlow, WaitingQueue
from monsoonpier.wire.frames import ForwardPacket
from monsoonpier.wire.packet import Packet

__all__ = ["AdmissionQueue", "QueuedSyn"]

MAX_QUEUED_PER_SLOT = 1  # a flow in time waits for about one run at most


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedSyn:
    """A waiting SYN.

    Attributes:
        packet: The SYN.
        tried: The names of the targets that the SYN was sent to.
        balancer: The address of the balancer that sent the SYN.
    """

    packet: Packet
    tried: tuple[str, ...]
    balancer: tuple[str, int]


class AdmissionQueue:
    """The SYNs that wait for one target's slots. Does no I/O."""

    def __init__(self) -> None:
        self._queue = WaitingQueue()
        self._syns_by_flow: dict[bytes, QueuedSyn] = {}

    def __len__(self) -> int:
        return len(self._syns_by_flow)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._syns_by_flow

    @property
    def timely(self) -> int:
        """The number of SYNs that can be answered within the latency target."""
        return self._queue.timely

    @property
    def late(self) -> int:
        """The number of SYNs that can't be answered within the latency target."""
        return self._queue.late

    def add(
        self,
        frame: ForwardPacket,
        packet: Packet,
        *,
        balancer: tuple[str, int],
        slots: int,
        run_seconds: float,
        now: float,
    ) -> QueuedSyn | None:
        """Add a SYN; remove and return the last SYN if the queue is too long.

        Args:
            frame: The frame that contains the SYN and its time limits.
            packet: The SYN.
            balancer: The balancer that sent it.
            slots: How many requests the target works on at once.
            run_seconds: The service time of a run.
            now: The present time.
        """
        self._syns_by_flow[packet.flow] = QueuedSyn(
            packet=packet, tried=frame.tried, balancer=balancer
        )
        waiting = WaitingFlow(
            flow=packet.flow,
            in_time_until=now + frame.in_time_ms / 1000,
            expires=now + frame.wait_ms / 1000,
            priority=frame.priority,
        )
        self._queue.add(waiting)
        self._queue.sort_out(now=now, run_seconds=run_seconds)
        if len(self._queue) <= MAX_QUEUED_PER_SLOT * slots:
            return None
        last = self._queue.last
        assert last is not None
        self._queue.remove(last)
        return self._syns_by_flow.pop(last.flow)

    def pop(self, *, run_seconds: float, now: float) -> QueuedSyn | None:
        """Remove and return the next SYN to deliver, if any waits."""
        if not self._syns_by_flow:
            return None
        self._queue.sort_out(now=now, run_seconds=run_seconds)
        return self._syns_by_flow.pop(self._queue.pop().flow)

    def pop_expired(self, *, now: float) -> list[QueuedSyn]:
        """Remove and return the SYNs whose callers are about to give up."""
        gone = self._queue.pop_expired(now=now)
        return [self._syns_by_flow.pop(waiting.flow) for waiting in gone]

    def pop_all(self) -> list[QueuedSyn]:
        """Remove and return all SYNs."""
        syns = list(self._syns_by_flow.values())
        self._syns_by_flow.clear()
        self._queue = WaitingQueue()
        return syns
