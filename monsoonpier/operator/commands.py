"""The operators' commands: they print their results and return exit statuses.

The commands on evacuations are in `evacuation_commands`.
"""

import getpass
import json
import sys
import uuid
from collections.abc import Iterable
from dataclasses import asdict
from datetime import UTC, datetime
from enum import Enum
from pathlib import Path

import msgspec

from monsoonpier.documents.configuration import (
    ParsedFiles,
    difference,
    parse_files,
    read_files,
)
from monsoonpier.exits import ExitStatus
from monsoonpier.model.findings import report
from monsoonpier.operator.caller_waits import caller_lines, summarise_callers
from monsoonpier.operator.change import (
    Accepted,
    ConfigurationChange,
    Conflict,
    Unknown,
    read_audit,
    read_stored,
    store_change,
)
from monsoonpier.operator.evacuation_commands import entry_line, evacuation_lines
from monsoonpier.operator.evacuation_orders import read_evacuation_audit, read_orders
from monsoonpier.operator.reports import newest_targets, report_unreachable
from monsoonpier.operator.rollout import wait_in_force
from monsoonpier.operator.session import OperatorSession
from monsoonpier.operator.slot_use import measure_slot_use, slot_lines
from monsoonpier.process.control import NoResponseError
from monsoonpier.store.interface import StoreError
from monsoonpier.wire.control import StatusReply

__all__ = [
    "apply_files",
    "check_files",
    "drain_process",
    "roll_back",
    "show_difference",
    "show_history",
    "show_status",
    "to_json_types",
]


def check_files(paths: Iterable[Path]) -> int:
    """Print all errors in the files or, if there are none, their services."""
    _, parsed = _read_and_parse(paths)
    if parsed is None:
        return ExitStatus.BAD_INPUT
    for line in difference({}, parsed.services_by_name):
        print(line.removeprefix("+ "))
    return ExitStatus.OK


async def apply_files(
    session: OperatorSession, paths: Iterable[Path], *, who: str, wait_seconds: float
) -> int:
    """Replace the configuration by a set of files and print the difference."""
    texts_by_name, parsed = _read_and_parse(paths)
    if parsed is None:
        return ExitStatus.BAD_INPUT
    return await _apply_change(
        session, texts_by_name, who=who, note="apply", wait_seconds=wait_seconds
    )


async def roll_back(
    session: OperatorSession, version: int, *, who: str, wait_seconds: float
) -> int:
    """Apply the files of an earlier version as a new version."""
    try:
        entries = await read_audit(session.platform, version=version)
    except StoreError as error:
        return report_unreachable(error)
    if not entries:
        print(f"there is no version {version} in the audit trail", file=sys.stderr)
        return ExitStatus.BAD_INPUT
    texts_by_name = entries[0].files
    return await _apply_change(
        session,
        texts_by_name,
        who=who,
        note=f"rollback to {version}",
        wait_seconds=wait_seconds,
    )


async def show_difference(session: OperatorSession, paths: Iterable[Path]) -> int:
    """Print what applying the files would change."""
    _, parsed = _read_and_parse(paths)
    if parsed is None:
        return ExitStatus.BAD_INPUT
    try:
        base = await read_stored(session.platform)
    except StoreError as error:
        return report_unreachable(error)
    lines = difference(base.stored.services, parsed.services_by_name)
    print(f"against version {base.version}:")
    print("\n".join(lines) or "no difference")
    return ExitStatus.OK


async def show_history(session: OperatorSession, *, count: int) -> int:
    """Print the newest evacuation orders, then the newest changes.

    Print at most ``count`` of each, the newest first.
    """
    try:
        entries = await read_audit(session.platform)
        evacuations = await read_evacuation_audit(session.platform)
    except StoreError as error:
        return report_unreachable(error)
    for evacuation in evacuations[::-1][:count]:
        print(entry_line(evacuation))
    for entry in entries[::-1][:count]:
        print(
            f"version {entry.version} (from {entry.previous}) {entry.at} "
            f"by {entry.who}: {entry.note}, accepted, id {entry.apply_id}"
        )
        for line in entry.difference:
            print(f"    {line}")
    if not entries:
        print("no changes yet")
    return ExitStatus.OK


async def show_status(
    session: OperatorSession, *, as_json: bool, with_slots: bool = False
) -> int:
    """Print the balancers, targets, callers' waits and versions in force.

    Args:
        session: Connections to the store and the processes.
        as_json: Whether to print one JSON object instead of lines of text.
        with_slots: Whether to measure the use of the targets' slots as well.
    """
    try:
        stored = (await read_stored(session.platform)).stored
        orders = await read_orders(session.platform)
        statuses = await session.statuses(await session.balancers())
    except StoreError as error:
        return report_unreachable(error)
    waits = summarise_callers(statuses.values())
    slots = await measure_slot_use(session, statuses.values()) if with_slots else ()
    if as_json:
        content = {
            "accepted": stored.version,
            "evacuated": sorted(orders),
            "callers": [asdict(each) for each in waits],
            "slots": [asdict(each) for each in slots],
            "balancers": to_json_types(statuses),
        }
        print(json.dumps(content))
        return ExitStatus.OK
    print(f"accepted configuration: version {stored.version} by {stored.who or '-'}")
    for name, status in sorted(statuses.items()):
        print(_balancer_line(name, status))
    for line in evacuation_lines(orders, statuses.values()):
        print(line)
    for line in _target_lines(statuses.values()):
        print(line)
    for line in caller_lines(waits) + slot_lines(slots):
        print(line)
    return ExitStatus.OK


async def drain_process(session: OperatorSession, name: str) -> int:
    """Request that the balancer or agent of that name drain and shut down."""
    try:
        balancers = await session.balancers()
        statuses = await session.statuses(balancers)
    except StoreError as error:
        return report_unreachable(error)
    controls_by_name = {n: record.control for n, record in balancers.items()}
    for status in statuses.values():
        for target in status.targets if status else ():
            controls_by_name.setdefault(target.record.name, target.record.control)
    if name not in controls_by_name:
        known = ", ".join(sorted(controls_by_name)) or "none"
        print(f"no process is named {name!r}; known: {known}", file=sys.stderr)
        return ExitStatus.BAD_INPUT
    try:
        reply = await session.drain(controls_by_name[name], name)
    except NoResponseError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return ExitStatus.UNAVAILABLE
    if not reply.accepted:
        print(f"{name}: {reply.reason}", file=sys.stderr)
        return ExitStatus.UNAVAILABLE
    print(f"{name} is leaving")
    return ExitStatus.OK


def _read_and_parse(paths: Iterable[Path]) -> tuple[dict[str, str], ParsedFiles | None]:
    """Return the files' texts and their parsed content.

    If there are errors, print them and return ``None`` as the content.
    """
    texts_by_name, findings = read_files(paths)
    parsed = parse_files(texts_by_name) if texts_by_name else ParsedFiles()
    findings = (*findings, *parsed.findings)
    if findings:
        print(report(findings), file=sys.stderr)
        return texts_by_name, None
    return texts_by_name, parsed


async def _apply_change(
    session: OperatorSession,
    texts_by_name: dict[str, str],
    *,
    who: str,
    note: str,
    wait_seconds: float,
) -> int:
    """Store a configuration and print the outcome.

    If ``wait_seconds`` isn't 0, wait until the configuration is in force.
    """
    wanted = ConfigurationChange(
        apply_id=uuid.uuid4().hex,
        who=who or getpass.getuser(),
        at=datetime.now(UTC).isoformat(timespec="seconds"),
        texts_by_name=texts_by_name,
        note=note,
    )
    try:
        base = await read_stored(session.platform)
    except StoreError as error:
        return report_unreachable(error)
    outcome = await store_change(
        session.platform,
        wanted,
        base=base,
        newest_in_force=await session.newest_in_force(),
        draw=session.draw,
    )
    match outcome:
        case Accepted(version=version, difference=lines):
            print(f"accepted as version {version}")
            print("\n".join(lines) or "no difference")
            if wait_seconds:
                return await wait_in_force(
                    session,
                    lambda status: status.version >= version,
                    seconds=wait_seconds,
                )
            return ExitStatus.OK
        case Conflict(by=by):
            print(
                f"conflict: {by.stored.who} applied version {by.version} at "
                f"{by.stored.at}; your change "
                "was not applied. Run `diff`, then apply again.",
                file=sys.stderr,
            )
            return ExitStatus.CONFLICT
        case Unknown(reason=reason, apply_id=apply_id):
            print(
                f"unknown: the platform did not confirm the change ({reason}). "
                f"Look for id {apply_id} in `history` once the platform responds.",
                file=sys.stderr,
            )
            return ExitStatus.UNKNOWN


def to_json_types(value):
    """Convert wire messages to the types of JSON.

    Structs become objects with their field names, bytes become hexadecimal
    digits, and enum members become their names in lower case.
    """
    match value:
        case msgspec.Struct():
            return {
                k: to_json_types(v) for k, v in msgspec.structs.asdict(value).items()
            }
        case dict():
            return {key: to_json_types(item) for key, item in value.items()}
        case tuple():
            return [to_json_types(item) for item in value]
        case bytes():
            return value.hex()
        case Enum():
            return value.name.lower()
    return value


def _balancer_line(name: str, status: StatusReply | None) -> str:
    if status is None:
        return f"balancer {name}: no answer"
    return (
        f"balancer {name} ({status.data_centre}): {status.state}, "
        f"version {status.version}, {len(status.targets)} targets, "
        f"up {status.uptime:.0f} s"
    )


def _target_lines(statuses: Iterable[StatusReply | None]) -> list[str]:
    """Return a line for each target from the newest report about it."""
    return [
        f"target {name} ({target.record.service}, {target.record.data_centre}): "
        f"{target.load.condition.name.lower()}"
        f"{', suspected' if target.suspected else ''}, "
        f"{target.load.in_flight} of {target.record.slots} slots, "
        f"{target.load.queued + target.load.queued_late} queued, "
        f"{target.load.flows} flows"
        for name, target in sorted(newest_targets(statuses).items())
    ]
