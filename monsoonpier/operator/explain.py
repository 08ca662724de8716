"""Selects the log lines of several processes that concern one flow."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

__all__ = ["LogLine", "explain", "format_lines", "read_lines"]

CONTEXT_SECONDS = 5.0  # before the flow's first line and after its last
_NOT_IN_FIELDS = ("timestamp", "process", "role", "event", "level", "flow")
_PROCESS_FIELDS = ("target", "agent", "name")


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class LogLine:
    """A parsed log line.

    Attributes:
        at: Time by the wall clock of the process that logged it, in Unix
            seconds.
        process: Name of the process that logged it.
        event: The event's text.
        flow: Name of the flow that the line is about; empty if there is none.
        fields: All other fields of the line.
    """

    at: float
    process: str
    event: str
    flow: str = ""
    fields: dict = field(default_factory=dict, compare=False)

    @property
    def processes(self) -> set[str]:
        """Names of the processes that logged the line or are named in it."""
        named = {str(self.fields[key]) for key in _PROCESS_FIELDS if key in self.fields}
        return named | {self.process}


def read_lines(files: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the JSON lines of log files; other lines are skipped.

    A prefix before the JSON, such as a collector's time and host, is allowed.

    Raises:
        OSError: If a file can't be read.
    """
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as lines:
            for text in lines:
                line = _parse(text)
                if line is not None:
                    yield line


def explain(lines: Iterable[LogLine], *, flow: str) -> list[LogLine]:
    """Return the log lines about a flow and their context, by time.

    Context lines name no flow; they were logged by, or name, a process that the
    flow's lines involve, at most `CONTEXT_SECONDS` before or after these.

    Args:
        lines: All lines, in any order.
        flow: A flow's name or a part of it, such as its caller's ``ip:port``.

    Returns:
        The lines; empty if no line is about the flow.
    """
    all_lines = list(lines)
    flow_lines = [line for line in all_lines if flow in line.flow]
    if not flow_lines:
        return []
    first = min(line.at for line in flow_lines) - CONTEXT_SECONDS
    last = max(line.at for line in flow_lines) + CONTEXT_SECONDS
    involved = {process for line in flow_lines for process in line.processes}
    context = [
        line
        for line in all_lines
        if not line.flow and first <= line.at <= last and line.processes & involved
    ]
    return sorted(flow_lines + context)


def format_lines(lines: list[LogLine]) -> str:
    """Return lines as text, with times in seconds since the first of them."""
    if not lines:
        return ""
    start = lines[0].at
    return "\n".join(_format_line(line, start=start) for line in lines)


def _format_line(line: LogLine, *, start: float) -> str:
    fields = " ".join(f"{key}={value}" for key, value in sorted(line.fields.items()))
    mark = ">" if line.flow else " "
    return f"{line.at - start:+9.3f} {mark} {line.process:24} {line.event}  {fields}"


def _parse(text: str) -> LogLine | None:
    """Parse a log line; return ``None`` if it is not a JSON log line."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        content = json.loads(text[start:])
        return LogLine(
            at=_unix_seconds(content["timestamp"]),
            process=str(content.get("process", "?")),
            event=str(content["event"]),
            flow=str(content.get("flow", "")),
            fields={k: v for k, v in content.items() if k not in _NOT_IN_FIELDS},
        )
    except (ValueError, KeyError, TypeError):
        return None


def _unix_seconds(timestamp: str) -> float:
    return datetime.fromisoformat(timestamp).timestamp()
