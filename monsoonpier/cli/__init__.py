"""The command line: processes and operators' commands as subcommands."""

import sys

from monsoonpier.cli import operator, processes
from monsoonpier.cli.common import CommandError, app
from monsoonpier.exits import ExitStatus

__all__ = ["main", "operator", "processes"]


def main() -> None:
    """Run the command line and exit; print errors on stderr without a traceback."""
    try:
        status = app(result_action="return_value")
    except CommandError as command_error:
        print(command_error, file=sys.stderr)
        sys.exit(command_error.status)
    except OSError as error:
        print(f"monsoonpier: {error.strerror or error}", file=sys.stderr)
        sys.exit(ExitStatus.UNAVAILABLE)
    except KeyboardInterrupt:
        sys.exit(ExitStatus.INTERRUPTED)
    sys.exit(status or ExitStatus.OK)
