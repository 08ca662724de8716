"""Commands that run a balancer or an agent, or call a service."""

import json
from pathlib import Path

from monsoonpier.cli.common import (
    CommandError,
    LogLevel,
    app,
    load_or_fail,
    run_coroutine,
)
from monsoonpier.exits import ExitStatus

__all__ = ["agent", "balancer", "call"]


@app.command
def balancer(
    settings: Path, *, print_settings: bool = False, log_level: LogLevel = "info"
) -> int:
    """Run a balancer on an entry VM until SIGTERM.

    Example: monsoonpier balancer /etc/monsoonpier/balancer.yaml

    Args:
        settings: The settings file; environment variables
            with the prefix MONSOONPIER_ override it.
        print_settings: Print the effective settings with masked keys, and
            exit.
        log_level: The lowest level that is logged.
    """
    loaded = load_or_fail(settings, "balancer")
    if print_settings:
        return _print_settings(loaded)
    from monsoonpier.balancer.tokens.process import BalancerProcess

    return _run_process(BalancerProcess, loaded.settings, log_level)


@app.command
def agent(
    settings: Path, *, print_settings: bool = False, log_level: LogLevel = "info"
) -> int:
    """Run the agent of a target until SIGTERM.

    Example: monsoonpier agent /etc/monsoonpier/agent.yaml

    Args:
        settings: The settings file; environment variables
            with the prefix MONSOONPIER_ override it.
        print_settings: Print the effective settings with masked keys, and
            exit.
        log_level: The lowest level that is logged.
    """
    loaded = load_or_fail(settings, "agent")
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
    log_level: LogLevel = "warning",
) -> int:
    """Call a service: one request, an upload from a file, or a stream.

    Examples: monsoonpier call 192.0.2.10:7001 reading "14.2N 91.8W"
    -- monsoonpier call 192.0.2.11:7002 log --file hull.csv
    -- monsoonpier call 192.0.2.10:7001 map --stream --items 5

    Args:
        address: The service's address, ip:port.
        kind: The kind of request, as named in the configuration.
        body: The request's body.
        file: Send this file's content as the body.
        stream: Read a stream and write its items to stdout, one per line.
        after: Start the stream after the item of this number.
        items: Stop after this number of items; 0 reads the whole stream.
        idempotent: The request may safely be run more than once.
        deadline: Time limit for the response, in seconds.
        log_level: The lowest level that is logged.
    """
    from monsoonpier.caller.command import CallArguments, run_call
    from monsoonpier.process.logs import configure_logs

    configure_logs(level=log_level, process="call")
    content = body.encode()
    if file is not None:
        try:
            content = file.read_bytes()
        except OSError as error:
            raise CommandError(
                f"{file}: {error.strerror}", ExitStatus.BAD_INPUT
            ) from error
    arguments = CallArguments(
        address=address,
        kind=kind,
        body=content,
        stream=stream,
        after=after,
        items=items,
        idempotent=idempotent,
        deadline=deadline,
    )
    return run_coroutine(run_call(arguments))


def _print_settings(loaded) -> int:
    print(json.dumps(loaded.masked, indent=2))
    return ExitStatus.OK


def _run_process(process_class, settings, log_level: str) -> int:
    """Configure logs on stdout and run a process until it has shut down."""
    from monsoonpier.process.logs import STDOUT, configure_logs

    configure_logs(
        level=log_level,
        descriptor=STDOUT,
        process=settings.name,
        role=settings.role,
        data_centre=settings.data_centre,
    )

    async def run() -> int:
        await process_class(settings=settings).run()
        return ExitStatus.OK

    return run_coroutine(run())
