"""Targets as their agents report them: identity, condition and load."""

from enum import IntEnum
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta

from monsoonpier.model.address import Address

__all__ = [
    "ABSENT_SECONDS",
    "MAX_FLOW_ADDRESSES",
    "PACKED_ADDRESS_BYTES",
    "PROCESS_KEY_BYTES",
    "QUEUE_AHEAD",
    "Condition",
    "FlowAddresses",
    "LoadReport",
    "TargetRecord",
]

MAX_FLOW_ADDRESSES = 16  # in a target's record
PACKED_ADDRESS_BYTES = 6
PROCESS_KEY_BYTES = 8  # equal keys are unlikely among thousands of targets

# New flows that a target may have beyond its slots. The next run then starts
# without a round trip to a balancer. Balancers and agents must use the same
# value.
QUEUE_AHEAD = 1
# If nothing has listened for so long since an agent's start, no target is left
# that could own flows: a running one would have sent several heartbeats, and a
# leaving one has ended. Balancers and agents must use the same value.
ABSENT_SECONDS = 3.0

PackedAddress = Annotated[
    bytes, Meta(min_length=PACKED_ADDRESS_BYTES, max_length=PACKED_ADDRESS_BYTES)
]
# Packed addresses in ascending order.
FlowAddresses = Annotated[
    tuple[PackedAddress, ...], Meta(max_length=MAX_FLOW_ADDRESSES)
]


class Condition(IntEnum):
    """What a target accepts; the states of ``charts/target.toml``."""

    STARTING = 0
    SERVING = 1
    SHEDDING = 2
    UNRESPONSIVE = 3
    LEAVING = 4
    GONE = 5


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """A target's load as its agent counts it, sent with replies and heartbeats.

    Attributes:
        number: Grows with each report, so that stale ones are detected.
        in_flight: Requests in flight.
        queued: Requests or new flows that wait and can still be answered in
            time: within the latency target, or before the deadline.
        flows: Open flows.
        service_ms: The smoothed service time.
        age_ms: The time since the target began to serve.
        condition: What the target accepts.
        cold_ms: How long the target will still be slower than usual.
        failed_percent: The percentage of recent requests that failed.
        queued_late: Requests or new flows that wait and can't be answered in
            time.
    """

    number: int
    in_flight: int = 0
    queued: int = 0
    flows: int = 0
    service_ms: int = 0
    age_ms: int = 0
    condition: Condition = Condition.STARTING
    cold_ms: int = 0
    failed_percent: int = 0
    queued_late: int = 0


class TargetRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False
):
    """A target's record, which only its agent changes.

    Of two records of one name, the one with the larger ``rank`` is valid.

    Attributes:
        name: The target's name.
        service: The service that it serves.
        data_centre: The data centre that it runs in.
        ip: The agent's internal IP address.
        port: The agent's internal UDP port.
        control: The agent's control address.
        instance: Identifies the instance of the target.
        epoch: The agent's start, in milliseconds of its wall clock.
        change: Counts the record's changes since the agent's start.
        slots: How many requests the target works on at once.
        connections: How many flows the target can own at once.
        condition: What the target accepts.
        is_absent: Whether nothing has listened at the target's address since
            the agent's start.
        answers_queries: Whether the agent is known to answer a `RecordQuery`. Older
            builds leave this out, also when they relay the record of an agent that
            answers.
        addresses: The addresses, packed, at which the target may own flows. ``None``
            if that isn't known, as with a record of an older build.
    """

    name: str
    service: str
    data_centre: str
    ip: str
    port: int
    control: str
    instance: bytes
    epoch: int
    change: int = 0
    slots: int = 1
    connections: int = 1
    condition: Condition = Condition.STARTING
    is_absent: bool = False
    answers_queries: bool = False
    addresses: FlowAddresses | None = None

    @property
    def rank(self) -> tuple[int, int]:
        """The record's version; the larger one replaces the smaller."""
        return (self.epoch, self.change)

    @property
    def process_key(self) -> bytes:
        """Identifies the target's agent process where name and epoch are too long."""
        text = f"{self.name} {self.epoch}"
        return blake2b(text.encode(), digest_size=PROCESS_KEY_BYTES).digest()

    @property
    def address(self) -> Address:
        """The agent's UDP address."""
        return Address(ip=self.ip, port=self.port)

    def with_condition(self, condition: Condition) -> "TargetRecord":
        """Return a copy with this condition and the next change number.

        The copy stays marked absent only if the condition is ``STARTING``.
        """
        is_absent = self.is_absent and condition is Condition.STARTING
        return msgspec.structs.replace(
            self, condition=condition, change=self.change + 1, is_absent=is_absent
        )
