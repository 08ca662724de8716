"""Detection of callers that have left while their flows wait for a slot.

A waiting caller retransmits its SYN at known times. If a retransmission is missing, the
flow is presumed abandoned, since a slot given to a caller that has left stays empty
until the agent's timeout. The retransmission may just be lost, so the flow stays queued
behind all others and regains its place when the next retransmission arrives.

A new flow from the same address doesn't show that the caller has left, as several users
may share the address.
"""

import heapq
from dataclasses import dataclass

__all__ = ["CallerPresence"]

RETRANSMISSION_OFFSETS_SECONDS = (0.2, 0.6)  # after the first SYN
MARGIN_SECONDS = 0.1  # allowed delay of a retransmission


@dataclass(slots=True, kw_only=True)
class _Caller:
    """A caller whose flow is queued.

    Attributes:
        first_syn_at: When its first SYN was sent.
        latest_syn_offset: Seconds after that at which the latest received
            retransmission was sent.
        is_presumed_abandoned: Whether a later retransmission is overdue.
    """

    first_syn_at: float
    latest_syn_offset: float
    is_presumed_abandoned: bool = False


class CallerPresence:
    """Tracks which queued flows are presumed abandoned. Does no I/O."""

    def __init__(self) -> None:
        self._callers_by_flow: dict[bytes, _Caller] = {}
        self._deadlines: list[tuple[float, float, bytes]] = []  # a heap, by time

    def __len__(self) -> int:
        return len(self._callers_by_flow)

    def track(
        self, flow: bytes, *, first_syn_at: float, latest_syn_offset: float, now: float
    ) -> bool:
        """Track a newly queued flow; return whether it is presumed abandoned.

        Args:
            flow: The flow's addresses and ports.
            first_syn_at: When its first SYN was sent.
            latest_syn_offset: Seconds after that at which the latest received
                retransmission was sent.
            now: The current time.
        """
        caller = _Caller(first_syn_at=first_syn_at, latest_syn_offset=latest_syn_offset)
        self._callers_by_flow[flow] = caller
        for offset in RETRANSMISSION_OFFSETS_SECONDS:
            due_at = first_syn_at + offset + MARGIN_SECONDS
            if offset <= latest_syn_offset:
                continue
            if due_at <= now:
                caller.is_presumed_abandoned = True
            else:
                heapq.heappush(self._deadlines, (due_at, offset, flow))
        return caller.is_presumed_abandoned

    def note_retransmission(self, flow: bytes, *, waited: float) -> bool:
        """Record a retransmission; return whether the flow was presumed abandoned."""
        caller = self._callers_by_flow.get(flow)
        if caller is None or waited <= caller.latest_syn_offset:
            return False
        caller.latest_syn_offset = waited
        was_presumed_abandoned, caller.is_presumed_abandoned = (
            caller.is_presumed_abandoned,
            False,
        )
        return was_presumed_abandoned

    def is_presumed_abandoned(self, flow: bytes) -> bool:
        """Return whether a queued flow is presumed abandoned."""
        caller = self._callers_by_flow.get(flow)
        return caller is not None and caller.is_presumed_abandoned

    def forget(self, flow: bytes) -> None:
        """Stop tracking a flow that is no longer queued."""
        self._callers_by_flow.pop(flow, None)

    def pop_abandoned(self, *, now: float) -> list[bytes]:
        """Return the flows that are presumed abandoned from now on.

        These are flows whose retransmission has become overdue since the last call.
        """
        flows: list[bytes] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, offset, flow = heapq.heappop(self._deadlines)
            caller = self._callers_by_flow.get(flow)
            if (
                caller is None
                or caller.is_presumed_abandoned
                or caller.latest_syn_offset >= offset
            ):
                continue
            caller.is_presumed_abandoned = True
            flows.append(flow)
        return flows
