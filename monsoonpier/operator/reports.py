"""Helpers that several commands share."""

import sys
from collections.abc import Iterable

from monsoonpier.exits import ExitStatus
from monsoonpier.store.interface import StoreError
from monsoonpier.wire.control import StatusReply, TargetStatus

__all__ = ["newest_targets", "report_unreachable"]


def newest_targets(
    statuses: Iterable[StatusReply | None],
) -> dict[str, TargetStatus]:
    """Return the newest report about each target, by the target's name."""
    newest_by_name: dict[str, TargetStatus] = {}
    for status in statuses:
        for target in status.targets if status else ():
            current = newest_by_name.get(target.record.name)
            if current is None or target.load.number > current.load.number:
                newest_by_name[target.record.name] = target
    return newest_by_name


def report_unreachable(error: StoreError) -> int:
    """Print that the platform can't be reached, and return the exit status."""
    print(f"the platform can't be reached: {error}", file=sys.stderr)
    return ExitStatus.UNAVAILABLE
