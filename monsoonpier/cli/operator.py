"""Operators' commands; what they do is in `monsoonpier.operator`."""

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from monsoonpier.cli.common import Failure, Level, app, load, run_loop
from monsoonpier.exits import Exit

__all__ = [
    "apply",
    "check",
    "diff",
    "drain",
    "evacuate",
    "explain",
    "history",
    "readmit",
    "rollback",
    "status",
]

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
    *,
    settings: SettingsFile,
    as_json: bool = False,
    slots: bool = False,
    log_level: Level = "warning",
) -> int:
    """Show balancers, targets, how callers fare, and the versions in force.

    Example: monsoonpier status --settings operator.yaml

    Args:
        as_json: Print one JSON object instead of a table.
        slots: Ask the targets' agents too, what their slots do for two seconds.
        log_level: The least level that is logged.
    """
    from monsoonpier.operator import commands

    return _operate(
        settings,
        log_level,
        lambda session: commands.show_status(
            session, as_json=as_json, with_slots=slots
        ),
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


def _operate(settings_file: Path, log_level: str, command) -> int:
    from monsoonpier.operator.session import OperatorSession
    from monsoonpier.process.logs import configure_logs

    settings = load(settings_file, "operator").settings
    configure_logs(level=log_level, process=settings.name, role="operator")

    async def run() -> int:
        async with OperatorSession(settings=settings) as session:
            return await command(session)

    return run_loop(run())
