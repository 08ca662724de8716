"""The commands ``evacuate`` and ``readmit``, and what ``status`` tells of them."""

import getpass
import sys
import uuid
from collections.abc import Iterable
from datetime import UTC, datetime

from monsoonpier.exits import Exit
from monsoonpier.operator.evacuate import (
    EvacuationEntry,
    Order,
    StoredOrder,
    find_obstacles,
    place_order,
    read_orders,
    take_back,
)
from monsoonpier.operator.reports import newest_targets, report_unreachable
from monsoonpier.operator.session import OperatorSession
from monsoonpier.operator.waiting import wait_in_force
from monsoonpier.operator.write import Refused, Undecided, Written
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
    """Let no new flow go to a data centre, unless that leaves a service without."""
    try:
        orders = await read_orders(session.platform)
        statuses = await session.statuses(await session.balancers())
    except StoreError as error:
        return report_unreachable(error)
    if data_centre in orders:
        print(_already(orders[data_centre]), file=sys.stderr)
        return Exit.CONFLICT
    targets = [t for status in statuses.values() if status for t in status.targets]
    obstacles = find_obstacles(data_centre, targets, evacuated=orders)
    if obstacles and not force:
        print("\n".join(obstacles), file=sys.stderr)
        print("nothing was changed; --force does it all the same", file=sys.stderr)
        return Exit.BAD_INPUT
    order = _order(data_centre, who=who)
    outcome = await place_order(session.platform, order, draw=session.draw)
    return await _tell(session, order, outcome, is_active=True, seconds=wait_seconds)


async def readmit(
    session: OperatorSession, data_centre: str, *, who: str, wait_seconds: float
) -> int:
    """Let new flows go to a data centre again."""
    try:
        orders = await read_orders(session.platform)
    except StoreError as error:
        return report_unreachable(error)
    if data_centre not in orders:
        known = ", ".join(sorted(orders)) or "none"
        print(f"{data_centre} isn't evacuated; evacuated: {known}", file=sys.stderr)
        return Exit.BAD_INPUT
    order = _order(data_centre, who=who)
    outcome = await take_back(
        session.platform, order, held=orders[data_centre], draw=session.draw
    )
    return await _tell(session, order, outcome, is_active=False, seconds=wait_seconds)


def evacuation_lines(
    orders: dict[str, StoredOrder], statuses: Iterable[StatusReply | None]
) -> list[str]:
    """Describe each evacuated data centre, with the flows that are still open."""
    targets = newest_targets(statuses).values()
    return [
        f"data centre {name}: evacuated since {stored.entry.at} by "
        f"{stored.entry.who} (revision {stored.revision}), "
        f"{_open_flows(name, targets)} flows still open"
        for name, stored in sorted(orders.items())
    ]


def entry_line(entry: EvacuationEntry) -> str:
    """Return an entry of the audit trail as ``history`` shows it."""
    return f"{entry.at} by {entry.who}: {entry.note} {entry.data_centre}"


def _open_flows(data_centre: str, targets: Iterable[TargetStatus]) -> int:
    return sum(t.load.flows for t in targets if t.record.data_centre == data_centre)


def _order(data_centre: str, *, who: str) -> Order:
    return Order(
        data_centre=data_centre,
        order_id=uuid.uuid4().hex,
        who=who or getpass.getuser(),
        at=datetime.now(UTC).isoformat(timespec="seconds"),
    )


def _already(held: StoredOrder) -> str:
    entry = held.entry
    return f"{entry.data_centre} is evacuated since {entry.at} by {entry.who}"


async def _tell(
    session: OperatorSession,
    order: Order,
    outcome: Written | Refused | Undecided,
    *,
    is_active: bool,
    seconds: float,
) -> int:
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
            return Exit.OK
        case Refused():
            print(
                f"conflict: another order on {order.data_centre} came first; nothing "
                "of yours was done. Look at `status`.",
                file=sys.stderr,
            )
            return Exit.CONFLICT
        case Undecided(reason=reason):
            print(
                f"unknown: the platform can't tell whether it was accepted ({reason}). "
                f"Look for {order.data_centre} in `status` when it is back.",
                file=sys.stderr,
            )
            return Exit.UNKNOWN
