"""Authenticated datagrams between balancers and agents, and among balancers.

In this module the directory balancer of a flow is the one that records the flow's
owner, and the directory balancer of a caller the one that records the caller's
rejected attempts.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from monsoonpier.model.evacuation import MAX_EVACUATIONS, Evacuation
from monsoonpier.model.keys import FRAME, KeyRing
from monsoonpier.model.revision import MAX_GENERATION
from monsoonpier.model.target import (
    PROCESS_KEY_BYTES,
    FlowAddresses,
    LoadReport,
    TargetRecord,
)
from monsoonpier.wire.codec import Codec, Dropped, Name, Reason

__all__ = [
    "Announce",
    "BalancerRecord",
    "OpenReturned",
    "ForwardPacket",
    "DeclineSlot",
    "DirectoryQuery",
    "ForwardDatagram",
    "DirectoryReply",
    "FirstAttemptReply",
    "FrameCodec",
    "FreshnessQuery",
    "FreshnessReply",
    "Gossip",
    "Heartbeat",
    "FlowOwned",
    "OwnershipReply",
    "LoadUpdate",
    "FlowNotOwned",
    "OfferSlot",
    "RelayPacket",
    "SynQueued",
    "AttemptRejected",
    "DirectoryUpdate",
    "ReserveSlot",
    "relayed_packets",
    "SynRejected",
    "FirstAttemptQuery",
    "OwnershipQuery",
    "RecordQuery",
    "RecordReply",
    "HeartbeatAck",
    "ReplyDatagram",
    "SilenceBatch",
    "SilenceReport",
    "to_milliseconds",
]

MAX_FRAME_BYTES = 2_048
MAX_TRIED = 4
MAX_RECORDS = 8  # per gossip datagram
MAX_SILENCES = 16
MAX_BATCHES = 32
MAX_BATCH_KEYS = 32  # of 10 bytes each
MAX_BALANCERS = 16
MAX_QUERIED_FLOWS = 80  # flows, at 14 bytes each
MAX_RELAY_AGENTS = 36  # agents, at 20 bytes each beside a packet of 1,231 bytes
MAX_RELAY_PACKETS = 32  # in one frame
MAX_MILLISECONDS = 3_600_000  # one hour
MAX_PRIORITY = 255
MAX_ENTRIES = 32  # at about 36 bytes each

Ip = Annotated[str, Meta(max_length=15)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Payload = Annotated[bytes, Meta(max_length=1_400)]
Endpoint = tuple[Ip, Port]
ProcessKey = Annotated[
    bytes, Meta(min_length=PROCESS_KEY_BYTES, max_length=PROCESS_KEY_BYTES)
]
FlowAddress = Annotated[bytes, Meta(min_length=12, max_length=12)]
Milliseconds = Annotated[int, Meta(ge=0, le=MAX_MILLISECONDS)]
Tries = Annotated[int, Meta(ge=1, le=255)]
Tried = Annotated[tuple[Name, ...], Meta(max_length=MAX_TRIED)]


def to_milliseconds(seconds: float) -> int:
    """Return a duration in milliseconds, limited to what frames can carry.

    A negative duration becomes 0.
    """
    return min(MAX_MILLISECONDS, max(0, round(seconds * 1000)))


class _Frame(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """Base of all frames, which are arrays that begin with the tag."""


class ForwardDatagram(_Frame, tag=1, kw_only=True, gc=False):
    """Forwards a caller's datagram to an agent.

    With an OPEN, ``tried`` names the targets that it has been sent to.
    """

    service: Name
    ip: Ip
    port: Port
    payload: Payload
    tried: Tried = ()


class ReplyDatagram(_Frame, tag=2, kw_only=True, gc=False):
    """Carries an agent's datagram to a caller by way of the balancer.

    ``opened`` reports that the agent accepted a new flow.
    """

    service: Name
    ip: Ip
    port: Port
    payload: Payload
    agent: Name
    load: LoadReport
    opened: bool = False


class OpenReturned(_Frame, tag=3, kw_only=True, gc=False):
    """Returns a rejected OPEN, so that the balancer tries another target."""

    service: Name
    ip: Ip
    port: Port
    payload: Payload
    tried: Tried
    reason: Reason
    retry_after_ms: int
    agent: Name
    load: LoadReport


class Heartbeat(_Frame, tag=4, kw_only=True, gc=False):
    """Reports that an agent is alive; sent to a bounded set of balancers.

    ``epoch`` and ``change`` are the rank of the agent's current `TargetRecord`.
    """

    name: Name
    epoch: int
    change: int
    load: LoadReport


class BalancerRecord(_Frame, tag=5, kw_only=True, gc=False):
    """Describes a balancer to its peers and to agents."""

    name: Name
    data_centre: Name
    ip: Ip
    port: Port
    control: Name
    epoch: int
    leaving: bool = False

    @property
    def endpoint(self) -> tuple[str, int]:
        """The balancer's internal UDP address, in the form that sockets use."""
        return (self.ip, self.port)


class HeartbeatAck(_Frame, tag=6, kw_only=True, gc=False):
    """Acknowledges a `Heartbeat` or an `Announce`.

    ``version`` is that of the balancer's configuration. ``known`` says that the
    balancer has the agent's current record, ``allowed`` that the configuration allows
    the agent's target. ``known_epoch`` is the epoch of the balancer's record of the
    agent: a larger one than the agent's own means that the agent's wall clock was set
    back. ``evacuation`` is the last known order on the agent's data centre.
    ``cold_per_second`` limits the new flows without a token that a cold target
    accepts; 0 means no limit. ``addresses`` are those of an earlier process of the
    agent that the agent's own record doesn't name.
    """

    balancer: Name
    version: int
    known: bool
    allowed: bool
    leaving: bool = False
    balancers: Annotated[
        tuple[BalancerRecord, ...], Meta(max_length=MAX_BALANCERS)
    ] = ()
    known_epoch: int = 0
    evacuation: Evacuation | None = None
    cold_per_second: Annotated[float, Meta(ge=0)] = 0.0
    addresses: FlowAddresses = ()


class Announce(_Frame, tag=7, kw_only=True, gc=False):
    """Carries an agent's whole record; sent at its start and at each change."""

    record: TargetRecord


class RecordQuery(_Frame, tag=33, kw_only=True, gc=False):
    """Asks the agent at an address for its record, to confirm that it is alive.

    ``name`` is that of the target that the balancer expects there.
    """

    name: Name


class RecordReply(_Frame, tag=34, kw_only=True, gc=False):
    """Answers a `RecordQuery` with the agent's record and its target's load."""

    record: TargetRecord
    load: LoadReport


class SilenceReport(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False
):
    """Reports that a balancer, the observer, misses an agent's heartbeats.

    If ``silent`` is false, the observer receives them again, or the agent has selected
    another observer. Of two reports of an observer the one with the larger ``rank`` is
    valid. Older builds leave out the observer's epoch and the number. ``is_batched``
    says that the observer sends the report in a `SilenceBatch` too, so that only
    builds that don't read those need this one.
    """

    name: Name
    epoch: int
    observer: Name
    silent: bool
    observer_epoch: int = 0
    number: int = 0
    is_batched: bool = False

    @property
    def rank(self) -> tuple[int, int]:
        """The report's order among those of its observer."""
        return (self.observer_epoch, self.number)

    @property
    def is_ranked(self) -> bool:
        """Whether the report comes from a build that numbers its reports."""
        return self.number > 0


class SilenceBatch(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False
):
    """Carries reports that an observer made at the same time.

    ``keys`` are those of the agent processes. The first report has the number
    ``number``, and each has the next one, as if it were a `SilenceReport`.
    """

    observer: Name
    observer_epoch: int
    number: Annotated[int, Meta(ge=1)]
    silent: bool
    keys: Annotated[
        tuple[ProcessKey, ...], Meta(min_length=1, max_length=MAX_BATCH_KEYS)
    ]


class Gossip(_Frame, tag=8, kw_only=True, gc=False):
    """Carries updates to a peer, and a digest that reveals missing ones.

    ``is_converged`` says that the sender is likely to know all targets.
    ``evacuations`` holds all evacuation orders, so that the receiver knows them
    before it fetches the configuration of ``version``. ``store_generation`` is the
    newest known generation of the store, or 0. ``uptime_ms`` is the time since the
    sender's start, ``None`` from older builds.
    """

    sender: BalancerRecord
    version: int
    digest: Annotated[bytes, Meta(max_length=16)]
    records: Annotated[tuple[TargetRecord, ...], Meta(max_length=MAX_RECORDS)] = ()
    silences: Annotated[tuple[SilenceReport, ...], Meta(max_length=MAX_SILENCES)] = ()
    balancers: Annotated[
        tuple[BalancerRecord, ...], Meta(max_length=MAX_BALANCERS)
    ] = ()
    is_answer: bool = False
    is_converged: bool = False
    evacuations: Annotated[
        tuple[Evacuation, ...], Meta(max_length=MAX_EVACUATIONS)
    ] = ()
    store_generation: Annotated[int, Meta(ge=0, le=MAX_GENERATION)] = 0
    batches: Annotated[tuple[SilenceBatch, ...], Meta(max_length=MAX_BATCHES)] = ()
    uptime_ms: Annotated[int, Meta(ge=0)] | None = None


class ForwardPacket(_Frame, tag=9, kw_only=True, gc=False):
    """Forwards a packet of a flow without a token to an agent.

    ``wants_reply`` requests a reply in any case, since the balancer doesn't know
    whether this agent owns the flow. ``reply_to`` is the balancer's address if
    the frame was relayed by another agent. ``takes_batches`` says that the balancer
    reads `FlowNotOwned` frames about several flows.

    The other fields come with a SYN. ``tried`` names the targets that it has been
    sent to, ``in_time_ms`` is the time left to meet the latency target, ``wait_ms``
    how long the caller still waits for a slot, ``priority`` the route's priority.
    ``is_offered`` says that the SYN takes a slot that the agent has offered.
    """

    service: Name
    payload: Payload
    tried: Tried = ()
    wants_reply: bool = False
    reply_to: Endpoint | None = None
    in_time_ms: Milliseconds = 0
    wait_ms: Milliseconds = 0
    priority: Annotated[int, Meta(ge=0, le=MAX_PRIORITY)] = 0
    is_offered: bool = False
    takes_batches: bool = False


class FlowOwned(_Frame, tag=10, kw_only=True, gc=False):
    """Reports that an agent's target owns a flow.

    ``is_open`` is false until the handshake is complete.
    """

    flow: FlowAddress
    agent: Name
    load: LoadReport
    is_open: bool


class FlowNotOwned(_Frame, tag=11, kw_only=True, gc=False):
    """Reports that an agent's target doesn't own a flow.

    ``payload`` returns the packet. It is empty if the balancer requested a reply,
    since the balancer has then kept a copy of the packet. ``others`` are further flows
    that the target doesn't own, about which the balancer requested a reply too.
    """

    agent: Name
    flow: FlowAddress
    payload: Payload = b""
    others: Annotated[tuple[FlowAddress, ...], Meta(max_length=MAX_QUERIED_FLOWS)] = ()


class SynRejected(_Frame, tag=12, kw_only=True, gc=False):
    """Returns a rejected SYN, so that the balancer tries another target.

    The agent or its target rejected it.
    """

    agent: Name
    payload: Payload
    tried: Tried
    reason: Reason
    load: LoadReport


class SynQueued(_Frame, tag=20, kw_only=True, gc=False):
    """Reports that a SYN waits at an agent for a slot of its target."""

    flow: FlowAddress
    agent: Name
    load: LoadReport


class ReserveSlot(_Frame, tag=21, kw_only=True, gc=False):
    """Requests a slot for a flow whose SYN waits at the balancer.

    The balancer may request slots of several agents and use the first one offered.
    ``wait_ms`` 0 cancels the request. The times and the priority mean the same as in
    a forwarded SYN.
    """

    service: Name
    flow: FlowAddress
    in_time_ms: Milliseconds
    wait_ms: Milliseconds
    priority: Annotated[int, Meta(ge=0, le=MAX_PRIORITY)] = 0


class OfferSlot(_Frame, tag=22, kw_only=True, gc=False):
    """Offers a slot, for a short time, to a balancer that has requested one.

    If ``is_late_turn`` is true, the slot is for a flow that can no longer meet its
    latency target: for the one whose caller gives up first.
    """

    agent: Name
    load: LoadReport
    is_late_turn: bool = False


class DeclineSlot(_Frame, tag=23, kw_only=True, gc=False):
    """Declines a slot offer: the balancer has no waiting flow left."""

    service: Name


class LoadUpdate(_Frame, tag=13, kw_only=True, gc=False):
    """Reports a changed load to the balancers that send flows to the agent.

    The agent is identified by the sender's address, which keeps this frequent frame
    small.
    """

    load: LoadReport


class DirectoryUpdate(_Frame, tag=14, kw_only=True, gc=False):
    """Reports the owners of flows to the flows' directory balancer."""

    entries: Annotated[
        tuple[tuple[FlowAddress, Name], ...], Meta(max_length=MAX_ENTRIES)
    ]


class DirectoryQuery(_Frame, tag=15, kw_only=True, gc=False):
    """Asks a flow's directory balancer for the flow's owner."""

    flow: FlowAddress


class DirectoryReply(_Frame, tag=16, kw_only=True, gc=False):
    """Answers with the owner of a flow; ``owner`` is empty if none is known."""

    flow: FlowAddress
    owner: Annotated[str, Meta(max_length=64)]


class OwnershipQuery(_Frame, tag=17, kw_only=True, gc=False):
    """Asks an agent which of ``flows`` its target owns."""

    question: int
    service: Name
    flows: Annotated[tuple[FlowAddress, ...], Meta(max_length=MAX_QUERIED_FLOWS)]


class OwnershipReply(_Frame, tag=18, kw_only=True, gc=False):
    """Answers which of the flows in a query the agent's target owns.

    ``held`` names these flows. ``is_conclusive`` says that the target owns none of the
    others; an agent that was started while its target ran can't know that.
    ``run_ms`` is the time since the target process started, ``None`` if unknown. In an
    inconclusive reply it is the least possible time, which shows nothing of flows.
    ``is_absent`` says that no process has listened at the target's address since the
    agent's start.
    """

    question: int
    agent: Name
    held: Annotated[tuple[FlowAddress, ...], Meta(max_length=MAX_QUERIED_FLOWS)]
    is_conclusive: bool
    run_ms: int | None = None
    is_absent: bool = False


class RelayPacket(_Frame, tag=19, kw_only=True, gc=False):
    """Forwards a caller's packet to an agent, which relays it to other agents.

    Each agent replies to the balancer that sent this frame. ``takes_batches`` is that
    of a `ForwardPacket`. ``others`` are packets of further flows, which an agent of an
    older build ignores.
    """

    service: Name
    payload: Payload
    endpoints: Annotated[tuple[Endpoint, ...], Meta(max_length=MAX_RELAY_AGENTS)]
    takes_batches: bool = False
    others: Annotated[tuple[Payload, ...], Meta(max_length=MAX_RELAY_PACKETS)] = ()

    @property
    def payloads(self) -> tuple[bytes, ...]:
        """All packets to relay."""
        return (self.payload, *self.others)


def relayed_packets(
    frame: RelayPacket, *, reply_to: Endpoint | None = None
) -> tuple[ForwardPacket, ...]:
    """Return the frames that carry a relay's packets to one agent.

    Args:
        frame: The frame of the balancer.
        reply_to: The balancer's address, for an agent that gets them from another.
    """
    return tuple(
        ForwardPacket(
            service=frame.service,
            payload=payload,
            wants_reply=True,
            reply_to=reply_to,
            takes_batches=frame.takes_batches,
        )
        for payload in frame.payloads
    )


class AttemptRejected(_Frame, tag=30, kw_only=True, gc=False):
    """Reports to a caller's directory balancer that an attempt got no slot.

    ``tries`` counts the caller's attempts, including this one.
    ``first_attempt_age_ms`` is the time since the first of them.
    ``next_attempt_ms`` is the time until the next one is possible, 0 if the caller is
    reset now.
    """

    caller: Ip
    service: Endpoint
    first_attempt_age_ms: Milliseconds
    next_attempt_ms: Milliseconds = 0
    tries: Tries = 1


class FirstAttemptQuery(_Frame, tag=31, kw_only=True, gc=False):
    """Asks a caller's directory balancer for the time of its first attempt.

    ``syn_age_ms`` is the time since the first SYN of ``flow`` was sent.
    """

    flow: FlowAddress
    caller: Ip
    service: Endpoint
    syn_age_ms: Milliseconds = 0


class FirstAttemptReply(_Frame, tag=32, kw_only=True, gc=False):
    """Answers with the time since a caller's first attempt, if it is known.

    ``tries`` counts the caller's attempts before this flow.
    """

    flow: FlowAddress
    first_attempt_age_ms: Milliseconds
    tries: Tries = 1


class FreshnessQuery(_Frame, tag=35, kw_only=True, gc=False):
    """Asks a balancer as of when it knows everything in the store."""

    number: Annotated[int, Meta(ge=0, lt=2**32)]


class FreshnessReply(_Frame, tag=36, kw_only=True, gc=False):
    """Answers a `FreshnessQuery`.

    ``balancer`` has the configuration ``version`` and the orders ``evacuations``.
    They include each change up to ``revision`` of the store's ``generation``, and
    ``age_ms`` ago the store had no later one. ``age_ms`` is ``None`` if the balancer
    has not validated its knowledge since its start.
    """

    number: Annotated[int, Meta(ge=0, lt=2**32)]
    balancer: Name
    control: Name
    version: Annotated[int, Meta(ge=0)]
    revision: Annotated[int, Meta(ge=0)]
    generation: Annotated[int, Meta(ge=0, le=MAX_GENERATION)]
    age_ms: Annotated[int, Meta(ge=0)] | None
    evacuations: Annotated[
        tuple[Evacuation, ...], Meta(max_length=MAX_EVACUATIONS)
    ] = ()


Frame = (
    ForwardDatagram
    | ReplyDatagram
    | OpenReturned
    | Heartbeat
    | HeartbeatAck
    | BalancerRecord
    | Announce
    | RecordQuery
    | RecordReply
    | Gossip
    | ForwardPacket
    | FlowOwned
    | FlowNotOwned
    | SynRejected
    | LoadUpdate
    | DirectoryUpdate
    | DirectoryQuery
    | DirectoryReply
    | OwnershipQuery
    | OwnershipReply
    | RelayPacket
    | SynQueued
    | ReserveSlot
    | OfferSlot
    | DeclineSlot
    | AttemptRejected
    | FirstAttemptQuery
    | FirstAttemptReply
    | FreshnessQuery
    | FreshnessReply
)


class FrameCodec:
    """Encodes frames with a MAC, and verifies and decodes them."""

    def __init__(self, *, keys: KeyRing) -> None:
        self._keys = keys
        self._codec = Codec(messages=Frame, max_bytes=MAX_FRAME_BYTES)

    def encode(self, frame: _Frame) -> bytes:
        """Return the datagram for a frame, with its MAC."""
        return self._keys.seal(self._codec.encode(frame), purpose=FRAME)

    def decode(self, data: bytes):
        """Return the frame in ``data``, or a `Dropped` with the reason."""
        if len(data) > MAX_FRAME_BYTES:
            return Dropped(reason="oversized")
        body = self._keys.unseal(data, purpose=FRAME)
        if body is None:
            return Dropped(reason="forged")
        return self._codec.decode(body)
