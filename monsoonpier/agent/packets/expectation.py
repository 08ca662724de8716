"""How long a slot is kept for a caller whose flow a target has just answered.

The load that it answers: callers that have waited for long have often given up when
a slot comes free; nobody says so. A slot that was kept a tenth of a second for each
of them stood empty for a tenth of the time after a loss of power (122 such flows in
five seconds on six targets of four slots, counted in the logs of one replay). Callers
answer in a few milliseconds, so how long to wait for them is learnt from that, as TCP
learns its retransmission timeout.
"""

from collections import deque

__all__ = ["Expectations"]

MAX_SECONDS = 0.1  # before anything is learnt: ten ways to a caller and back
MIN_SECONDS = 0.015  # a target's answer and a caller's may each be a few ms late
MEAN_SHARE = 1 / 8  # smoothing of the mean and of the deviation, as RFC 6298
DEVIATION_SHARE = 1 / 4
DEVIATIONS = 4


class Expectations:
    """Flows whose callers' next packet is expected. Does no I/O."""

    def __init__(self) -> None:
        self._due: deque[tuple[float, bytes]] = deque()
        self._mean: float | None = None
        self._deviation = 0.0

    @property
    def seconds(self) -> float:
        """How long a caller's next packet is waited for."""
        if self._mean is None:
            return MAX_SECONDS
        seconds = self._mean + DEVIATIONS * self._deviation
        return min(MAX_SECONDS, max(MIN_SECONDS, seconds))

    @property
    def mean(self) -> float:
        """How long callers take to answer; 0 before the first one did."""
        return self._mean or 0.0

    def answered(self, seconds: float) -> None:
        """Learn from a caller's answer to a target's first packet."""
        if self._mean is None:
            self._mean = seconds
            self._deviation = seconds / 2
            return
        error = seconds - self._mean
        self._deviation += DEVIATION_SHARE * (abs(error) - self._deviation)
        self._mean += MEAN_SHARE * error

    def expect(self, flow: bytes, *, now: float) -> None:
        """Wait for a flow's next packet."""
        self._due.append((now, flow))

    def pop_due(self, *, now: float) -> list[bytes]:
        """Return the flows whose time is over, which are then no longer waited for.

        A flow may be due though its packet has come: the caller of this looks.
        """
        due = []
        while self._due and now - self._due[0][0] >= self.seconds:
            due.append(self._due.popleft()[1])
        return due
