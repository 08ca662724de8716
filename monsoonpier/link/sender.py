"""What a process sends by: its sockets behind the schedule of its link."""

import asyncio
import time

import structlog

from monsoonpier.link.schedule import Datagram, LinkSchedule, Urgency
from monsoonpier.process.readings import Histogram, Reading, counter, gauge
from monsoonpier.process.udp import UdpSocket

__all__ = ["LinkSender"]

NOTE_SECONDS = 1.0  # between two lines about drops
_log = structlog.get_logger("monsoonpier.link.sender")


class LinkSender:
    """Sends through any of a process's sockets, no faster than its link carries.

    Args:
        bits_per_second: The link's rate; ``None`` if it isn't known, and then all
            leaves at once.
    """

    def __init__(self, *, bits_per_second: float | None) -> None:
        self._schedule: LinkSchedule | None = None
        if bits_per_second is not None:
            self._schedule = LinkSchedule(bits_per_second=bits_per_second)
        self._timer: asyncio.TimerHandle | None = None
        self._noted_at = 0.0
        self._noted_drops = 0
        self._wait_seconds = Histogram(
            name="link_wait_seconds", help="Datagrams that waited for the link."
        )
        self._kept_by_urgency = {urgency.name.lower(): 0 for urgency in Urgency}

    def send(
        self,
        socket: UdpSocket,
        data: bytes,
        endpoint: tuple[str, int],
        *,
        urgency: Urgency,
        flow: bytes = b"",
    ) -> None:
        """Send a datagram now, or when the link has room for it."""
        schedule = self._schedule
        if schedule is None:
            socket.send(data, endpoint)
            return
        now = _now()
        if schedule.admits(len(data), now=now):
            socket.send(data, endpoint)
            return
        self._kept_by_urgency[urgency.name.lower()] += 1
        schedule.keep(
            Datagram(
                data=data,
                endpoint=endpoint,
                urgency=urgency,
                flow=flow,
                kept_at=now,
                socket=socket,
            )
        )
        self._note_drops(now=now)
        if self._timer is None:
            self._wait(now=now)

    @property
    def readings(self) -> tuple[Reading, ...]:
        """What waited and what was dropped; nothing where no rate is known."""
        if self._schedule is None:
            return ()
        drops = self._schedule.dropped_by_reason
        return (
            gauge("link_kept_bytes", "What waits now.", self._schedule.kept_bytes),
            counter("link_kept", "What had to wait.", self._kept_by_urgency, "urgency"),
            counter("link_dropped", "What had no room on the link.", drops, "reason"),
            self._wait_seconds,
        )

    def _wait(self, *, now: float) -> None:
        assert self._schedule is not None
        seconds = self._schedule.wait_seconds(now=now)
        self._timer = asyncio.get_running_loop().call_later(seconds, self._release)

    def _release(self) -> None:
        assert self._schedule is not None
        self._timer = None
        now = _now()
        for datagram in self._schedule.due(now=now):
            self._wait_seconds.observe(now - datagram.kept_at)
            datagram.socket.send(datagram.data, datagram.endpoint)
        self._note_drops(now=now)
        if len(self._schedule):
            self._wait(now=now)

    def _note_drops(self, *, now: float) -> None:
        """Leave a line about drops, one a second at the most."""
        assert self._schedule is not None
        drops = self._schedule.dropped_by_reason
        if now - self._noted_at < NOTE_SECONDS or drops.total() == self._noted_drops:
            return
        _log.warning(
            "link full",
            dropped=drops.total() - self._noted_drops,
            kept=len(self._schedule),
            kept_bytes=self._schedule.kept_bytes,
        )
        self._noted_at = now
        self._noted_drops = drops.total()


def _now() -> float:
    return time.monotonic()
