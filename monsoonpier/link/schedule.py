"""Which datagram leaves next on a narrow link, and when. Does no I/O.

The load that it answers: callers send a window of 16 packets within 2 ms, a balancer
passes all of them on at once, and its link of 2 Mbit/s, which queues 50 ms, loses
seven. Each is repeated after 0.2 s and more, and new flows, heartbeats and questions
are lost in the same queue. So datagrams wait here, where they have an order, and
leave no faster than the link carries them.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterator
from enum import IntEnum

import msgspec

__all__ = ["Datagram", "LinkSchedule", "Urgency"]

# Of the link's rate: what leaves a little too slowly never queues in the network, and
# headers of layers that aren't seen here have room.
RATE_SHARE = 0.95
HEADER_BYTES = 28  # of IPv4 and UDP
# What may be on the link ahead of its rate. A process is woken late by a timer's tick
# (1 ms) and by its share of a processor; links queue ten times as long.
AHEAD_SECONDS = 0.005
# Callers repeat a packet 0.2 s and 0.6 s after they sent it first: what has waited for
# longer is on its way here for the third time.
MAX_WAIT_SECONDS = 0.6
# 200 callers' windows at once are 4 MB; the smallest VMs have 104 MB.
MAX_KEPT_BYTES = 8 * 1_048_576
# Datagrams below it go before larger ones: a new flow, a request or an acknowledgement
# takes 0.1 of a whole packet's time on the link.
SMALL_BYTES = 500
# While small ones never cease, a large one follows each three: uploads go on.
SMALL_RUN = 3


class Urgency(IntEnum):
    """What goes first.

    Control says who lives and what is in force: late, it would look like the death
    of a target or a balancer, so it is never dropped for others.
    """

    CONTROL = 0
    SMALL = 1
    BULK = 2

    @classmethod
    def by_size(cls, size: int) -> "Urgency":
        """Return the urgency of a packet of a flow."""
        return cls.SMALL if size < SMALL_BYTES else cls.BULK


class Datagram(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One datagram on its way out.

    Attributes:
        data: What is sent.
        endpoint: Where to.
        urgency: What it may overtake; packets of one flow never overtake another.
        flow: The flow that it belongs to, empty if to none.
        kept_at: Since when it waits, in seconds.
        socket: What it leaves through.
    """

    data: bytes
    endpoint: tuple[str, int]
    urgency: Urgency
    flow: bytes
    kept_at: float
    socket: object = None


class _Queue:
    """Datagrams of one urgency; flows take turns, a packet each."""

    def __init__(self) -> None:
        self._waiting_by_flow: OrderedDict[object, deque[Datagram]] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._waiting_by_flow)

    def append(self, datagram: Datagram) -> None:
        key = datagram.flow or datagram.endpoint
        self._waiting_by_flow.setdefault(key, deque()).append(datagram)

    def pop(self) -> Datagram:
        """Return the next one; its flow's turn comes again after all others'."""
        key, waiting = self._waiting_by_flow.popitem(last=False)
        datagram = waiting.popleft()
        if waiting:
            self._waiting_by_flow[key] = waiting
        return datagram

    def pop_last_of_longest(self) -> Datagram:
        """Return the newest datagram of the flow that has most waiting."""
        waiting_by_flow = self._waiting_by_flow
        key = max(waiting_by_flow, key=lambda key: len(waiting_by_flow[key]))
        waiting = waiting_by_flow[key]
        datagram = waiting.pop()
        if not waiting:
            del waiting_by_flow[key]
        return datagram


class LinkSchedule:
    """Keeps to a link's rate by a token bucket, and orders what has to wait.

    Control goes first, then small datagrams, then large ones; flows of one urgency
    take turns. What exceeds `MAX_WAIT_SECONDS` of the link is dropped, the newest of
    the longest flow of the least urgent first: its sender repeats it. A copy of what
    still waits is not kept twice.

    Args:
        bits_per_second: The link's rate, above 0.
    """

    def __init__(self, *, bits_per_second: float) -> None:
        assert bits_per_second > 0
        self._bytes_per_second = RATE_SHARE * bits_per_second / 8
        self._most_bytes = min(
            MAX_KEPT_BYTES, int(MAX_WAIT_SECONDS * self._bytes_per_second)
        )
        self._free_at = 0.0  # when the link has carried all that has left
        self._queues = tuple(_Queue() for _ in Urgency)
        self._kept: set[tuple[tuple[str, int], bytes]] = set()
        self._kept_by_flow: Counter[bytes] = Counter()
        self._urgency_by_flow: dict[bytes, Urgency] = {}
        self._small_run = 0
        self.kept_bytes = 0
        self.dropped_by_reason: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._kept)

    def admits(self, size: int, *, now: float) -> bool:
        """Tell whether a datagram of ``size`` bytes leaves now, and count it if so."""
        if self._kept or self._free_at - now > AHEAD_SECONDS:
            return False
        self._left(size, now=now)
        return True

    def keep(self, datagram: Datagram) -> None:
        """Let a datagram wait for its turn, or drop what has no room."""
        copy = (datagram.endpoint, datagram.data)
        if copy in self._kept:
            self.dropped_by_reason["copy"] += 1
            return
        self._kept.add(copy)
        self.kept_bytes += _size(datagram.data)
        self._queues[self._queue_of(datagram)].append(datagram)
        while self.kept_bytes > self._most_bytes and self._drop_one():
            pass

    def due(self, *, now: float) -> Iterator[Datagram]:
        """Yield what leaves now, in its order."""
        while self._kept and self._free_at - now <= AHEAD_SECONDS:
            datagram = self._take()
            if now - datagram.kept_at > MAX_WAIT_SECONDS and _may_drop(datagram):
                self.dropped_by_reason["waited too long"] += 1
                continue
            self._left(len(datagram.data), now=now)
            yield datagram

    def wait_seconds(self, *, now: float) -> float:
        """Return how long nothing more can leave."""
        return max(0.0, self._free_at - AHEAD_SECONDS - now)

    def _left(self, size: int, *, now: float) -> None:
        seconds = (size + HEADER_BYTES) / self._bytes_per_second
        self._free_at = max(self._free_at, now) + seconds

    def _queue_of(self, datagram: Datagram) -> Urgency:
        """Return where it waits: behind its flow's packets, if some do."""
        flow = datagram.flow
        if not flow:
            return datagram.urgency
        self._kept_by_flow[flow] += 1
        return self._urgency_by_flow.setdefault(flow, datagram.urgency)

    def _take(self) -> Datagram:
        control, small, bulk = self._queues
        if control:
            return self._forget(control.pop())
        is_bulks_turn = bulk and self._small_run >= SMALL_RUN
        if small and not is_bulks_turn:
            self._small_run += 1
            return self._forget(small.pop())
        self._small_run = 0
        return self._forget(bulk.pop())

    def _drop_one(self) -> bool:
        """Drop what its sender repeats; control only where nothing else waits."""
        for urgency in reversed(Urgency):
            if self._queues[urgency]:
                self._forget(self._queues[urgency].pop_last_of_longest())
                self.dropped_by_reason["link full"] += 1
                return True
        return False

    def _forget(self, datagram: Datagram) -> Datagram:
        self._kept.discard((datagram.endpoint, datagram.data))
        self.kept_bytes -= _size(datagram.data)
        flow = datagram.flow
        if flow:
            self._kept_by_flow[flow] -= 1
            if not self._kept_by_flow[flow]:
                del self._kept_by_flow[flow]
                del self._urgency_by_flow[flow]
        return datagram


def _size(data: bytes) -> int:
    return len(data) + HEADER_BYTES


def _may_drop(datagram: Datagram) -> bool:
    return datagram.urgency is not Urgency.CONTROL
