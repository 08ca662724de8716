"""Waits and rejections of callers by service, priority and data centre.

The ``status`` command shows them. Callers use the balancers of their own data
centre, so these balancers' counts describe that data centre's callers. Every
target serves callers of all data centres, so the waits and rejections should
be alike everywhere. Longer waits or more rejections in one data centre suggest
that its balancers have records of fewer free slots than the others.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from monsoonpier.model.waiting_summary import WaitingSummary
from monsoonpier.wire.control import StatusReply

__all__ = ["ClassWaits", "caller_lines", "summarise_callers"]

# A data centre is marked if it differs from the others by more than these.
UNFAIR_WAIT_SHARE = 0.25  # of mean waits, as a share of the latency target
UNFAIR_REFUSED_SHARE = 0.05  # of rejected shares
CHANCE_STANDARD_ERRORS = 2.0  # smaller differences may be chance
MIN_FLOWS = 50  # recent flows needed on each side of a comparison

WAITS_LONGER = "waits longer than elsewhere"
REFUSED_MORE = "refused more than elsewhere"


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassWaits:
    """Waits and rejections of one class of callers in one data centre.

    A class is the callers of one service with one priority. Recent counts
    decay with time, so they need not be whole numbers.

    Attributes:
        service, priority, data_centre: The class and the callers' data centre.
        in_time, late: Flows waiting now, within the latency target and beyond
            it.
        oldest_seconds: Longest time that any of the waiting flows has waited.
        expected_seconds: Longest wait that a balancer expects for a new flow;
            ``None`` if no balancer has a record of a serving target.
        mean_wait_seconds: Mean wait of recently served and of waiting flows.
        refused_share: Share of rejected flows among recently served and
            rejected ones.
        lately: Number of flows recently served, recently rejected or waiting.
        asked: Flows since the balancers' start.
        served_late: Flows since then that were served beyond the latency
            target.
        refused_by_reason: Rejected flows since the balancers' start.
        served_by_data_centre: Served flows since the balancers' start, by the
            data centre of their target.
        marks: Measures that are clearly worse than in the other data centres.
    """

    service: str
    priority: int
    data_centre: str
    in_time: int
    late: int
    oldest_seconds: float
    expected_seconds: float | None
    mean_wait_seconds: float
    refused_share: float
    lately: float
    asked: int
    served_late: int
    refused_by_reason: dict[str, int]
    served_by_data_centre: dict[str, int]
    marks: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class _RecentCounts:
    """Recent flows of one class in one or more data centres.

    Attributes:
        decided: Served or rejected flows.
        refused: Rejected flows.
        waited: Served flows and flows that wait now.
        wait_seconds: Sum of the waits of these.
    """

    decided: float
    refused: float
    waited: float
    wait_seconds: float

    @property
    def refused_share(self) -> float:
        return self.refused / self.decided if self.decided else 0.0

    @property
    def mean_wait_seconds(self) -> float:
        return self.wait_seconds / self.waited if self.waited else 0.0


def summarise_callers(statuses: Iterable[StatusReply | None]) -> tuple[ClassWaits, ...]:
    """Sum the balancers' reports by service, priority and data centre."""
    summaries_by_class: dict[tuple[str, int], dict[str, list[WaitingSummary]]] = {}
    for status in statuses:
        for summary in status.waiting if status else ():
            by_data_centre = summaries_by_class.setdefault(
                (summary.service, summary.priority), {}
            )
            by_data_centre.setdefault(status.data_centre, []).append(summary)
    return tuple(
        _class_waits(data_centre, by_data_centre)
        for _, by_data_centre in sorted(summaries_by_class.items())
        for data_centre in sorted(by_data_centre)
    )


def caller_lines(waits: Iterable[ClassWaits]) -> list[str]:
    """Return a line of text for each class that has had any flow."""
    return [_format_line(each) for each in waits if each.asked]


def _class_waits(
    data_centre: str, summaries_by_data_centre: dict[str, list[WaitingSummary]]
) -> ClassWaits:
    """Sum one data centre's summaries and compare them with the others'."""
    own = summaries_by_data_centre[data_centre]
    others = [
        s
        for name, summaries in summaries_by_data_centre.items()
        if name != data_centre
        for s in summaries
    ]
    recent = _sum_recent(own)
    expected = [s.expected_seconds for s in own if s.expected_seconds is not None]
    return ClassWaits(
        service=own[0].service,
        priority=own[0].priority,
        data_centre=data_centre,
        in_time=sum(summary.in_time for summary in own),
        late=sum(summary.late for summary in own),
        oldest_seconds=max(summary.oldest_seconds for summary in own),
        expected_seconds=max(expected, default=None),
        mean_wait_seconds=recent.mean_wait_seconds,
        refused_share=recent.refused_share,
        lately=recent.refused + recent.waited,
        asked=sum(summary.asked for summary in own),
        served_late=sum(summary.served_late for summary in own),
        refused_by_reason=_sum_counts(summary.refused_by_reason for summary in own),
        served_by_data_centre=_sum_counts(
            summary.served_by_data_centre for summary in own
        ),
        marks=_find_worse_measures(
            recent, _sum_recent(others), aim_seconds=own[0].aim_seconds
        ),
    )


def _sum_recent(summaries: Iterable[WaitingSummary]) -> _RecentCounts:
    """Sum the recent counts, including the flows that wait now."""
    listed = list(summaries)
    served = sum(summary.lately.served for summary in listed)
    refused = sum(summary.lately.refused for summary in listed)
    waits = sum(s.lately.wait_seconds + s.waited_seconds for s in listed)
    return _RecentCounts(
        decided=served + refused,
        refused=refused,
        waited=served + sum(summary.waiting for summary in listed),
        wait_seconds=waits,
    )


def _find_worse_measures(
    own: _RecentCounts, others: _RecentCounts, *, aim_seconds: float
) -> tuple[str, ...]:
    """Return the measures in which ``own`` is clearly worse than ``others``."""
    worse = []
    extra_wait = own.mean_wait_seconds - others.mean_wait_seconds
    has_enough_waits = min(own.waited, others.waited) >= MIN_FLOWS
    if has_enough_waits and extra_wait > UNFAIR_WAIT_SHARE * aim_seconds:
        worse.append(WAITS_LONGER)
    extra_share = own.refused_share - others.refused_share
    has_enough_decided = min(own.decided, others.decided) >= MIN_FLOWS
    if has_enough_decided and extra_share > max(
        UNFAIR_REFUSED_SHARE, _chance_margin(own, others)
    ):
        worse.append(REFUSED_MORE)
    return tuple(worse)


def _chance_margin(own: _RecentCounts, others: _RecentCounts) -> float:
    """Return the difference of two rejected shares that chance may explain."""
    share = (own.refused + others.refused) / (own.decided + others.decided)
    variance = share * (1 - share) * (1 / own.decided + 1 / others.decided)
    return CHANCE_STANDARD_ERRORS * math.sqrt(variance)


def _sum_counts(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for each in counts:
        total.update(each)
    return dict(total.most_common())


def _format_line(waits: ClassWaits) -> str:
    expected = waits.expected_seconds
    parts = [
        f"{waits.in_time} wait in time and {waits.late} late, "
        f"oldest {waits.oldest_seconds:.2f} s, "
        + ("no target serves" if expected is None else f"expected {expected:.2f} s"),
        f"lately waited {waits.mean_wait_seconds:.2f} s, "
        f"{waits.refused_share:.0%} refused",
        f"so far {waits.asked} asked, {waits.served_late} served late",
    ]
    if waits.refused_by_reason:
        parts.append(f"refused: {_format_counts(waits.refused_by_reason)}")
    if waits.served_by_data_centre:
        parts.append(f"served in: {_format_counts(waits.served_by_data_centre)}")
    parts += [mark.upper() for mark in waits.marks]
    return (
        f"callers of {waits.service} (priority {waits.priority}) in "
        f"{waits.data_centre}: {'; '.join(parts)}"
    )


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items())
