"""What operators declare: services, their kinds of work, and their targets."""

import fnmatch
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache

from monsoonpier.model.address import Address
from monsoonpier.model.findings import Finding

__all__ = ["Configuration", "Kind", "Limits", "PacketRoute", "Preference", "Service"]

DEFAULT_DEADLINE_SECONDS = 10.0


class Preference(Enum):
    """Which data centres new flows may go to."""

    ANY = "any"
    LOCAL = "local"


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request that a service handles, with its properties.

    Attributes:
        name: The name by which callers request the kind.
        idempotent: Whether a request may be executed more than once.
        stream: Whether the answer is a stream.
        deadline_seconds: How long a request may take if its caller sets no
            deadline.
    """

    name: str
    idempotent: bool = False
    stream: bool = False
    deadline_seconds: float = DEFAULT_DEADLINE_SECONDS


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits of one target of a service.

    Attributes:
        queue_per_slot: How many requests may wait for each slot.
        cold_start_seconds: How long after its start a target counts as cold.
        max_request_bytes: The largest body of a request.
    """

    queue_per_slot: int = 4
    cold_start_seconds: float = 10.0
    max_request_bytes: int = 16_777_216


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """One service: its address, its kinds of work and the targets it allows."""

    name: str
    address: Address
    targets: tuple[str, ...]
    kinds_by_name: dict[str, Kind] = field(default_factory=dict)
    limits: Limits = Limits()
    prefer: Preference = Preference.LOCAL

    def allows(self, target: str) -> bool:
        """Return whether a target of this name may serve the service."""
        return _matches(target, self.targets)


@dataclass(frozen=True, slots=True, kw_only=True)
class PacketRoute:
    """The services that get new flows without a token to one address, and how.

    Attributes:
        service: The service that gets new flows, unless there are weights.
        aim_seconds: The latency target of the callers.
        timeout_seconds: The time after which an answer is of no use to a
            caller.
        priority: 0 is the most urgent.
        weights_by_service: Splits new flows between services in proportion; a
            service of weight 0 gets none.
    """

    service: str = ""
    aim_seconds: float
    timeout_seconds: float
    priority: int = 0
    weights_by_service: Mapping[str, float] = field(default_factory=dict)

    @property
    def services(self) -> frozenset[str]:
        """All services of the route; their targets may own its flows."""
        named = (self.service, *self.weights_by_service)
        return frozenset(name for name in named if name)


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One accepted version of all the operators' files.

    Attributes:
        version: The version number.
        services_by_name: The services.
        routes_by_address: The routes of flows without a token.
        cold_per_second_by_service: The rate of new flows without a token, per
            second, that a cold target may get. Services without a limit are
            omitted.
        findings: Errors in single routes; the other routes are used.
    """

    version: int = 0
    services_by_name: dict[str, Service] = field(default_factory=dict)
    routes_by_address: dict[Address, PacketRoute] = field(default_factory=dict)
    cold_per_second_by_service: dict[str, float] = field(default_factory=dict)
    findings: tuple[Finding, ...] = ()

    def allows(self, *, service: str, target: str) -> bool:
        """Return whether the target may serve the service in this version."""
        declared = self.services_by_name.get(service)
        return declared is not None and declared.allows(target)


@lru_cache(maxsize=16_384)
def _matches(target: str, patterns: tuple[str, ...]) -> bool:
    """Return whether a target's name matches a pattern.

    Results are cached, since each new flow checks every target.
    """
    return any(fnmatch.fnmatchcase(target, pattern) for pattern in patterns)
