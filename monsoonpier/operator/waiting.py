"""Waiting until every balancer obeys an order."""

import asyncio
import sys
import time
from collections.abc import Callable

from monsoonpier.exits import Exit
from monsoonpier.operator.reports import report_unreachable
from monsoonpier.operator.session import OperatorSession
from monsoonpier.store.interface import StoreError
from monsoonpier.wire.control import StatusReply

__all__ = ["wait_in_force"]

ASK_AGAIN_SECONDS = 0.1


async def wait_in_force(
    session: OperatorSession, obeys: Callable[[StatusReply], bool], *, seconds: float
) -> int:
    """Wait until every balancer obeys; name those that lag.

    Args:
        session: Asks the balancers.
        obeys: Tells by a balancer's status whether it does.
        seconds: How long to wait at the most.
    """
    began = time.monotonic()
    while True:
        try:
            statuses = await session.statuses(await session.balancers())
        except StoreError as error:
            return report_unreachable(error)
        lagging = sorted(
            name
            for name, status in statuses.items()
            if status is None or not obeys(status)
        )
        elapsed = time.monotonic() - began
        if not lagging:
            print(f"in force on {len(statuses)} balancers after {elapsed:.2f} s")
            return Exit.OK
        if elapsed >= seconds:
            in_force = len(statuses) - len(lagging)
            print(
                f"in force on {in_force} of {len(statuses)} balancers; "
                f"lagging: {', '.join(lagging)}",
                file=sys.stderr,
            )
            return Exit.LAGGING
        await asyncio.sleep(ASK_AGAIN_SECONDS)
