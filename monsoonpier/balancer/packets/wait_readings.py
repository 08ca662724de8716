"""How callers fare at one balancer, as its metrics address shows it.

Labels are a service and a priority, as the configuration has them, and where there
is one more, a reason or a data centre, of which `CallerWaits` keeps few.
"""

from collections.abc import Callable, Iterable, Mapping

from monsoonpier.model.waiting_summary import WaitingSummary
from monsoonpier.process.readings import Reading, Series

__all__ = ["wait_readings"]

CLASS_LABELS = ("service", "priority", "data_centre")


def wait_readings(
    summaries: Iterable[WaitingSummary], *, data_centre: str
) -> tuple[Reading, ...]:
    """Return the readings.

    Args:
        summaries: How each class fares.
        data_centre: This balancer's, which is its callers' too.
    """
    shown = tuple(summaries)

    def series(
        name: str,
        text: str,
        read: Callable[[WaitingSummary], Mapping[str, float]],
        *,
        label: str,
        is_counter: bool = True,
    ) -> Series:
        return Series(
            name=name,
            help=text,
            labels=(*CLASS_LABELS, label),
            values_by_labels={
                (summary.service, str(summary.priority), data_centre, key): value
                for summary in shown
                for key, value in read(summary).items()
            },
            is_counter=is_counter,
        )

    return (
        series(
            "waiting_flows",
            "New flows that wait at this balancer.",
            lambda summary: {"in_time": summary.in_time, "late": summary.late},
            label="class",
            is_counter=False,
        ),
        series(
            "waiting_seconds",
            "Of the flow that waits longest, and expected for one more.",
            _waits,
            label="of",
            is_counter=False,
        ),
        series(
            "refused_flows",
            "New flows whose callers were told to go.",
            lambda summary: summary.refused_by_reason,
            label="reason",
        ),
        series(
            "served_flows",
            "New flows that a target took, by where it is.",
            lambda summary: summary.served_by_data_centre,
            label="target_data_centre",
        ),
        series(
            "caller_flows",
            "New flows, and those that a target took after their aim.",
            lambda summary: {
                "asked": summary.asked,
                "served_late": summary.served_late,
            },
            label="result",
        ),
        Series(
            name="served_wait_seconds",
            help="What served flows waited, together.",
            labels=CLASS_LABELS,
            values_by_labels={
                (s.service, str(s.priority), data_centre): s.wait_seconds for s in shown
            },
            is_counter=True,
        ),
    )


def _waits(summary: WaitingSummary) -> dict[str, float]:
    waits = {"oldest": summary.oldest_seconds}
    if summary.expected_seconds is not None:
        waits["expected"] = summary.expected_seconds
    return waits
