"""What several cases do with flows, and the rule FLOW (a) as a check."""

import asyncio
from collections.abc import Sequence

from client import ClientFlow, FlowError
from deployment import Deployment

ANSWER_SECONDS = 4.0


async def open_flows(
    site: Deployment, *, count: int, route: str = "R", work_ms: int = 20
) -> list[ClientFlow]:
    """Open flows at the same time, each with one answered request."""
    opening = (
        _open_flow(site, number, route=route, work_ms=work_ms)
        for number in range(count)
    )
    flows = await asyncio.gather(*opening)
    return [flow for flow in flows if flow is not None]


async def _open_flow(
    site: Deployment, number: int, *, route: str, work_ms: int
) -> ClientFlow | None:
    name = f"first-{route}-{number}"
    try:
        flow = await site.client.open(site.routes[route])
        await flow.request(name, work_ms=work_ms, timeout=ANSWER_SECONDS)
    except FlowError as error:
        site.record("request not answered", request=name, reason=error)
        return None
    return flow


async def request_again(site: Deployment, flows: list[ClientFlow]) -> None:
    """Send one more request on each flow."""
    site.record("second requests")
    await asyncio.gather(*(_request(site, flow, n) for n, flow in enumerate(flows)))


async def _request(site: Deployment, flow: ClientFlow, number: int) -> None:
    name = f"second-{number}"
    try:
        await flow.request(name, timeout=ANSWER_SECONDS)
    except FlowError as error:
        site.record("request not answered", request=name, reason=error)


async def roll(
    site: Deployment,
    names: Sequence[str],
    service: str = "",
    *,
    gap_seconds: float,
    after: float = 0.0,
) -> None:
    """Stop and start nodes in turn, each a gap after the one before."""
    await asyncio.sleep(after)
    restarts = []
    for name in names:
        restarts.append(asyncio.create_task(site.restart_node(name, service)))
        await asyncio.sleep(gap_seconds)
    await asyncio.gather(*restarts)


def broken_flows(site: Deployment, *, since: float = 0.0) -> list[str]:
    """FLOW (a): resets by the system, since then, of flows open at a living host."""
    violations = []
    for at, flow, packet in site.client.resets:
        if not packet.is_system_reset or at < since:
            continue
        for host in site.hosts.values():
            held = host.flows.get(flow.key)
            if held is None or held.opened_at is None or held.ended_at is not None:
                continue
            if host.is_alive:
                violations.append(
                    f"FLOW: client port {flow.own[1]} got a reset that its host "
                    f"{host.name} did not send, {at - held.opened_at:.1f} s after the "
                    f"flow opened there"
                )
    return violations
