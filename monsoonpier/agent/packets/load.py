"""Counts the load of an agent's target and builds load reports."""

import math
from typing import NamedTuple

from monsoonpier.agent.packets.cold_start import ColdStartLimit
from monsoonpier.agent.packets.failure_rate import FailureRate
from monsoonpier.agent.packets.flows import PacketFlow, Phase
from monsoonpier.agent.packets.queue import AdmissionQueue
from monsoonpier.agent.packets.reservations import Reservations
from monsoonpier.agent.packets.run_times import RunTimes
from monsoonpier.agent.packets.slot_use import SlotUse
from monsoonpier.model.target import QUEUE_AHEAD, Condition, LoadReport
from monsoonpier.process.metrics import Histogram, Metric, Series, gauge

__all__ = ["LoadLevel", "TargetLoad"]

BUSY_SHARE_SECONDS = 1.0  # time constant of the smoothed use of slots
# Smaller changes than these steps are not reported.
BUSY_STEP = 2  # requests; a step of one doubles the reports and places no better
OPEN_STEP = 4  # flows; a tenth of those of a target that is well used
FAILED_STEP = 10  # percent; 0.8 service times in the cost that balancers compute


class LoadLevel(NamedTuple):
    """The part of a load that balancers base their placement on."""

    is_full: bool
    busy: int
    open: int
    queued: int
    queued_in_time: int

    def is_near(self, other: "LoadLevel") -> bool:
        """Return whether the levels are too similar to affect placement."""
        return (
            self.is_full == other.is_full
            and self.queued == other.queued
            and self.queued_in_time == other.queued_in_time
            and abs(self.busy - other.busy) < BUSY_STEP
            and abs(self.open - other.open) < OPEN_STEP
        )


class TargetLoad:
    """Requests in flight, open flows and the service time of requests.

    A request is in flight from its first packet to the first packet of its
    answer. A flow whose next packet is expected counts like a request in
    flight.

    Attributes:
        slots: How many requests the target works on at once.
        busy: Requests in flight, including expected ones.
        open: Open flows.
        queue: SYNs that wait here for a slot.
        reservations: Slots that balancers have reserved for flows that wait
            there.
        cold: The limit of new flows while the target is cold.
        use: The accounting of slot time: busy, idle, or kept for a caller.
    """

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.busy = 0
        self.open = 0
        self.queue = AdmissionQueue()
        self.reservations = Reservations()
        self.cold = ColdStartLimit()
        self.use = SlotUse()
        self._running = 0
        self._observed: tuple | None = None
        self._report_number = 0
        self._runs = RunTimes()
        self._failures = FailureRate()
        self._busy_share = 0.0
        self._busy_share_at = 0.0
        self.answer_seconds = Histogram(
            name="answer_seconds",
            help="Seconds from a request's first packet to its answer.",
        )

    @property
    def level(self) -> LoadLevel:
        """The part of the load that balancers base their placement on."""
        return LoadLevel(
            is_full=self.busy >= self.slots or self.is_reserved,
            busy=self.busy,
            open=self.open,
            queued=len(self.queue),
            queued_in_time=self.queue.timely,
        )

    @property
    def is_reserved(self) -> bool:
        """Whether the next slot goes to a flow that waits at a balancer."""
        return not self.reservations.is_empty

    def busy_share(self, *, now: float) -> float:
        """Return the smoothed share of slots in use, 1.0 at most."""
        passed = max(0.0, now - self._busy_share_at)
        decay = math.exp(-passed / BUSY_SHARE_SECONDS)
        taken = min(1.0, self.busy / self.slots)
        return taken + (self._busy_share - taken) * decay

    def failure_level(self, *, now: float) -> int:
        """Return the percentage of failed requests in steps of `FAILED_STEP`."""
        return self.failed_percent(now=now) // FAILED_STEP

    def change_phase(self, flow: PacketFlow, phase: Phase, *, now: float) -> None:
        """Set a flow's phase; count its caller as silent if no packet came."""
        # A flow that was expected for no time has not kept a slot.
        is_abandoned = flow.phase is Phase.EXPECTED and phase is Phase.IDLE
        if is_abandoned and now > flow.phase_began_at:
            kept = self.use.kept_seconds_per_flow(now=now) - flow.kept_seconds_at_start
            self.use.count_silent(seconds=kept)
        self._set_phase(flow, phase, now=now)

    def _set_phase(self, flow: PacketFlow, phase: Phase, *, now: float) -> None:
        """Set a flow's phase and update the counts."""
        if phase is Phase.EXPECTED and flow.phase is not Phase.EXPECTED:
            flow.kept_seconds_at_start = self.use.kept_seconds_per_flow(now=now)
        if flow.phase is Phase.RUNNING:
            self._runs.request_aborted(flow, now=now)  # no effect after an answer
        self._busy_share = self.busy_share(now=now)
        self._busy_share_at = now
        self.busy += int(phase is not Phase.IDLE) - int(flow.phase is not Phase.IDLE)
        self._running += int(phase is Phase.RUNNING)
        self._running -= int(flow.phase is Phase.RUNNING)
        flow.phase = phase
        flow.phase_began_at = now

    def request_started(self, flow: PacketFlow, *, now: float) -> None:
        """Count a request of the flow, unless one is in flight."""
        if flow.phase is Phase.RUNNING:
            return
        self.change_phase(flow, Phase.RUNNING, now=now)
        self.use.run_started(now=now)
        flow.is_overdue = False
        is_slot_free = self._running <= self.slots
        self._runs.request_started(flow, is_slot_free=is_slot_free, now=now)

    def request_answered(
        self, flow: PacketFlow, *, is_failure: bool, now: float
    ) -> None:
        """Record the answer to a flow's request, and how long the request took."""
        if flow.phase is Phase.RUNNING:
            seconds = now - flow.phase_began_at
            self.answer_seconds.observe(seconds)
            self._failures.count(is_failure=is_failure, now=now)
            self._runs.request_answered(flow, is_failure=is_failure, now=now)
            self._record_run_end(now=now)
        self._set_phase(flow, Phase.IDLE, now=now)

    def _record_run_end(self, *, now: float) -> None:
        """Record a run's end in the use of slots."""
        is_expecting = self.busy > self._running
        self.use.run_ended(
            is_slot_free=self._running <= self.slots,
            is_wanted=is_expecting or self._waiting_flows > 0,
            now=now,
        )

    def request_aborted(self, flow: PacketFlow, *, now: float) -> None:
        """Count the flow's request as failed, since no answer will come."""
        if flow.phase is Phase.RUNNING:
            self._failures.count(is_failure=True, now=now)
            self.change_phase(flow, Phase.IDLE, now=now)

    def mark_overdue(self, flow: PacketFlow, *, now: float) -> None:
        """Count a request whose answer is late as failed, once."""
        if not flow.is_overdue:
            flow.is_overdue = True
            self._failures.count(is_failure=True, now=now)

    def count_open(self, flow: PacketFlow) -> None:
        """Count a flow as open."""
        flow.is_open = True
        self.open += 1

    def flow_removed(self, flow: PacketFlow, *, now: float) -> None:
        """Stop counting a flow that was removed."""
        if flow.phase is Phase.EXPECTED:
            self.use.count_dropped()
        self._set_phase(flow, Phase.IDLE, now=now)
        self.open -= int(flow.is_open)

    def target_ended(self, *, is_planned: bool, now: float) -> None:
        """Reset all counts, since the target's instance has ended."""
        self._failures.target_ended(is_planned=is_planned, now=now)
        self.busy = 0
        self.open = 0
        self._running = 0
        self._runs.target_ended()
        self.use.target_ended()

    @property
    def _waiting_flows(self) -> int:
        """How many flows wait for a slot, here or with a reservation."""
        return len(self.queue) + len(self.reservations)

    def observe_slot_use(self, *, is_serving: bool, now: float) -> None:
        """Account for the slots' time up to now, if their state has changed.

        Args:
            is_serving: Whether the target takes new flows; otherwise empty
                slots aren't counted as idle.
            now: The present time.
        """
        present = (
            self.slots,
            self._running,
            self.busy,
            self._waiting_flows,
            is_serving,
        )
        if present == self._observed:
            return  # Most packets change nothing here.
        self._observed = present
        self.use.observe(
            slots=self.slots if is_serving else min(self.slots, self._running),
            running=self._running,
            expected=self.busy - self._running,
            queued=self._waiting_flows,
            now=now,
        )

    @property
    def use_fields(self) -> dict[str, float]:
        """The use of the slots, for status replies."""
        present = {
            "slots": self.slots,
            "running": self._running,
            "queued": self.queue.timely,
            "queued_late": self.queue.late,
            "reserved": len(self.reservations),
        }
        return present | self.use.total.fields

    @property
    def metrics(self) -> tuple[Metric, ...]:
        """The metrics of slots and of the flows that wait for them."""
        queued_by_class = {("in_time",): self.queue.timely, ("late",): self.queue.late}
        return (
            gauge("slots", "Requests that the target works on at once.", self.slots),
            gauge("running", "Requests that the target works on now.", self._running),
            Series(
                name="queued_flows",
                help="New flows that wait at this agent.",
                labels=("class",),
                values_by_labels=queued_by_class,
            ),
            gauge("reserved", "Slots that balancers reserve.", len(self.reservations)),
            *self.use.metrics,
        )

    def set_cold_until(self, until: float) -> None:
        """Set the time until which the target is slower than usual."""
        self.cold.until = until

    @property
    def run_seconds(self) -> float:
        """The smoothed service time of a run; 0 before the first was timed."""
        return self._runs.service_ms / 1000

    def report(self, *, condition: Condition, now: float) -> LoadReport:
        """Return the present load under a new, higher number."""
        self._report_number += 1
        # Balancers send no SYNs to a target that reports itself full. While
        # slots are reserved, SYNs without an offer would overtake flows that
        # have waited longer.
        is_closed = self.is_reserved or not self.cold.allows(now=now)
        least = self.slots + QUEUE_AHEAD if is_closed else 0
        return LoadReport(
            number=self._report_number,
            in_flight=max(self.busy, least),
            queued=self.queue.timely,
            queued_late=self.queue.late,
            flows=self.open,
            service_ms=round(self._runs.service_ms),
            cold_ms=max(0, round((self.cold.until - now) * 1000)),
            condition=condition,
            failed_percent=self.failed_percent(now=now),
        )

    def failed_percent(self, *, now: float) -> int:
        """Return the percentage of recent requests that failed."""
        return round(100 * self._failures.value(now=now))
