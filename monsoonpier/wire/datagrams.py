"""Datagrams between callers and agents; balancers pass them on.

``docs/CALLERS.md`` specifies them for callers in other languages.
"""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from monsoonpier.model.token import MAX_TOKEN_BYTES
from monsoonpier.wire.codec import Codec, FlowId, Name, Short

__all__ = [
    "AnswerPart",
    "Cancel",
    "Close",
    "Fetch",
    "FlowGone",
    "Item",
    "Move",
    "Open",
    "OpenRefused",
    "Opened",
    "Ping",
    "Pong",
    "Progress",
    "RequestPart",
    "StreamAck",
    "StreamEnd",
    "StreamOpen",
    "Verdict",
    "VerdictKind",
    "caller_codec",
    "reply_codec",
]

MAX_DATAGRAM_BYTES = 1_400  # fits the usual path MTU with our frame around it
PART_BYTES = 1_100
MIN_OPEN_BYTES = 300  # no reply to OPEN is larger: no use as an amplifier
MAX_PARTS = 65_536
MAX_MILLIS = 86_400_000  # a day
MAX_MISSING = 64  # parts asked for in one datagram
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
    """Base of all datagrams: an array of the tag, the flow id, and the rest."""

    flow: FlowId


class Open(_Message, tag=1, kw_only=True, gc=False):
    """Asks for a flow; has no side effect but an entry that expires."""

    attempt: Count = 0
    padding: Annotated[bytes, Meta(max_length=MIN_OPEN_BYTES)] = b""


class Ping(_Message, tag=2, kw_only=True, gc=False):
    """Keeps a flow; ``acked`` is the mark below which all ids are finished."""

    token: Token
    acked: Count


class Close(_Message, tag=3, kw_only=True, gc=False):
    """Ends a flow and drops what the agent kept for it."""

    token: Token


class RequestPart(_Message, tag=4, kw_only=True, gc=False):
    """One part of a request; ``time_left_ms`` counts from its sending."""

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
    """Asks how a request stands, and for the answer parts that are missing."""

    token: Token
    request: Count
    acked: Count
    missing: Missing = ()


class Cancel(_Message, tag=6, kw_only=True, gc=False):
    """Gives up on a request."""

    token: Token
    request: Count
    acked: Count


class StreamOpen(_Message, tag=7, kw_only=True, gc=False):
    """Asks for a stream's items after number ``after``."""

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
    """Answers `Open`: every later packet of the flow carries ``token``."""

    token: Token


class OpenRefused(_Message, tag=33, kw_only=True, gc=False):
    """Answers `Open`: no target takes the flow now."""

    reason: Short
    retry_after_ms: Millis


class Progress(_Message, tag=34, kw_only=True, gc=False):
    """Says which parts of a request have come, and which are missing."""

    request: Count
    have_below: Count
    missing: Missing = ()
    whole: bool = False


class AnswerPart(_Message, tag=35, kw_only=True, gc=False):
    """One part of an answer; ``digest`` is BLAKE2b-128 of the whole body."""

    request: Count
    status: Annotated[int, Meta(ge=0, le=999)]
    part: Part
    parts: Parts
    digest: Digest
    body: Body


class VerdictKind(IntEnum):
    """Final answers other than an answer body."""

    NOT_RUN = 1
    LATE = 2
    UNKNOWN = 3
    ALREADY_DONE = 4
    CANCELLED = 5


class Verdict(_Message, tag=36, kw_only=True, gc=False):
    """The final answer to a request that has no answer body."""

    request: Count
    kind: VerdictKind
    reason: Short
    retry_after_ms: Millis = 0
    reopen: bool = False


class Item(_Message, tag=37, kw_only=True, gc=False):
    """One item of a stream; follows the item numbered ``previous``."""

    request: Count
    previous: Count
    number: Count
    body: Body


class StreamEnd(_Message, tag=38, kw_only=True, gc=False):
    """The stream ended after item ``last``; resume elsewhere if ``reopen``."""

    request: Count
    last: Count
    reason: Short
    reopen: bool = False


class Move(_Message, tag=39, kw_only=True, gc=False):
    """The holder is leaving: open another flow and move there."""


class FlowGone(_Message, tag=40, kw_only=True, gc=False):
    """The holder named by the token is gone, or has dropped the flow."""


class Pong(_Message, tag=41, kw_only=True, gc=False):
    """Answers `Ping`."""


FromCaller = Open | Ping | Close | RequestPart | Fetch | Cancel | StreamOpen | StreamAck
ToCaller = (
    Opened
    | OpenRefused
    | Progress
    | AnswerPart
    | Verdict
    | Item
    | StreamEnd
    | Move
    | FlowGone
    | Pong
)

caller_codec = Codec(messages=FromCaller, max_bytes=MAX_DATAGRAM_BYTES)
reply_codec = Codec(messages=ToCaller, max_bytes=MAX_DATAGRAM_BYTES)
