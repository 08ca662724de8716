"""Statistics of new flows at one balancer, by service and priority.

Counters are updated when a flow arrives, is accepted or is rejected; queued flows are
examined only when a summary is requested.
"""

import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field

from monsoonpier.balancer.packets.placement import median_service_seconds, wait_for_slot
from monsoonpier.balancer.target_choice import Candidate
from monsoonpier.model.service import PacketRoute
from monsoonpier.model.waiting import MARGIN_RUNS, WaitingFlow
from monsoonpier.model.waiting_summary import LatelySeen, WaitingSummary

__all__ = ["WaitStatistics", "ServiceWaits"]

DECAY_SECONDS = 10.0  # time constant of recent counts
# Bounds on label values, so that metrics can't grow without limit.
MAX_REASONS = 16
MAX_DATA_CENTRES = 64
OTHER = "other"
LOG_INTERVAL_SECONDS = 5.0  # between two log lines of one class
MAX_LOG_LINES = 8  # for the classes with the longest waits; metrics show all

TrafficClass = tuple[str, int]  # service and priority


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceWaits:
    """The flows queued for one service, and the service's targets."""

    flows: Sequence[WaitingFlow]
    candidates: Sequence[Candidate]


@dataclass(slots=True, kw_only=True)
class _RecentCounts:
    """Counts that decay exponentially with time."""

    served: float = 0.0
    refused: float = 0.0
    wait_seconds: float = 0.0
    updated_at: float = 0.0

    def decay(self, *, now: float) -> None:
        """Decay the counts to the current time."""
        factor = math.exp(-max(0.0, now - self.updated_at) / DECAY_SECONDS)
        self.served *= factor
        self.refused *= factor
        self.wait_seconds *= factor
        self.updated_at = now


@dataclass(slots=True, kw_only=True)
class _Counts:
    """Counts of one traffic class since the start."""

    aim_seconds: float
    asked: int = 0
    served_late: int = 0
    served_by_data_centre: Counter[str] = field(default_factory=Counter)
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    wait_seconds: float = 0.0
    recent: _RecentCounts = field(default_factory=_RecentCounts)


class WaitStatistics:
    """Counts and waits of new flows, by traffic class. Does no I/O."""

    def __init__(self) -> None:
        self._counts_by_class: dict[TrafficClass, _Counts] = {}
        self._logged_at: float | None = None
        self._logged_by_class: dict[TrafficClass, WaitingSummary] = {}

    def configured(self, services: Collection[str]) -> None:
        """Drop the statistics of services without a route.

        Args:
            services: Names of the services that have a route.
        """
        for key in list(self._counts_by_class):
            service, _ = key
            if service not in services:
                del self._counts_by_class[key]
                self._logged_by_class.pop(key, None)

    def count_requested(self, service: str, route: PacketRoute) -> None:
        """Count a new flow, and note its route's latency target."""
        counts = self._counts(service, route)
        counts.asked += 1
        counts.aim_seconds = route.aim_seconds

    def count_served(
        self,
        service: str,
        route: PacketRoute,
        *,
        first_attempt_at: float,
        data_centre: str,
        now: float,
    ) -> None:
        """Count a flow that a target has accepted.

        Args:
            service: The target's service.
            route: The route of the flow's address.
            first_attempt_at: When the caller sent the first SYN of the request.
            data_centre: The target's data centre.
            now: The current time.
        """
        counts = self._counts(service, route)
        wait = max(0.0, now - first_attempt_at)
        _count_bounded(
            counts.served_by_data_centre, data_centre, limit=MAX_DATA_CENTRES
        )
        counts.served_late += int(wait > route.aim_seconds)
        counts.wait_seconds += wait
        counts.recent.decay(now=now)
        counts.recent.served += 1
        counts.recent.wait_seconds += wait

    def count_rejected(
        self, service: str, route: PacketRoute, reason: str, *, now: float
    ) -> None:
        """Count a rejected flow."""
        counts = self._counts(service, route)
        _count_bounded(counts.refused_by_reason, reason, limit=MAX_REASONS)
        counts.recent.decay(now=now)
        counts.recent.refused += 1

    def summaries(
        self,
        waits_by_service: Mapping[str, ServiceWaits],
        *,
        first_attempt_at: Callable[[bytes], float | None],
        now: float,
    ) -> tuple[WaitingSummary, ...]:
        """Return a summary of each traffic class.

        Args:
            waits_by_service: Queued flows and targets, for the services whose queued
                flows are to be counted.
            first_attempt_at: Returns when a flow's caller made its first attempt.
            now: The current time.
        """
        found = []
        for (service, priority), counts in sorted(self._counts_by_class.items()):
            waits = waits_by_service.get(service, ServiceWaits(flows=(), candidates=()))
            counts.recent.decay(now=now)
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
                        served=counts.recent.served,
                        refused=counts.recent.refused,
                        wait_seconds=counts.recent.wait_seconds,
                    ),
                    **_waiting_now(
                        waits, priority, first_attempt_at=first_attempt_at, now=now
                    ),
                )
            )
        return tuple(found)

    def is_log_due(self, *, now: float) -> bool:
        """Return whether the log interval is over, and start a new one if so."""
        if self._logged_at is None:
            self._logged_at = now
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return False
        self._logged_at = now
        return True

    def log_fields(self, summaries: Collection[WaitingSummary]) -> list[dict]:
        """Return the fields of one log line for each class that has waits to report.

        These are the traffic classes with queued flows, or with flows rejected since
        the last call; only those with the longest waits are returned.

        Args:
            summaries: Current summaries of all classes.
        """
        found = []
        for summary in summaries:
            key = (summary.service, summary.priority)
            previous = self._logged_by_class.get(key)
            self._logged_by_class[key] = summary
            fields = _changes_since(summary, previous)
            if summary.waiting or fields["refused"]:
                found.append(fields)
        found.sort(key=lambda fields: fields["oldest_seconds"], reverse=True)
        return found[:MAX_LOG_LINES]

    def _counts(self, service: str, route: PacketRoute) -> _Counts:
        """Return the counts of a class, created at first use."""
        key = (service, route.priority)
        counts = self._counts_by_class.get(key)
        if counts is None:
            counts = _Counts(aim_seconds=route.aim_seconds)
            self._counts_by_class[key] = counts
        return counts


def _count_bounded(counts: Counter[str], name: str, *, limit: int) -> None:
    """Count under a name, or under `OTHER` if there are too many names."""
    is_known = name in counts or len(counts) < limit
    counts[name if is_known else OTHER] += 1


def _waiting_now(
    waits: ServiceWaits,
    priority: int,
    *,
    first_attempt_at: Callable[[bytes], float | None],
    now: float,
) -> dict:
    """Return the summary fields of the queued flows of one priority."""
    until = now + MARGIN_RUNS * median_service_seconds(waits.candidates)
    timely = [flow for flow in waits.flows if flow.in_time_until >= until]
    own = [flow for flow in waits.flows if flow.priority == priority]
    in_time = sum(flow.priority == priority for flow in timely)
    attempt_times = [first_attempt_at(flow.flow) for flow in own]
    ages = [max(0.0, now - at) for at in attempt_times if at is not None]
    ahead = sum(flow.priority <= priority for flow in timely)
    return {
        "in_time": in_time,
        "late": len(own) - in_time,
        "oldest_seconds": max(ages, default=0.0),
        "waited_seconds": sum(ages),
        "expected_seconds": wait_for_slot(waits.candidates, ahead=ahead),
    }


def _changes_since(summary: WaitingSummary, previous: WaitingSummary | None) -> dict:
    """Return a log line's fields: queued flows, and changes since the last line."""
    previous = previous or WaitingSummary(
        service=summary.service,
        priority=summary.priority,
        aim_seconds=summary.aim_seconds,
    )
    refused = Counter(summary.refused_by_reason)
    refused.subtract(previous.refused_by_reason)
    served = sum(summary.served_by_data_centre.values())
    served -= sum(previous.served_by_data_centre.values())
    waits = summary.wait_seconds - previous.wait_seconds
    return {
        "service": summary.service,
        "priority": summary.priority,
        "in_time": summary.in_time,
        "late": summary.late,
        "oldest_seconds": round(summary.oldest_seconds, 3),
        "asked": summary.asked - previous.asked,
        "served": served,
        "served_late": summary.served_late - previous.served_late,
        "mean_wait_seconds": round(waits / served, 3) if served else None,
        "refused": {reason: count for reason, count in refused.items() if count},
    }
