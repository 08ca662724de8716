"""What links of several rates carry, and what the schedule costs a datagram."""

import time
from collections.abc import Iterator

from monsoonpier.link.schedule import Urgency
from monsoonpier.link.sender import LinkSender
from standins.link import Link
from standins.link_load import Sent, play, send_unscheduled, window

__all__ = ["link_use"]

MEGABITS = (1, 2, 5, 10, 1_000)
CALLERS = 200
SMALL_BYTES = 100
SMALL_EVERY_SECONDS = 0.01
COST_CALLS = 200_000


def link_use() -> Iterator[dict]:
    """Yield what 200 callers' windows at once get of each link, and the cost."""
    for megabits in MEGABITS:
        yield _at_once(megabits)
    yield _cost()


def _at_once(megabits: int) -> dict:
    rate = megabits * 1e6
    sent = [one for flow in range(1, CALLERS + 1) for one in window(flow)]
    sent += [
        Sent(at=n * SMALL_EVERY_SECONDS, size=SMALL_BYTES, flow=1_000 + n, number=n)
        for n in range(50)
    ]
    sent.sort(key=lambda one: one.at)
    bare = Link(bits_per_second=rate)
    unscheduled = send_unscheduled(sent, bare)
    link = Link(bits_per_second=rate)
    arrived, schedule = play(sent, link=link)
    small = sorted(a.waited for a in arrived if a.size == SMALL_BYTES)
    alone = 8 * (SMALL_BYTES + 28) / rate
    busy_until = max(a.at for a in arrived)
    return {
        "measure": "link_use",
        "megabits": megabits,
        "callers": CALLERS,
        "sent": len(sent),
        "arrived_unscheduled": unscheduled,
        "arrived": len(arrived),
        "lost_on_the_link": link.overrun,
        "dropped_before": schedule.dropped_by_reason.total(),
        "share_of_the_link": round(8 * link.carried_bytes / rate / busy_until, 3),
        "small_longest_ms_above_empty": round(1000 * (small[-1] - alone), 2),
    }


class _Nowhere:
    """A socket that takes everything."""

    def send(self, data: bytes, endpoint: tuple[str, int]) -> None:
        """Take a datagram."""


def _cost() -> dict:
    without = _microseconds(LinkSender(bits_per_second=None))
    within = _microseconds(LinkSender(bits_per_second=1e15))
    return {
        "measure": "link_cost",
        "calls": COST_CALLS,
        "microseconds_without_rate": round(without, 3),
        "microseconds_with_room": round(within, 3),
    }


def _microseconds(sender: LinkSender) -> float:
    socket = _Nowhere()
    data = bytes(SMALL_BYTES)
    endpoint = ("127.0.0.1", 1)
    began = time.process_time()
    for _ in range(COST_CALLS):
        sender.send(socket, data, endpoint, urgency=Urgency.SMALL, flow=b"f" * 12)
    return (time.process_time() - began) / COST_CALLS * 1e6
