"""How operators share a route among services: read, and checked as far as possible.

What is wrong with one service or route is told and costs nobody else anything: the
version comes in force with all that can be understood of it. To refuse the whole would
leave every other change of it undone.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from monsoonpier.model.findings import Finding, Place

__all__ = ["RouteShares", "read_shares"]

MAX_WEIGHT = 1e9  # what comes from a file must not overflow a sum


@dataclass(frozen=True, slots=True, kw_only=True)
class _Share:
    """A service and its weight as somebody wrote them, of any type."""

    service: object
    weight: object = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteShares:
    """What the services of a route have been given, and what is wrong with it."""

    weights_by_service: dict[str, float] = field(default_factory=dict)
    findings: tuple[Finding, ...] = ()


def read_shares(
    written: object,
    *,
    route: str,
    service: str,
    declared: Collection[str],
) -> RouteShares:
    """Return the weights of the services that share a route.

    A service whose weight can't be used is named all the same, without a share: its
    targets may hold flows of the route. Where nobody else has one, such services share
    alike. One that is listed twice has both weights.

    Args:
        written: A list of mappings with ``service`` and ``weight``, as it was decoded
            and not checked; nothing for a route to one service.
        route: The route's name, for findings.
        service: The service that the route leads to beside those, if any.
        declared: Names of services that the configuration declares.
    """
    weights_by_service: dict[str, float] = {}
    unweighed: list[str] = []
    problems: list[str] = []
    for share in _shares(written):
        name = share.service
        if not isinstance(name, str) or not name:
            problems.append(f"{name!r} is no service")
            continue
        if name in weights_by_service:
            problems.append(f"{name!r} is listed twice; both weights count")
        elif declared and name not in declared:
            problems.append(f"{name!r} is not declared")
        problem = _check_weight(share.weight)
        if problem:
            problems.append(f"the weight of {name!r} {problem}")
            unweighed.append(name)
        weight = 0.0 if problem else float(share.weight)
        weights_by_service[name] = weights_by_service.get(name, 0.0) + weight
    if not any(weights_by_service.values()):
        weights_by_service |= dict.fromkeys(unweighed, 1.0)
    problems += _check_route(weights_by_service, service=service)
    findings = tuple(_finding(problem, route=route) for problem in problems)
    return RouteShares(weights_by_service=weights_by_service, findings=findings)


def _shares(written: object) -> list[_Share]:
    """Return what is written, wrong entries as services without a weight."""
    entries = written if isinstance(written, list) else [written] if written else []
    return [
        _Share(service=entry.get("service"), weight=entry.get("weight"))
        if isinstance(entry, dict)
        else _Share(service=entry)
        for entry in entries
    ]


def _check_weight(weight: object) -> str:
    # Truth values are numbers to Python.
    if isinstance(weight, bool) or not isinstance(weight, int | float):
        return f"is {weight!r}, no number"
    if not 0 <= weight <= MAX_WEIGHT:
        return f"is {weight!r}, not from 0 to {MAX_WEIGHT:g}"
    return ""


def _check_route(weights_by_service: dict[str, float], *, service: str) -> list[str]:
    if not weights_by_service:
        return [] if service else ["no service is named"]
    if service:
        return [f"{service!r} is named beside shares, which hold"]
    if not any(weights_by_service.values()):
        return ["no service has a weight above 0"]
    return []


def _finding(problem: str, *, route: str) -> Finding:
    return Finding(place=Place(file=f"route {route}"), problem=problem)
