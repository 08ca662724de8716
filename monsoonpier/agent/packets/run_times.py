"""Estimates the service time of a target's runs, also under overload.

When there are more requests than slots, a request waits at the target, and the
time to its answer includes the wait. A target takes waiting requests in the
order of arrival, so a run is taken to start when an earlier one ends.
"""

from collections import deque

from monsoonpier.agent.packets.flows import PacketFlow, Phase

__all__ = ["RunTimes"]

SMOOTHING = 0.1
MIN_RUN_MS = 1


class RunTimes:
    """The smoothed service time of one target. Does no I/O.

    Attributes:
        run_ms: Service time of a run; 0 before the first one was timed.
    """

    def __init__(self) -> None:
        self.run_ms = 0.0
        self._waiting: deque[PacketFlow] = deque()

    def request_started(
        self, flow: PacketFlow, *, is_slot_free: bool, now: float
    ) -> None:
        """Record a request, which starts at once if a slot is free."""
        flow.run_began_at = now if is_slot_free else None
        if not is_slot_free:
            self._waiting.append(flow)

    def request_answered(
        self, flow: PacketFlow, *, is_failure: bool, now: float
    ) -> None:
        """Record an answer; the request that has waited longest starts then."""
        # A failed request may have ended early, so its duration isn't used.
        if flow.run_began_at is not None and not is_failure:
            self._learn(max(MIN_RUN_MS, 1000 * (now - flow.run_began_at)))
        flow.run_began_at = None
        self._start_next(except_flow=flow, now=now)

    def request_aborted(self, flow: PacketFlow, *, now: float) -> None:
        """Record that a request gets no answer; it may not have started."""
        if flow.run_began_at is not None:
            flow.run_began_at = None
            self._start_next(except_flow=flow, now=now)

    def _start_next(self, *, except_flow: PacketFlow, now: float) -> None:
        """Take the request that has waited longest as started."""
        while self._waiting:
            next_flow = self._waiting.popleft()
            if next_flow is except_flow or next_flow.phase is not Phase.RUNNING:
                continue
            if next_flow.run_began_at is None:
                next_flow.run_began_at = now
                return

    def target_ended(self) -> None:
        """Forget everything: the next instance may be faster or slower."""
        self.run_ms = 0.0
        self._waiting.clear()

    def _learn(self, run_ms: float) -> None:
        """Update the smoothed service time."""
        if self.run_ms:
            self.run_ms += SMOOTHING * (run_ms - self.run_ms)
        else:
            self.run_ms = run_ms
