"""Calls of a target to its agent: it announces itself, and leaves."""

from collections.abc import Callable

import msgspec

from monsoonpier.agent.announcement import TargetAnnouncement, TargetLeft
from monsoonpier.http import Request, Response

__all__ = ["TargetCalls"]

_HEARTBEAT = "/monsoonpier/Instances.Heartbeat/"
_LEAVE = "/monsoonpier/Instances.Leave/"
_DRAINING = "draining"


class _Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    service: str
    state: str
    sequence: int
    slots: int = 1
    cold_remaining_ms: float = 0


class TargetCalls:
    """Decodes the calls and hands them to ``take``, which tells whether it did."""

    def __init__(
        self, *, take: Callable[[TargetAnnouncement | TargetLeft], bool]
    ) -> None:
        self._take = take

    def answer(self, request: Request) -> Response:
        """Return the response to one call."""
        if request.method != "POST":
            return Response(status=405)
        if request.path.startswith(_HEARTBEAT):
            return self._heartbeat(request)
        if request.path.startswith(_LEAVE):
            left = TargetLeft(instance=request.path.removeprefix(_LEAVE))
            return _response(accepted=self._take(left))
        return Response(status=404)

    def _heartbeat(self, request: Request) -> Response:
        try:
            body = msgspec.json.decode(request.body, type=_Heartbeat)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return Response(status=400, body=b"not a heartbeat")
        announcement = TargetAnnouncement(
            instance=request.path.removeprefix(_HEARTBEAT),
            service=body.service,
            is_draining=body.state == _DRAINING,
            slots=max(1, body.slots),
            cold_seconds=body.cold_remaining_ms / 1000,
            sequence=body.sequence,
        )
        return _response(accepted=self._take(announcement))


def _response(*, accepted: bool) -> Response:
    status = 200 if accepted else 503
    return Response(status=status, body=b"{}", content_type="application/json")
