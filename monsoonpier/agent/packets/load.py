"""An agent's count of what its target works on, and what it tells of it."""

import math
from typing import NamedTuple

from monsoonpier.agent.packets.cold import ColdLimit
from monsoonpier.agent.packets.evidence import FailureShare
from monsoonpier.agent.packets.flows import PacketFlow, Phase
from monsoonpier.agent.packets.queue import AdmissionQueue
from monsoonpier.agent.packets.reservations import Reservations
from monsoonpier.agent.packets.run_times import RunTimes
from monsoonpier.agent.packets.slot_use import SlotUse
from monsoonpier.model.target import QUEUE_AHEAD, Condition, LoadReport
from monsoonpier.process.readings import Histogram, Reading, Series, gauge

__all__ = ["LoadLevel", "TargetLoad"]

BUSY_SHARE_SECONDS = 1.0  # over which the use of slots is smoothed: many runs
BUSY_STEP = 2  # requests; a step of one doubles the reports and places no better
OPEN_STEP = 4  # flows, a tenth of what a target has when it is well used
FAILED_STEP = 10  # percent: 0.8 runs in the balancers' cost


class LoadLevel(NamedTuple):
    """What balancers need to know of a load."""

    is_full: bool
    busy: int
    open: int
    queued: int
    queued_in_time: int

    def is_near(self, other: "LoadLevel") -> bool:
        """Tell whether a balancer would place alike by either."""
        return (
            self.is_full == other.is_full
            and self.queued == other.queued
            and self.queued_in_time == other.queued_in_time
            and abs(self.busy - other.busy) < BUSY_STEP
            and abs(self.open - other.open) < OPEN_STEP
        )


class TargetLoad:
    """Requests under way, open flows, and the time of a run.

    A request is under way from its first packet until its answer's first one; a
    flow that was opened a moment ago counts like one, since its first request is
    on its way.

    Attributes:
        slots: How many requests the target works on at once.
        busy: Requests under way.
        open: Open flows.
        queue: New flows that wait for a slot.
        reservations: Slots that balancers want for flows that wait there.
        cold: How many new flows the target takes while it is cold.
        use: What the slots did with their time.
    """

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.busy = 0
        self.open = 0
        self.queue = AdmissionQueue()
        self.reservations = Reservations()
        self.cold = ColdLimit()
        self.use = SlotUse()
        self._running = 0
        self._observed: tuple | None = None
        self._number = 0
        self._runs = RunTimes()
        self._failures = FailureShare()
        self._busy_share = 0.0
        self._share_at = 0.0
        self.answer_seconds = Histogram(
            name="answer_seconds", help="From a request's first packet to its answer."
        )

    @property
    def level(self) -> LoadLevel:
        """What balancers need to know."""
        return LoadLevel(
            is_full=self.busy >= self.slots or self.is_reserved,
            busy=self.busy,
            open=self.open,
            queued=len(self.queue),
            queued_in_time=self.queue.timely,
        )

    @property
    def is_reserved(self) -> bool:
        """Whether the next slot is for a flow that waits at a balancer."""
        return not self.reservations.is_empty

    def busy_share(self, *, now: float) -> float:
        """Return the share of the slots that were taken lately, 1.0 at the most."""
        passed = max(0.0, now - self._share_at)
        fades = math.exp(-passed / BUSY_SHARE_SECONDS)
        taken = min(1.0, self.busy / self.slots)
        return taken + (self._busy_share - taken) * fades

    def failure_level(self, *, now: float) -> int:
        """Return roughly which share of requests fails."""
        return self.failed_percent(now=now) // FAILED_STEP

    def enter(self, flow: PacketFlow, phase: Phase, *, now: float) -> None:
        """Move a flow to a phase."""
        # What is expected and let go in the same moment has kept no slot.
        is_let_go = flow.phase is Phase.EXPECTED and phase is Phase.IDLE
        if is_let_go and now > flow.changed_at:
            kept = self.use.kept_each(now=now) - flow.kept_from
            self.use.was_silent(seconds=kept)
        self._move(flow, phase, now=now)

    def _move(self, flow: PacketFlow, phase: Phase, *, now: float) -> None:
        if phase is Phase.EXPECTED and flow.phase is not Phase.EXPECTED:
            flow.kept_from = self.use.kept_each(now=now)
        if flow.phase is Phase.RUNNING:
            self._runs.broken_off(flow, now=now)  # unless its answer has come
        self._busy_share = self.busy_share(now=now)
        self._share_at = now
        self.busy += int(phase is not Phase.IDLE) - int(flow.phase is not Phase.IDLE)
        self._running += int(phase is Phase.RUNNING)
        self._running -= int(flow.phase is Phase.RUNNING)
        flow.phase = phase
        flow.changed_at = now

    def asked(self, flow: PacketFlow, *, now: float) -> None:
        """Count a request of the flow, unless one is under way."""
        if flow.phase is Phase.RUNNING:
            return
        self.enter(flow, Phase.RUNNING, now=now)
        self.use.run_began(now=now)
        flow.is_overdue = False
        is_slot_free = self._running <= self.slots
        self._runs.asked(flow, is_slot_free=is_slot_free, now=now)

    def answered(self, flow: PacketFlow, *, is_failure: bool, now: float) -> None:
        """Count the flow's request as done, and learn how long runs take."""
        if flow.phase is Phase.RUNNING:
            seconds = now - flow.changed_at
            self.answer_seconds.observe(seconds)
            self._failures.count(is_failure=is_failure, now=now)
            self._runs.answered(flow, is_failure=is_failure, now=now)
            self._note_run_ended(now=now)
        self._move(flow, Phase.IDLE, now=now)

    def _note_run_ended(self, *, now: float) -> None:
        is_expecting = self.busy > self._running
        self.use.run_ended(
            is_free=self._running <= self.slots,
            is_wanted=is_expecting or self._waiting > 0,
            now=now,
        )

    def broken_off(self, flow: PacketFlow, *, now: float) -> None:
        """Count a request that got no answer as failed."""
        if flow.phase is Phase.RUNNING:
            self._failures.count(is_failure=True, now=now)
            self.enter(flow, Phase.IDLE, now=now)

    def overdue(self, flow: PacketFlow, *, now: float) -> None:
        """Count a request as failed whose answer may never come."""
        if not flow.is_overdue:
            flow.is_overdue = True
            self._failures.count(is_failure=True, now=now)

    def opened(self, flow: PacketFlow) -> None:
        """Count an open flow."""
        flow.is_open = True
        self.open += 1

    def dropped(self, flow: PacketFlow, *, now: float) -> None:
        """Count a flow no more."""
        if flow.phase is Phase.EXPECTED:
            self.use.was_dropped()
        self._move(flow, Phase.IDLE, now=now)
        self.open -= int(flow.is_open)

    def ended(self, *, is_planned: bool, now: float) -> None:
        """Count nothing more of a run of the target that has ended."""
        self._failures.run_ended(is_planned=is_planned, now=now)
        self.busy = 0
        self.open = 0
        self._running = 0
        self._runs.target_ended()
        self.use.target_ended()

    @property
    def _waiting(self) -> int:
        """How many flows are known here to wait for a slot."""
        return len(self.queue) + len(self.reservations)

    def observe_use(self, *, is_serving: bool, now: float) -> None:
        """Count the time of the slots up to now, if anything has changed.

        Args:
            is_serving: The target takes new flows: an empty slot is a loss.
            now: The present time.
        """
        present = (self.slots, self._running, self.busy, self._waiting, is_serving)
        if present == self._observed:
            return  # Most packets change nothing of it.
        self._observed = present
        self.use.observe(
            slots=self.slots if is_serving else min(self.slots, self._running),
            running=self._running,
            expected=self.busy - self._running,
            queued=self._waiting,
            now=now,
        )

    @property
    def use_fields(self) -> dict[str, float]:
        """The use of the slots, as the agent tells it when it is asked."""
        present = {
            "slots": self.slots,
            "running": self._running,
            "queued": self.queue.timely,
            "queued_late": self.queue.late,
            "reserved": len(self.reservations),
        }
        return present | self.use.total.fields

    @property
    def readings(self) -> tuple[Reading, ...]:
        """What the metrics address shows of the slots and who waits for them."""
        queued_by_class = {("in_time",): self.queue.timely, ("late",): self.queue.late}
        return (
            gauge("slots", "Requests that the target works on at once.", self.slots),
            gauge("running", "Requests that it works on now.", self._running),
            Series(
                name="queued_flows",
                help="New flows that wait at this agent.",
                labels=("class",),
                values_by_labels=queued_by_class,
            ),
            gauge(
                "reserved", "Flows that reserve a slot here.", len(self.reservations)
            ),
            *self.use.readings,
        )

    def is_cold_until(self, until: float) -> None:
        """Note until when the target runs slower than later."""
        self.cold.until = until

    @property
    def run_seconds(self) -> float:
        """How long a run takes here; 0 before the first one was timed."""
        return self._runs.run_ms / 1000

    def report(self, *, condition: Condition, now: float) -> LoadReport:
        """Return the present load, newer than all reports before."""
        self._number += 1
        # Balancers send nothing where more are under way than may wait there. What
        # they send unasked would go before flows that have waited for longer.
        is_closed = self.is_reserved or not self.cold.allows(now=now)
        least = self.slots + QUEUE_AHEAD if is_closed else 0
        return LoadReport(
            number=self._number,
            in_flight=max(self.busy, least),
            queued=self.queue.timely,
            queued_late=self.queue.late,
            flows=self.open,
            service_ms=round(self._runs.run_ms),
            cold_ms=max(0, round((self.cold.until - now) * 1000)),
            condition=condition,
            failed_percent=self.failed_percent(now=now),
        )

    def failed_percent(self, *, now: float) -> int:
        """Return the share of the latest requests that failed."""
        return round(100 * self._failures.value(now=now))
