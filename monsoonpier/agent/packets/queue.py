"""SYNs that wait at an agent for a slot of its target.

The load that it answers: all slots are taken and several balancers have flows for
the next one. Only the agent knows when a slot comes free: a SYN that waits beside it
is delivered at once, and the one whose answer is worth most goes first, whichever
balancer it came from. Without it each balancer sent its own flow for each free slot,
and all but one came back: 4,400 refusals for 780 flows in the four seconds after a
loss of power (four data centres, eleven targets of four slots, logs of one replay),
a way there and back each while the slot stood empty.

The queue is short. A flow that waits here can't go to another target that comes free
earlier, and one in time may take the place of a late one at any moment.
"""

from dataclasses import dataclass

from monsoonpier.model.waiting import WaitingFlow, WaitingQueue
from monsoonpier.wire.frames import Carry
from monsoonpier.wire.packet import Packet

__all__ = ["AdmissionQueue", "QueuedSyn"]

MAX_SEATS_PER_SLOT = 1  # so that a flow in time waits about one run at the most


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedSyn:
    """A SYN that waits, and what is needed to deliver it or to send it back."""

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
        """How many can still be answered in time."""
        return self._queue.timely

    @property
    def late(self) -> int:
        """How many others there are."""
        return self._queue.late

    def offer(
        self,
        frame: Carry,
        packet: Packet,
        *,
        balancer: tuple[str, int],
        slots: int,
        run_seconds: float,
        now: float,
    ) -> QueuedSyn | None:
        """Let a SYN wait; return the one that there is no room for then.

        Args:
            frame: What brought it; says how long the caller waits.
            packet: The SYN.
            balancer: Who sent it.
            slots: The target's.
            run_seconds: How long a run takes here.
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
        if len(self._queue) <= MAX_SEATS_PER_SLOT * slots:
            return None
        last = self._queue.last
        assert last is not None
        self._queue.remove(last)
        return self._syns_by_flow.pop(last.flow)

    def pop(self, *, run_seconds: float, now: float) -> QueuedSyn | None:
        """Return the SYN whose turn it is, if one waits."""
        if not self._syns_by_flow:
            return None
        self._queue.sort_out(now=now, run_seconds=run_seconds)
        return self._syns_by_flow.pop(self._queue.pop().flow)

    def pop_expired(self, *, now: float) -> list[QueuedSyn]:
        """Return the SYNs whose callers are about to give up."""
        gone = self._queue.pop_expired(now=now)
        return [self._syns_by_flow.pop(waiting.flow) for waiting in gone]

    def pop_all(self) -> list[QueuedSyn]:
        """Return all SYNs: the target takes no new flows any more."""
        syns = list(self._syns_by_flow.values())
        self._syns_by_flow.clear()
        self._queue = WaitingQueue()
        return syns
