"""Simulates datagrams that pass a `LinkSchedule` and a `Link`."""

import heapq
from dataclasses import dataclass

from monsoonpier.link.schedule import Datagram, LinkSchedule, Urgency
from standins.link import Link

__all__ = ["ReceivedDatagram", "SentDatagram", "simulate", "send_unscheduled", "window"]

ENDPOINT = ("10.2.0.1", 7720)
WINDOW = 16  # packets that a caller sends before it waits for an acknowledgement
PACKET_BYTES = 1_231
TICK_SECONDS = 0.001  # resolution of timers


@dataclass(frozen=True, slots=True, kw_only=True)
class SentDatagram:
    """A datagram and when it is sent."""

    at: float
    size: int = PACKET_BYTES
    flow: int = 0
    number: int = 0
    urgency: Urgency | None = None

    @property
    def data(self) -> bytes:
        """The payload: flow and number, padded with zeros."""
        head = self.flow.to_bytes(4, "big") + self.number.to_bytes(4, "big")
        return head + bytes(self.size - len(head))

    @property
    def _urgency(self) -> Urgency:
        # Urgency 0 is a valid value, so this compares with None.
        return Urgency.by_size(self.size) if self.urgency is None else self.urgency

    @property
    def datagram(self) -> Datagram:
        """The datagram in the form that the schedule queues."""
        return Datagram(
            data=self.data,
            endpoint=ENDPOINT,
            urgency=self._urgency,
            flow=self.flow.to_bytes(4, "big") if self.flow else b"",
            queued_at=self.at,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedDatagram:
    """A datagram received at the far end; ``waited`` is its latency in seconds."""

    flow: int
    number: int
    size: int
    at: float
    waited: float


def window(flow: int = 1, *, at: float = 0.0, first: int = 0) -> list[SentDatagram]:
    """Return a window of packets sent within two milliseconds.

    Args:
        flow: The flow's number.
        at: When the first packet is sent.
        first: The first packet's number.
    """
    seconds = 0.002 / WINDOW
    return [
        SentDatagram(at=at + n * seconds, flow=flow, number=first + n)
        for n in range(WINDOW)
    ]


def send_unscheduled(sent: list[SentDatagram], link: Link) -> int:
    """Send over a link without a schedule; return how many arrive."""
    return sum(link.arrival(one.size, now=one.at) is not None for one in sent)


def simulate(
    sent: list[SentDatagram], *, link: Link
) -> tuple[list[ReceivedDatagram], LinkSchedule]:
    """Send over a link with a schedule; return the datagrams received and the schedule.

    The schedule's timer fires up to `TICK_SECONDS` late.
    """
    schedule = LinkSchedule(bits_per_second=link.bits_per_second)
    arrived: list[ReceivedDatagram] = []
    sent_at_by_data: dict[bytes, float] = {}
    events = [(one.at, number, one) for number, one in enumerate(sent)]
    heapq.heapify(events)
    timer_at: float | None = None

    def transmit(data: bytes, now: float) -> None:
        at = link.arrival(len(data), now=now)
        if at is not None:
            flow, number = (int.from_bytes(data[i : i + 4], "big") for i in (0, 4))
            waited = at - sent_at_by_data[data]
            one = ReceivedDatagram(
                flow=flow, number=number, size=len(data), at=at, waited=waited
            )
            arrived.append(one)

    while events or timer_at is not None:
        if timer_at is not None and (not events or timer_at <= events[0][0]):
            now, timer_at = timer_at, None
            for datagram in schedule.pop_due(now=now):
                transmit(datagram.data, now)
        else:
            now, _, one = heapq.heappop(events)
            sent_at_by_data.setdefault(one.data, now)
            if schedule.try_admit(one.size, now=now):
                transmit(one.data, now)
            else:
                schedule.enqueue(one.datagram)
        if len(schedule) and timer_at is None:
            timer_at = now + schedule.wait_seconds(now=now) + TICK_SECONDS
    return arrived, schedule
