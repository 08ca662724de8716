"""Recognition of rejected callers that retry on a new flow.

A rejected caller opens another flow at once. If that flow counted as a new request, it
would overtake flows that can still be served in time, although its own deadline counts
from the caller's first attempt.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass

from monsoonpier.model.address import Address
from monsoonpier.wire.packet import Packet

__all__ = ["EarlierAttempt", "ReturningCallers"]

# A flow that arrives later counts as a new request; rejected callers retry
# within 0.1 s, and an address may have several users.
RETURN_WINDOW_SECONDS = 0.2
MAX_ATTEMPTS = 3  # per request, in the callers' library
MAX_CALLERS = 8_192  # twice as many as flows may wait
MAX_REJECTIONS = 64  # per caller address, which several users may share


@dataclass(frozen=True, slots=True, kw_only=True)
class EarlierAttempt:
    """The latest attempt of a request whose attempts so far were rejected.

    Attributes:
        first_attempt_at: When the caller made its first attempt, as far as is known.
        attempts: How many attempts it has made, including this one.
    """

    first_attempt_at: float
    attempts: int = 1

    @property
    def is_last(self) -> bool:
        """Whether the caller makes no further attempt after this one."""
        return self.attempts >= MAX_ATTEMPTS


class ReturningCallers:
    """Rejected attempts, by caller and service address. Does no I/O."""

    def __init__(self, *, most: int = MAX_CALLERS) -> None:
        self._most = most
        self._rejections_by_caller: OrderedDict[
            tuple, deque[tuple[float, EarlierAttempt]]
        ]
        self._rejections_by_caller = OrderedDict()

    def record_reset(
        self, packet: Packet, *, first_attempt_at: float, now: float
    ) -> None:
        """Record a caller whose flow is reset now.

        Args:
            packet: A packet of the flow, with the caller's and the service's address.
            first_attempt_at: When the caller made its first attempt, as far as known.
            now: The current time.
        """
        earlier = EarlierAttempt(first_attempt_at=first_attempt_at)
        self.record(
            packet.caller_ip, packet.service_address, earlier, next_attempt_at=now
        )

    def find_earlier(self, packet: Packet, *, now: float) -> EarlierAttempt | None:
        """Remove and return the rejected attempt that a new flow repeats, if any."""
        return self.claim(
            packet.caller_ip, packet.service_address, opened_at=now, now=now
        )

    def record(
        self,
        caller: str,
        service: Address,
        earlier: EarlierAttempt,
        *,
        next_attempt_at: float,
    ) -> None:
        """Record a rejected attempt, which may be repeated at ``next_attempt_at``."""
        key = (caller, service)
        rejections = self._rejections_by_caller.setdefault(
            key, deque(maxlen=MAX_REJECTIONS)
        )
        rejections.append((next_attempt_at, earlier))
        self._rejections_by_caller.move_to_end(key)
        while len(self._rejections_by_caller) > self._most:
            self._rejections_by_caller.popitem(last=False)

    def claim(
        self, caller: str, service: Address, *, opened_at: float, now: float
    ) -> EarlierAttempt | None:
        """Remove and return the rejected attempt that a caller's new flow repeats.

        Each rejection is used for one flow.

        Args:
            caller: The caller's IP address.
            service: The address of the service.
            opened_at: When the caller opened the new flow.
            now: The current time.

        Returns:
            The attempt; ``None`` if the flow is a new request.
        """
        rejections = self._rejections_by_caller.get((caller, service), deque())
        # Rejections are not ordered by time, as some callers give up by themselves.
        for rejection in list(rejections):
            next_attempt_at, earlier = rejection
            if now - next_attempt_at > RETURN_WINDOW_SECONDS:
                rejections.remove(rejection)
            elif next_attempt_at <= opened_at:
                rejections.remove(rejection)
                return earlier
        return None
