"""Joins the logs of several processes into the story of one flow."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

__all__ = ["Line", "explain", "read_lines", "render"]

BELIEF_SECONDS = 5.0  # beliefs about the flow's targets that are this close to it
_SHOWN_APART = ("timestamp", "process", "role", "event", "level", "flow")
_PROCESS_FIELDS = ("target", "agent", "name")


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Line:
    """One log line; ``at`` is its writer's wall clock in seconds."""

    at: float
    process: str
    event: str
    flow: str = ""
    fields: dict = field(default_factory=dict, compare=False)

    @property
    def processes(self) -> set[str]:
        """The processes that the line is by or about."""
        named = {str(self.fields[key]) for key in _PROCESS_FIELDS if key in self.fields}
        return named | {self.process}


def read_lines(files: Iterable[Path]) -> Iterator[Line]:
    """Yield the JSON lines of log files; other text is passed over.

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


def explain(lines: Iterable[Line], *, flow: str) -> list[Line]:
    """Return the lines of the flows that contain ``flow``, and near beliefs.

    Args:
        lines: All lines, in any order.
        flow: A flow's name, or its caller's ``ip:port`` alone.

    Returns:
        The lines by time. Beliefs are lines without a flow that are by or about
        a process which took part.
    """
    kept = list(lines)
    story = [line for line in kept if flow in line.flow]
    if not story:
        return []
    first = min(line.at for line in story) - BELIEF_SECONDS
    last = max(line.at for line in story) + BELIEF_SECONDS
    involved = {process for line in story for process in line.processes}
    beliefs = [
        line
        for line in kept
        if not line.flow and first <= line.at <= last and line.processes & involved
    ]
    return sorted(story + beliefs)


def render(lines: list[Line]) -> str:
    """Return lines as text, with times relative to the first of them."""
    if not lines:
        return ""
    began = lines[0].at
    return "\n".join(_render_line(line, began=began) for line in lines)


def _render_line(line: Line, *, began: float) -> str:
    fields = " ".join(f"{key}={value}" for key, value in sorted(line.fields.items()))
    mark = ">" if line.flow else " "
    return f"{line.at - began:+9.3f} {mark} {line.process:24} {line.event}  {fields}"


def _parse(text: str) -> Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        content = json.loads(text[start:])
        return Line(
            at=_seconds(content["timestamp"]),
            process=str(content.get("process", "?")),
            event=str(content["event"]),
            flow=str(content.get("flow", "")),
            fields={k: v for k, v in content.items() if k not in _SHOWN_APART},
        )
    except (ValueError, KeyError, TypeError):
        return None


def _seconds(timestamp: str) -> float:
    return datetime.fromisoformat(timestamp).timestamp()
