"""Builds the messages that report the state of a request to its caller."""

from monsoonpier.agent.tokens.flows import Flow, Request, Stage
from monsoonpier.wire.codec import MAX_REASON
from monsoonpier.wire.datagrams import (
    MAX_MILLIS,
    MAX_MISSING,
    FinalStatus,
    FinalStatusKind,
    Progress,
)

__all__ = ["already_done", "progress", "final_status"]


def progress(flow: Flow, request: Request) -> Progress:
    """Return a message that says which parts of a request have been received."""
    if request.stage is not Stage.RECEIVING:
        return Progress(
            flow=flow.id, request=request.id, received_below=request.parts, whole=True
        )
    return Progress(
        flow=flow.id,
        request=request.id,
        received_below=request.received_below,
        missing=request.missing(MAX_MISSING),
    )


def already_done(flow: Flow, request_id: int) -> FinalStatus:
    """Return the final status of a request id below the flow's watermark."""
    return FinalStatus(
        flow=flow.id,
        request=request_id,
        kind=FinalStatusKind.ALREADY_DONE,
        reason="already done",
    )


def final_status(
    flow: Flow,
    request: Request,
    kind: FinalStatusKind,
    reason: str,
    *,
    retry_after_ms: int = 0,
    reopen: bool = False,
) -> FinalStatus:
    """Return a final status; cuts values that exceed the limits of the wire format."""
    return FinalStatus(
        flow=flow.id,
        request=request.id,
        kind=kind,
        reason=reason[:MAX_REASON],
        retry_after_ms=min(retry_after_ms, MAX_MILLIS),
        reopen=reopen,
    )
