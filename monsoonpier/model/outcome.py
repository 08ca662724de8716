"""How a request ended, as its caller learns it. Taken apart with ``match``."""

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
    """The work ran and this is the whole answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """The work did not run and never will under this request's id."""

    reason: str
    retry_after: float
    reopen: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """No flow could be opened, so nothing was sent; come back later."""

    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Late:
    """The deadline passed after the work was handed over: it may have run."""

    reason: str = "deadline passed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """The work was handed over and its result was lost: it may have run."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowLost:
    """The holder of the flow is gone: the work may have run."""

    reason: str = "the holder of the flow is gone"


@dataclass(frozen=True, slots=True, kw_only=True)
class Cancelled:
    """The caller cancelled; the work may have run in part."""


Outcome = Done | NotRun | Refused | Late | Unknown | FlowLost | Cancelled
