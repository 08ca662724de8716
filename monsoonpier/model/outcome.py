"""Outcomes of a request that the callers' library returns, for use with ``match``."""

from dataclasses import dataclass

__all__ = [
    "Cancelled",
    "Done",
    "FlowLost",
    "Late",
    "NotRun",
    "Outcome",
    "Refused",
    "Unknown",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Done:
    """The request was executed, and this is the whole answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """The request was not executed and never will be under its id.

    Attributes:
        reason: Why it was not executed.
        retry_after: Seconds to wait before the next attempt.
        reopen: Whether the next attempt needs a new flow.
    """

    reason: str
    retry_after: float
    reopen: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """No flow could be opened, so nothing was sent.

    Attributes:
        reason: Why no flow was opened.
        retry_after: Seconds to wait before the next attempt.
    """

    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Late:
    """The deadline passed after the request was sent; it may have run."""

    reason: str = "deadline passed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """The request was sent and its result was lost; it may have run."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowLost:
    """The owner of the flow is gone; the request may have run."""

    reason: str = "the holder of the flow is gone"


@dataclass(frozen=True, slots=True, kw_only=True)
class Cancelled:
    """The caller cancelled the request; it may have run in part."""


Outcome = Done | NotRun | Refused | Late | Unknown | FlowLost | Cancelled
