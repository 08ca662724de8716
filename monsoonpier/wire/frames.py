"""Sealed datagrams between balancers and agents, and among balancers."""

from typing import Annotated

import msgspec
from msgspec import Meta

from monsoonpier.model.evacuation import MAX_EVACUATIONS, Evacuation
from monsoonpier.model.keys import FRAME, KeyRing
from monsoonpier.model.revision import MAX_GENERATION
from monsoonpier.model.target import LoadReport, TargetRecord
from monsoonpier.wire.codec import Codec, Dropped, Name, Short

__all__ = [
    "Announce",
    "BalancerRecord",
    "Bounce",
    "Carry",
    "Decline",
    "Find",
    "Forward",
    "Found",
    "FirstAsked",
    "FrameCodec",
    "Gossip",
    "Heartbeat",
    "Held",
    "Holds",
    "Load",
    "NotHeld",
    "Offer",
    "PassOn",
    "Queued",
    "Refused",
    "Register",
    "Reserve",
    "Turned",
    "WhenAsked",
    "Whose",
    "HeartbeatAck",
    "Return",
    "Silence",
    "to_milliseconds",
]

MAX_FRAME_BYTES = 2_048
MAX_TRIED = 4
MAX_RECORDS = 8  # per gossip datagram
MAX_SILENCES = 16
MAX_BALANCERS = 16
MAX_ASKED = 80  # of 14 bytes
MAX_PASSED_ON = 36  # agents, of 20 bytes beside a packet of 1,231
MAX_MILLISECONDS = 3_600_000  # an hour: nobody waits longer for an answer
MAX_PRIORITY = 255
MAX_ENTRIES = 32  # of 36 bytes, with names as they are usual

Ip = Annotated[str, Meta(max_length=15)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Payload = Annotated[bytes, Meta(max_length=1_400)]
Endpoint = tuple[Ip, Port]
FlowAddress = Annotated[bytes, Meta(min_length=12, max_length=12)]
Milliseconds = Annotated[int, Meta(ge=0, le=MAX_MILLISECONDS)]
Tries = Annotated[int, Meta(ge=1, le=255)]
Tried = Annotated[tuple[Name, ...], Meta(max_length=MAX_TRIED)]


def to_milliseconds(seconds: float) -> int:
    """Return a time as frames carry it; one that is over is 0."""
    return min(MAX_MILLISECONDS, max(0, round(seconds * 1000)))


class _Frame(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """Base of all frames: an array whose first element is the tag."""


class Forward(_Frame, tag=1, kw_only=True, gc=False):
    """A caller's packet on its way to an agent; ``tried`` only with OPEN."""

    service: Name
    ip: Ip
    port: Port
    payload: Payload
    tried: Tried = ()


class Return(_Frame, tag=2, kw_only=True, gc=False):
    """An agent's packet on its way to a caller; ``opened`` if it took a flow."""

    service: Name
    ip: Ip
    port: Port
    payload: Payload
    agent: Name
    load: LoadReport
    opened: bool = False


class Bounce(_Frame, tag=3, kw_only=True, gc=False):
    """An OPEN that an agent did not take, for another candidate."""

    service: Name
    ip: Ip
    port: Port
    payload: Payload
    tried: Tried
    reason: Short
    retry_after_ms: int
    agent: Name
    load: LoadReport


class Heartbeat(_Frame, tag=4, kw_only=True, gc=False):
    """An agent is alive; sent to its bounded set of balancers."""

    name: Name
    epoch: int
    change: int
    load: LoadReport


class BalancerRecord(_Frame, tag=5, kw_only=True, gc=False):
    """A balancer as its peers and the agents know it."""

    name: Name
    data_centre: Name
    ip: Ip
    port: Port
    control: Name
    epoch: int
    leaving: bool = False

    @property
    def endpoint(self) -> tuple[str, int]:
        """The balancer's internal UDP address as sockets take it."""
        return (self.ip, self.port)


class HeartbeatAck(_Frame, tag=6, kw_only=True, gc=False):
    """Answers `Heartbeat`: what the balancer knows and holds.

    ``held_epoch`` is that of the record it holds of the agent: a larger one than
    the agent's own means that the agent's wall clock was set back. ``evacuation`` is
    the last known order on the agent's data centre; ``cold_per_second`` is what its
    target bears while it is cold, by that version, 0 if that isn't limited.
    """

    balancer: Name
    version: int
    known: bool
    allowed: bool
    leaving: bool = False
    balancers: Annotated[
        tuple[BalancerRecord, ...], Meta(max_length=MAX_BALANCERS)
    ] = ()
    held_epoch: int = 0
    evacuation: Evacuation | None = None
    cold_per_second: Annotated[float, Meta(ge=0)] = 0.0


class Announce(_Frame, tag=7, kw_only=True, gc=False):
    """An agent's whole record, at its start and at each change."""

    record: TargetRecord


class Silence(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """A witness has not heard a target's agent for a while."""

    name: Name
    epoch: int
    witness: Name
    silent: bool


class Gossip(_Frame, tag=8, kw_only=True, gc=False):
    """What a balancer tells a peer: news, and digests to find what is missing.

    ``is_settled`` says that the sender is likely to know all targets. Since it names
    all orders to evacuate, who fetches the configuration it tells of knows them first.
    ``store_generation`` is the store's newest that it knows of, 0 if of none.
    """

    sender: BalancerRecord
    version: int
    digest: Annotated[bytes, Meta(max_length=16)]
    records: Annotated[tuple[TargetRecord, ...], Meta(max_length=MAX_RECORDS)] = ()
    silences: Annotated[tuple[Silence, ...], Meta(max_length=MAX_SILENCES)] = ()
    balancers: Annotated[
        tuple[BalancerRecord, ...], Meta(max_length=MAX_BALANCERS)
    ] = ()
    is_answer: bool = False
    is_settled: bool = False
    evacuations: Annotated[
        tuple[Evacuation, ...], Meta(max_length=MAX_EVACUATIONS)
    ] = ()
    store_generation: Annotated[int, Meta(ge=0, le=MAX_GENERATION)] = 0


class Carry(_Frame, tag=9, kw_only=True, gc=False):
    """A packet of a flow without a token, on its way to an agent.

    ``tried`` names the targets that this SYN has been sent to. ``asks`` wants an
    answer in any case: the balancer doesn't know whether the flow is held there.
    ``reply_to`` names the balancer if the frame comes by way of another agent.
    With a SYN, ``in_time_ms`` is how much longer an answer would be in time,
    ``wait_ms`` how long its caller still waits for a slot, ``priority`` its route's;
    ``is_offered`` says that it takes a slot that the agent has offered.
    """

    service: Name
    payload: Payload
    tried: Tried = ()
    asks: bool = False
    reply_to: Endpoint | None = None
    in_time_ms: Milliseconds = 0
    wait_ms: Milliseconds = 0
    priority: Annotated[int, Meta(ge=0, le=MAX_PRIORITY)] = 0
    is_offered: bool = False


class Held(_Frame, tag=10, kw_only=True, gc=False):
    """An agent's word that its target holds a flow.

    ``is_open`` is false while the target has only answered the SYN.
    """

    flow: FlowAddress
    agent: Name
    load: LoadReport
    is_open: bool


class NotHeld(_Frame, tag=11, kw_only=True, gc=False):
    """An agent's word that its target doesn't hold a flow.

    The packet comes back unless the balancer asked: then it has kept it.
    """

    agent: Name
    flow: FlowAddress
    payload: Payload = b""


class Turned(_Frame, tag=12, kw_only=True, gc=False):
    """A SYN that an agent or its target did not accept, for another target."""

    agent: Name
    payload: Payload
    tried: Tried
    reason: Short
    load: LoadReport


class Queued(_Frame, tag=20, kw_only=True, gc=False):
    """An agent's word that a SYN waits there for a slot of its target."""

    flow: FlowAddress
    agent: Name
    load: LoadReport


class Reserve(_Frame, tag=21, kw_only=True, gc=False):
    """A balancer's wish for a slot, for a flow that waits there.

    The SYN stays at the balancer, so that it can go to whichever slot is free first.
    With ``wait_ms`` 0 it is taken back: the flow waits no longer.
    Times and priority are those of `Carry`.
    """

    service: Name
    flow: FlowAddress
    in_time_ms: Milliseconds
    wait_ms: Milliseconds
    priority: Annotated[int, Meta(ge=0, le=MAX_PRIORITY)] = 0


class Offer(_Frame, tag=22, kw_only=True, gc=False):
    """An agent's offer of a slot to a balancer that has reserved one.

    It holds for a moment only. ``is_late_turn`` asks for the flow that gives up first
    among those that can't be answered in time.
    """

    agent: Name
    load: LoadReport
    is_late_turn: bool = False


class Decline(_Frame, tag=23, kw_only=True, gc=False):
    """A balancer's answer to an `Offer` for which it has no flow left."""

    service: Name


class Load(_Frame, tag=13, kw_only=True, gc=False):
    """An agent's load as it has just changed, for balancers that send it flows.

    Its sender's address names the agent: these are by far the most frequent
    frames, and links of small entry VMs are slow.
    """

    load: LoadReport


class Register(_Frame, tag=14, kw_only=True, gc=False):
    """Flows and their holders, for the balancers that keep them."""

    entries: Annotated[
        tuple[tuple[FlowAddress, Name], ...], Meta(max_length=MAX_ENTRIES)
    ]


class Find(_Frame, tag=15, kw_only=True, gc=False):
    """Asks a keeper who holds a flow."""

    flow: FlowAddress


class Found(_Frame, tag=16, kw_only=True, gc=False):
    """A keeper's answer; ``holder`` is empty if it doesn't know."""

    flow: FlowAddress
    holder: Annotated[str, Meta(max_length=64)]


class Whose(_Frame, tag=17, kw_only=True, gc=False):
    """Asks an agent which of these flows its target holds."""

    question: int
    service: Name
    flows: Annotated[tuple[FlowAddress, ...], Meta(max_length=MAX_ASKED)]


class Holds(_Frame, tag=18, kw_only=True, gc=False):
    """Answers `Whose`: those that are held.

    ``is_sure`` says that the others are not; an agent that was started beside a
    running target can't know. ``run_ms`` is how long ago the target's run began,
    ``None`` if the agent can't tell; with ``is_absent`` nobody has listened at its
    target's address since the agent's start.
    """

    question: int
    agent: Name
    held: Annotated[tuple[FlowAddress, ...], Meta(max_length=MAX_ASKED)]
    is_sure: bool
    run_ms: int | None = None
    is_absent: bool = False


class PassOn(_Frame, tag=19, kw_only=True, gc=False):
    """A caller's packet that an agent is to try, and pass on to other agents.

    All of them answer to the balancer that sent this.
    """

    service: Name
    payload: Payload
    endpoints: Annotated[tuple[Endpoint, ...], Meta(max_length=MAX_PASSED_ON)]


class Refused(_Frame, tag=30, kw_only=True, gc=False):
    """Tells a caller's keeper that one of its tries has ended without a slot.

    ``asked_ms`` is how long ago the caller asked first, ``back_ms`` how long it is
    until it may come back: 0 if it is reset now. ``tries`` counts this one too.
    """

    caller: Ip
    service: Endpoint
    asked_ms: Milliseconds
    back_ms: Milliseconds = 0
    tries: Tries = 1


class WhenAsked(_Frame, tag=31, kw_only=True, gc=False):
    """Asks a caller's keeper when the caller of a flow asked first.

    ``waited_ms`` is how long ago the flow's first SYN was sent.
    """

    flow: FlowAddress
    caller: Ip
    service: Endpoint
    waited_ms: Milliseconds = 0


class FirstAsked(_Frame, tag=32, kw_only=True, gc=False):
    """A keeper's answer, if it knows: how long ago its caller asked first.

    ``tries`` is how often it has asked before this flow.
    """

    flow: FlowAddress
    asked_ms: Milliseconds
    tries: Tries = 1


Frame = (
    Forward
    | Return
    | Bounce
    | Heartbeat
    | HeartbeatAck
    | BalancerRecord
    | Announce
    | Gossip
    | Carry
    | Held
    | NotHeld
    | Turned
    | Load
    | Register
    | Find
    | Found
    | Whose
    | Holds
    | PassOn
    | Queued
    | Reserve
    | Offer
    | Decline
    | Refused
    | WhenAsked
    | FirstAsked
)


class FrameCodec:
    """Seals and opens frames with the keys in force."""

    def __init__(self, *, keys: KeyRing) -> None:
        self._keys = keys
        self._codec = Codec(messages=Frame, max_bytes=MAX_FRAME_BYTES)

    def encode(self, frame: _Frame) -> bytes:
        """Return the frame's sealed datagram."""
        return self._keys.seal(self._codec.encode(frame), purpose=FRAME)

    def decode(self, data: bytes):
        """Return the frame in ``data``, or a `Dropped` that says why not."""
        if len(data) > MAX_FRAME_BYTES:
            return Dropped(reason="oversized")
        body = self._keys.unseal(data, purpose=FRAME)
        if body is None:
            return Dropped(reason="forged")
        return self._codec.decode(body)
