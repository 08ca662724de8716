"""The part of the demo with flows without a token."""

import asyncio
import signal
from collections.abc import Callable
from dataclasses import asdict

from standins.packets.deployment import PacketDeployment
from standins.packets.load import PacketLoad

__all__ = ["run_packet_demo"]

NET = "127.81.3"
BALANCERS = 3
MAPS = 4
LOGS = 2
STEADY_SECONDS = 2.0
SLOW_LINK_BALANCER, SLOW_LINK_MEGABITS = "lb-2", 5.0
DRAIN_SECONDS = 2.0  # a draining target closes flows after their next response


async def run_packet_demo(report_progress: Callable[[str], None]) -> dict:
    """Run the demo; return its counts and whether no guarantee was violated.

    Args:
        report_progress: Called with a text at each stage.
    """
    async with PacketDeployment(net=NET, seed=1) as deployment:
        await _start(deployment)
        load = PacketLoad(deployment=deployment, seed=2)
        load.start(readers=20, writers=6, uploaders=2)
        report_progress(
            f"the link of {SLOW_LINK_BALANCER} carries {SLOW_LINK_MEGABITS:g} Mbit/s"
        )
        report_progress(
            "20 callers with long flows, 6 with a flow per request, 2 upload"
        )
        await asyncio.sleep(STEADY_SECONDS)
        report_progress("all balancers and all map targets are replaced")
        await asyncio.gather(_replace_balancers(deployment), _replace_maps(deployment))
        report_progress(
            "the store fails; all balancers but one and the map agents are killed"
        )
        await _kill(deployment)
        await asyncio.sleep(STEADY_SECONDS)
        result = await load.stop()
        report_progress(f"{dict(load.counts)} {dict(load.reasons)}")
        return asdict(result) | {"is_clean": result.is_clean}


async def _start(deployment: PacketDeployment) -> None:
    deployment.configure(routes=100)
    names = [f"lb-{n}" for n in range(1, BALANCERS + 1)]
    pairs = [(f"maps-{n}", "maps") for n in range(1, MAPS + 1)]
    pairs += [(f"logs-{n}", "logs") for n in range(1, LOGS + 1)]
    for name in names:
        deployment.ip(name)
    await asyncio.gather(
        *(_start_balancer(deployment, name) for name in names),
        *(deployment.start_pair(name, service) for name, service in pairs),
    )


async def _replace_balancers(deployment: PacketDeployment) -> None:
    for n in range(1, BALANCERS + 1):
        name = f"lb-{n}"
        node = deployment.nodes_by_name[name]
        node.signal(signal.SIGTERM)
        deployment.update_rotation(name, out=True)
        await node.wait()
        await _start_balancer(deployment, name)


async def _start_balancer(deployment: PacketDeployment, name: str) -> None:
    megabits = SLOW_LINK_MEGABITS if name == SLOW_LINK_BALANCER else None
    await deployment.start_balancer(name, link_megabits=megabits)


async def _replace_maps(deployment: PacketDeployment) -> None:
    for n in range(1, MAPS + 1):
        await deployment.start_pair(f"maps-{n + MAPS}", "maps")
        deployment.targets_by_name[f"maps-{n}"].is_draining = True
        await asyncio.sleep(DRAIN_SECONDS)
        await deployment.stop_target(f"maps-{n}")
        await deployment.nodes_by_name[f"maps-{n}"].stop()


async def _kill(deployment: PacketDeployment) -> None:
    deployment.store.faults.is_down = True
    balancers = [f"lb-{n}" for n in range(2, BALANCERS + 1)]
    agents = [(f"maps-{n + MAPS}", "maps") for n in range(1, MAPS + 1)]
    for name in (*balancers, *(name for name, _ in agents)):
        deployment.nodes_by_name[name].signal(signal.SIGKILL)
    deployment.update_rotation(*balancers, out=True)
    await asyncio.gather(
        *(_start_balancer(deployment, name) for name in balancers),
        *(deployment.start_agent(name, service) for name, service in agents),
    )
