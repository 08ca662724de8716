"""Entry VMs and an agent restart in turn while its host is still cold."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import CannotRun, Deployment, has_trouble, run_case  # noqa: E402
from flows import broken_flows, open_flows, request_again, roll  # noqa: E402

COLD_SECONDS = 2.0  # as on the site
FRONT_GAP_SECONDS = 2.0  # of roll_term with share 1 on the fronts
FLOWS = 8
IDLE_SECONDS = 10.0  # between two requests of a flow; idle_timeout_ms is 15,000
FRONTS = ("front-1", "front-2")
# One of eight sides restarts: 0.125, where roll_term on the sides has a share of 0.3.
HOST = "side-1"
OTHER_HOSTS = tuple(f"side-{number}" for number in range(2, 9))


async def play() -> list[str]:
    async with Deployment(folder=FOLDER) as site:
        for name in FRONTS:
            await site.start_node(name)
        for name in OTHER_HOSTS:
            await site.start_node(name, "logs")
            await site.start_host(name, "logs")
        await site.start_node(HOST, "maps")
        site.configure({"R": "maps", "S": "logs"})
        await asyncio.sleep(3.0)
        await site.start_host(HOST, "maps", cold_seconds=COLD_SECONDS)
        await site.wait_until_ready()
        flows = await open_flows(site, count=FLOWS)
        if not flows:
            raise CannotRun("no flow opened")
        idle_until = time.monotonic() + IDLE_SECONDS
        if has_trouble():
            await asyncio.gather(
                roll(site, FRONTS, gap_seconds=FRONT_GAP_SECONDS),
                roll(site, [HOST], "maps", gap_seconds=0.0),
            )
        await asyncio.sleep(max(0.0, idle_until - time.monotonic()))
        await request_again(site, flows)
        return broken_flows(site)


if __name__ == "__main__":
    run_case(play)
