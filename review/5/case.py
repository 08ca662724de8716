"""Entry VMs and agents restart in turn while the hosts are still cold."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import CannotRun, Deployment, has_trouble, run_case  # noqa: E402
from flows import broken_flows, open_flows, request_again, roll  # noqa: E402

COLD_SECONDS = 5.0  # "some seconds"
FRONT_GAP_SECONDS = 2.0  # of roll_term with share 1 on the fronts
SIDE_GAP_SECONDS = 1.2  # of roll_term on the sides
SIDES_AFTER_SECONDS = 1.0  # while the first entry VM stops
FLOWS = 8
IDLE_SECONDS = 10.0  # between two requests of a flow; idle_timeout_ms is 15,000
FRONTS = ("front-1", "front-2")
# Two of eight sides restart: 0.25, where roll_term on the sides has a share of 0.3.
HOSTS = ("side-1", "side-2")
OTHER_HOSTS = tuple(f"side-{number}" for number in range(3, 9))


async def play() -> list[str]:
    async with Deployment(folder=FOLDER) as site:
        for name in FRONTS:
            await site.start_node(name)
        for name in OTHER_HOSTS:
            await site.start_node(name, "logs")
            await site.start_host(name, "logs")
        for name in HOSTS:
            await site.start_node(name, "maps")
        site.configure({"R": "maps", "S": "logs"})
        await asyncio.sleep(3.0)
        for name in HOSTS:
            await site.start_host(name, "maps", cold_seconds=COLD_SECONDS)
        await site.wait_until_ready()
        flows = await open_flows(site, count=FLOWS)
        if not flows:
            raise CannotRun("no flow opened")
        idle_until = time.monotonic() + IDLE_SECONDS
        if has_trouble():
            await asyncio.gather(
                roll(site, FRONTS, gap_seconds=FRONT_GAP_SECONDS),
                roll(
                    site,
                    HOSTS,
                    "maps",
                    gap_seconds=SIDE_GAP_SECONDS,
                    after=SIDES_AFTER_SECONDS,
                ),
            )
        await asyncio.sleep(max(0.0, idle_until - time.monotonic()))
        await request_again(site, flows)
        return broken_flows(site)


if __name__ == "__main__":
    run_case(play)
