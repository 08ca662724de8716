"""Windows and small datagrams through a schedule and a link, in simulated time."""

import heapq
from dataclasses import dataclass

from monsoonpier.link.schedule import Datagram, LinkSchedule, Urgency
from standins.link import Link

__all__ = ["Arrived", "Sent", "play", "send_unscheduled", "window"]

ENDPOINT = ("10.2.0.1", 7720)
WINDOW = 16  # packets that a caller sends before it waits for an answer
PACKET_BYTES = 1_231
TICK_SECONDS = 0.001  # timers are no finer


@dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """One datagram that is to be sent."""

    at: float
    size: int = PACKET_BYTES
    flow: int = 0
    number: int = 0
    urgency: Urgency | None = None

    @property
    def data(self) -> bytes:
        """Its bytes: the flow and the number, filled up."""
        head = self.flow.to_bytes(4, "big") + self.number.to_bytes(4, "big")
        return head + bytes(self.size - len(head))

    @property
    def _urgency(self) -> Urgency:
        # Control is 0, and so false.
        return Urgency.by_size(self.size) if self.urgency is None else self.urgency

    @property
    def datagram(self) -> Datagram:
        """What the schedule keeps of it."""
        return Datagram(
            data=self.data,
            endpoint=ENDPOINT,
            urgency=self._urgency,
            flow=self.flow.to_bytes(4, "big") if self.flow else b"",
            kept_at=self.at,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrived:
    """One datagram at the far end."""

    flow: int
    number: int
    size: int
    at: float
    waited: float


def window(flow: int = 1, *, at: float = 0.0, first: int = 0) -> list[Sent]:
    """Return a caller's window, which comes within two milliseconds."""
    seconds = 0.002 / WINDOW
    return [
        Sent(at=at + n * seconds, flow=flow, number=first + n) for n in range(WINDOW)
    ]


def send_unscheduled(sent: list[Sent], link: Link) -> int:
    """Send all at once as they come; return how many arrive."""
    return sum(link.arrival(one.size, now=one.at) is not None for one in sent)


def play(sent: list[Sent], *, link: Link) -> tuple[list[Arrived], LinkSchedule]:
    """Send through a schedule of the link's rate; return what arrives, and it.

    Its timer wakes late by a tick at the most.
    """
    schedule = LinkSchedule(bits_per_second=link.bits_per_second)
    arrived: list[Arrived] = []
    came_at_by_data: dict[bytes, float] = {}
    events = [(one.at, number, one) for number, one in enumerate(sent)]
    heapq.heapify(events)
    wakes_at: float | None = None

    def put(data: bytes, now: float) -> None:
        at = link.arrival(len(data), now=now)
        if at is not None:
            flow, number = (int.from_bytes(data[i : i + 4], "big") for i in (0, 4))
            waited = at - came_at_by_data[data]
            one = Arrived(
                flow=flow, number=number, size=len(data), at=at, waited=waited
            )
            arrived.append(one)

    while events or wakes_at is not None:
        if wakes_at is not None and (not events or wakes_at <= events[0][0]):
            now, wakes_at = wakes_at, None
            for datagram in schedule.due(now=now):
                put(datagram.data, now)
        else:
            now, _, one = heapq.heappop(events)
            came_at_by_data.setdefault(one.data, now)
            if schedule.admits(one.size, now=now):
                put(one.data, now)
            else:
                schedule.keep(one.datagram)
        if len(schedule) and wakes_at is None:
            wakes_at = now + schedule.wait_seconds(now=now) + TICK_SECONDS
    return arrived, schedule
