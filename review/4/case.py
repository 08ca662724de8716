"""The only entry VM of a zone and agents restart some time after a common start."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from client import ClientFlow, FlowError  # noqa: E402
from deployment import CannotRun, Deployment, has_trouble, run_case  # noqa: E402
from flows import ANSWER_SECONDS, broken_flows, open_flows, roll  # noqa: E402

AGENTS_AFTER_SECONDS = 0.4  # after the entry VM
SIDE_GAP_SECONDS = 1.2  # of roll_term on the sides
COLD_SECONDS = 2.0  # as on the sites
SETTLE_SECONDS = 8.0
FLOWS = 64
PAUSE_SECONDS = (0.1, 2.0)  # between two requests of a flow
HOSTS = tuple(f"side-{number}" for number in range(1, 9))
# Two of eight sides restart: 0.25, where roll_term on the sides has a share of 0.3.
RESTARTED = ("side-5", "side-6")
ZONES = dict.fromkeys(("front-2", *HOSTS[4:]), "zone-b")
FRONTS = ("front-1", "front-2", "front-3")


async def play() -> list[str]:
    async with Deployment(
        folder=FOLDER,
        fronts=len(FRONTS),
        zone_by_node=ZONES,
        client_zone="zone-b",
        has_far_seeds=True,
    ) as site:
        for name in FRONTS:
            await site.start_node(name)
        for name in HOSTS:
            await site.start_node(name, "maps")
            await site.start_host(name, "maps", cold_seconds=COLD_SECONDS)
        site.configure({"R": "maps"})
        await site.wait_until_ready()
        await asyncio.sleep(SETTLE_SECONDS)
        flows = await open_flows(site, count=FLOWS, work_ms=200)
        if not flows:
            raise CannotRun("no flow opened")
        using = [
            asyncio.create_task(_use(site, flow, n)) for n, flow in enumerate(flows)
        ]
        await asyncio.sleep(1.0)
        if has_trouble():
            await asyncio.gather(
                roll(site, ["front-2"], gap_seconds=0.0),
                roll(
                    site,
                    RESTARTED,
                    "maps",
                    gap_seconds=SIDE_GAP_SECONDS,
                    after=AGENTS_AFTER_SECONDS,
                ),
            )
        await asyncio.sleep(5.0)
        for task in using:
            task.cancel()
        await asyncio.gather(*using, return_exceptions=True)
        return broken_flows(site)


async def _use(site: Deployment, flow: ClientFlow, number: int) -> None:
    """Send a request after the other on an open flow, until it ends."""
    count = 0
    while True:
        count += 1
        name = f"flow-{number}-{count}"
        try:
            await flow.request(name, timeout=ANSWER_SECONDS)
        except FlowError as error:
            site.record("request not answered", request=name, reason=error)
            return
        await asyncio.sleep(random.uniform(*PAUSE_SECONDS))


if __name__ == "__main__":
    run_case(play)
