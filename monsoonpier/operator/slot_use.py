"""Use of the targets' slots by service and data centre."""

import asyncio
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from monsoonpier.operator.reports import newest_targets
from monsoonpier.operator.session import OperatorSession
from monsoonpier.wire.control import StatusReply, TargetStatus

__all__ = ["ServiceSlots", "measure_slot_use", "slot_lines", "sum_slot_use"]

SAMPLE_SECONDS = 2.0  # between the two requests to an agent
MAX_CONCURRENT_REQUESTS = 64  # each needs a socket


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSlots:
    """Use of the slots of one service in one data centre between two samples.

    Each share is a fraction of the slots' total time between the samples.

    Attributes:
        service, data_centre: The service and the targets' data centre.
        agents: Number of agents that responded to both requests and did not
            restart between them.
        slots: Number of slots.
        queued: New flows that wait at the agents, in time or late.
        busy_share: Time in which slots ran a request.
        kept_share: Time in which slots were kept free for a flow's first
            request.
        idle_share: Time in which slots ran nothing, including the kept time.
        idle_while_queued_share: The part of the idle time in which a flow
            waited at the agent.
        kept_in_vain_share: Time in which slots were kept for callers that did
            not send a request before the timeout.
        runs: Number of requests answered.
        silent: Number of callers that sent no request before the timeout.
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


async def measure_slot_use(
    session: OperatorSession, statuses: Iterable[StatusReply | None]
) -> tuple[ServiceSlots, ...]:
    """Measure the use of slots with two requests to each agent."""
    targets_by_name = newest_targets(statuses)
    before = await _read_slot_use(session, targets_by_name)
    await asyncio.sleep(SAMPLE_SECONDS)
    after = await _read_slot_use(session, targets_by_name)
    return sum_slot_use(targets_by_name, before=before, after=after)


async def _read_slot_use(
    session: OperatorSession, targets_by_name: Mapping[str, TargetStatus]
) -> dict[str, Mapping[str, float]]:
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def request_one(target: TargetStatus) -> StatusReply | None:
        async with limit:
            return await session.status(target.record.control)

    replies = await asyncio.gather(*map(request_one, targets_by_name.values()))
    return {
        name: reply.slot_use
        for name, reply in zip(targets_by_name, replies, strict=True)
        if reply is not None and reply.slot_use
    }


def sum_slot_use(
    targets_by_name: Mapping[str, TargetStatus],
    *,
    before: Mapping[str, Mapping[str, float]],
    after: Mapping[str, Mapping[str, float]],
) -> tuple[ServiceSlots, ...]:
    """Sum the use of slots between two samples, by service and data centre.

    Args:
        targets_by_name: The targets of the agents.
        before: Slot use in each agent's first status, by target name.
        after: Slot use in each agent's second status, by target name.
    """
    use_by_place: dict[tuple[str, str], Counter[str]] = {}
    for name in sorted(before.keys() & after.keys()):
        use = _use_between(before[name], after[name])
        if use is None:
            continue
        record = targets_by_name[name].record
        place = (record.service, record.data_centre)
        use_by_place.setdefault(place, Counter()).update(use)
    return tuple(
        _service_slots(service, data_centre, use)
        for (service, data_centre), use in sorted(use_by_place.items())
    )


def slot_lines(uses: Iterable[ServiceSlots]) -> list[str]:
    """Return a line of text for each service and data centre."""
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


def _use_between(
    before: Mapping[str, float], after: Mapping[str, float]
) -> dict[str, float] | None:
    """Return one agent's use between samples; ``None`` if it restarted."""
    current_values = ("slots", "running", "queued", "queued_late", "reserved")
    use = {
        name: value if name in current_values else value - before.get(name, 0)
        for name, value in after.items()
    }
    is_same_process = all(value >= 0 for value in use.values())
    return use | {"agents": 1} if is_same_process else None


def _service_slots(
    service: str, data_centre: str, use: Mapping[str, float]
) -> ServiceSlots:
    busy, idle = use["busy_seconds"], use["idle_seconds"]
    seconds = busy + idle
    return ServiceSlots(
        service=service,
        data_centre=data_centre,
        agents=int(use["agents"]),
        slots=int(use["slots"]),
        queued=int(use["queued"] + use["queued_late"]),
        busy_share=_share(busy, seconds),
        kept_share=_share(use["kept_seconds"], seconds),
        idle_share=_share(idle, seconds),
        idle_while_queued_share=_share(use["idle_while_queued_seconds"], seconds),
        kept_in_vain_share=_share(use["kept_in_vain_seconds"], seconds),
        runs=int(use["runs"]),
        silent=int(use["silent"]),
    )


def _share(part: float, whole: float) -> float:
    return part / whole if whole else 0.0
