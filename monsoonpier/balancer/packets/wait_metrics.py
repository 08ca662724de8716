"""Metrics of waiting, served and rejected flows at one balancer.

Labels are service, priority and data centre. Some metrics have one more label;
`WaitStatistics` bounds the number of its values.
"""

from collections.abc import Callable, Iterable, Mapping

from monsoonpier.model.waiting_summary import WaitingSummary
from monsoonpier.process.metrics import Metric, Series

__all__ = ["wait_metrics"]

CLASS_LABELS = ("service", "priority", "data_centre")


def wait_metrics(
    summaries: Iterable[WaitingSummary], *, data_centre: str
) -> tuple[Metric, ...]:
    """Return the metrics of waiting, served and rejected flows.

    Args:
        summaries: Summary of each traffic class.
        data_centre: The data centre of this balancer and its callers.
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
            "Longest wait of a queued flow, and expected wait of a new one.",
            _waits,
            label="of",
            is_counter=False,
        ),
        series(
            "refused_flows",
            "Rejected new flows, by reason.",
            lambda summary: summary.refused_by_reason,
            label="reason",
        ),
        series(
            "served_flows",
            "New flows accepted by a target, by the target's data centre.",
            lambda summary: summary.served_by_data_centre,
            label="target_data_centre",
        ),
        series(
            "caller_flows",
            "New flows, and those accepted after their latency target.",
            lambda summary: {
                "asked": summary.asked,
                "served_late": summary.served_late,
            },
            label="result",
        ),
        Series(
            name="served_wait_seconds",
            help="Total wait of served flows.",
            labels=CLASS_LABELS,
            values_by_labels={
                (s.service, str(s.priority), data_centre): s.wait_seconds for s in shown
            },
            is_counter=True,
        ),
    )


def _waits(summary: WaitingSummary) -> dict[str, float]:
    """Return a traffic class's longest and expected waits in seconds, by label."""
    waits = {"oldest": summary.oldest_seconds}
    if summary.expected_seconds is not None:
        waits["expected"] = summary.expected_seconds
    return waits
