"""Datagrams between callers and agents, which balancers forward.

``docs/CALLERS.md`` specifies them for callers in other languages.
"""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from monsoonpier.model.token import MAX_TOKEN_BYTES
from monsoonpier.wire.codec import Codec, FlowId, Name, Reason

__all__ = [
    "AnswerPart",
    "Cancel",
    "Close",
    "Fetch",
    "FlowUnknown",
    "Item",
    "GoAway",
    "Open",
    "OpenRejected",
    "Opened",
    "Ping",
    "Pong",
    "Progress",
    "RequestPart",
    "StreamAck",
    "StreamEnd",
    "StreamOpen",
    "FinalStatus",
    "FinalStatusKind",
    "caller_codec",
    "reply_codec",
]

MAX_DATAGRAM_BYTES = 1_400  # fits the usual path MTU when wrapped in a frame
PART_BYTES = 1_100
MIN_OPEN_BYTES = 300  # no reply is larger, which prevents traffic amplification
MAX_PARTS = 65_536
MAX_MILLIS = 86_400_000  # a day
MAX_MISSING = 64  # missing parts named in one datagram
DIGEST_BYTES = 16

Token = Annotated[bytes, Meta(min_length=18, max_length=MAX_TOKEN_BYTES)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Millis = Annotated[int, Meta(ge=0, le=MAX_MILLIS)]
Part = Annotated[int, Meta(ge=0, lt=MAX_PARTS)]
Parts = Annotated[int, Meta(ge=1, le=MAX_PARTS)]
Digest = Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
Body = Annotated[bytes, Meta(max_length=PART_BYTES)]
Missing = Annotated[tuple[Part, ...], Meta(max_length=MAX_MISSING)]


class _Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base of all datagrams, which are arrays of tag, flow id and other fields."""

    flow: FlowId


class Open(_Message, tag=1, kw_only=True, gc=False):
    """Requests a new flow; its only side effect is an entry that expires.

    ``padding`` brings the datagram to `MIN_OPEN_BYTES`.
    """

    attempt: Count = 0
    padding: Annotated[bytes, Meta(max_length=MIN_OPEN_BYTES)] = b""


class Ping(_Message, tag=2, kw_only=True, gc=False):
    """Keeps a flow alive; all requests with ids below ``acked`` are finished."""

    token: Token
    acked: Count


class Close(_Message, tag=3, kw_only=True, gc=False):
    """Closes a flow; the agent discards its state."""

    token: Token


class RequestPart(_Message, tag=4, kw_only=True, gc=False):
    """Carries one part of a request.

    ``time_left_ms`` is the time to its deadline when the part is sent.
    """

    token: Token
    request: Count
    acked: Count
    kind: Name
    time_left_ms: Millis
    part: Part
    parts: Parts
    digest: Digest
    body: Body


class Fetch(_Message, tag=5, kw_only=True, gc=False):
    """Requests the progress of a request, and its missing answer parts."""

    token: Token
    request: Count
    acked: Count
    missing: Missing = ()


class Cancel(_Message, tag=6, kw_only=True, gc=False):
    """Cancels a request."""

    token: Token
    request: Count
    acked: Count


class StreamOpen(_Message, tag=7, kw_only=True, gc=False):
    """Requests the items of a stream that follow number ``after``."""

    token: Token
    request: Count
    acked: Count
    kind: Name
    after: Count


class StreamAck(_Message, tag=8, kw_only=True, gc=False):
    """Acknowledges all items up to number ``up_to``."""

    token: Token
    request: Count
    up_to: Count


class Opened(_Message, tag=32, kw_only=True, gc=False):
    """Accepts an `Open`; each later packet of the flow carries ``token``."""

    token: Token


class OpenRejected(_Message, tag=33, kw_only=True, gc=False):
    """Rejects an `Open`: no target accepts the flow now."""

    reason: Reason
    retry_after_ms: Millis


class Progress(_Message, tag=34, kw_only=True, gc=False):
    """Reports which parts of a request have arrived.

    All parts below ``received_below`` have arrived; ``missing`` names gaps above it.
    """

    request: Count
    received_below: Count
    missing: Missing = ()
    whole: bool = False


class AnswerPart(_Message, tag=35, kw_only=True, gc=False):
    """Carries one part of an answer.

    ``digest`` is the BLAKE2b-128 digest of the whole body.
    """

    request: Count
    status: Annotated[int, Meta(ge=0, le=999)]
    part: Part
    parts: Parts
    digest: Digest
    body: Body


class FinalStatusKind(IntEnum):
    """Final results of requests that end without an answer."""

    NOT_RUN = 1
    LATE = 2
    UNKNOWN = 3
    ALREADY_DONE = 4
    CANCELLED = 5


class FinalStatus(_Message, tag=36, kw_only=True, gc=False):
    """Reports the final result of a request that ends without an answer.

    With ``reopen`` the caller should open another flow for its retry.
    """

    request: Count
    kind: FinalStatusKind
    reason: Reason
    retry_after_ms: Millis = 0
    reopen: bool = False


class Item(_Message, tag=37, kw_only=True, gc=False):
    """Carries one item of a stream; the item before it is ``previous``."""

    request: Count
    previous: Count
    number: Count
    body: Body


class StreamEnd(_Message, tag=38, kw_only=True, gc=False):
    """Reports that a stream ended after item ``last``.

    With ``reopen`` the caller should resume it on another flow.
    """

    request: Count
    last: Count
    reason: Reason
    reopen: bool = False


class GoAway(_Message, tag=39, kw_only=True, gc=False):
    """Asks the caller to move to a new flow: the flow's owner is shutting down."""


class FlowUnknown(_Message, tag=40, kw_only=True, gc=False):
    """Reports that the agent named by the token has no record of the flow."""


class Pong(_Message, tag=41, kw_only=True, gc=False):
    """Acknowledges a `Ping`."""


FromCaller = Open | Ping | Close | RequestPart | Fetch | Cancel | StreamOpen | StreamAck
ToCaller = (
    Opened
    | OpenRejected
    | Progress
    | AnswerPart
    | FinalStatus
    | Item
    | StreamEnd
    | GoAway
    | FlowUnknown
    | Pong
)

caller_codec = Codec(messages=FromCaller, max_bytes=MAX_DATAGRAM_BYTES)
reply_codec = Codec(messages=ToCaller, max_bytes=MAX_DATAGRAM_BYTES)
