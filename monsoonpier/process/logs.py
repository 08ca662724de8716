"""JSON line logs, limited in rate, whose writer never blocks."""

import logging
import os
import select
import time
from collections import deque
from dataclasses import dataclass

import structlog

__all__ = [
    "DecisionLog",
    "LogRateLimiter",
    "LineWriter",
    "configure_logs",
    "format_flow",
]

FLOOD_LIMIT = 40  # lines logged per event and period
FLOOD_PERIOD_SECONDS = 10.0
STDOUT = 1
STDERR = 2
MAX_LINE_BYTES = 4_096  # POSIX: a writable pipe accepts this without blocking
MAX_QUEUED_BYTES = 262_144  # lines beyond this are dropped


@dataclass(slots=True)
class _Period:
    """The lines of one event since the start of a period, logged or not."""

    began_at: float
    count: int = 0


class LogRateLimiter:
    """A structlog processor that limits the lines per event and period."""

    def __init__(self) -> None:
        self._periods_by_event: dict[str, _Period] = {}

    def __call__(self, logger, method: str, entry: dict) -> dict:
        """Return the entry, or raise ``DropEvent`` if over the limit."""
        return self.limit(entry, now=time.monotonic())

    def limit(self, entry: dict, *, now: float) -> dict:
        """Return the entry; add how many were suppressed in the last period, if any.

        Raises:
            structlog.DropEvent: If the event is over its limit.
        """
        suppressed = self.count(str(entry.get("event", "")), now=now)
        if suppressed is None:
            raise structlog.DropEvent
        if suppressed:
            entry["suppressed"] = suppressed
        return entry

    def count(self, event: str, *, now: float) -> int | None:
        """Count an event and return the number suppressed in the last period.

        Returns ``None`` if this event is over the limit itself.
        """
        period = self._periods_by_event.setdefault(event, _Period(began_at=now))
        suppressed = 0
        if now - period.began_at >= FLOOD_PERIOD_SECONDS:
            suppressed = max(0, period.count - FLOOD_LIMIT)
            period.began_at = now
            period.count = 0
        period.count += 1
        return None if period.count > FLOOD_LIMIT else suppressed


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    While the descriptor is not writable, up to `MAX_QUEUED_BYTES` of lines are queued
    and further lines are dropped. Queued lines are written when the next line comes.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._queued: deque[bytes] = deque()
        self._queued_bytes = 0
        self.dropped = 0

    def msg(self, line: str) -> None:
        """Write or queue one line, given without its newline."""
        data = line.encode("utf-8", "replace")[: MAX_LINE_BYTES - 1] + b"\n"
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.dropped += 1
            return
        self._queued.append(data)
        self._queued_bytes += len(data)
        self._flush()

    debug = info = warning = error = critical = msg

    def _flush(self) -> None:
        while self._queued and self._is_writable():
            data = self._queued.popleft()
            self._queued_bytes -= len(data)
            try:
                os.write(self._descriptor, data)
            except OSError:
                self.dropped += 1  # A closed pipe must not end the process.

    def _is_writable(self) -> bool:
        try:
            return any(event & select.POLLOUT for _, event in self._poll.poll(0))
        except OSError:
            return False


class DecisionLog:
    """Logs decisions about flows, limited in rate.

    The rate limit is checked before a line is built, so suppressed lines are cheap.
    """

    def __init__(self, name: str) -> None:
        self._log = structlog.get_logger(name)
        self._limiter = LogRateLimiter()

    def note(self, event: str, *, now: float, flow: bytes = b"", **fields) -> None:
        """Log a decision about a flow unless the event is over its limit.

        Args:
            event: The event's text.
            now: The monotonic time in seconds.
            flow: The flow's key, if any.
            fields: Further fields of the line.
        """
        suppressed = self._limiter.count(event, now=now)
        if suppressed is None:
            return
        if suppressed:
            fields["suppressed"] = suppressed
        if flow:
            fields["flow"] = format_flow(flow)
        self._log.info(event, **fields)


def format_flow(flow: bytes) -> str:
    """Format a flow key as ``caller_ip:port>service_ip:port``."""
    caller = ".".join(str(byte) for byte in flow[0:4])
    service = ".".join(str(byte) for byte in flow[4:8])
    caller_port = int.from_bytes(flow[8:10], "big")
    service_port = int.from_bytes(flow[10:12], "big")
    return f"{caller}:{caller_port}>{service}:{service_port}"


def configure_logs(*, level: str, descriptor: int = STDERR, **context: str) -> None:
    """Set up the logs of this process.

    Args:
        level: The lowest level that is logged.
        descriptor: The file descriptor to write to. Daemons use standard output;
            commands use standard error, as programs read their output.
        context: Fields of every line, such as the process's name.
    """
    writer = LineWriter(descriptor)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            LogRateLimiter(),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=lambda *args: writer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**context)
