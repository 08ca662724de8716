"""Decoding of the operator's configuration in the platform's store."""

import zlib
from typing import Annotated

import msgspec

from monsoonpier.balancer.stored_configuration import ConfigurationFormat
from monsoonpier.documents.route_shares import RouteShares, read_shares
from monsoonpier.model.address import Address
from monsoonpier.model.service import Configuration, PacketRoute

__all__ = ["PLATFORM_FORMAT"]


class _Route(msgspec.Struct, frozen=True, kw_only=True):
    """A route: ``host`` is an IP address, ``prefix`` a port between slashes."""

    name: str = ""
    host: str
    prefix: str
    service: str = ""
    backends: object = None
    timeout_ms: float = 10_000
    target_latency_ms: float = 1_000
    priority: int = 0


class _Service(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    cold_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0  # 0: no limit


class _Limits(msgspec.Struct, frozen=True, kw_only=True):
    idle_timeout_ms: float = 15_000  # checked but not used


class _OperatorConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()


_decode_json = msgspec.json.Decoder(_OperatorConfiguration).decode


def _decode_configuration(value: bytes) -> Configuration:
    try:
        stored = _decode_json(value)
        services = [service.name for service in stored.services]
        shares = [_route_shares(route, declared=services) for route in stored.routes]
        pairs = zip(stored.routes, shares, strict=True)
        routes = {_address(route): _route(route, shared) for route, shared in pairs}
    except (msgspec.MsgspecError, ValueError) as error:
        raise ValueError(f"invalid operator configuration: {error}") from error
    limits = {s.name: s.cold_per_s for s in stored.services if s.cold_per_s}
    return Configuration(
        version=stored.version,
        routes_by_address=routes,
        cold_per_second_by_service=limits,
        findings=tuple(finding for shared in shares for finding in shared.findings),
    )


def _address(route: _Route) -> Address:
    return Address.parse(f"{route.host}:{route.prefix.strip('/')}")


def _route_shares(route: _Route, *, declared: list[str]) -> RouteShares:
    title = route.name or str(_address(route))
    return read_shares(
        route.backends, route=title, service=route.service, declared=declared
    )


def _route(route: _Route, shares: RouteShares) -> PacketRoute:
    return PacketRoute(
        service=route.service,
        weights_by_service=shares.weights_by_service,
        aim_seconds=route.target_latency_ms / 1000,
        timeout_seconds=route.timeout_ms / 1000,
        priority=route.priority,
    )


def _compress(value: bytes, service: str) -> bytes:
    """Compress the whole value, whatever the service."""
    return zlib.compress(value)


PLATFORM_FORMAT = ConfigurationFormat(decode=_decode_configuration, pack=_compress)
