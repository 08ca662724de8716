"""Estimates the service time of a target's runs, also under overload.

When there are more requests than slots, a request waits at the target, and the
time until its answer includes the wait. A target runs waiting requests in the
order of arrival, so the next run is assumed to start when an earlier one ends.
"""

from collections import deque

from monsoonpier.agent.packets.flows import PacketFlow, Phase

__all__ = ["RunTimes"]

SMOOTHING = 0.1
MIN_SERVICE_MS = 1


class RunTimes:
    """Measures the runs of one target and smooths their service time. Does no I/O.

    Attributes:
        service_ms: The smoothed service time; 0 before the first measurement.
    """

    def __init__(self) -> None:
        self.service_ms = 0.0
        self._waiting: deque[PacketFlow] = deque()

    def request_started(
        self, flow: PacketFlow, *, is_slot_free: bool, now: float
    ) -> None:
        """Record a request; its run starts at once if a slot is free."""
        flow.run_began_at = now if is_slot_free else None
        if not is_slot_free:
            self._waiting.append(flow)

    def request_answered(
        self, flow: PacketFlow, *, is_failure: bool, now: float
    ) -> None:
        """Record an answer, and the start of the run that has waited longest."""
        # A failed request may have ended early, so its duration isn't used.
        if flow.run_began_at is not None and not is_failure:
            self._smooth(max(MIN_SERVICE_MS, 1000 * (now - flow.run_began_at)))
        flow.run_began_at = None
        self._start_next(except_flow=flow, now=now)

    def request_aborted(self, flow: PacketFlow, *, now: float) -> None:
        """Record that a request gets no answer, whether or not its run had started."""
        if flow.run_began_at is not None:
            flow.run_began_at = None
            self._start_next(except_flow=flow, now=now)

    def _start_next(self, *, except_flow: PacketFlow, now: float) -> None:
        """Record the start of the run that has waited longest, if any waits."""
        while self._waiting:
            next_flow = self._waiting.popleft()
            if next_flow is except_flow or next_flow.phase is not Phase.RUNNING:
                continue
            if next_flow.run_began_at is None:
                next_flow.run_began_at = now
                return

    def target_ended(self) -> None:
        """Reset the estimate, since the next instance may be faster or slower."""
        self.service_ms = 0.0
        self._waiting.clear()

    def _smooth(self, service_ms: float) -> None:
        """Update the smoothed service time."""
        if self.service_ms:
            self.service_ms += SMOOTHING * (service_ms - self.service_ms)
        else:
            self.service_ms = service_ms
