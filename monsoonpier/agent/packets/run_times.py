"""How long a target's runs take, also while all its slots are taken.

The load that it answers: more requests than slots for seconds. Each request then waits
at the target for a run to end, and the time to its answer says nothing by itself; to
learn from the others only is to learn nothing as long as the load lasts. A target
takes what waits in the order of arrival, so a run begins when the one before it ends.
"""

from collections import deque

from monsoonpier.agent.packets.flows import PacketFlow, Phase

__all__ = ["RunTimes"]

SMOOTHING = 0.1
MIN_RUN_MS = 1


class RunTimes:
    """The smoothed time of one target's runs. Does no I/O.

    Attributes:
        run_ms: What a run takes; 0 before the first one was timed.
    """

    def __init__(self) -> None:
        self.run_ms = 0.0
        self._behind: deque[PacketFlow] = deque()

    def asked(self, flow: PacketFlow, *, is_slot_free: bool, now: float) -> None:
        """Note a request, which begins at once if a slot is free."""
        flow.run_began_at = now if is_slot_free else None
        if not is_slot_free:
            self._behind.append(flow)

    def answered(self, flow: PacketFlow, *, is_failure: bool, now: float) -> None:
        """Learn from an answer; the request that has waited longest begins then."""
        # A failure takes no time and says nothing of a run's.
        if flow.run_began_at is not None and not is_failure:
            self._learn(max(MIN_RUN_MS, 1000 * (now - flow.run_began_at)))
        flow.run_began_at = None
        self._begin_next(besides=flow, now=now)

    def broken_off(self, flow: PacketFlow, *, now: float) -> None:
        """Note a request that gets no answer; it may have waited still."""
        if flow.run_began_at is not None:
            flow.run_began_at = None
            self._begin_next(besides=flow, now=now)

    def _begin_next(self, *, besides: PacketFlow, now: float) -> None:
        while self._behind:
            following = self._behind.popleft()
            if following is besides or following.phase is not Phase.RUNNING:
                continue
            if following.run_began_at is None:
                following.run_began_at = now
                return

    def target_ended(self) -> None:
        """Forget all: another run of the target may be faster or slower."""
        self.run_ms = 0.0
        self._behind.clear()

    def _learn(self, run_ms: float) -> None:
        if self.run_ms:
            self.run_ms += SMOOTHING * (run_ms - self.run_ms)
        else:
            self.run_ms = run_ms
