"""Conversations over ZeroMQ: configuration, tables and status between processes."""

from typing import Annotated

import msgspec
from msgspec import Meta

from monsoonpier.model.keys import FRAME, KeyRing
from monsoonpier.model.target import LoadReport, TargetRecord
from monsoonpier.model.waiting_summary import WaitingSummary
from monsoonpier.wire.codec import Codec, Dropped, Name, Short
from monsoonpier.wire.frames import BalancerRecord

__all__ = [
    "AskConfiguration",
    "AskDrain",
    "AskStatus",
    "AskTable",
    "ConfigurationReply",
    "ControlCodec",
    "DrainReply",
    "StatusReply",
    "TableReply",
    "TargetStatus",
]

MAX_CONTROL_BYTES = 4 * 1_048_576


class _Control(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of all control messages."""


class AskConfiguration(_Control, tag=1, kw_only=True):
    """Asks for the configuration if it is newer than ``newer_than``.

    An agent names its ``service`` and gets only that: with 4,800 agents the
    whole set would be most of the control traffic.
    """

    newer_than: int
    service: Annotated[str, Meta(max_length=64)] = ""


class ConfigurationReply(_Control, tag=2, kw_only=True):
    """The stored value of a configuration, packed; empty if none is newer."""

    version: int
    packed: bytes


class AskTable(_Control, tag=3, kw_only=True):
    """Asks for the records of the buckets whose digests differ."""

    digests: Annotated[tuple[bytes, ...], Meta(max_length=256)]


class TableReply(_Control, tag=4, kw_only=True):
    """The records of the differing buckets and all known balancers."""

    records: tuple[TargetRecord, ...]
    balancers: tuple[BalancerRecord, ...]


class AskStatus(_Control, tag=5, kw_only=True):
    """Asks a process how it stands."""


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A target as one balancer sees it."""

    record: TargetRecord
    load: LoadReport
    suspected: bool


class StatusReply(_Control, tag=6, kw_only=True):
    """How a process stands; targets and what follows only from balancers.

    Of flows without a token balancers tell ``waiting``, agents ``slot_use``: the sums
    of what their target's slots did, by name.
    """

    name: Name
    role: Name
    data_centre: Name
    state: Name
    version: int
    uptime: float
    targets: tuple[TargetStatus, ...] = ()
    balancers: tuple[BalancerRecord, ...] = ()
    evacuated: tuple[Name, ...] = ()
    waiting: tuple[WaitingSummary, ...] = ()
    slot_use: dict[Name, float] = {}


class AskDrain(_Control, tag=7, kw_only=True):
    """Asks a process to leave gracefully, as SIGTERM does."""

    name: Name


class DrainReply(_Control, tag=8, kw_only=True):
    """Says whether the process began to leave."""

    accepted: bool
    reason: Short = ""


Control = (
    AskConfiguration
    | ConfigurationReply
    | AskTable
    | TableReply
    | AskStatus
    | StatusReply
    | AskDrain
    | DrainReply
)


class ControlCodec:
    """Seals and opens control messages with the keys in force."""

    def __init__(self, *, keys: KeyRing) -> None:
        self._keys = keys
        self._codec = Codec(messages=Control, max_bytes=MAX_CONTROL_BYTES)

    def encode(self, message: _Control) -> bytes:
        """Return the message's sealed bytes."""
        return self._keys.seal(self._codec.encode(message), purpose=FRAME)

    def decode(self, data: bytes):
        """Return the message in ``data``, or a `Dropped` that says why not."""
        body = self._keys.unseal(data, purpose=FRAME)
        if body is None:
            return Dropped(reason="forged")
        return self._codec.decode(body)
