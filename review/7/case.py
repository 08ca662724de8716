"""The entry VMs restart in turn after a configuration has moved a route."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import CannotRun, Deployment, has_trouble, run_case  # noqa: E402
from flows import broken_flows, open_flows, request_again, roll  # noqa: E402

GAP_SECONDS = 2.0  # of roll_term with share 1 (trouble-2 of pacifico-pier)
FLOWS = 8
IDLE_SECONDS = 12.0  # between two requests of a flow; idle_timeout_ms is 15,000
FRONTS = ("front-1", "front-2")
SERVICES = {"side-1": "maps-old", "side-2": "maps-new"}


async def play() -> list[str]:
    async with Deployment(folder=FOLDER) as site:
        for name in FRONTS:
            await site.start_node(name)
        for name, service in SERVICES.items():
            await site.start_node(name, service)
            await site.start_host(name, service)
        site.configure({"R": "maps-old", "S": "maps-new"})
        await site.wait_until_ready()
        await asyncio.sleep(3.0)
        flows = await open_flows(site, count=FLOWS)
        if not flows:
            raise CannotRun("no flow opened")
        idle_until = time.monotonic() + IDLE_SECONDS
        if has_trouble():
            site.configure({"R": "maps-new", "S": "maps-new"})
            await asyncio.sleep(1.0)
            await roll(site, FRONTS, gap_seconds=GAP_SECONDS)
        await asyncio.sleep(max(0.0, idle_until - time.monotonic()))
        await request_again(site, flows)
        return broken_flows(site)


if __name__ == "__main__":
    run_case(play)
