"""The balancer and agent processes on the platform."""

import asyncio
import gc
import random
import sys

import structlog
import uvloop

from monsoonpier.exits import ExitStatus
from monsoonpier.http import HttpServer, Request, Response
from monsoonpier.platform.packets import PlatformPackets
from monsoonpier.platform.settings import PlatformSettings, load_platform_settings
from monsoonpier.platform.store import PlatformStore
from monsoonpier.process.logs import STDOUT, configure_logs
from monsoonpier.process.web import ready_response

__all__ = ["main"]

_READY = "/monsoonpier/ready"
_log = structlog.get_logger("monsoonpier.platform")


def main(arguments: list[str]) -> int:
    """Run the process for the role on the command line; return its exit status."""
    runners_by_role = {"balancer": _run_balancer, "agent": _run_agent}
    role = arguments[0] if arguments else ""
    if len(arguments) != 1 or role not in runners_by_role:
        print("usage: python3 -m monsoonpier.platform balancer|agent", file=sys.stderr)
        return ExitStatus.BAD_INPUT
    try:
        settings = load_platform_settings(role=role)
    except ValueError as error:
        print(f"monsoonpier: {error}", file=sys.stderr)
        return ExitStatus.BAD_INPUT
    common = settings.common
    gc.freeze()  # Imported objects live as long as the process.
    gc.enable()  # The entry point disabled it during imports.
    configure_logs(level="info", descriptor=STDOUT, process=common.name, role=role)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(runners_by_role[role](settings))
    except OSError as error:
        _log.error("startup failed", reason=str(error))
        return ExitStatus.UNAVAILABLE
    return ExitStatus.OK


async def _run_balancer(settings: PlatformSettings) -> None:
    from monsoonpier.balancer.freshness import FreshnessLimits
    from monsoonpier.balancer.packets.process import PacketBalancerProcess
    from monsoonpier.platform.configuration import PLATFORM_FORMAT

    limits = FreshnessLimits(bound_seconds=settings.common.configuration_seconds)
    process = PacketBalancerProcess(
        settings=settings.common,
        packets=settings.packets,
        codec=PlatformPackets(),
        store=PlatformStore(
            address=settings.store,
            draw=random.Random(),
            wait_seconds=limits.wait_seconds,
        ),
        configuration_format=PLATFORM_FORMAT,
    )
    ready = HttpServer(address=settings.ready, handler=_ready_handler(process))
    await ready.start()
    if settings.heartbeats is not None:
        # The settings name this address as a seed. Targets must send heartbeats to
        # their own agent, so calls here are rejected.
        rejecting = HttpServer(address=settings.heartbeats, handler=_reject)
        await rejecting.start()
    await process.run()


async def _run_agent(settings: PlatformSettings) -> None:
    from monsoonpier.agent.packets.process import PacketAgentProcess
    from monsoonpier.platform.targets import TargetCalls

    assert settings.from_target and settings.target and settings.heartbeats
    process = PacketAgentProcess(
        settings=settings.common,
        callers_port=settings.packets.port,
        from_target=settings.from_target,
        target=settings.target,
        codec=PlatformPackets(),
        store=PlatformStore(address=settings.store, draw=random.Random()),
    )
    ready = HttpServer(address=settings.ready, handler=_ready_handler(process))
    await ready.start()
    assert settings.common.target
    service = settings.common.target.service
    calls = TargetCalls(service=service, handler=process.take)
    await HttpServer(address=settings.heartbeats, handler=calls.handle).start()
    await process.run()


def _ready_handler(process):
    def handle(request: Request) -> Response:
        if request.path != _READY:
            return Response(status=404)
        return ready_response(is_ready=process.is_ready)

    return handle


def _reject(request: Request) -> Response:
    return Response(status=503)
