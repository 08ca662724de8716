"""Callers that were refused a moment ago and come back on a new flow.

The load that it answers: more callers than slots for seconds, after an outage. A
caller whose SYN found no slot in time is reset and opens another flow at once. Taken
for a new caller it would go before those who can still be answered in time, and be
late all the same: in simulated time (seven targets of four slots, 1.4 s without
power) one caller in two that asked while targets were cold was late by that.
"""

from collections import OrderedDict, deque

from monsoonpier.model.address import Address
from monsoonpier.wire.frames import MAX_ENTRIES, MAX_MILLISECONDS, Refused
from monsoonpier.wire.packet import Packet

__all__ = ["TOLD_BALANCERS", "ReturningCallers"]

# Callers open another flow within 0.1 s (nine in ten of 280 that were reset); a
# refusal that is remembered for longer makes another request of theirs look late.
RETURN_SECONDS = 0.15
MAX_CALLERS = 8_192  # as many as may wait, twice
# The fabric may hand a caller's next flow to any balancer of the data centre. With
# more of them than this only some are told: a refusal must not cost more than a flow.
TOLD_BALANCERS = 4
MAX_UNTOLD = 1_024


class ReturningCallers:
    """Since when callers that were refused have been asking. Does no I/O."""

    def __init__(self, *, most: int = MAX_CALLERS) -> None:
        self._most = most
        self._refusals_by_caller: OrderedDict[tuple, deque[tuple[float, float]]]
        self._refusals_by_caller = OrderedDict()
        self._untold: deque[tuple[Packet, float]] = deque(maxlen=MAX_UNTOLD)

    @property
    def has_news(self) -> bool:
        """Whether other balancers are yet to be told of refusals."""
        return bool(self._untold)

    def refused(self, packet: Packet, *, asked_at: float, now: float) -> None:
        """Note a caller that is told now to try another flow.

        Args:
            packet: Its packet, which names the caller and the service's address.
            asked_at: When it asked first, as far as is known here.
            now: When it learns so, or gives up by itself.
        """
        self._untold.append((packet, asked_at))
        self._remember(_key(packet), asked_at=asked_at, now=now)

    def _remember(self, key: tuple, *, asked_at: float, now: float) -> None:
        refusals = self._refusals_by_caller.setdefault(key, deque())
        refusals.append((now, asked_at))
        self._refusals_by_caller.move_to_end(key)
        while len(self._refusals_by_caller) > self._most:
            self._refusals_by_caller.popitem(last=False)

    def news(self, *, now: float) -> list[Refused]:
        """Return frames for other balancers on the callers refused since the last."""
        entries = [
            (
                packet.caller_ip,
                packet.service_address.ip,
                packet.service_address.port,
                min(MAX_MILLISECONDS, max(0, round((now - asked_at) * 1000))),
            )
            for packet, asked_at in self._untold
        ]
        self._untold.clear()
        return [
            Refused(entries=tuple(entries[start : start + MAX_ENTRIES]))
            for start in range(0, len(entries), MAX_ENTRIES)
        ]

    def heard(self, frame: Refused, *, now: float) -> None:
        """Take another balancer's word on callers that it has refused."""
        for caller_ip, ip, port, age_ms in frame.entries:
            key = (caller_ip, Address(ip=ip, port=port))
            self._remember(key, asked_at=now - age_ms / 1000, now=now)

    def asked_at(self, packet: Packet, *, now: float) -> float:
        """Return when the caller of a new flow asked first; each refusal counts once.

        That is now, less the time of the SYN's earlier copies, for one that was
        not refused.
        """
        refusals = self._refusals_by_caller.get(_key(packet), deque())
        while refusals and now - refusals[0][0] > RETURN_SECONDS:
            refusals.popleft()
        if refusals and refusals[0][0] <= now:
            return refusals.popleft()[1]
        return now - packet.waited


def _key(packet: Packet) -> tuple:
    return (packet.caller_ip, packet.service_address)
