"""Rejected callers that come back on a new flow.

A caller that is rejected opens another flow at once. Taken for a new caller it would
overtake flows that can still be served in time, though its own deadline counts from
its first attempt.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass

from monsoonpier.model.address import Address
from monsoonpier.wire.packet import Packet

__all__ = ["EarlierAttempt", "ReturningCallers"]

# A flow that arrives later counts as a new request; callers that were rejected come
# back sooner.
RETURN_WINDOW_SECONDS = 0.2
MAX_ATTEMPTS = 3  # per request, in the callers' library
MAX_CALLERS = 8_192
MAX_REJECTIONS = 64  # per caller address, which several users may share


@dataclass(frozen=True, slots=True, kw_only=True)
class EarlierAttempt:
    """The attempts so far of a request that was rejected.

    Attributes:
        first_attempt_at: When the caller made its first attempt, as far as is known.
        attempts: How many attempts it has made.
    """

    first_attempt_at: float
    attempts: int = 1

    @property
    def is_last(self) -> bool:
        """Whether the caller makes no further attempt for this request."""
        return self.attempts >= MAX_ATTEMPTS


class ReturningCallers:
    """Attempts of rejected callers, by caller and service address. Does no I/O."""

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
            packet: A packet of the flow, which names caller and service address.
            first_attempt_at: When the caller made its first attempt, if known.
            now: The current time.
        """
        earlier = EarlierAttempt(first_attempt_at=first_attempt_at)
        self.record(packet.caller_ip, packet.service_address, earlier, back_at=now)

    def find_earlier(self, packet: Packet, *, now: float) -> EarlierAttempt | None:
        """Return the earlier attempt of a new flow's caller, if it was rejected."""
        return self.claim(
            packet.caller_ip, packet.service_address, came_at=now, now=now
        )

    def record(
        self, caller: str, service: Address, earlier: EarlierAttempt, *, back_at: float
    ) -> None:
        """Record that a rejected caller may come back from ``back_at`` on."""
        key = (caller, service)
        rejections = self._rejections_by_caller.setdefault(
            key, deque(maxlen=MAX_REJECTIONS)
        )
        rejections.append((back_at, earlier))
        self._rejections_by_caller.move_to_end(key)
        while len(self._rejections_by_caller) > self._most:
            self._rejections_by_caller.popitem(last=False)

    def claim(
        self, caller: str, service: Address, *, came_at: float, now: float
    ) -> EarlierAttempt | None:
        """Remove and return the earlier attempt of a caller that has come back.

        Each rejection is used once.
        """
        rejections = self._rejections_by_caller.get((caller, service), deque())
        # Rejections are not ordered by `back_at`: callers also give up on their own.
        for rejection in list(rejections):
            back_at, earlier = rejection
            if now - back_at > RETURN_WINDOW_SECONDS:
                rejections.remove(rejection)
            elif back_at <= came_at:
                rejections.remove(rejection)
                return earlier
        return None
