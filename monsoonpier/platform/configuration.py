"""The operator's configuration as the platform's store holds it."""

import zlib
from typing import Annotated

import msgspec

from monsoonpier.balancer.stored_configuration import ConfigurationFormat
from monsoonpier.model.address import Address
from monsoonpier.model.service import Configuration, PacketRoute

__all__ = ["PLATFORM_FORMAT"]


class _Route(msgspec.Struct, frozen=True, kw_only=True):
    """A route: ``host`` is an IP number, ``prefix`` a port between slashes."""

    host: str
    prefix: str
    service: str = ""
    timeout_ms: float = 10_000
    target_latency_ms: float = 1_000
    priority: int = 0


class _Service(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    cold_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0  # 0: no limit


class _Limits(msgspec.Struct, frozen=True, kw_only=True):
    idle_timeout_ms: float = 15_000


class _Stored(msgspec.Struct, frozen=True, kw_only=True):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()


_decode = msgspec.json.Decoder(_Stored).decode


def _configuration(value: bytes) -> Configuration:
    try:
        stored = _decode(value)
        routes = {_address(route): _route(route) for route in stored.routes}
    except (msgspec.MsgspecError, ValueError) as error:
        raise ValueError(f"not a configuration of the operator: {error}") from error
    limits = {s.name: s.cold_per_s for s in stored.services if s.cold_per_s}
    return Configuration(
        version=stored.version,
        routes_by_address=routes,
        cold_per_second_by_service=limits,
    )


def _address(route: _Route) -> Address:
    return Address.parse(f"{route.host}:{route.prefix.strip('/')}")


def _route(route: _Route) -> PacketRoute:
    return PacketRoute(
        service=route.service,
        aim_seconds=route.target_latency_ms / 1000,
        timeout_seconds=route.timeout_ms / 1000,
        priority=route.priority,
    )


def _pack(value: bytes, service: str) -> bytes:
    """Return the value compressed; agents of this path don't ask for it."""
    return zlib.compress(value)


PLATFORM_FORMAT = ConfigurationFormat(decode=_configuration, pack=_pack)
