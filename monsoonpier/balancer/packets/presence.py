"""Whether callers whose flows wait for a slot are likely to be there still.

The load that it answers: more callers than slots. A caller that has left by its own
deadline says nothing; a slot that is given to its flow stands empty until its agent
gives it up. While a caller waits it sends its SYN again at known times, so one that
doesn't is doubtful. It may be there all the same, since a copy may be lost: its flow
goes after all others, keeps waiting, and has its place again when a copy comes.

A further flow of the same address is no sign: several users may share one.
"""

import heapq
from dataclasses import dataclass

__all__ = ["CallerPresence"]

COPIES_AT_SECONDS = (0.2, 0.6)  # after the first SYN, by the platform
MARGIN_SECONDS = 0.1  # a full link's queue, twice


@dataclass(slots=True, kw_only=True)
class _Caller:
    """A caller that waits.

    Attributes:
        began_at: When its first SYN came, or would have.
        heard: Seconds after that at which the last copy that came was sent.
        is_doubtful: A later one was due and hasn't come.
    """

    began_at: float
    heard: float
    is_doubtful: bool = False


class CallerPresence:
    """Callers by the flow that waits. Does no I/O."""

    def __init__(self) -> None:
        self._callers_by_flow: dict[bytes, _Caller] = {}
        self._due: list[tuple[float, float, bytes]] = []  # a heap, by time

    def __len__(self) -> int:
        return len(self._callers_by_flow)

    def waits(self, flow: bytes, *, began_at: float, heard: float, now: float) -> bool:
        """Note a flow that waits from now on; tell if its caller is doubtful.

        Args:
            flow: Its addresses and ports.
            began_at: When its first SYN came.
            heard: Seconds after that at which the last copy that came was sent.
            now: The present time.
        """
        caller = _Caller(began_at=began_at, heard=heard)
        self._callers_by_flow[flow] = caller
        for copy_at in COPIES_AT_SECONDS:
            due_at = began_at + copy_at + MARGIN_SECONDS
            if copy_at <= heard:
                continue
            if due_at <= now:
                caller.is_doubtful = True
            else:
                heapq.heappush(self._due, (due_at, copy_at, flow))
        return caller.is_doubtful

    def heard(self, flow: bytes, *, waited: float) -> bool:
        """Note a copy of a waiting flow's SYN; tell if its caller was doubtful."""
        caller = self._callers_by_flow.get(flow)
        if caller is None or waited <= caller.heard:
            return False
        caller.heard = waited
        was_doubtful, caller.is_doubtful = caller.is_doubtful, False
        return was_doubtful

    def doubts(self, flow: bytes) -> bool:
        """Tell whether a waiting flow's caller is doubtful."""
        caller = self._callers_by_flow.get(flow)
        return caller is not None and caller.is_doubtful

    def gone(self, flow: bytes) -> None:
        """Forget a flow that waits no longer."""
        self._callers_by_flow.pop(flow, None)

    def turned_doubtful(self, *, now: float) -> list[bytes]:
        """Return the flows whose callers have just failed to send a copy."""
        flows: list[bytes] = []
        while self._due and self._due[0][0] <= now:
            _, copy_at, flow = heapq.heappop(self._due)
            caller = self._callers_by_flow.get(flow)
            if caller is None or caller.is_doubtful or caller.heard >= copy_at:
                continue
            caller.is_doubtful = True
            flows.append(flow)
        return flows
