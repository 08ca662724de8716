"""The command line: one program, a subcommand for each process and command."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Annotated, Literal

from cyclopts import App, Parameter

from monsoonpier import __version__
from monsoonpier.exits import Exit

__all__ = ["main"]

Level = Literal["debug", "info", "warning", "error"]

app = App(
    name="monsoonpier",
    version=__version__,
    help="A layer-4 load balancer: its processes and its operators' commands.",
)


class Failure(Exception):
    """Something a person can put right: a message and an exit status."""

    def __init__(self, message: str, status: Exit) -> None:
        super().__init__(message)
        self.status = status


def main() -> None:
    """Run the command line; errors are one line each and have their status."""
    try:
        status = app(result_action="return_value")
    except Failure as failure:
        print(failure, file=sys.stderr)
        sys.exit(failure.status)
    except OSError as error:
        print(f"monsoonpier: {error.strerror or error}", file=sys.stderr)
        sys.exit(Exit.UNAVAILABLE)
    except KeyboardInterrupt:
        sys.exit(Exit.INTERRUPTED)
    sys.exit(status or Exit.OK)


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
    loaded = _settings(settings, "balancer")
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
    loaded = _settings(settings, "agent")
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
    return _run(run_call(order))


Files = Annotated[list[Path], Parameter(help="Operators' files, or a folder of them.")]
SettingsFile = Annotated[
    Path,
    Parameter(
        name="--settings",
        help="Settings of role operator: platform addresses and keys.",
        env_var="MONSOONPIER_SETTINGS_FILE",
    ),
]


@app.command
def check(files: Files, *, log_level: Level = "warning") -> int:
    """Check files of services; report everything that is wrong with them.

    Example: monsoonpier check services/
    """
    from monsoonpier.operator.commands import check_files

    return check_files(files)


@app.command
def apply(
    files: Files,
    *,
    settings: SettingsFile,
    who: str = "",
    wait: bool = False,
    wait_seconds: float = 13.0,
    log_level: Level = "warning",
) -> int:
    """Put a whole set of files in force, or nothing of it.

    Example: monsoonpier apply services/ --settings operator.yaml --wait

    Args:
        who: Your name for the audit trail; by default the login name.
        wait: Wait until every balancer has it in force, and name those that lag.
        wait_seconds: How long to wait at the most.
        log_level: The least level that is logged.
    """
    from monsoonpier.operator import commands

    return _operate(
        settings,
        log_level,
        lambda session: commands.apply_files(
            session, files, who=who, wait_seconds=wait_seconds if wait else 0.0
        ),
    )


@app.command
def diff(files: Files, *, settings: SettingsFile, log_level: Level = "warning") -> int:
    """Show what applying the files would change.

    Example: monsoonpier diff services/ --settings operator.yaml
    """
    from monsoonpier.operator import commands

    return _operate(
        settings, log_level, lambda session: commands.show_difference(session, files)
    )


@app.command
def status(
    *, settings: SettingsFile, as_json: bool = False, log_level: Level = "warning"
) -> int:
    """Show balancers, targets, their load, and the versions in force.

    Example: monsoonpier status --settings operator.yaml

    Args:
        as_json: Print one JSON object instead of a table.
        log_level: The least level that is logged.
    """
    from monsoonpier.operator import commands

    return _operate(
        settings,
        log_level,
        lambda session: commands.show_status(session, as_json=as_json),
    )


@app.command
def history(
    *, settings: SettingsFile, count: int = 20, log_level: Level = "warning"
) -> int:
    """Show the audit trail of changes, the newest first.

    Example: monsoonpier history --settings operator.yaml --count 5

    Args:
        count: How many changes to show.
        log_level: The least level that is logged.
    """
    from monsoonpier.operator import commands

    return _operate(
        settings, log_level, lambda session: commands.show_history(session, count=count)
    )


@app.command
def rollback(
    version: int,
    *,
    settings: SettingsFile,
    who: str = "",
    wait: bool = False,
    wait_seconds: float = 13.0,
    log_level: Level = "warning",
) -> int:
    """Apply the files of an earlier version as a new version.

    Example: monsoonpier rollback 7 --settings operator.yaml --wait

    Args:
        version: The version whose files are applied again.
        who: Your name for the audit trail; by default the login name.
        wait: Wait until every balancer has it in force, and name those that lag.
        wait_seconds: How long to wait at the most.
        log_level: The least level that is logged.
    """
    from monsoonpier.operator import commands

    return _operate(
        settings,
        log_level,
        lambda session: commands.roll_back(
            session, version, who=who, wait_seconds=wait_seconds if wait else 0.0
        ),
    )


@app.command
def drain(name: str, *, settings: SettingsFile, log_level: Level = "warning") -> int:
    """Ask a balancer or a target's agent to leave gracefully.

    Example: monsoonpier drain maps-3 --settings operator.yaml

    Args:
        name: The process's name, as `status` shows it.
        log_level: The least level that is logged.
    """
    from monsoonpier.operator import commands

    return _operate(
        settings, log_level, lambda session: commands.drain_process(session, name)
    )


@app.command
def evacuate(
    data_centre: str,
    *,
    settings: SettingsFile,
    who: str = "",
    force: bool = False,
    wait: bool = False,
    wait_seconds: float = 13.0,
    log_level: Level = "warning",
) -> int:
    """Let no new work go to a data centre; open flows stay.

    Example: monsoonpier evacuate hall-2 --settings operator.yaml --wait

    Args:
        data_centre: Its name, as `status` shows it beside each target.
        who: Your name for the audit trail; by default the login name.
        force: Do it though no other data centre serves one of its services.
        wait: Wait until every balancer obeys, and name those that lag.
        wait_seconds: How long to wait at the most.
        log_level: The least level that is logged.
    """
    from monsoonpier.operator import evacuation_commands

    return _operate(
        settings,
        log_level,
        lambda session: evacuation_commands.evacuate(
            session,
            data_centre,
            who=who,
            force=force,
            wait_seconds=wait_seconds if wait else 0.0,
        ),
    )


@app.command
def readmit(
    data_centre: str,
    *,
    settings: SettingsFile,
    who: str = "",
    wait: bool = False,
    wait_seconds: float = 13.0,
    log_level: Level = "warning",
) -> int:
    """Let new work go to an evacuated data centre again.

    Example: monsoonpier readmit hall-2 --settings operator.yaml --wait

    Args:
        data_centre: Its name.
        who: Your name for the audit trail; by default the login name.
        wait: Wait until every balancer obeys, and name those that lag.
        wait_seconds: How long to wait at the most.
        log_level: The least level that is logged.
    """
    from monsoonpier.operator import evacuation_commands

    return _operate(
        settings,
        log_level,
        lambda session: evacuation_commands.readmit(
            session, data_centre, who=who, wait_seconds=wait_seconds if wait else 0.0
        ),
    )


@app.command
def explain(
    flow: str,
    logs: Annotated[list[Path], Parameter(help="Log files of all processes.")],
) -> int:
    """Show what every process decided about one flow, in order.

    Example: monsoonpier explain 100.64.0.7:40001 /var/log/monsoonpier/*.log

    Args:
        flow: The caller's ip:port, or a flow's whole name as logs have it.
    """
    from monsoonpier.operator.explain import explain as join, read_lines, render

    story = join(read_lines(logs), flow=flow)
    if not story:
        raise Failure(f"no line about {flow}", Exit.NOT_FOUND)
    print(render(story))
    return Exit.OK


def _settings(file: Path, role: str):
    """Return loaded settings; end with all findings if there are any."""
    from monsoonpier.documents.settings import load_settings
    from monsoonpier.model.findings import report

    loaded = load_settings(file, role=role)
    if loaded.settings is None:
        raise Failure(report(loaded.findings), Exit.BAD_INPUT)
    return loaded


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

    return _run(run())


def _operate(settings_file: Path, log_level: str, command) -> int:
    from monsoonpier.operator.session import OperatorSession
    from monsoonpier.process.logs import configure_logs

    settings = _settings(settings_file, "operator").settings
    configure_logs(level=log_level, process=settings.name, role="operator")

    async def run() -> int:
        async with OperatorSession(settings=settings) as session:
            return await command(session)

    return _run(run())


def _run(coroutine) -> int:
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)
