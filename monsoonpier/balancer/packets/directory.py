"""Directory of flow owners, stored at two balancers of a data centre.

When a balancer joins or leaves, the fabric moves nearly all flows of the data centre
to other balancers, which must find their owners. Two directory balancers, chosen by
rendezvous hashing, reply with few bytes; querying all agents would fill the links of
small entry VMs. If both are lost the agents are queried.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.membership import Membership
from monsoonpier.model.rendezvous import top
from monsoonpier.wire.frames import (
    MAX_ENTRIES,
    BalancerRecord,
    DirectoryQuery,
    DirectoryReply,
    DirectoryUpdate,
)

__all__ = ["OwnerDirectory"]

DIRECTORY_BALANCERS = 2  # per flow, since one may be restarting
MAX_OWNERS = 65_536  # flows stored here; twice the 27,000 at the target size
MAX_PENDING = 16_384  # flows scheduled for registration
REGISTER_SECONDS = 0.25  # most flows with one request have ended by then


class OwnerDirectory:
    """The part of the directory that this balancer stores. Does no I/O.

    Also builds the frames that update and query the other directory balancers.
    """

    def __init__(self, *, membership: Membership) -> None:
        self._membership = membership
        self._owners_by_flow: OrderedDict[bytes, str] = OrderedDict()
        self._pending: deque[tuple[float, bytes, str]] = deque(maxlen=MAX_PENDING)

    def __len__(self) -> int:
        return len(self._owners_by_flow)

    @property
    def is_waiting(self) -> bool:
        """Whether flows are scheduled for registration."""
        return bool(self._pending)

    def schedule(self, flow: bytes, owner: str, *, now: float) -> None:
        """Schedule a flow for registration after `REGISTER_SECONDS`."""
        self._pending.append((now + REGISTER_SECONDS, flow, owner))

    def pop_due(self, *, now: float) -> Iterator[tuple[bytes, str]]:
        """Remove and yield the flows that are due for registration."""
        while self._pending and self._pending[0][0] <= now:
            _, flow, owner = self._pending.popleft()
            yield flow, owner

    def publish(self, flows: list[tuple[bytes, str]]) -> list[ToAgent]:
        """Store the flows' owners that belong here; return frames with the others."""
        entries_by_balancer: dict[str, list[tuple[bytes, str]]] = {}
        records_by_name = self._membership.peers.near_by_name
        for flow, owner in flows:
            for name in _directory_balancers(flow, records_by_name):
                entries_by_balancer.setdefault(name, []).append((flow, owner))
        own = entries_by_balancer.pop(self._membership.peers.own.name, [])
        for flow, owner in own:
            self._store(flow, owner)
        return [
            ToAgent(
                endpoint=records_by_name[name].endpoint,
                frame=DirectoryUpdate(
                    entries=tuple(entries[start : start + MAX_ENTRIES])
                ),
            )
            for name, entries in entries_by_balancer.items()
            for start in range(0, len(entries), MAX_ENTRIES)
        ]

    def store(self, frame: DirectoryUpdate) -> None:
        """Store the owners that another balancer has registered."""
        for flow, owner in frame.entries:
            self._store(flow, owner)

    def get(self, flow: bytes) -> str | None:
        """Return the owner that is stored here."""
        return self._owners_by_flow.get(flow)

    def forget(self, flow: bytes) -> None:
        """Drop a flow whose stored owner has denied it."""
        self._owners_by_flow.pop(flow, None)

    def query(self, flow: bytes) -> list[ToAgent]:
        """Return the queries to the flow's other directory balancers."""
        records_by_name = self._membership.peers.near_by_name
        own = self._membership.peers.own.name
        return [
            ToAgent(
                endpoint=records_by_name[name].endpoint, frame=DirectoryQuery(flow=flow)
            )
            for name in _directory_balancers(flow, records_by_name)
            if name != own
        ]

    def reply(self, frame: DirectoryQuery) -> DirectoryReply:
        """Return the reply to a query, with an empty owner if none is stored."""
        return DirectoryReply(
            flow=frame.flow, owner=self._owners_by_flow.get(frame.flow, "")
        )

    def _store(self, flow: bytes, owner: str) -> None:
        """Store an entry; evict the oldest one if the directory is full."""
        self._owners_by_flow[flow] = owner
        self._owners_by_flow.move_to_end(flow)
        if len(self._owners_by_flow) > MAX_OWNERS:
            self._owners_by_flow.popitem(last=False)


def _directory_balancers(
    flow: bytes, records_by_name: dict[str, BalancerRecord]
) -> list[str]:
    """Return the names of the balancers that store a flow's owner."""
    return list(top(flow.hex(), records_by_name, count=DIRECTORY_BALANCERS))
