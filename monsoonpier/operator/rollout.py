"""Waits until a change is in force on every balancer."""

import asyncio
import sys
import time
from collections.abc import Callable

from monsoonpier.exits import ExitStatus
from monsoonpier.operator.reports import report_unreachable
from monsoonpier.operator.session import OperatorSession
from monsoonpier.store.interface import StoreError
from monsoonpier.wire.control import StatusReply

__all__ = ["wait_in_force"]

POLL_SECONDS = 0.1


async def wait_in_force(
    session: OperatorSession,
    is_in_force: Callable[[StatusReply], bool],
    *,
    seconds: float,
) -> int:
    """Wait until a change is in force on every balancer, and print the result.

    Args:
        session: Requests the balancers' statuses.
        is_in_force: Returns whether the change is in force, by a balancer's
            status.
        seconds: The longest time to wait.

    Returns:
        The exit status.
    """
    start = time.monotonic()
    while True:
        try:
            statuses = await session.statuses(await session.balancers())
        except StoreError as error:
            return report_unreachable(error)
        lagging = sorted(
            name
            for name, status in statuses.items()
            if status is None or not is_in_force(status)
        )
        elapsed = time.monotonic() - start
        if not lagging:
            print(f"in force on {len(statuses)} balancers after {elapsed:.2f} s")
            return ExitStatus.OK
        if elapsed >= seconds:
            updated = len(statuses) - len(lagging)
            print(
                f"in force on {updated} of {len(statuses)} balancers; "
                f"lagging: {', '.join(lagging)}",
                file=sys.stderr,
            )
            return ExitStatus.LAGGING
        await asyncio.sleep(POLL_SECONDS)
