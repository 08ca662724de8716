"""Table of recently seen flows without a token.

The table is bounded and not persistent; lost entries are found again by a lookup.
"""

from collections import OrderedDict
from collections.abc import Set
from dataclasses import dataclass, field

from monsoonpier.balancer.packets.returning import EarlierAttempt
from monsoonpier.wire.packet import Packet, are_of_one_flow, sequence_distance

__all__ = [
    "FlowEntry",
    "FlowStatistics",
    "FlowTable",
    "OwnerLookup",
    "PacketDenials",
]

MAX_FLOWS = 65_536  # five times the 13,500 open flows of a balancer at the target size
LONG_FLOW_SECONDS = 2.0  # a flow still in use then counts as one with several requests
SMOOTHING = 0.1  # weight of the latest flow in its address's statistics
MAX_FLOW_BYTES = 1 << 30  # a larger acknowledged distance means a reordered packet
MAX_BUFFERED_PACKETS = 16  # per flow; about one window


@dataclass(slots=True, kw_only=True)
class OwnerLookup:
    """Progress of the lookup of a flow's owner.

    Attributes:
        started_at: When the first packet of the flow arrived.
        queried_at: When the directory balancers or the agents were last queried.
        packets: Buffered packets for the owner, the oldest first.
        pending_replies: How many directory balancers may still reply.
        has_queried_agents: Whether the agents have been queried.
        repeats: How many scheduled retries of the query have come due.
        probe: The packet that is sent to targets to find out which one owns the flow.
        probed_at_by_name: When the probe was sent to each target, by name.
        to_probe: Names of targets that the probe is yet to be sent to.
        relays: How many times the probe was relayed.
        denied_at_by_name: When agents have denied owning the flow, by target's name.
        inconclusive: Agents that can't tell whether their target owns the flow, since
            it has just started or is absent.
        ended_owners: Names of the targets that owned a flow with these ports and have
            ended.
    """

    started_at: float
    queried_at: float
    packets: list[Packet]
    pending_replies: int = 0
    has_queried_agents: bool = False
    repeats: int = 0
    probe: Packet | None = None
    probed_at_by_name: dict[str, float] = field(default_factory=dict)
    to_probe: set[str] = field(default_factory=set)
    relays: int = 0
    denied_at_by_name: dict[str, float] = field(default_factory=dict)
    inconclusive: set[str] = field(default_factory=set)
    ended_owners: tuple[str, ...] = ()

    @property
    def denied(self) -> Set[str]:
        """Names of targets whose agents have denied owning the flow."""
        return self.denied_at_by_name.keys()

    def is_about(self, packet: Packet) -> bool:
        """Return whether a packet is of the flow that is looked up."""
        return are_of_one_flow(self.packets[-1], packet)

    def buffer(self, packet: Packet) -> None:
        """Buffer a packet; when the buffer is full it replaces the last one.

        It may be a better probe than an acknowledgement, which no target answers.
        """
        if self.probe is not None and self.probe.is_bare and not packet.is_bare:
            self.probe = None
            self.probed_at_by_name.clear()
        if len(self.packets) < MAX_BUFFERED_PACKETS:
            self.packets.append(packet)
        else:
            self.packets[-1] = packet


@dataclass(frozen=True, slots=True, kw_only=True)
class PacketDenials:
    """The agents that have returned a packet of a flow, since it isn't theirs.

    They may own an earlier flow with the same addresses and ports.
    """

    packet: Packet
    names: frozenset[str]

    def with_denial(self, packet: Packet, name: str) -> "PacketDenials":
        """Return these denials and another, or it alone if it is of another flow."""
        names = self.names if are_of_one_flow(self.packet, packet) else frozenset()
        return PacketDenials(packet=packet, names=names | {name})


@dataclass(slots=True, kw_only=True)
class FlowEntry:
    """An entry of the flow table: what this balancer knows of one flow.

    Attributes:
        service: The service that the flow is for.
        created_at: When the flow's first SYN was sent, or its first packet arrived.
        first_attempt_at: When the caller sent the first SYN of the request, on this
            flow or on an earlier one that was rejected.
        attempts: How many flows the caller has opened for the request.
        is_attempt_queried: Whether the caller's directory balancer was queried for
            the first attempt.
        latest_syn_offset: Seconds after the first SYN at which the latest received
            retransmission was sent.
        owners: Names of targets that may own the flow: several while its SYN is
            hedged, one after an agent has confirmed it.
        is_confirmed: Whether an agent has confirmed that its target owns this flow.
        is_accepted: Whether a target has answered the SYN.
        is_queued: Whether the SYN waits for a slot at the last of ``owners``.
        syn: The SYN, until the flow is open.
        syn_sequence: The sequence number of the SYN; ``None`` if it didn't pass here.
        syn_sent_at: When the SYN was last sent to a target.
        tried: Names of targets that the SYN was sent to.
        lookup: The lookup of the owner, while it is in progress.
        denials: The agents that have returned a packet, until the owner is confirmed.
        is_in_statistics: Whether the flow has been counted in its address's statistics.
        has_fin: Whether the caller has sent a FIN.
        sent_bytes: Bytes that the caller has sent.
        first_acknowledged: The caller's first acknowledgement number, from which
            the bytes of the response are counted.
    """

    service: str
    created_at: float
    first_attempt_at: float = 0.0
    attempts: int = 1
    is_attempt_queried: bool = False
    latest_syn_offset: float = 0.0
    owners: tuple[str, ...] = ()
    is_confirmed: bool = False
    is_accepted: bool = False
    is_queued: bool = False
    syn: Packet | None = None
    syn_sequence: int | None = None
    syn_sent_at: float = 0.0
    tried: tuple[str, ...] = ()
    lookup: OwnerLookup | None = None
    denials: PacketDenials | None = None
    is_in_statistics: bool = False
    has_fin: bool = False
    sent_bytes: int = 0
    first_acknowledged: int | None = None

    def link_earlier_attempt(self, earlier: EarlierAttempt) -> None:
        """Count the flow as a further attempt of a request that was rejected before."""
        self.first_attempt_at = min(self.first_attempt_at, earlier.first_attempt_at)
        self.attempts = earlier.attempts + 1


class FlowTable:
    """Recently seen flows by their addresses and ports, with LRU eviction."""

    def __init__(self, *, limit: int = MAX_FLOWS) -> None:
        self._limit = limit
        self._entries_by_flow: OrderedDict[bytes, FlowEntry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries_by_flow)

    def get(self, flow: bytes) -> FlowEntry | None:
        """Return the entry of a flow, if there is one."""
        return self._entries_by_flow.get(flow)

    def touch(self, flow: bytes) -> FlowEntry | None:
        """Return the entry of a flow and mark it as most recently used."""
        entry = self._entries_by_flow.get(flow)
        if entry is not None:
            self._entries_by_flow.move_to_end(flow)
        return entry

    def put(self, flow: bytes, entry: FlowEntry) -> None:
        """Add a flow; evict the least recently used one if the table is full."""
        self._entries_by_flow[flow] = entry
        self._entries_by_flow.move_to_end(flow)
        if len(self._entries_by_flow) > self._limit:
            self._entries_by_flow.popitem(last=False)

    def drop(self, flow: bytes) -> None:
        """Remove a flow."""
        self._entries_by_flow.pop(flow, None)


class FlowStatistics:
    """Share of long flows to one address, and mean bytes of its short flows."""

    def __init__(self) -> None:
        self._long_share = 0.5
        self._short_bytes = 0.0
        self._short_flows = 0

    @property
    def long_share(self) -> float:
        """Smoothed share of flows that carry several requests, 0 to 1."""
        return self._long_share

    @property
    def short_bytes(self) -> float:
        """Smoothed bytes in both directions of a flow with one request."""
        return self._short_bytes

    def observe(self, packet: Packet, entry: FlowEntry, *, now: float) -> None:
        """Update from one packet of a flow; each flow counts once."""
        if entry.is_in_statistics:
            return
        entry.sent_bytes += packet.size
        if entry.first_acknowledged is None:
            entry.first_acknowledged = packet.acknowledged
        is_long = now - entry.created_at >= LONG_FLOW_SECONDS
        if not is_long and not packet.is_fin:
            return
        entry.is_in_statistics = True
        self._long_share += SMOOTHING * (float(is_long) - self._long_share)
        if not is_long:
            answered = sequence_distance(entry.first_acknowledged, packet.acknowledged)
            carried = entry.sent_bytes + (answered if answered < MAX_FLOW_BYTES else 0)
            # A plain mean at first, since each balancer may see few flows.
            self._short_flows += 1
            weight = max(SMOOTHING, 1 / self._short_flows)
            self._short_bytes += weight * (carried - self._short_bytes)
