"""Logs as JSON lines on stderr; a flood of one event is cut and counted."""

import logging
import sys
import time
from dataclasses import dataclass

import structlog

__all__ = ["configure_logs"]

FLOOD_LIMIT = 20  # lines of one event that are written per period
FLOOD_PERIOD_SECONDS = 10.0


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
        event = str(entry.get("event", ""))
        flood = self._floods_by_event.setdefault(event, _Flood(since=now))
        if now - flood.since >= FLOOD_PERIOD_SECONDS:
            suppressed = flood.count - FLOOD_LIMIT
            if suppressed > 0:
                entry["suppressed"] = suppressed
            flood.since = now
            flood.count = 0
        flood.count += 1
        if flood.count > FLOOD_LIMIT:
            raise structlog.DropEvent
        return entry


class _LastResort:
    """Writes lines; a full disk or a closed pipe must not stop the process."""

    def msg(self, line: str) -> None:
        try:
            sys.stderr.write(line + "\n")
            sys.stderr.flush()
        except (OSError, ValueError):
            pass

    debug = info = warning = error = critical = msg


def configure_logs(*, level: str, **context: str) -> None:
    """Set up logs for this process; ``context`` stands in every line."""
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
        logger_factory=lambda *args: _LastResort(),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**context)
