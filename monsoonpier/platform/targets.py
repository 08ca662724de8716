"""HTTP calls that an agent receives from its target: heartbeat and leave."""

from collections import Counter
from collections.abc import Callable
from typing import Annotated, Literal

import msgspec
import structlog

from monsoonpier.agent.packets.messages import (
    LeaveNotice,
    TargetHeartbeat,
    TargetInstance,
)
from monsoonpier.http import Request, Response

__all__ = ["TargetCalls"]

_HEARTBEAT = "/monsoonpier/Instances.Heartbeat/"
_LEAVE = "/monsoonpier/Instances.Leave/"
_DRAINING = "draining"

MAX_IDENTITY_CHARACTERS = 200  # limit of a key in the platform's store
MAX_SLOTS = 65_536
MAX_COLD_MS = 3_600_000  # one hour
MAX_INTEGER = 2**53  # exact in JSON numbers that are read as doubles
LOGGED_REJECTIONS = 20  # rejections of one reason that are all logged
LOGGED_EVERY = 100  # of the rejections after them, one in this many is logged

_NonNegative = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
_log = structlog.get_logger("monsoonpier.platform.targets")


class _Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    service: str
    address: str
    zone: str
    version: str  # of the target's software
    state: Literal["ready", "draining"]
    sequence: _NonNegative
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]
    born: _NonNegative | None = None  # start of the target, Unix milliseconds


class _Leave(msgspec.Struct, frozen=True, kw_only=True):
    born: _NonNegative | None = None


class TargetCalls:
    """Decodes a target's calls and passes them to a handler.

    Args:
        service: The service of the agent's target; heartbeats that name another
            service are rejected.
        handler: Called with each message; returns whether it accepted it.
    """

    def __init__(
        self,
        *,
        service: str,
        handler: Callable[[TargetHeartbeat | LeaveNotice], bool],
    ) -> None:
        self._service = service
        self._handler = handler
        self.refused_by_reason: Counter[str] = Counter()

    def handle(self, request: Request) -> Response:
        """Handle one call and return the response."""
        if request.method != "POST":
            return Response(status=405)
        if request.path.startswith(_HEARTBEAT):
            identity = request.path.removeprefix(_HEARTBEAT)
            return self._handle_heartbeat(identity, request.body)
        if request.path.startswith(_LEAVE):
            return self._handle_leave(request.path.removeprefix(_LEAVE), request.body)
        return Response(status=404)

    def _handle_heartbeat(self, identity: str, data: bytes) -> Response:
        try:
            body = msgspec.json.decode(data, type=_Heartbeat)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return self._reject("not a heartbeat", identity, detail=str(error))
        if body.service != self._service:
            return self._reject("another service", identity, detail=body.service)
        if not _is_identity(identity):
            return self._reject("no identity", identity)
        heartbeat = TargetHeartbeat(
            run=TargetInstance(identity=identity, born_ms=body.born),
            is_draining=body.state == _DRAINING,
            slots=body.slots,
            cold_seconds=body.cold_remaining_ms / 1000,
            sequence=body.sequence,
        )
        return _response(accepted=self._handler(heartbeat))

    def _handle_leave(self, identity: str, data: bytes) -> Response:
        try:
            body = msgspec.json.decode(data or b"{}", type=_Leave)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return self._reject("not a farewell", identity, detail=str(error))
        notice = LeaveNotice(run=TargetInstance(identity=identity, born_ms=body.born))
        return _response(accepted=self._handler(notice))

    def _reject(self, reason: str, identity: str, *, detail: str = "") -> Response:
        """Count and log a rejected call; return status 400."""
        self.refused_by_reason[reason] += 1
        count = self.refused_by_reason[reason]
        if count <= LOGGED_REJECTIONS or count % LOGGED_EVERY == 0:
            _log.warning(
                "target's call rejected",
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
