"""Commands that run a process until it is told to leave, or one call."""

import json
from pathlib import Path

from monsoonpier.cli.common import Failure, Level, app, load, run_loop
from monsoonpier.exits import Exit

__all__ = ["agent", "balancer", "call"]


@app.command
def balancer(
    settings: Path, *, print_settings: bool = False, log_level: Level = "info"
) -> int:
    """Run a balancer on an entry VM until SIGTERM.

    Example: monsoonpier balancer /etc/monsoonpier/balancer.yaml

    Args:
        settings: The process's settings file; MONSOONPIER_<KEY> variables override it.
        print_settings: Print the settings in force, keys masked, and exit.
        log_level: The least level that is logged.
    """
    loaded = load(settings, "balancer")
    if print_settings:
        return _print_settings(loaded)
    from monsoonpier.balancer.tokens.process import BalancerProcess

    return _run_process(BalancerProcess, loaded.settings, log_level)


@app.command
def agent(
    settings: Path, *, print_settings: bool = False, log_level: Level = "info"
) -> int:
    """Run an agent beside its target until SIGTERM.

    Example: monsoonpier agent /etc/monsoonpier/agent.yaml

    Args:
        settings: The process's settings file; MONSOONPIER_<KEY> variables override it.
        print_settings: Print the settings in force, keys masked, and exit.
        log_level: The least level that is logged.
    """
    loaded = load(settings, "agent")
    if print_settings:
        return _print_settings(loaded)
    from monsoonpier.agent.tokens.process import AgentProcess

    return _run_process(AgentProcess, loaded.settings, log_level)


@app.command
def call(
    address: str,
    kind: str,
    body: str = "",
    *,
    file: Path | None = None,
    stream: bool = False,
    after: int = 0,
    items: int = 0,
    idempotent: bool = False,
    deadline: float = 10.0,
    log_level: Level = "warning",
) -> int:
    """Call a service: one request, an upload from a file, or a stream.

    Examples: monsoonpier call 192.0.2.10:7001 reading "14.2N 91.8W"
    -- monsoonpier call 192.0.2.11:7002 log --file hull.csv
    -- monsoonpier call 192.0.2.10:7001 map --stream --items 5

    Args:
        address: The service's address, ip:port.
        kind: The kind of work, as the configuration names it.
        body: The request's body.
        file: Send this file's content as the body.
        stream: Read a stream and write its items to stdout, one a line.
        after: Begin the stream after this item.
        items: End after so many items of the stream; 0 is without end.
        idempotent: The work may be run again if it may have run.
        deadline: Seconds after which the answer is of no use.
        log_level: The least level that is logged.
    """
    from monsoonpier.caller.command import Call, run_call
    from monsoonpier.process.logs import configure_logs

    configure_logs(level=log_level, process="call")
    content = body.encode()
    if file is not None:
        try:
            content = file.read_bytes()
        except OSError as error:
            raise Failure(f"{file}: {error.strerror}", Exit.BAD_INPUT) from error
    order = Call(
        address=address,
        kind=kind,
        body=content,
        stream=stream,
        after=after,
        items=items,
        idempotent=idempotent,
        deadline=deadline,
    )
    return run_loop(run_call(order))


def _print_settings(loaded) -> int:
    print(json.dumps(loaded.masked, indent=2))
    return Exit.OK


def _run_process(process, settings, log_level: str) -> int:
    from monsoonpier.process.logs import STDOUT, configure_logs

    configure_logs(
        level=log_level,
        descriptor=STDOUT,
        process=settings.name,
        role=settings.role,
        data_centre=settings.data_centre,
    )

    async def run() -> int:
        await process(settings=settings).run()
        return Exit.OK

    return run_loop(run())
