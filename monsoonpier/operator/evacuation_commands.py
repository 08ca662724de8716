"""The commands ``evacuate`` and ``readmit``, and lines about evacuations."""

import getpass
import sys
import uuid
from collections.abc import Iterable
from datetime import UTC, datetime

from monsoonpier.exits import ExitStatus
from monsoonpier.operator.conditional_write import (
    PreconditionFailed,
    Unresolved,
    Written,
)
from monsoonpier.operator.evacuation_orders import (
    EvacuationEntry,
    EvacuationOrder,
    StoredOrder,
    find_obstacles,
    read_orders,
    remove_order,
    store_order,
)
from monsoonpier.operator.reports import newest_targets, report_unreachable
from monsoonpier.operator.rollout import wait_in_force
from monsoonpier.operator.session import OperatorSession
from monsoonpier.store.interface import StoreError
from monsoonpier.wire.control import StatusReply, TargetStatus

__all__ = [
    "entry_line",
    "evacuate",
    "evacuation_lines",
    "readmit",
]


async def evacuate(
    session: OperatorSession,
    data_centre: str,
    *,
    who: str,
    force: bool,
    wait_seconds: float,
) -> int:
    """Order the balancers to send no new flows to a data centre.

    Nothing is changed if a service would have no targets left, unless
    ``force`` is set.

    Args:
        session: Connections to the store and the processes.
        data_centre: Name of the data centre.
        who: Name of the operator for the audit trail; if empty, the login
            name.
        force: Whether to evacuate even if a service would have no targets left.
        wait_seconds: The longest time to wait until the order is in force on
            every balancer; 0 to return at once.

    Returns:
        The exit status.
    """
    try:
        orders = await read_orders(session.platform)
        statuses = await session.statuses(await session.balancers())
    except StoreError as error:
        return report_unreachable(error)
    if data_centre in orders:
        print(_already_evacuated(orders[data_centre]), file=sys.stderr)
        return ExitStatus.CONFLICT
    targets = [t for status in statuses.values() if status for t in status.targets]
    obstacles = find_obstacles(data_centre, targets, evacuated=orders)
    if obstacles and not force:
        print("\n".join(obstacles), file=sys.stderr)
        print("nothing was changed; use --force to evacuate it anyway", file=sys.stderr)
        return ExitStatus.BAD_INPUT
    order = _new_order(data_centre, who=who)
    outcome = await store_order(session.platform, order, draw=session.draw)
    return await _report_outcome(
        session, order, outcome, is_active=True, seconds=wait_seconds
    )


async def readmit(
    session: OperatorSession, data_centre: str, *, who: str, wait_seconds: float
) -> int:
    """Order the balancers to send new flows to a data centre again."""
    try:
        orders = await read_orders(session.platform)
    except StoreError as error:
        return report_unreachable(error)
    if data_centre not in orders:
        known = ", ".join(sorted(orders)) or "none"
        print(f"{data_centre} isn't evacuated; evacuated: {known}", file=sys.stderr)
        return ExitStatus.BAD_INPUT
    order = _new_order(data_centre, who=who)
    outcome = await remove_order(
        session.platform, order, stored=orders[data_centre], draw=session.draw
    )
    return await _report_outcome(
        session, order, outcome, is_active=False, seconds=wait_seconds
    )


def evacuation_lines(
    orders: dict[str, StoredOrder], statuses: Iterable[StatusReply | None]
) -> list[str]:
    """Return a line for each evacuated data centre, with its open flows."""
    targets = newest_targets(statuses).values()
    return [
        f"data centre {name}: evacuated since {stored.entry.at} by "
        f"{stored.entry.who} (revision {stored.revision}), "
        f"{_open_flows(name, targets)} flows still open"
        for name, stored in sorted(orders.items())
    ]


def entry_line(entry: EvacuationEntry) -> str:
    """Return the line of ``history`` for an entry of the audit trail."""
    return f"{entry.at} by {entry.who}: {entry.note} {entry.data_centre}"


def _open_flows(data_centre: str, targets: Iterable[TargetStatus]) -> int:
    return sum(t.load.flows for t in targets if t.record.data_centre == data_centre)


def _new_order(data_centre: str, *, who: str) -> EvacuationOrder:
    return EvacuationOrder(
        data_centre=data_centre,
        order_id=uuid.uuid4().hex,
        who=who or getpass.getuser(),
        at=datetime.now(UTC).isoformat(timespec="seconds"),
    )


def _already_evacuated(stored: StoredOrder) -> str:
    """Return the error message for a data centre that is evacuated already."""
    entry = stored.entry
    return f"{entry.data_centre} has been evacuated since {entry.at} by {entry.who}"


async def _report_outcome(
    session: OperatorSession,
    order: EvacuationOrder,
    outcome: Written | PreconditionFailed | Unresolved,
    *,
    is_active: bool,
    seconds: float,
) -> int:
    """Print the outcome of an order.

    If ``seconds`` isn't 0, wait until the order is in force.
    """
    what = "evacuated" if is_active else "readmitted"
    match outcome:
        case Written():
            print(f"accepted: {order.data_centre} is {what}")
            if seconds:
                return await wait_in_force(
                    session,
                    lambda status: (order.data_centre in status.evacuated) == is_active,
                    seconds=seconds,
                )
            return ExitStatus.OK
        case PreconditionFailed():
            print(
                f"conflict: another order on {order.data_centre} came first; nothing "
                "was changed. Run `status`.",
                file=sys.stderr,
            )
            return ExitStatus.CONFLICT
        case Unresolved(reason=reason):
            print(
                f"unknown: the platform did not confirm the order ({reason}). Look "
                f"for {order.data_centre} in `status` once the platform responds.",
                file=sys.stderr,
            )
            return ExitStatus.UNKNOWN
