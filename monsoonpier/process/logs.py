"""Logs as JSON lines; bounded under load, and never waiting for their reader."""

import logging
import os
import select
import time
from collections import deque
from dataclasses import dataclass

import structlog

__all__ = ["DecisionLog", "FloodGate", "LineWriter", "configure_logs", "flow_name"]

FLOOD_LIMIT = 40  # lines of one event that are written per period
FLOOD_PERIOD_SECONDS = 10.0
STDOUT = 1
STDERR = 2
MAX_LINE_BYTES = 4_096  # what a pipe that has room takes without blocking (POSIX)
MAX_KEPT_BYTES = 262_144  # kept while the reader has stopped; then lines are lost


@dataclass(slots=True)
class _Flood:
    since: float
    count: int = 0


class FloodGate:
    """A structlog processor that lets only so many of one event through."""

    def __init__(self) -> None:
        self._floods_by_event: dict[str, _Flood] = {}

    def __call__(self, logger, method: str, entry: dict) -> dict:
        """Pass the entry on, with a count of those suppressed before it."""
        return self.admit(entry, now=time.monotonic())

    def admit(self, entry: dict, *, now: float) -> dict:
        """Return the entry, or raise ``DropEvent`` if it is one too many."""
        suppressed = self.suppressed(str(entry.get("event", "")), now=now)
        if suppressed is None:
            raise structlog.DropEvent
        if suppressed:
            entry["suppressed"] = suppressed
        return entry

    def suppressed(self, event: str, *, now: float) -> int | None:
        """Count an event; return how many were cut before it, ``None`` if it is."""
        flood = self._floods_by_event.setdefault(event, _Flood(since=now))
        cut = 0
        if now - flood.since >= FLOOD_PERIOD_SECONDS:
            cut = max(0, flood.count - FLOOD_LIMIT)
            flood.since = now
            flood.count = 0
        flood.count += 1
        return None if flood.count > FLOOD_LIMIT else cut


class LineWriter:
    """Writes lines to a descriptor if it has room, keeps or drops them if not.

    A reader that has stopped must never stop the process.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._kept: deque[bytes] = deque()
        self._kept_bytes = 0
        self.dropped = 0

    def msg(self, line: str) -> None:
        """Take one line without its end."""
        data = line.encode("utf-8", "replace")[: MAX_LINE_BYTES - 1] + b"\n"
        if self._kept_bytes + len(data) > MAX_KEPT_BYTES:
            self.dropped += 1
            return
        self._kept.append(data)
        self._kept_bytes += len(data)
        self._flush()

    debug = info = warning = error = critical = msg

    def _flush(self) -> None:
        while self._kept and self._has_room():
            data = self._kept.popleft()
            self._kept_bytes -= len(data)
            try:
                os.write(self._descriptor, data)
            except OSError:
                self.dropped += 1  # A closed pipe must not stop the process.

    def _has_room(self) -> bool:
        try:
            return any(event & select.POLLOUT for _, event in self._poll.poll(0))
        except OSError:
            return False


class DecisionLog:
    """Where decisions leave a line each, with what decided them.

    The gate is asked first: a suppressed line costs a lookup.
    """

    def __init__(self, name: str) -> None:
        self._log = structlog.get_logger(name)
        self._gate = FloodGate()

    def note(self, event: str, *, now: float, flow: bytes = b"", **fields) -> None:
        """Write what was decided about a flow, or counted if too much is."""
        suppressed = self._gate.suppressed(event, now=now)
        if suppressed is None:
            return
        if suppressed:
            fields["suppressed"] = suppressed
        if flow:
            fields["flow"] = flow_name(flow)
        self._log.info(event, **fields)


def flow_name(flow: bytes) -> str:
    """Return a flow's name in logs: the caller's end and the service's."""
    caller = ".".join(str(byte) for byte in flow[0:4])
    service = ".".join(str(byte) for byte in flow[4:8])
    caller_port = int.from_bytes(flow[8:10], "big")
    service_port = int.from_bytes(flow[10:12], "big")
    return f"{caller}:{caller_port}>{service}:{service_port}"


def configure_logs(*, level: str, descriptor: int = STDERR, **context: str) -> None:
    """Set up logs for this process; ``context`` stands in every line.

    Args:
        level: The least level that is logged.
        descriptor: Where lines go: daemons to standard output, commands whose
            output is read by programs to standard error.
        context: Fields such as the process's name.
    """
    writer = LineWriter(descriptor)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            FloodGate(),
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
