"""Records of flows, requests and streams. Mutable: an agent holds many."""

import itertools
from enum import IntEnum

import msgspec

from monsoonpier.wire.datagrams import (
    PART_BYTES,
    AnswerPart,
    Verdict,
)

__all__ = ["Answer", "Flow", "Request", "Stage", "Stream"]

MAX_VIAS = 3  # balancers remembered for sending again by another one


class Stage(IntEnum):
    """How far a request has come; only ``RUNNING`` has reached the target."""

    RECEIVING = 0
    QUEUED = 1
    RUNNING = 2
    FINISHED = 3


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer of the target, kept until the caller has it."""

    status: int
    body: bytes
    digest: bytes

    @property
    def parts(self) -> int:
        """The number of datagrams it takes."""
        return max(1, -(-len(self.body) // PART_BYTES))

    def part(self, number: int, *, flow: bytes, request: int) -> AnswerPart:
        """Return one of its datagrams, counted from 0."""
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
    """One request of a flow and, once finished, its one outcome."""

    id: int
    kind: str
    parts: int
    digest: bytes
    deadline: float
    stage: Stage = Stage.RECEIVING
    body_by_part: dict[int, bytes] = msgspec.field(default_factory=dict)
    have_below: int = 0
    highest: int = -1
    datagrams: int = 0
    outcome: Verdict | Answer | None = None

    @property
    def whole(self) -> bool:
        """Whether every part has come."""
        return self.have_below == self.parts

    @property
    def has_gap(self) -> bool:
        """Whether a part has come before an earlier one."""
        return self.highest >= self.have_below

    def missing(self, most: int) -> tuple[int, ...]:
        """Return up to ``most`` gaps among the parts, the earliest first."""
        gaps = (
            part
            for part in range(self.have_below, self.highest)
            if part not in self.body_by_part
        )
        return tuple(itertools.islice(gaps, most))

    def add(self, part: int, body: bytes) -> bool:
        """Keep one part; tell whether it was new."""
        self.datagrams += 1
        if part >= self.parts or part in self.body_by_part:
            return False
        self.body_by_part[part] = body
        self.highest = max(self.highest, part)
        while self.have_below in self.body_by_part:
            self.have_below += 1
        return True

    def take_body(self) -> bytes:
        """Return the whole body and forget its parts."""
        body = b"".join(self.body_by_part[part] for part in range(self.parts))
        self.body_by_part = {}
        return body


class Stream(msgspec.Struct, kw_only=True):
    """One stream: items sent but not acknowledged, in order."""

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
    """One caller's flow; below ``mark`` all request ids are finished with."""

    id: bytes
    opening: int
    ip: str
    port: int
    vias: list[tuple[str, int]]
    expires: float
    mark: int = 1
    requests_by_id: dict[int, Request] = msgspec.field(default_factory=dict)
    streams_by_id: dict[int, Stream] = msgspec.field(default_factory=dict)

    @property
    def is_busy(self) -> bool:
        """Whether a stream or an unfinished request is open."""
        if self.streams_by_id:
            return True
        return any(r.stage is not Stage.FINISHED for r in self.requests_by_id.values())

    @property
    def is_working(self) -> bool:
        """Whether a request of the flow waits for a slot or runs."""
        stages = (request.stage for request in self.requests_by_id.values())
        return any(stage in (Stage.QUEUED, Stage.RUNNING) for stage in stages)

    def came_by(self, via: tuple[str, int], *, ip: str, port: int) -> None:
        """Remember the balancer and the caller's address of a packet."""
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
        """Turn to another balancer: the present one may be gone."""
        if len(self.vias) > 1:
            self.vias.append(self.vias.pop(0))
