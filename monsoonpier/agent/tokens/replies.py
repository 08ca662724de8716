"""The messages by which an agent answers for its requests."""

from monsoonpier.agent.tokens.flows import Flow, Request, Stage
from monsoonpier.wire.codec import MAX_REASON
from monsoonpier.wire.datagrams import (
    MAX_MILLIS,
    MAX_MISSING,
    Progress,
    Verdict,
    VerdictKind,
)

__all__ = ["already_done", "progress", "verdict"]


def progress(flow: Flow, request: Request) -> Progress:
    """Return which parts of a request have come."""
    if request.stage is not Stage.RECEIVING:
        return Progress(
            flow=flow.id, request=request.id, have_below=request.parts, whole=True
        )
    return Progress(
        flow=flow.id,
        request=request.id,
        have_below=request.have_below,
        missing=request.missing(MAX_MISSING),
    )


def already_done(flow: Flow, request_id: int) -> Verdict:
    """Return the verdict on an id below the flow's mark."""
    return Verdict(
        flow=flow.id,
        request=request_id,
        kind=VerdictKind.ALREADY_DONE,
        reason="already done",
    )


def verdict(
    flow: Flow,
    request: Request,
    kind: VerdictKind,
    reason: str,
    *,
    retry_after_ms: int = 0,
    reopen: bool = False,
) -> Verdict:
    """Return a final verdict, its texts and times within their bounds."""
    return Verdict(
        flow=flow.id,
        request=request.id,
        kind=kind,
        reason=reason[:MAX_REASON],
        retry_after_ms=min(retry_after_ms, MAX_MILLIS),
        reopen=reopen,
    )
