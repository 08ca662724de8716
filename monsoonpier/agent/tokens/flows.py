"""Records of an agent's flows, requests, answers and streams."""

import itertools
from enum import IntEnum

import msgspec

from monsoonpier.wire.datagrams import (
    PART_BYTES,
    AnswerPart,
    FinalStatus,
)

__all__ = ["Answer", "Flow", "Request", "Stage", "Stream"]

MAX_VIAS = 3  # balancers stored per flow, so that resends can use another one


class Stage(IntEnum):
    """The stage of a request; it reaches the target when it is ``RUNNING``."""

    RECEIVING = 0
    QUEUED = 1
    RUNNING = 2
    FINISHED = 3


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer of the target, stored until the caller acknowledges it."""

    status: int
    body: bytes
    digest: bytes

    @property
    def parts(self) -> int:
        """The number of datagrams that the answer takes."""
        return max(1, -(-len(self.body) // PART_BYTES))

    def part(self, number: int, *, flow: bytes, request: int) -> AnswerPart:
        """Return the datagram with part ``number``, counted from 0."""
        start = number * PART_BYTES
        return AnswerPart(
            flow=flow,
            request=request,
            status=self.status,
            part=number,
            parts=self.parts,
            digest=self.digest,
            body=self.body[start : start + PART_BYTES],
        )


class Request(msgspec.Struct, kw_only=True):
    """One request of a flow and, once it is finished, its outcome.

    Parts 0 to ``received_below`` - 1 have been received; ``highest`` is the
    highest part received, ``received_datagrams`` counts duplicates too.
    ``deadline`` is a monotonic time in seconds.
    """

    id: int
    kind: str
    parts: int
    digest: bytes
    deadline: float
    stage: Stage = Stage.RECEIVING
    body_by_part: dict[int, bytes] = msgspec.field(default_factory=dict)
    received_below: int = 0
    highest: int = -1
    received_datagrams: int = 0
    outcome: FinalStatus | Answer | None = None

    @property
    def is_complete(self) -> bool:
        """Whether every part has been received."""
        return self.received_below == self.parts

    @property
    def has_gap(self) -> bool:
        """Whether an earlier part than the highest one is missing."""
        return self.highest >= self.received_below

    def missing(self, limit: int) -> tuple[int, ...]:
        """Return the numbers of up to ``limit`` missing parts, in order."""
        missing = (
            part
            for part in range(self.received_below, self.highest)
            if part not in self.body_by_part
        )
        return tuple(itertools.islice(missing, limit))

    def add(self, part: int, body: bytes) -> bool:
        """Store one part; return whether it was new."""
        self.received_datagrams += 1
        if part >= self.parts or part in self.body_by_part:
            return False
        self.body_by_part[part] = body
        self.highest = max(self.highest, part)
        while self.received_below in self.body_by_part:
            self.received_below += 1
        return True

    def take_body(self) -> bytes:
        """Return the whole body and release its parts."""
        body = b"".join(self.body_by_part[part] for part in range(self.parts))
        self.body_by_part = {}
        return body


class Stream(msgspec.Struct, kw_only=True):
    """One stream and its items that are sent but not acknowledged, in order.

    ``acked`` and ``last`` are the numbers of the last item acknowledged and
    of the last item sent. ``resend_after`` is in seconds.
    """

    id: int
    kind: str
    acked: int
    last: int
    unacked_by_number: dict[int, msgspec.Struct] = msgspec.field(default_factory=dict)
    resend_at: float = 0.0
    resend_after: float = 0.0
    has_timer: bool = False
    end: msgspec.Struct | None = None


class Flow(msgspec.Struct, kw_only=True):
    """One caller's flow.

    The caller has finished with all request ids below ``watermark``. ``vias``
    are the balancers that forwarded its packets, the latest first;
    ``opening`` distinguishes this flow from earlier ones with the same id.
    """

    id: bytes
    opening: int
    ip: str
    port: int
    vias: list[tuple[str, int]]
    expires: float
    watermark: int = 1
    requests_by_id: dict[int, Request] = msgspec.field(default_factory=dict)
    streams_by_id: dict[int, Stream] = msgspec.field(default_factory=dict)

    @property
    def is_busy(self) -> bool:
        """Whether the flow has an open stream or an unfinished request."""
        if self.streams_by_id:
            return True
        return any(r.stage is not Stage.FINISHED for r in self.requests_by_id.values())

    @property
    def is_working(self) -> bool:
        """Whether a request of the flow is queued or running."""
        stages = (request.stage for request in self.requests_by_id.values())
        return any(stage in (Stage.QUEUED, Stage.RUNNING) for stage in stages)

    def update_path(self, via: tuple[str, int], *, ip: str, port: int) -> None:
        """Record the balancer and the caller's address that a packet came from."""
        self.ip = ip
        self.port = port
        vias = self.vias
        if vias and vias[0] == via:
            return
        if via in vias:
            vias.remove(via)
        vias.insert(0, via)
        del vias[MAX_VIAS:]

    def rotate_via(self) -> None:
        """Use another balancer from now on; the current one may have failed."""
        if len(self.vias) > 1:
            self.vias.append(self.vias.pop(0))
