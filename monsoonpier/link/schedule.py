"""Scheduling of outgoing datagrams on a link of limited rate.

Callers send in bursts. A burst that is forwarded at once overflows the queue of a slow
link, which then drops packets and control messages alike. So datagrams are queued here
by priority and released no faster than the link's rate. This module does no I/O.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterator
from enum import IntEnum

import msgspec

__all__ = ["Datagram", "LinkSchedule", "Urgency"]

# Fraction of the link's rate that is used, so that no queue builds up in the network
# and headers of lower layers have room.
RATE_SHARE = 0.95
HEADER_BYTES = 28  # of IPv4 and UDP
# Size of the burst that is sent without pacing, as the seconds that the link takes to
# send it. It compensates for wake-ups that are late by a timer's tick (1 ms) and by the
# share of a processor. It fits into the queue of a link, which is ten times as long.
AHEAD_SECONDS = 0.005
# Callers retransmit a packet 0.2 s and 0.6 s after they first sent it, so a packet that
# waited longer has been retransmitted twice.
MAX_WAIT_SECONDS = 0.6
# Limit of queued bytes, whatever the link's rate. The windows of 200 callers are 4 MB,
# and the smallest VMs have 104 MB.
MAX_QUEUED_BYTES = 8 * 1_048_576
# Smaller datagrams (new flows, requests, acknowledgements) go before larger ones. They
# take a tenth of a whole packet's time on the link.
SMALL_BYTES = 500
# After this many small datagrams a queued large one is sent, so that uploads make
# progress.
SMALL_RUN = 3


class Urgency(IntEnum):
    """Priority of a datagram; lower values are sent first.

    Control messages include heartbeats. A late one looks like the failure of a target
    or balancer, so control is dropped last.
    """

    CONTROL = 0
    SMALL = 1
    BULK = 2

    @classmethod
    def by_size(cls, size: int) -> "Urgency":
        """Return the urgency of a flow's packet of ``size`` bytes."""
        return cls.SMALL if size < SMALL_BYTES else cls.BULK


class Datagram(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """An outgoing datagram.

    Attributes:
        data: The payload.
        endpoint: The destination's IP address and port.
        urgency: The priority among flows; packets of one flow stay in order.
        flow: The key of the flow that the datagram belongs to; empty if none.
        queued_at: The monotonic time at which it was queued, in seconds.
        socket: The socket to send through.
    """

    data: bytes
    endpoint: tuple[str, int]
    urgency: Urgency
    flow: bytes
    queued_at: float
    socket: object = None


class _Queue:
    """Datagrams of one urgency, taken round robin by flow."""

    def __init__(self) -> None:
        self._waiting_by_flow: OrderedDict[object, deque[Datagram]] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._waiting_by_flow)

    def append(self, datagram: Datagram) -> None:
        key = datagram.flow or datagram.endpoint
        self._waiting_by_flow.setdefault(key, deque()).append(datagram)

    def pop(self) -> Datagram:
        """Remove the next datagram; move its flow behind all others."""
        key, waiting = self._waiting_by_flow.popitem(last=False)
        datagram = waiting.popleft()
        if waiting:
            self._waiting_by_flow[key] = waiting
        return datagram

    def pop_last_of_longest(self) -> Datagram:
        """Remove the newest datagram of the flow with the most datagrams."""
        waiting_by_flow = self._waiting_by_flow
        key = max(waiting_by_flow, key=lambda key: len(waiting_by_flow[key]))
        waiting = waiting_by_flow[key]
        datagram = waiting.pop()
        if not waiting:
            del waiting_by_flow[key]
        return datagram


class LinkSchedule:
    """Priority queues whose output is limited to the link's rate.

    Control is sent first, then small datagrams, then large ones; flows of one urgency
    take turns. If more is queued than the link sends in `MAX_WAIT_SECONDS`, the newest
    datagram of the longest flow of the lowest priority is dropped, as its sender
    retransmits it. Duplicates of queued datagrams are dropped.

    Args:
        bits_per_second: The link's rate, above 0.
    """

    def __init__(self, *, bits_per_second: float) -> None:
        assert bits_per_second > 0
        self._bytes_per_second = RATE_SHARE * bits_per_second / 8
        self._max_bytes = min(
            MAX_QUEUED_BYTES, int(MAX_WAIT_SECONDS * self._bytes_per_second)
        )
        self._free_at = 0.0  # time at which the link has sent everything released
        self._queues = tuple(_Queue() for _ in Urgency)
        # Contents of all queued datagrams, to find duplicates.
        self._queued: set[tuple[tuple[str, int], bytes]] = set()
        self._queued_by_flow: Counter[bytes] = Counter()
        self._urgency_by_flow: dict[bytes, Urgency] = {}
        self._small_run = 0  # small datagrams sent since the last large one
        self.queued_bytes = 0
        self.dropped_by_reason: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._queued)

    def try_admit(self, size: int, *, now: float) -> bool:
        """Return whether ``size`` bytes may be sent now; if so, take the tokens."""
        if self._queued or self._free_at - now > AHEAD_SECONDS:
            return False
        self._take_tokens(size, now=now)
        return True

    def enqueue(self, datagram: Datagram) -> None:
        """Queue a datagram unless it duplicates a queued one.

        Drop datagrams if the queues are over their limit.
        """
        content = (datagram.endpoint, datagram.data)
        if content in self._queued:
            self.dropped_by_reason["copy"] += 1
            return
        self._queued.add(content)
        self.queued_bytes += _size_with_headers(datagram.data)
        self._queues[self._assign_queue(datagram)].append(datagram)
        while self.queued_bytes > self._max_bytes and self._drop_one():
            pass

    def pop_due(self, *, now: float) -> Iterator[Datagram]:
        """Remove and yield the datagrams to send now, in order.

        Drop datagrams other than control that waited longer than `MAX_WAIT_SECONDS`.
        """
        while self._queued and self._free_at - now <= AHEAD_SECONDS:
            datagram = self._pop_next()
            if now - datagram.queued_at > MAX_WAIT_SECONDS and _may_expire(datagram):
                self.dropped_by_reason["waited too long"] += 1
                continue
            self._take_tokens(len(datagram.data), now=now)
            yield datagram

    def wait_seconds(self, *, now: float) -> float:
        """Return the seconds until the next datagram may be sent."""
        return max(0.0, self._free_at - AHEAD_SECONDS - now)

    def _take_tokens(self, size: int, *, now: float) -> None:
        seconds = (size + HEADER_BYTES) / self._bytes_per_second
        self._free_at = max(self._free_at, now) + seconds

    def _assign_queue(self, datagram: Datagram) -> Urgency:
        """Return the queue for a datagram, and count the datagram for its flow.

        To keep the order of a flow, all its datagrams go to the queue of the first.
        """
        flow = datagram.flow
        if not flow:
            return datagram.urgency
        self._queued_by_flow[flow] += 1
        return self._urgency_by_flow.setdefault(flow, datagram.urgency)

    def _pop_next(self) -> Datagram:
        """Remove the datagram to send next; at least one must be queued."""
        control, small, bulk = self._queues
        if control:
            return self._untrack(control.pop())
        is_bulk_turn = bulk and self._small_run >= SMALL_RUN
        if small and not is_bulk_turn:
            self._small_run += 1
            return self._untrack(small.pop())
        self._small_run = 0
        return self._untrack(bulk.pop())

    def _drop_one(self) -> bool:
        """Drop one datagram, control last; return ``False`` if none is queued."""
        for urgency in reversed(Urgency):
            if self._queues[urgency]:
                self._untrack(self._queues[urgency].pop_last_of_longest())
                self.dropped_by_reason["link full"] += 1
                return True
        return False

    def _untrack(self, datagram: Datagram) -> Datagram:
        """Remove a datagram that left its queue from all counts; return it."""
        self._queued.discard((datagram.endpoint, datagram.data))
        self.queued_bytes -= _size_with_headers(datagram.data)
        flow = datagram.flow
        if flow:
            self._queued_by_flow[flow] -= 1
            if not self._queued_by_flow[flow]:
                del self._queued_by_flow[flow]
                del self._urgency_by_flow[flow]
        return datagram


def _size_with_headers(data: bytes) -> int:
    return len(data) + HEADER_BYTES


def _may_expire(datagram: Datagram) -> bool:
    return datagram.urgency is not Urgency.CONTROL
