"""Measures what links of several rates carry, and the schedule's cost."""

import time
from collections.abc import Iterator

from monsoonpier.link.schedule import Urgency
from monsoonpier.link.sender import LinkSender
from standins.link import Link
from standins.link_load import SentDatagram, send_unscheduled, simulate, window

__all__ = ["link_use"]

MEGABITS = (1, 2, 5, 10, 1_000)
CALLERS = 200
SMALL_BYTES = 100
SMALL_EVERY_SECONDS = 0.01
COST_CALLS = 200_000


def link_use() -> Iterator[dict]:
    """Yield the use of each link by concurrent callers, and the cost per datagram."""
    for megabits in MEGABITS:
        yield _use(megabits)
    yield _cost()


def _use(megabits: int) -> dict:
    rate = megabits * 1e6
    sent = [one for flow in range(1, CALLERS + 1) for one in window(flow)]
    sent += [
        SentDatagram(
            at=n * SMALL_EVERY_SECONDS, size=SMALL_BYTES, flow=1_000 + n, number=n
        )
        for n in range(50)
    ]
    sent.sort(key=lambda one: one.at)
    unscheduled_link = Link(bits_per_second=rate)
    unscheduled = send_unscheduled(sent, unscheduled_link)
    link = Link(bits_per_second=rate)
    arrived, schedule = simulate(sent, link=link)
    small = sorted(a.waited for a in arrived if a.size == SMALL_BYTES)
    on_empty_link = 8 * (SMALL_BYTES + 28) / rate
    busy_until = max(a.at for a in arrived)
    return {
        "measure": "link_use",
        "megabits": megabits,
        "callers": CALLERS,
        "sent": len(sent),
        "arrived_unscheduled": unscheduled,
        "arrived": len(arrived),
        "lost_on_the_link": link.queue_drops,
        "dropped_before": schedule.dropped_by_reason.total(),
        "share_of_the_link": round(8 * link.carried_bytes / rate / busy_until, 3),
        "small_longest_ms_above_empty": round(1000 * (small[-1] - on_empty_link), 2),
    }


class _NullSocket:
    """A socket that discards all datagrams."""

    def send(self, data: bytes, endpoint: tuple[str, int]) -> None:
        """Discard a datagram."""


def _cost() -> dict:
    without_rate = _microseconds(LinkSender(bits_per_second=None))
    below_rate = _microseconds(LinkSender(bits_per_second=1e15))
    return {
        "measure": "link_cost",
        "calls": COST_CALLS,
        "microseconds_without_rate": round(without_rate, 3),
        "microseconds_with_room": round(below_rate, 3),
    }


def _microseconds(sender: LinkSender) -> float:
    socket = _NullSocket()
    data = bytes(SMALL_BYTES)
    endpoint = ("127.0.0.1", 1)
    started_at = time.process_time()
    for _ in range(COST_CALLS):
        sender.send(socket, data, endpoint, urgency=Urgency.SMALL, flow=b"f" * 12)
    return (time.process_time() - started_at) / COST_CALLS * 1e6
