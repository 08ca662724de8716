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
    """Which data centre new flows go to."""

    ANY = "any"
    LOCAL = "local"


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of work: whether it may be repeated and how long it may take."""

    name: str
    idempotent: bool = False
    stream: bool = False
    deadline_seconds: float = DEFAULT_DEADLINE_SECONDS


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """What one target of a service accepts at most."""

    queue_per_slot: int = 4
    cold_start_seconds: float = 10.0
    max_request_bytes: int = 16_777_216


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """One service: its address, the work it does, the targets it allows."""

    name: str
    address: Address
    targets: tuple[str, ...]
    kinds_by_name: dict[str, Kind] = field(default_factory=dict)
    limits: Limits = Limits()
    prefer: Preference = Preference.LOCAL

    def allows(self, target: str) -> bool:
        """Tell whether a target of this name may serve the service."""
        return _matches(target, self.targets)


@dataclass(frozen=True, slots=True, kw_only=True)
class PacketRoute:
    """Where new flows without a token go that are opened at one address.

    ``aim_seconds`` is the latency that callers want, ``timeout_seconds`` the
    one after which an answer is of no use to them. ``priority`` 0 is the most
    urgent. New flows go to ``service``; where ``weights_by_service`` has any they are
    shared by these, in proportion, and a weight of 0 gets none.
    """

    service: str = ""
    aim_seconds: float
    timeout_seconds: float
    priority: int = 0
    weights_by_service: Mapping[str, float] = field(default_factory=dict)

    @property
    def services(self) -> frozenset[str]:
        """All services that the route names: their targets may hold its flows."""
        named = (self.service, *self.weights_by_service)
        return frozenset(name for name in named if name)


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One accepted version of the whole set of operators' files.

    ``cold_per_second_by_service`` has the new flows without a token that a cold target
    bears in a second, where that is limited. ``findings`` tell what was wrong with
    single routes of a version that is in force all the same.
    """

    version: int = 0
    services_by_name: dict[str, Service] = field(default_factory=dict)
    routes_by_address: dict[Address, PacketRoute] = field(default_factory=dict)
    cold_per_second_by_service: dict[str, float] = field(default_factory=dict)
    findings: tuple[Finding, ...] = ()

    def allows(self, *, service: str, target: str) -> bool:
        """Tell whether the target may serve the service in this version."""
        declared = self.services_by_name.get(service)
        return declared is not None and declared.allows(target)


@lru_cache(maxsize=16_384)
def _matches(target: str, patterns: tuple[str, ...]) -> bool:
    """Match a name; kept, since it is asked for each target of each new flow."""
    return any(fnmatch.fnmatchcase(target, pattern) for pattern in patterns)
