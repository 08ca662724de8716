"""Actions that a balancer's decisions return for its process to carry out."""

import msgspec

__all__ = ["FetchConfiguration", "FetchTable", "RequestStatus", "ToAgent", "ToCaller"]


class ToAgent(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a frame to another process's internal address.

    ``flow`` is the flow whose packet the frame carries, if any; frames of one flow
    are sent in order.
    """

    endpoint: tuple[str, int]
    frame: object
    flow: bytes = b""


class ToCaller(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a datagram to a caller from a service's address."""

    service: str
    endpoint: tuple[str, int]
    payload: bytes


class FetchConfiguration(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Fetch the configuration from a peer that has a newer one.

    ``control`` is the address of the peer's control server.
    """

    control: str


class FetchTable(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Fetch a peer's target records from the buckets whose digests differ.

    ``control`` is the address of the peer's control server.
    """

    control: str


class RequestStatus(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Request the status of an agent that doesn't answer queries.

    ``name`` and ``epoch`` are those of its target's record, ``control`` is the address
    of its control server.
    """

    name: str
    epoch: int
    control: str
