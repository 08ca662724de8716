"""Runs a test double: ``python -m standins platform|target|fabric``."""

import asyncio
import random
import signal
from pathlib import Path

import uvloop
from aiohttp import web
from cyclopts import App

from monsoonpier.model.address import Address
from standins.fabric import FabricStandIn
from standins.platform import PlatformStandIn
from standins.target import TargetStandIn

app = App(name="standins", help=__doc__)


async def _serve(application: web.Application, address: str) -> None:
    """Serve HTTP until SIGTERM."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, *Address.parse(address).endpoint).start()
    await stop.wait()
    await runner.cleanup()


@app.command
def platform(*, listen: str) -> None:
    """Serve the platform's key-value service."""
    uvloop.run(_serve(PlatformStandIn().application(), listen))


@app.command
def target(
    *,
    listen: str,
    name: str,
    service: str,
    slots: int = 3,
    work_seconds: float = 0.02,
    item_seconds: float = 0.2,
    cold: bool = False,
    records: Path | None = None,
) -> None:
    """Serve one target."""

    async def run() -> None:
        stand_in = TargetStandIn(
            name=name,
            service=service,
            slots=slots,
            work_seconds=work_seconds,
            item_seconds=item_seconds,
            cold=cold,
            records=records,
        )
        await _serve(stand_in.application(), listen)

    uvloop.run(run())


@app.command
def fabric(*, listen: str, vip: list[str], seed: int = 0) -> None:
    """Distribute packets for the virtual addresses over balancers."""

    async def run() -> None:
        vips = tuple(Address.parse(text) for text in vip)
        stand_in = FabricStandIn(vips=vips, draw=random.Random(seed))
        await stand_in.start()
        await _serve(stand_in.application(), listen)

    uvloop.run(run())


if __name__ == "__main__":
    app()
