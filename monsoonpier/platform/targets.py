"""Calls of a target to its agent: it announces itself, and leaves."""

from collections import Counter
from collections.abc import Callable
from typing import Annotated, Literal

import msgspec
import structlog

from monsoonpier.agent.packets.announcement import (
    TargetAnnouncement,
    TargetLeft,
    TargetRun,
)
from monsoonpier.http import Request, Response

__all__ = ["TargetCalls"]

_HEARTBEAT = "/monsoonpier/Instances.Heartbeat/"
_LEAVE = "/monsoonpier/Instances.Leave/"
_DRAINING = "draining"

MAX_IDENTITY_CHARACTERS = 200  # as the platform's store allows a key
MAX_SLOTS = 65_536  # one for each port that a target could have
MAX_COLD_MS = 3_600_000  # an hour: no target warms up for longer
MAX_INTEGER = 2**53  # what every reader of JSON holds without loss
LOGGED_REFUSALS = 20  # of one reason; then each hundredth
LOGGED_EVERY = 100

_Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
_log = structlog.get_logger("monsoonpier.platform.targets")


class _Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    service: str
    address: str
    zone: str
    version: str  # of the target's software
    state: Literal["ready", "draining"]
    sequence: _Whole
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]
    born: _Whole | None = None  # Unix milliseconds; absent where targets tell none


class _Farewell(msgspec.Struct, frozen=True, kw_only=True):
    born: _Whole | None = None


class TargetCalls:
    """Decodes the calls and hands them to ``take``, which tells whether it did.

    Args:
        service: The service of the agent's target. What names another one was
            written by somebody else.
        take: Takes each message.
    """

    def __init__(
        self,
        *,
        service: str,
        take: Callable[[TargetAnnouncement | TargetLeft], bool],
    ) -> None:
        self._service = service
        self._take = take
        self.refused_by_reason: Counter[str] = Counter()

    def answer(self, request: Request) -> Response:
        """Return the response to one call."""
        if request.method != "POST":
            return Response(status=405)
        if request.path.startswith(_HEARTBEAT):
            identity = request.path.removeprefix(_HEARTBEAT)
            return self._heartbeat(identity, request.body)
        if request.path.startswith(_LEAVE):
            return self._leave(request.path.removeprefix(_LEAVE), request.body)
        return Response(status=404)

    def _heartbeat(self, identity: str, data: bytes) -> Response:
        try:
            body = msgspec.json.decode(data, type=_Heartbeat)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return self._refuse("not a heartbeat", identity, detail=str(error))
        if body.service != self._service:
            return self._refuse("another service", identity, detail=body.service)
        if not _is_identity(identity):
            return self._refuse("no identity", identity)
        announcement = TargetAnnouncement(
            run=TargetRun(identity=identity, born_ms=body.born),
            is_draining=body.state == _DRAINING,
            slots=body.slots,
            cold_seconds=body.cold_remaining_ms / 1000,
            sequence=body.sequence,
        )
        return _response(accepted=self._take(announcement))

    def _leave(self, identity: str, data: bytes) -> Response:
        try:
            body = msgspec.json.decode(data or b"{}", type=_Farewell)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return self._refuse("not a farewell", identity, detail=str(error))
        left = TargetLeft(run=TargetRun(identity=identity, born_ms=body.born))
        return _response(accepted=self._take(left))

    def _refuse(self, reason: str, identity: str, *, detail: str = "") -> Response:
        """Count a call that names no target of ours, and leave a bounded line."""
        self.refused_by_reason[reason] += 1
        count = self.refused_by_reason[reason]
        if count <= LOGGED_REFUSALS or count % LOGGED_EVERY == 0:
            _log.warning(
                "target's call refused",
                reason=reason,
                identity=identity[:MAX_IDENTITY_CHARACTERS],
                detail=detail[:MAX_IDENTITY_CHARACTERS],
                count=count,
            )
        return Response(status=400, body=reason.encode())


def _is_identity(text: str) -> bool:
    return 0 < len(text) <= MAX_IDENTITY_CHARACTERS and "/" not in text


def _response(*, accepted: bool) -> Response:
    status = 200 if accepted else 503
    return Response(status=status, body=b"{}", content_type="application/json")
