"""The command line: one program, a subcommand for each process and command."""

import sys

from monsoonpier.cli import operator, processes
from monsoonpier.cli.common import Failure, app
from monsoonpier.exits import Exit

__all__ = ["main", "operator", "processes"]


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
