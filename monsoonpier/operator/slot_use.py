"""What targets' slots do, by service and data centre: asked of their agents."""

import asyncio
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from monsoonpier.operator.reports import newest_targets
from monsoonpier.operator.session import OperatorSession
from monsoonpier.wire.control import StatusReply, TargetStatus

__all__ = ["ServiceSlots", "added_slots", "slot_lines", "slot_uses"]

BETWEEN_SECONDS = 2.0  # fifty runs a slot: what they do now, not since their start
MAX_ASKED_AT_ONCE = 64  # agents; each takes a socket


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSlots:
    """The slots of one service in one data centre, over a moment.

    Attributes:
        service, data_centre: Which they are.
        agents: How many answered twice.
        slots: How many there are.
        queued: New flows that wait at the agents, in time or late.
        busy_share: Of the slots' time, in which they ran a request.
        kept_share: In which they were kept for a flow's first request.
        idle_share: In which they ran nothing, the kept time with it.
        idle_while_queued_share: Of that, while a flow waited at the agent.
        kept_in_vain_share: In which they were kept for a caller that then was silent
            for too long.
        runs: Requests answered meanwhile.
        silent: Slots so kept.
    """

    service: str
    data_centre: str
    agents: int
    slots: int
    queued: int
    busy_share: float
    kept_share: float
    idle_share: float
    idle_while_queued_share: float
    kept_in_vain_share: float
    runs: int
    silent: int


async def slot_uses(
    session: OperatorSession, statuses: Iterable[StatusReply | None]
) -> tuple[ServiceSlots, ...]:
    """Ask all agents that balancers know twice; return what their slots did between."""
    targets_by_name = newest_targets(statuses)
    before = await _ask(session, targets_by_name)
    await asyncio.sleep(BETWEEN_SECONDS)
    after = await _ask(session, targets_by_name)
    return added_slots(targets_by_name, before=before, after=after)


async def _ask(
    session: OperatorSession, targets_by_name: Mapping[str, TargetStatus]
) -> dict[str, Mapping[str, float]]:
    gate = asyncio.Semaphore(MAX_ASKED_AT_ONCE)

    async def ask_one(target: TargetStatus) -> StatusReply | None:
        async with gate:
            return await session.status(target.record.control)

    replies = await asyncio.gather(*map(ask_one, targets_by_name.values()))
    return {
        name: reply.slot_use
        for name, reply in zip(targets_by_name, replies, strict=True)
        if reply is not None and reply.slot_use
    }


def added_slots(
    targets_by_name: Mapping[str, TargetStatus],
    *,
    before: Mapping[str, Mapping[str, float]],
    after: Mapping[str, Mapping[str, float]],
) -> tuple[ServiceSlots, ...]:
    """Add up what came between two answers, by service and data centre."""
    gains: dict[tuple[str, str], Counter[str]] = {}
    for name in sorted(before.keys() & after.keys()):
        gained = _gained(before[name], after[name])
        if gained is None:
            continue
        record = targets_by_name[name].record
        place = (record.service, record.data_centre)
        gains.setdefault(place, Counter()).update(gained)
    return tuple(
        _service_slots(service, data_centre, gained)
        for (service, data_centre), gained in sorted(gains.items())
    )


def slot_lines(uses: Iterable[ServiceSlots]) -> list[str]:
    """Describe the slots of each service in each data centre."""
    return [
        f"slots of {use.service} in {use.data_centre}: {use.slots} at {use.agents} "
        f"targets, {use.queued} flows wait at their agents; "
        f"busy {use.busy_share:.0%}, idle {use.idle_share:.0%} "
        f"(kept for a first request {use.kept_share:.0%}, "
        f"in vain {use.kept_in_vain_share:.0%}, "
        f"while a flow waited {use.idle_while_queued_share:.0%}); "
        f"{use.runs} runs, {use.silent} callers silent"
        for use in uses
    ]


def _gained(
    before: Mapping[str, float], after: Mapping[str, float]
) -> dict[str, float] | None:
    """Return what an agent did meanwhile; ``None`` for one that began anew."""
    present = ("slots", "running", "queued", "queued_late", "reserved")
    gained = {
        name: value if name in present else value - before.get(name, 0)
        for name, value in after.items()
    }
    is_same_process = all(value >= 0 for value in gained.values())
    return gained | {"agents": 1} if is_same_process else None


def _service_slots(
    service: str, data_centre: str, gained: Mapping[str, float]
) -> ServiceSlots:
    busy, idle = gained["busy_seconds"], gained["idle_seconds"]
    seconds = busy + idle
    return ServiceSlots(
        service=service,
        data_centre=data_centre,
        agents=int(gained["agents"]),
        slots=int(gained["slots"]),
        queued=int(gained["queued"] + gained["queued_late"]),
        busy_share=_share(busy, seconds),
        kept_share=_share(gained["kept_seconds"], seconds),
        idle_share=_share(idle, seconds),
        idle_while_queued_share=_share(gained["idle_while_queued_seconds"], seconds),
        kept_in_vain_share=_share(gained["kept_in_vain_seconds"], seconds),
        runs=int(gained["runs"]),
        silent=int(gained["silent"]),
    )


def _share(part: float, whole: float) -> float:
    return part / whole if whole else 0.0
