"""What became of new flows at one balancer, by service and priority.

The load that it answers: more callers than slots, where a few who wait long or are
refused vanish among the many. Counts are kept as flows come and go; what waits is
looked through only when somebody asks.
"""

import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field

from monsoonpier.balancer.packets.placement import run_seconds, wait_for_slot
from monsoonpier.balancer.steering import Candidate
from monsoonpier.model.service import PacketRoute
from monsoonpier.model.waiting import MARGIN_RUNS, WaitingFlow
from monsoonpier.model.waiting_summary import LatelySeen, WaitingSummary

__all__ = ["CallerWaits", "ServiceWaits"]

LATELY_SECONDS = 10.0  # what an operator calls now; a burst is shorter
# Reasons are the code's own and few. A mistake there must not let metrics grow.
MAX_REASONS = 16
MAX_DATA_CENTRES = 64
OTHER = "other"
LINE_SECONDS = 5.0  # between two lines of one class: a day stays readable
MAX_LINES = 8  # classes that are worst off; the others are in the metrics

Class = tuple[str, int]  # a service and a priority


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceWaits:
    """What waits for one service, and the targets that it waits for."""

    flows: Sequence[WaitingFlow]
    candidates: Sequence[Candidate]


@dataclass(slots=True, kw_only=True)
class _Lately:
    served: float = 0.0
    refused: float = 0.0
    wait_seconds: float = 0.0
    at: float = 0.0

    def fade(self, *, now: float) -> None:
        left = math.exp(-max(0.0, now - self.at) / LATELY_SECONDS)
        self.served *= left
        self.refused *= left
        self.wait_seconds *= left
        self.at = now


@dataclass(slots=True, kw_only=True)
class _Counts:
    aim_seconds: float
    asked: int = 0
    served_late: int = 0
    served_by_data_centre: Counter[str] = field(default_factory=Counter)
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    wait_seconds: float = 0.0
    lately: _Lately = field(default_factory=_Lately)


class CallerWaits:
    """Counts new flows by service and priority. Does no I/O."""

    def __init__(self) -> None:
        self._counts_by_class: dict[Class, _Counts] = {}
        self._lined_at: float | None = None
        self._lined_by_class: dict[Class, WaitingSummary] = {}

    def configured(self, services: Collection[str]) -> None:
        """Forget all services but these, which have a route."""
        for key in list(self._counts_by_class):
            service, _ = key
            if service not in services:
                del self._counts_by_class[key]
                self._lined_by_class.pop(key, None)

    def asked(self, service: str, route: PacketRoute) -> None:
        """Count a new flow to a service, and its route."""
        counts = self._counts(service, route)
        counts.asked += 1
        counts.aim_seconds = route.aim_seconds

    def served(
        self,
        service: str,
        route: PacketRoute,
        *,
        asked_at: float,
        data_centre: str,
        now: float,
    ) -> None:
        """Count a flow that a target took.

        Args:
            service: The target's.
            route: Where its address leads.
            asked_at: When its caller asked first.
            data_centre: The target's.
            now: The present time.
        """
        counts = self._counts(service, route)
        wait = max(0.0, now - asked_at)
        _count(counts.served_by_data_centre, data_centre, most=MAX_DATA_CENTRES)
        counts.served_late += int(wait > route.aim_seconds)
        counts.wait_seconds += wait
        counts.lately.fade(now=now)
        counts.lately.served += 1
        counts.lately.wait_seconds += wait

    def refused(
        self, service: str, route: PacketRoute, reason: str, *, now: float
    ) -> None:
        """Count a flow whose caller is told to go."""
        counts = self._counts(service, route)
        _count(counts.refused_by_reason, reason, most=MAX_REASONS)
        counts.lately.fade(now=now)
        counts.lately.refused += 1

    def summaries(
        self,
        waits_by_service: Mapping[str, ServiceWaits],
        *,
        asked_at: Callable[[bytes], float | None],
        now: float,
    ) -> tuple[WaitingSummary, ...]:
        """Return how each class fares.

        Args:
            waits_by_service: What waits now, for the services that are looked at.
            asked_at: Tells when a waiting flow's caller asked first.
            now: The present time.
        """
        found = []
        for (service, priority), counts in sorted(self._counts_by_class.items()):
            waits = waits_by_service.get(service, ServiceWaits(flows=(), candidates=()))
            counts.lately.fade(now=now)
            found.append(
                WaitingSummary(
                    service=service,
                    priority=priority,
                    aim_seconds=counts.aim_seconds,
                    asked=counts.asked,
                    served_late=counts.served_late,
                    served_by_data_centre=dict(counts.served_by_data_centre),
                    refused_by_reason=dict(counts.refused_by_reason),
                    wait_seconds=counts.wait_seconds,
                    lately=LatelySeen(
                        served=counts.lately.served,
                        refused=counts.lately.refused,
                        wait_seconds=counts.lately.wait_seconds,
                    ),
                    **_present(waits, priority, asked_at=asked_at, now=now),
                )
            )
        return tuple(found)

    def is_line_due(self, *, now: float) -> bool:
        """Tell whether it is time for lines again, of what has come since."""
        if self._lined_at is None:
            self._lined_at = now
        if now - self._lined_at < LINE_SECONDS:
            return False
        self._lined_at = now
        return True

    def lines(self, summaries: Collection[WaitingSummary]) -> list[dict]:
        """Return the fields of a line for each class that waits or was refused.

        Args:
            summaries: How all classes fare now.
        """
        found = []
        for summary in summaries:
            key = (summary.service, summary.priority)
            before = self._lined_by_class.get(key)
            self._lined_by_class[key] = summary
            fields = _gained(summary, before)
            if summary.waiting or fields["refused"]:
                found.append(fields)
        found.sort(key=lambda fields: fields["oldest_seconds"], reverse=True)
        return found[:MAX_LINES]

    def _counts(self, service: str, route: PacketRoute) -> _Counts:
        key = (service, route.priority)
        counts = self._counts_by_class.get(key)
        if counts is None:
            counts = _Counts(aim_seconds=route.aim_seconds)
            self._counts_by_class[key] = counts
        return counts


def _count(counts: Counter[str], name: str, *, most: int) -> None:
    """Count under a name, or under one for all others if there are too many."""
    is_known = name in counts or len(counts) < most
    counts[name if is_known else OTHER] += 1


def _present(
    waits: ServiceWaits,
    priority: int,
    *,
    asked_at: Callable[[bytes], float | None],
    now: float,
) -> dict:
    """Return what waits now of one priority."""
    until = now + MARGIN_RUNS * run_seconds(waits.candidates)
    timely = [flow for flow in waits.flows if flow.in_time_until >= until]
    own = [flow for flow in waits.flows if flow.priority == priority]
    in_time = sum(flow.priority == priority for flow in timely)
    moments = [asked_at(flow.flow) for flow in own]
    ages = [max(0.0, now - moment) for moment in moments if moment is not None]
    ahead = sum(flow.priority <= priority for flow in timely)
    return {
        "in_time": in_time,
        "late": len(own) - in_time,
        "oldest_seconds": max(ages, default=0.0),
        "waited_seconds": sum(ages),
        "expected_seconds": wait_for_slot(waits.candidates, ahead=ahead),
    }


def _gained(summary: WaitingSummary, before: WaitingSummary | None) -> dict:
    """Return a line's fields: what waits, and what has come since the last one."""
    before = before or WaitingSummary(
        service=summary.service,
        priority=summary.priority,
        aim_seconds=summary.aim_seconds,
    )
    refused = Counter(summary.refused_by_reason)
    refused.subtract(before.refused_by_reason)
    served = sum(summary.served_by_data_centre.values())
    served -= sum(before.served_by_data_centre.values())
    waits = summary.wait_seconds - before.wait_seconds
    return {
        "service": summary.service,
        "priority": summary.priority,
        "in_time": summary.in_time,
        "late": summary.late,
        "oldest_seconds": round(summary.oldest_seconds, 3),
        "asked": summary.asked - before.asked,
        "served": served,
        "served_late": summary.served_late - before.served_late,
        "mean_wait_seconds": round(waits / served, 3) if served else None,
        "refused": {reason: count for reason, count in refused.items() if count},
    }
