"""What a balancer remembers of flows without a token: bounded, may be lost."""

from collections import OrderedDict
from dataclasses import dataclass, field

from monsoonpier.balancer.packets.returning import EarlierTry
from monsoonpier.wire.packet import Packet, sequence_distance

__all__ = ["FlowHabits", "FlowTable", "Inquiry", "KnownFlow"]

MAX_FLOWS = 65_536  # 13,500 open flows a balancer at the size aimed at, fivefold
LONG_SECONDS = 2.0  # a flow that still sends then carries more than one request
SMOOTHING = 0.1  # of what one more flow says of its address
MAX_FLOW_BYTES = 1 << 30  # a larger step back in the sequence space is a late packet
MAX_KEPT_PACKETS = 16  # what a caller sends before it waits for an answer


@dataclass(slots=True, kw_only=True)
class Inquiry:
    """A flow whose holder isn't known yet.

    Attributes:
        began_at: When the first packet came that nobody was known to take.
        asked_at: When the keepers, and later the agents, were asked last.
        packets: What has come meanwhile, the oldest first, for the holder.
        keepers_left: How many keepers may still answer.
        asks_agents: The keepers didn't know; the agents were asked.
        repeats: How often they were asked again without a further packet.
        tried: The packet that agents were asked to try on their targets.
        tried_at_by_name: When each of them was asked to.
        to_try: Those of them that the packet is yet to be sent to.
        denied: Agents that have answered no.
        doubtful: Agents that can't know, of targets that have just started.
    """

    began_at: float
    asked_at: float
    packets: list[Packet]
    keepers_left: int = 0
    asks_agents: bool = False
    repeats: int = 0
    tried: Packet | None = None
    tried_at_by_name: dict[str, float] = field(default_factory=dict)
    to_try: set[str] = field(default_factory=set)
    denied: set[str] = field(default_factory=set)
    doubtful: set[str] = field(default_factory=set)

    def keep(self, packet: Packet) -> None:
        """Keep a packet until the holder is known; more than a window is lost."""
        if len(self.packets) < MAX_KEPT_PACKETS:
            self.packets.append(packet)
        else:
            self.packets[-1] = packet


@dataclass(slots=True, kw_only=True)
class KnownFlow:
    """One flow as this balancer last saw it.

    ``holders`` names the targets that may hold it: several while copies of its
    SYN are on their way, one after its agent has said so. ``is_queued`` says that
    the SYN waits at the last of them for a slot. ``asked_at`` is when its caller
    asked first, on this flow or on one that it was refused before;
    ``is_asked_for`` says that its keeper was asked when that was. ``heard`` is how
    long after its first SYN the last copy that came was sent. ``sent_bytes``
    are the caller's; what it has acknowledged since ``first_acknowledged`` are the
    answer's.
    """

    service: str
    created_at: float
    asked_at: float = 0.0
    tries: int = 1
    is_asked_for: bool = False
    heard: float = 0.0
    holders: tuple[str, ...] = ()
    is_confirmed: bool = False
    is_accepted: bool = False
    is_queued: bool = False
    syn: Packet | None = None
    sent_at: float = 0.0
    tried: tuple[str, ...] = ()
    inquiry: Inquiry | None = None
    is_counted: bool = False
    has_fin: bool = False
    sent_bytes: int = 0
    first_acknowledged: int | None = None

    def follows(self, earlier: EarlierTry) -> None:
        """Take the flow for a further try of a request that was refused before."""
        self.asked_at = min(self.asked_at, earlier.asked_at)
        self.tries = earlier.tries + 1


class FlowTable:
    """The flows seen last, by their address."""

    def __init__(self, *, most: int = MAX_FLOWS) -> None:
        self._most = most
        self._flows_by_address: OrderedDict[bytes, KnownFlow] = OrderedDict()

    def __len__(self) -> int:
        return len(self._flows_by_address)

    def get(self, flow: bytes) -> KnownFlow | None:
        """Return what is known of a flow."""
        return self._flows_by_address.get(flow)

    def touch(self, flow: bytes) -> KnownFlow | None:
        """Return what is known of a flow, and keep it longest."""
        known = self._flows_by_address.get(flow)
        if known is not None:
            self._flows_by_address.move_to_end(flow)
        return known

    def put(self, flow: bytes, known: KnownFlow) -> None:
        """Remember a flow; the one seen longest ago makes room."""
        self._flows_by_address[flow] = known
        self._flows_by_address.move_to_end(flow)
        if len(self._flows_by_address) > self._most:
            self._flows_by_address.popitem(last=False)

    def drop(self, flow: bytes) -> None:
        """Forget a flow."""
        self._flows_by_address.pop(flow, None)


class FlowHabits:
    """How long the flows to one address last, and how much the short ones carry."""

    def __init__(self) -> None:
        self._long_share = 0.5
        self._short_bytes = 0.0
        self._short_flows = 0

    @property
    def long_share(self) -> float:
        """How many turn out to carry more than one request, 0 to 1; smoothed."""
        return self._long_share

    @property
    def short_bytes(self) -> float:
        """Bytes both ways of a flow with one request; smoothed."""
        return self._short_bytes

    def learn(self, packet: Packet, known: KnownFlow, *, now: float) -> None:
        """Learn from one packet of a flow; each flow counts once."""
        if known.is_counted:
            return
        known.sent_bytes += packet.size
        if known.first_acknowledged is None:
            known.first_acknowledged = packet.acknowledged
        is_long = now - known.created_at >= LONG_SECONDS
        if not is_long and not packet.is_fin:
            return
        known.is_counted = True
        self._long_share += SMOOTHING * (float(is_long) - self._long_share)
        if not is_long:
            answered = sequence_distance(known.first_acknowledged, packet.acknowledged)
            carried = known.sent_bytes + (answered if answered < MAX_FLOW_BYTES else 0)
            # The first few count in full: a balancer in a large fleet sees few.
            self._short_flows += 1
            weight = max(SMOOTHING, 1 / self._short_flows)
            self._short_bytes += weight * (carried - self._short_bytes)
