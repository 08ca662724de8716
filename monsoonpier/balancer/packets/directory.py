"""Who holds a flow, kept by two balancers of a data centre for all of them.

The fabric moves nearly all flows of a data centre to other balancers when one joins
or leaves. Each moved flow costs a question; asking every agent of a service with 37
targets took 10 KB a flow, more than the links of small entry VMs carry while
balancers are replaced in turn. Two balancers that any other can compute answer it in
0.3 KB. They may be lost like all else here: then the agents are asked.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.membership import Membership
from monsoonpier.model.rendezvous import top
from monsoonpier.wire.frames import MAX_ENTRIES, BalancerRecord, Find, Found, Register

__all__ = ["HolderDirectory"]

KEEPERS = 2  # one may be restarting
MAX_HOLDERS = 65_536  # 27,000 flows a keeper at the size aimed at, twice
MAX_PENDING = 16_384
REGISTER_SECONDS = 0.25  # most flows with one request have ended by then


class HolderDirectory:
    """This balancer's part of the directory, and its questions to others' parts."""

    def __init__(self, *, membership: Membership) -> None:
        self._membership = membership
        self._holders_by_flow: OrderedDict[bytes, str] = OrderedDict()
        self._pending: deque[tuple[float, bytes, str]] = deque(maxlen=MAX_PENDING)

    def __len__(self) -> int:
        return len(self._holders_by_flow)

    @property
    def is_waiting(self) -> bool:
        """Whether `due` will have something."""
        return bool(self._pending)

    def opened(self, flow: bytes, holder: str, *, now: float) -> None:
        """Note a flow that is to be registered if it lasts."""
        self._pending.append((now + REGISTER_SECONDS, flow, holder))

    def due(self, *, now: float) -> Iterator[tuple[bytes, str]]:
        """Yield the flows whose time to be registered has come."""
        while self._pending and self._pending[0][0] <= now:
            _, flow, holder = self._pending.popleft()
            yield flow, holder

    def register(self, flows: list[tuple[bytes, str]]) -> list[ToAgent]:
        """Return the frames that tell the keepers of these flows' holders."""
        entries_by_keeper: dict[str, list[tuple[bytes, str]]] = {}
        records_by_name = self._membership.peers.near_by_name
        for flow, holder in flows:
            for name in _keepers(flow, records_by_name):
                entries_by_keeper.setdefault(name, []).append((flow, holder))
        own = entries_by_keeper.pop(self._membership.peers.own.name, [])
        for flow, holder in own:
            self._keep(flow, holder)
        return [
            ToAgent(
                endpoint=records_by_name[name].endpoint,
                frame=Register(entries=tuple(entries[start : start + MAX_ENTRIES])),
            )
            for name, entries in entries_by_keeper.items()
            for start in range(0, len(entries), MAX_ENTRIES)
        ]

    def registered(self, frame: Register) -> None:
        """Keep what another balancer has learned."""
        for flow, holder in frame.entries:
            self._keep(flow, holder)

    def holder(self, flow: bytes) -> str | None:
        """Return the holder that is kept here."""
        return self._holders_by_flow.get(flow)

    def forget(self, flow: bytes) -> None:
        """Drop a flow whose kept holder has denied it."""
        self._holders_by_flow.pop(flow, None)

    def find(self, flow: bytes) -> list[ToAgent]:
        """Return the questions to the flow's keepers; none if it is this balancer."""
        records_by_name = self._membership.peers.near_by_name
        own = self._membership.peers.own.name
        return [
            ToAgent(endpoint=records_by_name[name].endpoint, frame=Find(flow=flow))
            for name in _keepers(flow, records_by_name)
            if name != own
        ]

    def answer(self, frame: Find) -> Found:
        """Return what is kept here of a flow."""
        return Found(flow=frame.flow, holder=self._holders_by_flow.get(frame.flow, ""))

    def _keep(self, flow: bytes, holder: str) -> None:
        self._holders_by_flow[flow] = holder
        self._holders_by_flow.move_to_end(flow)
        if len(self._holders_by_flow) > MAX_HOLDERS:
            self._holders_by_flow.popitem(last=False)


def _keepers(flow: bytes, records_by_name: dict[str, BalancerRecord]) -> list[str]:
    return list(top(flow.hex(), records_by_name, count=KEEPERS))
