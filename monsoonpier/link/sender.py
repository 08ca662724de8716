"""Sending of datagrams through a process's sockets, paced to the link's rate."""

import asyncio
import time

import structlog

from monsoonpier.link.schedule import Datagram, LinkSchedule, Urgency
from monsoonpier.process.metrics import Histogram, Metric, counter, gauge
from monsoonpier.process.udp import UdpSocket

__all__ = ["LinkSender"]

LOG_INTERVAL_SECONDS = 1.0  # minimum between two log lines about drops
_log = structlog.get_logger("monsoonpier.link.sender")


class LinkSender:
    """Sends through any of a process's sockets, paced to the link's rate.

    Args:
        bits_per_second: The link's rate, or ``None`` to send without pacing.
    """

    def __init__(self, *, bits_per_second: float | None) -> None:
        self._schedule: LinkSchedule | None = None
        if bits_per_second is not None:
            self._schedule = LinkSchedule(bits_per_second=bits_per_second)
        self._timer: asyncio.TimerHandle | None = None
        self._logged_at = 0.0
        self._logged_drops = 0
        self._wait_seconds = Histogram(
            name="link_wait_seconds", help="Time that queued datagrams waited."
        )
        self._queued_by_urgency = {urgency.name.lower(): 0 for urgency in Urgency}

    def send(
        self,
        socket: UdpSocket,
        data: bytes,
        endpoint: tuple[str, int],
        *,
        urgency: Urgency,
        flow: bytes = b"",
    ) -> None:
        """Send a datagram now, or queue it until the link is free."""
        schedule = self._schedule
        if schedule is None:
            socket.send(data, endpoint)
            return
        now = _now()
        if schedule.try_admit(len(data), now=now):
            socket.send(data, endpoint)
            return
        self._queued_by_urgency[urgency.name.lower()] += 1
        schedule.enqueue(
            Datagram(
                data=data,
                endpoint=endpoint,
                urgency=urgency,
                flow=flow,
                queued_at=now,
                socket=socket,
            )
        )
        self._log_drops(now=now)
        if self._timer is None:
            self._schedule_release(now=now)

    @property
    def metrics(self) -> tuple[Metric, ...]:
        """Metrics of queued and dropped datagrams; none without pacing."""
        if self._schedule is None:
            return ()
        drops = self._schedule.dropped_by_reason
        return (
            gauge("link_kept_bytes", "Bytes queued now.", self._schedule.queued_bytes),
            counter(
                "link_kept", "Datagrams queued.", self._queued_by_urgency, "urgency"
            ),
            counter("link_dropped", "Datagrams dropped.", drops, "reason"),
            self._wait_seconds,
        )

    def _schedule_release(self, *, now: float) -> None:
        assert self._schedule is not None
        seconds = self._schedule.wait_seconds(now=now)
        self._timer = asyncio.get_running_loop().call_later(seconds, self._release)

    def _release(self) -> None:
        assert self._schedule is not None
        self._timer = None
        now = _now()
        for datagram in self._schedule.pop_due(now=now):
            self._wait_seconds.observe(now - datagram.queued_at)
            datagram.socket.send(datagram.data, datagram.endpoint)
        self._log_drops(now=now)
        if len(self._schedule):
            self._schedule_release(now=now)

    def _log_drops(self, *, now: float) -> None:
        """Log new drops, at most one line per `LOG_INTERVAL_SECONDS`."""
        assert self._schedule is not None
        drops = self._schedule.dropped_by_reason
        if (
            now - self._logged_at < LOG_INTERVAL_SECONDS
            or drops.total() == self._logged_drops
        ):
            return
        _log.warning(
            "link full",
            dropped=drops.total() - self._logged_drops,
            kept=len(self._schedule),
            kept_bytes=self._schedule.queued_bytes,
        )
        self._logged_at = now
        self._logged_drops = drops.total()


def _now() -> float:
    return time.monotonic()
