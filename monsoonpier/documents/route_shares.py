"""Checking of the weights by which services share a route.

Invalid entries are reported as findings and the rest takes effect: rejecting the whole
configuration would also discard its other changes.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from monsoonpier.model.findings import Finding, Place

__all__ = ["RouteShares", "read_shares"]

MAX_WEIGHT = 1e9  # so that sums of weights can't overflow


@dataclass(frozen=True, slots=True, kw_only=True)
class _Entry:
    """A service and its weight as decoded; the types are not checked yet."""

    service: object
    weight: object = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteShares:
    """The weights of a route's services, and the problems found."""

    weights_by_service: dict[str, float] = field(default_factory=dict)
    findings: tuple[Finding, ...] = ()


def read_shares(
    raw_shares: object,
    *,
    route: str,
    service: str,
    declared: Collection[str],
) -> RouteShares:
    """Return the weights of the services that share a route.

    A service with an invalid weight is listed with weight 0, as its targets may own
    flows of the route. If no service has a weight above 0, those with invalid weights
    get 1 each. The weights of a service that is listed twice are added.

    Args:
        raw_shares: A list of mappings with ``service`` and ``weight``, decoded but not
            checked; empty for a route to one service.
        route: The route's name, for findings.
        service: The route's single service, if it names one.
        declared: Names of the services that the configuration declares.
    """
    weights_by_service: dict[str, float] = {}
    without_weight: list[str] = []
    problems: list[str] = []
    for entry in _convert_entries(raw_shares):
        name = entry.service
        if not isinstance(name, str) or not name:
            problems.append(f"{name!r} is not a service name")
            continue
        if name in weights_by_service:
            problems.append(f"{name!r} is listed twice; its weights are added")
        elif declared and name not in declared:
            problems.append(f"{name!r} is not declared")
        problem = _check_weight(entry.weight)
        if problem:
            problems.append(f"the weight of {name!r} {problem}")
            without_weight.append(name)
        weight = 0.0 if problem else float(entry.weight)
        weights_by_service[name] = weights_by_service.get(name, 0.0) + weight
    if not any(weights_by_service.values()):
        weights_by_service |= dict.fromkeys(without_weight, 1.0)
    problems += _check_services(weights_by_service, service=service)
    findings = tuple(_build_finding(problem, route=route) for problem in problems)
    return RouteShares(weights_by_service=weights_by_service, findings=findings)


def _convert_entries(value: object) -> list[_Entry]:
    """Return the entries; an entry that is not a mapping names a service."""
    entries = value if isinstance(value, list) else [value] if value else []
    return [
        _Entry(service=entry.get("service"), weight=entry.get("weight"))
        if isinstance(entry, dict)
        else _Entry(service=entry)
        for entry in entries
    ]


def _check_weight(weight: object) -> str:
    """Return the problem as the end of a sentence; empty if the weight is valid."""
    # bool is a subclass of int.
    if isinstance(weight, bool) or not isinstance(weight, int | float):
        return f"is {weight!r}, not a number"
    if not 0 <= weight <= MAX_WEIGHT:
        return f"is {weight!r}, not between 0 and {MAX_WEIGHT:g}"
    return ""


def _check_services(weights_by_service: dict[str, float], *, service: str) -> list[str]:
    """Return the problems of the route as a whole."""
    if not weights_by_service:
        return [] if service else ["no service is named"]
    if service:
        return [f"{service!r} is ignored because the route has shares"]
    if not any(weights_by_service.values()):
        return ["no service has a weight above 0"]
    return []


def _build_finding(problem: str, *, route: str) -> Finding:
    return Finding(place=Place(file=f"route {route}"), problem=problem)
