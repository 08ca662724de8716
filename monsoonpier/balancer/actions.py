"""What a balancer's decisions ask its process to do."""

import msgspec

__all__ = ["FetchConfiguration", "FetchTable", "ToAgent", "ToCaller"]


class ToAgent(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Send a frame to another process's internal address.

    ``flow`` names the flow whose packet the frame brings; such frames stay in order.
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
    """A peer holds a newer configuration: ask it."""

    control: str


class FetchTable(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A peer's table differs from this one: ask it for the difference."""

    control: str
