"""Timeout after which a slot is no longer kept for a silent caller.

After the target has answered a caller's SYN, a slot is kept for the caller's
first request. A caller that has given up sends nothing, and the slot would
stay empty. The timeout follows the measured response times, as TCP's
retransmission timeout does (RFC 6298).
"""

from collections import deque

__all__ = ["ExpectedPackets"]

MAX_TIMEOUT_SECONDS = 0.1  # also used before the first response
# The responses of the target and of the caller may each be a few milliseconds late.
MIN_TIMEOUT_SECONDS = 0.015
MEAN_GAIN = 1 / 8  # gains and factor as in RFC 6298
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4


class ExpectedPackets:
    """Flows whose callers are expected to send a packet. Does no I/O."""

    def __init__(self) -> None:
        self._expected: deque[tuple[float, bytes]] = deque()
        self._mean_seconds: float | None = None
        self._deviation_seconds = 0.0

    @property
    def timeout_seconds(self) -> float:
        """How long to wait for a caller's next packet."""
        if self._mean_seconds is None:
            return MAX_TIMEOUT_SECONDS
        seconds = self._mean_seconds + DEVIATION_FACTOR * self._deviation_seconds
        return min(MAX_TIMEOUT_SECONDS, max(MIN_TIMEOUT_SECONDS, seconds))

    @property
    def mean_seconds(self) -> float:
        """The mean response time of callers; 0 before the first response."""
        return self._mean_seconds or 0.0

    def record_response_time(self, seconds: float) -> None:
        """Update the timeout with the time a caller took to respond to the target."""
        if self._mean_seconds is None:
            self._mean_seconds = seconds
            self._deviation_seconds = seconds / 2
            return
        error = seconds - self._mean_seconds
        self._deviation_seconds += DEVIATION_GAIN * (
            abs(error) - self._deviation_seconds
        )
        self._mean_seconds += MEAN_GAIN * error

    def expect(self, flow: bytes, *, now: float) -> None:
        """Start to wait for the next packet of a flow."""
        self._expected.append((now, flow))

    def pop_overdue(self, *, now: float) -> list[bytes]:
        """Remove and return the flows whose timeout has passed.

        Arrived packets are not recorded here: the caller of this method must
        check whether a returned flow is still expected.
        """
        overdue = []
        while self._expected and now - self._expected[0][0] >= self.timeout_seconds:
            overdue.append(self._expected.popleft()[1])
        return overdue
