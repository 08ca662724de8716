"""How callers fare by service, priority and data centre: what ``status`` tells.

Callers enter in their own data centre, so a data centre's balancers stand for its
callers. All targets serve everybody: where one data centre's callers wait longer or
are refused more than the others', knowledge of free slots is spread unevenly.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from monsoonpier.model.waiting_summary import WaitingSummary
from monsoonpier.wire.control import StatusReply

__all__ = ["ClassWaits", "caller_waits", "waiting_lines"]

# Of the latency that callers want: who waits so much longer than others has less
# than three quarters of it left for the way and the run.
UNFAIR_AIM_SHARE = 0.25
# Of callers, more than elsewhere: one in twenty is what a user notices in a day.
UNFAIR_REFUSED_SHARE = 0.05
CHANCE_ERRORS = 2.0  # standard errors: chance alone marks one in forty
MIN_FLOWS = 50  # lately, on either side: the mean of fewer waits says little

LONGER = "waits longer than elsewhere"
MORE = "refused more than elsewhere"


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassWaits:
    """The callers of one service and priority that enter in one data centre.

    Attributes:
        service, priority, data_centre: Which they are.
        in_time, late: How many wait now.
        oldest_seconds: Since the one that asked first did.
        expected_seconds: The longest that a balancer expects for one more; ``None``
            where none knows a target that serves.
        mean_wait_seconds: Of those served lately and those that wait now.
        refused_share: Of those served or refused lately.
        lately: How many were served, were refused or wait, lately.
        asked, served_late: How many so far.
        refused_by_reason: So far.
        served_by_data_centre: So far, by where the targets are.
        marks: In what they fare clearly worse than the others of their class.
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
class _Lately:
    """Served, refused and waiting flows of one place, or of several."""

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


def caller_waits(statuses: Iterable[StatusReply | None]) -> tuple[ClassWaits, ...]:
    """Add up what balancers tell, by class of work and data centre."""
    found: dict[tuple[str, int], dict[str, list[WaitingSummary]]] = {}
    for status in statuses:
        for summary in status.waiting if status else ():
            places = found.setdefault((summary.service, summary.priority), {})
            places.setdefault(status.data_centre, []).append(summary)
    return tuple(
        _class_waits(data_centre, places)
        for _, places in sorted(found.items())
        for data_centre in sorted(places)
    )


def waiting_lines(waits: Iterable[ClassWaits]) -> list[str]:
    """Describe each class of work that anybody has asked for."""
    return [_line(each) for each in waits if each.asked]


def _class_waits(
    data_centre: str, places: dict[str, list[WaitingSummary]]
) -> ClassWaits:
    own = places[data_centre]
    others = [
        s for place, found in places.items() if place != data_centre for s in found
    ]
    lately = _lately(own)
    expected = [s.expected_seconds for s in own if s.expected_seconds is not None]
    return ClassWaits(
        service=own[0].service,
        priority=own[0].priority,
        data_centre=data_centre,
        in_time=sum(summary.in_time for summary in own),
        late=sum(summary.late for summary in own),
        oldest_seconds=max(summary.oldest_seconds for summary in own),
        expected_seconds=max(expected, default=None),
        mean_wait_seconds=lately.mean_wait_seconds,
        refused_share=lately.refused_share,
        lately=lately.refused + lately.waited,
        asked=sum(summary.asked for summary in own),
        served_late=sum(summary.served_late for summary in own),
        refused_by_reason=_added(summary.refused_by_reason for summary in own),
        served_by_data_centre=_added(summary.served_by_data_centre for summary in own),
        marks=_marks(lately, _lately(others), aim_seconds=own[0].aim_seconds),
    )


def _lately(summaries: Iterable[WaitingSummary]) -> _Lately:
    found = list(summaries)
    served = sum(summary.lately.served for summary in found)
    refused = sum(summary.lately.refused for summary in found)
    waits = sum(s.lately.wait_seconds + s.waited_seconds for s in found)
    return _Lately(
        decided=served + refused,
        refused=refused,
        waited=served + sum(summary.waiting for summary in found),
        wait_seconds=waits,
    )


def _marks(own: _Lately, others: _Lately, *, aim_seconds: float) -> tuple[str, ...]:
    marks = []
    longer = own.mean_wait_seconds - others.mean_wait_seconds
    are_waits_known = min(own.waited, others.waited) >= MIN_FLOWS
    if are_waits_known and longer > UNFAIR_AIM_SHARE * aim_seconds:
        marks.append(LONGER)
    more = own.refused_share - others.refused_share
    are_shares_known = min(own.decided, others.decided) >= MIN_FLOWS
    if are_shares_known and more > max(UNFAIR_REFUSED_SHARE, _chance(own, others)):
        marks.append(MORE)
    return tuple(marks)


def _chance(own: _Lately, others: _Lately) -> float:
    """Return by how much two shares differ by chance alone, at the most."""
    share = (own.refused + others.refused) / (own.decided + others.decided)
    variance = share * (1 - share) * (1 / own.decided + 1 / others.decided)
    return CHANCE_ERRORS * math.sqrt(variance)


def _added(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for each in counts:
        total.update(each)
    return dict(total.most_common())


def _line(waits: ClassWaits) -> str:
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
        parts.append(f"refused: {_listed(waits.refused_by_reason)}")
    if waits.served_by_data_centre:
        parts.append(f"served in: {_listed(waits.served_by_data_centre)}")
    parts += [mark.upper() for mark in waits.marks]
    return (
        f"callers of {waits.service} (priority {waits.priority}) in "
        f"{waits.data_centre}: {'; '.join(parts)}"
    )


def _listed(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items())
