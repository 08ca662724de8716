"""Operators' commands, implemented in `monsoonpier.operator`."""

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from monsoonpier.cli.common import (
    CommandError,
    LogLevel,
    app,
    load_or_fail,
    run_coroutine,
)
from monsoonpier.exits import ExitStatus

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

Files = Annotated[list[Path], Parameter(help="Files of services, or a folder of them.")]
SettingsFile = Annotated[
    Path,
    Parameter(
        name="--settings",
        help="Settings file for the role operator: platform addresses and keys.",
        env_var="MONSOONPIER_SETTINGS_FILE",
    ),
]


@app.command
def check(files: Files, *, log_level: LogLevel = "warning") -> int:
    """Check files of services and print all errors in them.

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
    log_level: LogLevel = "warning",
) -> int:
    """Replace the configuration by a set of files, if all of them are valid.

    Example: monsoonpier apply services/ --settings operator.yaml --wait

    Args:
        who: Your name for the audit trail; defaults to the login name.
        wait: Wait until the configuration is in force on every balancer; list the
            balancers where it isn't.
        wait_seconds: The longest time to wait, in seconds.
        log_level: The lowest level that is logged.
    """
    from monsoonpier.operator import commands

    return _run_with_session(
        settings,
        log_level,
        lambda session: commands.apply_files(
            session, files, who=who, wait_seconds=wait_seconds if wait else 0.0
        ),
    )


@app.command
def diff(
    files: Files, *, settings: SettingsFile, log_level: LogLevel = "warning"
) -> int:
    """Show what applying the files would change.

    Example: monsoonpier diff services/ --settings operator.yaml
    """
    from monsoonpier.operator import commands

    return _run_with_session(
        settings, log_level, lambda session: commands.show_difference(session, files)
    )


@app.command
def status(
    *,
    settings: SettingsFile,
    as_json: bool = False,
    slots: bool = False,
    log_level: LogLevel = "warning",
) -> int:
    """Show balancers, targets, callers' waits and the versions in force.

    Example: monsoonpier status --settings operator.yaml

    Args:
        as_json: Print one JSON object instead of a table.
        slots: Measure for two seconds how the targets' slots are used, too.
        log_level: The lowest level that is logged.
    """
    from monsoonpier.operator import commands

    return _run_with_session(
        settings,
        log_level,
        lambda session: commands.show_status(
            session, as_json=as_json, with_slots=slots
        ),
    )


@app.command
def history(
    *, settings: SettingsFile, count: int = 20, log_level: LogLevel = "warning"
) -> int:
    """Show the audit trails of evacuations and changes, each newest first.

    Example: monsoonpier history --settings operator.yaml --count 5

    Args:
        count: The most evacuations and the most changes to show.
        log_level: The lowest level that is logged.
    """
    from monsoonpier.operator import commands

    return _run_with_session(
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
    log_level: LogLevel = "warning",
) -> int:
    """Apply the files of an earlier version as a new version.

    Example: monsoonpier rollback 7 --settings operator.yaml --wait

    Args:
        version: The version whose files are applied again.
        who: Your name for the audit trail; defaults to the login name.
        wait: Wait until the configuration is in force on every balancer; list the
            balancers where it isn't.
        wait_seconds: The longest time to wait, in seconds.
        log_level: The lowest level that is logged.
    """
    from monsoonpier.operator import commands

    return _run_with_session(
        settings,
        log_level,
        lambda session: commands.roll_back(
            session, version, who=who, wait_seconds=wait_seconds if wait else 0.0
        ),
    )


@app.command
def drain(name: str, *, settings: SettingsFile, log_level: LogLevel = "warning") -> int:
    """Ask a balancer or a target's agent to drain and shut down.

    Example: monsoonpier drain maps-3 --settings operator.yaml

    Args:
        name: The process's name, as `status` shows it.
        log_level: The lowest level that is logged.
    """
    from monsoonpier.operator import commands

    return _run_with_session(
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
    log_level: LogLevel = "warning",
) -> int:
    """Send no new work to a data centre; open flows stay open.

    Example: monsoonpier evacuate hall-2 --settings operator.yaml --wait

    Args:
        data_centre: The data centre's name, as `status` shows it for each
            target.
        who: Your name for the audit trail; defaults to the login name.
        force: Evacuate even if no other data centre serves one of its
            services.
        wait: Wait until the order is in force on every balancer; list the
            balancers where it isn't.
        wait_seconds: The longest time to wait, in seconds.
        log_level: The lowest level that is logged.
    """
    from monsoonpier.operator import evacuation_commands

    return _run_with_session(
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
    log_level: LogLevel = "warning",
) -> int:
    """Send new work to an evacuated data centre again.

    Example: monsoonpier readmit hall-2 --settings operator.yaml --wait

    Args:
        data_centre: The data centre's name.
        who: Your name for the audit trail; defaults to the login name.
        wait: Wait until the order is in force on every balancer; list the
            balancers where it isn't.
        wait_seconds: The longest time to wait, in seconds.
        log_level: The lowest level that is logged.
    """
    from monsoonpier.operator import evacuation_commands

    return _run_with_session(
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
    """Show what all processes logged about one flow, in order.

    Example: monsoonpier explain 100.64.0.7:40001 /var/log/monsoonpier/*.log

    Args:
        flow: The caller's ip:port, or a flow's whole name as it is logged.
    """
    from monsoonpier.operator.explain import explain as select, format_lines, read_lines

    lines = select(read_lines(logs), flow=flow)
    if not lines:
        raise CommandError(f"no line about {flow}", ExitStatus.NOT_FOUND)
    print(format_lines(lines))
    return ExitStatus.OK


def _run_with_session(settings_file: Path, log_level: str, command) -> int:
    """Load the settings and run ``command`` with a new operator session."""
    from monsoonpier.operator.session import OperatorSession
    from monsoonpier.process.logs import configure_logs

    settings = load_or_fail(settings_file, "operator").settings
    configure_logs(level=log_level, process=settings.name, role="operator")

    async def run() -> int:
        async with OperatorSession(settings=settings) as session:
            return await command(session)

    return run_coroutine(run())
