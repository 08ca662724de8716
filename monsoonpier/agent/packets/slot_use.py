"""Accounting of a target's slot time by its agent: busy, idle, or kept.

After a new flow's SYN has been delivered, a slot is kept for the caller's first
request: the slot is empty, but no other flow gets it.
"""

from collections import deque
from dataclasses import asdict, dataclass

from monsoonpier.process.metrics import Histogram, Metric, counter

__all__ = ["SlotSeconds", "SlotUse"]

LOG_INTERVAL_SECONDS = 5.0
DECIMAL_PLACES = 3  # of seconds in log lines


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotSeconds:
    """Sums over all slots of one target.

    Attributes:
        busy: Seconds in which slots ran a request.
        kept: Seconds in which slots were empty and kept for the first request
            of a new flow.
        idle: Seconds in which slots were empty, including ``kept``.
        idle_while_queued: The part of ``idle`` in which a flow waited for a
            slot.
        kept_in_vain: The part of ``kept`` for callers counted as ``silent``.
        runs: Requests answered.
        silent: Callers that closed the flow or let the timeout pass without a
            request.
        dropped: Slots kept for a flow that ended before its first request, or
            was opened at another target.
    """

    busy: float = 0.0
    kept: float = 0.0
    idle: float = 0.0
    idle_while_queued: float = 0.0
    kept_in_vain: float = 0.0
    runs: int = 0
    silent: int = 0
    dropped: int = 0

    def since(self, before: "SlotSeconds") -> "SlotSeconds":
        """Return these sums minus earlier ones."""
        earlier = asdict(before)
        gained = {name: value - earlier[name] for name, value in asdict(self).items()}
        return SlotSeconds(**gained)

    @property
    def seconds_by_use(self) -> dict[str, float]:
        """The sums of seconds, by their label in metrics."""
        return {
            "busy": self.busy,
            "kept": self.kept,
            "idle": self.idle,
            "idle_while_queued": self.idle_while_queued,
            "kept_in_vain": self.kept_in_vain,
        }

    @property
    def slots_by_outcome(self) -> dict[str, float]:
        """How often a slot given to a flow had each outcome, by the metric's label."""
        return {"ran": self.runs, "silent": self.silent, "dropped": self.dropped}

    @property
    def fields(self) -> dict[str, float]:
        """All sums, under their names in log lines."""
        times = {
            f"{use}_seconds": round(seconds, DECIMAL_PLACES)
            for use, seconds in self.seconds_by_use.items()
        }
        return times | {
            "runs": self.runs,
            "silent": self.silent,
            "dropped": self.dropped,
        }


class SlotUse:
    """Sums up the time of a target's slots. Does no I/O.

    Attributes:
        gap_seconds: The time between the end of a run and the start of the
            next one, if a flow waited or was being opened when the run ended.
    """

    def __init__(self) -> None:
        self._busy = 0.0
        self._kept = 0.0
        self._idle = 0.0
        self._idle_while_queued = 0.0
        self._kept_in_vain = 0.0
        self._kept_seconds_per_flow = 0.0
        self._runs = 0
        self._silent = 0
        self._dropped = 0
        self._counted_until: float | None = None
        self._slots = 0
        self._running = 0
        self._expected = 0
        self._kept_slots = 0
        self._queued = 0
        self._gap_starts: deque[float] = deque()
        self._logged_at: float | None = None
        self._logged = SlotSeconds()
        self.gap_seconds = Histogram(
            name="slot_gap_seconds",
            help="Seconds between two runs of a slot while a flow waited.",
        )

    @property
    def total(self) -> SlotSeconds:
        """The sums since the start."""
        return SlotSeconds(
            busy=self._busy,
            kept=self._kept,
            idle=self._idle,
            idle_while_queued=self._idle_while_queued,
            kept_in_vain=self._kept_in_vain,
            runs=self._runs,
            silent=self._silent,
            dropped=self._dropped,
        )

    @property
    def metrics(self) -> tuple[Metric, ...]:
        """The metrics of slot use."""
        total = self.total
        return (
            counter(
                "slot_seconds",
                "Seconds of the target's slots by use; idle includes all but busy.",
                total.seconds_by_use,
                "use",
            ),
            counter(
                "slot_turns",
                "Slots given to a flow, by outcome.",
                total.slots_by_outcome,
                "outcome",
            ),
            self.gap_seconds,
        )

    def observe(
        self, *, slots: int, running: int, expected: int, queued: int, now: float
    ) -> None:
        """Account for the time since the last call and record the current state.

        Args:
            slots: Slots to account for; only the running ones while the target
                accepts no new flows.
            running: Requests that the target works on.
            expected: Flows whose first request is expected.
            queued: Flows that wait for a slot.
            now: The present time.
        """
        self.advance(now=now)
        self._slots = slots
        self._running = min(slots, running)
        self._expected = expected
        self._kept_slots = min(slots - self._running, expected)
        self._queued = queued
        if not queued and not expected:
            self._gap_starts.clear()

    def advance(self, *, now: float) -> None:
        """Account for the time since the last call, in the state recorded last."""
        if self._counted_until is not None:
            self._count(max(0.0, now - self._counted_until))
        self._counted_until = now

    def kept_seconds_per_flow(self, *, now: float) -> float:
        """Return a running total of the slot time kept by each expected flow.

        A flow keeps slot time equal to the growth of the total while the flow
        is expected. The total grows more slowly than the clock while there are
        more expected flows than empty slots.
        """
        if self._counted_until is None:
            return 0.0
        return self._kept_seconds_per_flow + self._kept_slots_per_flow * max(
            0.0, now - self._counted_until
        )

    @property
    def _kept_slots_per_flow(self) -> float:
        """The number of empty slots per expected flow, at most 1."""
        return self._kept_slots / self._expected if self._expected else 0.0

    def _count(self, seconds: float) -> None:
        """Add a span of time in the current state to the sums."""
        empty = (self._slots - self._running) * seconds
        self._busy += self._running * seconds
        self._kept += self._kept_slots * seconds
        self._kept_seconds_per_flow += self._kept_slots_per_flow * seconds
        self._idle += empty
        if self._queued:
            self._idle_while_queued += empty

    def run_started(self, *, now: float) -> None:
        """Record that a slot has started to run a request."""
        if self._gap_starts:
            self.gap_seconds.observe(now - self._gap_starts.popleft())

    def run_ended(self, *, is_slot_free: bool, is_wanted: bool, now: float) -> None:
        """Record that a request was answered.

        Args:
            is_slot_free: Whether no other request waits at the target for the
                slot.
            is_wanted: Whether a flow waits for a slot or is being opened.
            now: The present time.
        """
        self._runs += 1
        if not is_wanted:
            return
        if is_slot_free:
            self._gap_starts.append(now)
        else:
            self.gap_seconds.observe(0.0)

    def count_silent(self, *, seconds: float) -> None:
        """Count a caller that sent no request, and how long a slot was kept for it."""
        self._silent += 1
        self._kept_in_vain += seconds

    def count_dropped(self) -> None:
        """Count a slot kept for a flow that ended before its first request."""
        self._dropped += 1

    def target_ended(self) -> None:
        """Discard open gaps, since the target's instance has ended."""
        self._gap_starts.clear()

    def summary_if_due(self, *, now: float) -> SlotSeconds | None:
        """Return the use since the last summary if one is due, unless all zero."""
        if self._logged_at is None:
            self._logged_at = now
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return None
        total = self.total
        used = total.since(self._logged)
        self._logged_at = now
        self._logged = total
        return used if used.runs or used.kept or used.idle_while_queued else None
