"""What the agent's decisions ask its process to do, and what comes back."""

from dataclasses import dataclass

import msgspec

__all__ = [
    "Abort",
    "Aborted",
    "Action",
    "Answered",
    "Broke",
    "Credit",
    "EndStream",
    "NeverSent",
    "RequestKey",
    "Reply",
    "Return",
    "Run",
    "RunResult",
    "Shed",
    "StartStream",
    "TimedOut",
]


@dataclass(frozen=True, slots=True)
class RequestKey:
    """Names a request: its flow's id and its number in the flow."""

    flow: bytes
    request: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Send a message to the caller through the balancer at ``via``."""

    via: tuple[str, int]
    ip: str
    port: int
    message: msgspec.Struct


@dataclass(frozen=True, slots=True, kw_only=True)
class Return:
    """Send an OPEN back to the balancer: this target does not take it."""

    via: tuple[str, int]
    ip: str
    port: int
    payload: bytes
    tried: tuple[str, ...]
    reason: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Hand a request over to the target; ``time_left`` in seconds."""

    key: RequestKey
    kind: str
    body: bytes
    time_left: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Abort:
    """Close the target's connection of a request, which cancels it.

    ``late`` tells a passed deadline, which speaks against the target, from a
    caller that gave up, which doesn't.
    """

    key: RequestKey
    late: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StartStream:
    """Read a stream's items after number ``after`` from the target."""

    key: RequestKey
    kind: str
    after: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Credit:
    """Let the stream's reader read that many items more."""

    key: RequestKey
    items: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EndStream:
    """Stop reading a stream."""

    key: RequestKey


Action = Reply | Return | Run | Abort | StartStream | Credit | EndStream


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The target answered; ``seconds`` is how long it took."""

    status: int
    body: bytes
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Shed:
    """The target refused with 503: it did not run."""

    retry_after: float


@dataclass(frozen=True, slots=True, kw_only=True)
class NeverSent:
    """No connection could be made: it did not run."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Broke:
    """The connection broke after the first byte: it may have run."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TimedOut:
    """Nothing came before the deadline: it may have run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Aborted:
    """The caller gave up before an answer came: it may have run."""


RunResult = Answered | Shed | NeverSent | Broke | TimedOut | Aborted
