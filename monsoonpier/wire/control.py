"""Control messages that processes exchange over ZeroMQ."""

from typing import Annotated

import msgspec
from msgspec import Meta

from monsoonpier.model.keys import FRAME, KeyRing
from monsoonpier.model.target import LoadReport, TargetRecord
from monsoonpier.model.waiting_summary import WaitingSummary
from monsoonpier.wire.codec import Codec, Dropped, Name, Reason
from monsoonpier.wire.frames import BalancerRecord, SilenceReport

__all__ = [
    "ConfigurationRequest",
    "DrainRequest",
    "StatusRequest",
    "TableRequest",
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


class ConfigurationRequest(_Control, tag=1, kw_only=True):
    """Requests the configuration if its version is above ``newer_than``.

    An agent names its ``service`` and receives only that service's part, to save
    control traffic.
    """

    newer_than: int
    service: Annotated[str, Meta(max_length=64)] = ""


class ConfigurationReply(_Control, tag=2, kw_only=True):
    """Carries the stored configuration, compressed; empty if none is newer."""

    version: int
    packed: bytes


class TableRequest(_Control, tag=3, kw_only=True):
    """Requests the target records of the buckets whose digests differ."""

    digests: Annotated[tuple[bytes, ...], Meta(max_length=256)]


class TableReply(_Control, tag=4, kw_only=True):
    """Carries the records of the differing buckets, and all known balancers.

    ``silences`` holds the reports of silence that count at the sender. Older builds
    leave them out.
    """

    records: tuple[TargetRecord, ...]
    balancers: tuple[BalancerRecord, ...]
    silences: tuple[SilenceReport, ...] = ()


class StatusRequest(_Control, tag=5, kw_only=True):
    """Requests the status of a process."""


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The record and load of a target, as known to one balancer."""

    record: TargetRecord
    load: LoadReport
    suspected: bool


class StatusReply(_Control, tag=6, kw_only=True):
    """Carries the status of a process.

    Only balancers send ``targets``, ``balancers`` and ``evacuated``. Only balancers of
    flows without a token send ``waiting``, and only agents of such flows send
    ``slot_use``, the totals of their target's slot use by name.
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


class DrainRequest(_Control, tag=7, kw_only=True):
    """Requests a graceful shutdown, as SIGTERM does."""

    name: Name


class DrainReply(_Control, tag=8, kw_only=True):
    """Reports whether the process has started its shutdown."""

    accepted: bool
    reason: Reason = ""


Control = (
    ConfigurationRequest
    | ConfigurationReply
    | TableRequest
    | TableReply
    | StatusRequest
    | StatusReply
    | DrainRequest
    | DrainReply
)


class ControlCodec:
    """Encodes control messages with a MAC, and verifies and decodes them."""

    def __init__(self, *, keys: KeyRing) -> None:
        self._keys = keys
        self._codec = Codec(messages=Control, max_bytes=MAX_CONTROL_BYTES)

    def encode(self, message: _Control) -> bytes:
        """Return the encoded message with its MAC."""
        return self._keys.seal(self._codec.encode(message), purpose=FRAME)

    def decode(self, data: bytes):
        """Return the message in ``data``, or a `Dropped` with the reason."""
        body = self._keys.unseal(data, purpose=FRAME)
        if body is None:
            return Dropped(reason="forged")
        return self._codec.decode(body)
