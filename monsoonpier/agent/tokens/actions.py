"""Actions that the agent's logic returns, and the results of requests at the target."""

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
    "ReturnOpen",
    "Run",
    "RunResult",
    "Shed",
    "StartStream",
    "TimedOut",
]


@dataclass(frozen=True, slots=True)
class RequestKey:
    """Identifies a request by its flow id and its number in the flow."""

    flow: bytes
    request: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Send a message to the caller through the balancer at address ``via``."""

    via: tuple[str, int]
    ip: str
    port: int
    message: msgspec.Struct


@dataclass(frozen=True, slots=True, kw_only=True)
class ReturnOpen:
    """Return an OPEN to the balancer, because this target rejects new flows.

    ``tried`` names the targets that the balancer has attempted before.
    """

    via: tuple[str, int]
    ip: str
    port: int
    payload: bytes
    tried: tuple[str, ...]
    reason: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Dispatch a request to the target; ``time_left`` is in seconds."""

    key: RequestKey
    kind: str
    body: bytes
    time_left: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Abort:
    """Cancel a request by closing its connection to the target.

    ``late`` is true if the deadline passed, which counts as a failure of the
    target, and false if the caller cancelled or the flow ended.
    """

    key: RequestKey
    late: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StartStream:
    """Start reading a stream from the target, from the item after ``after``."""

    key: RequestKey
    kind: str
    after: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Credit:
    """Allow the stream's reader to read ``items`` more items."""

    key: RequestKey
    items: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EndStream:
    """Stop reading a stream."""

    key: RequestKey


Action = Reply | ReturnOpen | Run | Abort | StartStream | Credit | EndStream


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The target answered after ``seconds``."""

    status: int
    body: bytes
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Shed:
    """The target rejected the request with status 503; it did not run.

    ``retry_after`` is in seconds.
    """

    retry_after: float


@dataclass(frozen=True, slots=True, kw_only=True)
class NeverSent:
    """No connection to the target could be made; the request did not run."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Broke:
    """The connection broke after it was made; the request may have run."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TimedOut:
    """The deadline passed without an answer; the request may have run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Aborted:
    """The request was cancelled before an answer came; it may have run."""


RunResult = Answered | Shed | NeverSent | Broke | TimedOut | Aborted
