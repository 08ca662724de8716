"""Exit statuses of the program; ``docs/OPERATIONS.md`` explains each."""

from enum import IntEnum

__all__ = ["ExitStatus"]


class ExitStatus(IntEnum):
    """Exit status of a command."""

    OK = 0
    BAD_INPUT = 2  # errors in files, settings or arguments, listed on stderr
    CONFLICT = 3  # another operator's change came first; nothing was changed
    UNKNOWN = 4  # the platform could not confirm or rule out the change
    UNAVAILABLE = 5  # a platform, port or process is unreachable
    LAGGING = 6  # accepted, but not yet in force on every balancer
    NOT_FOUND = 7  # explain: no log line is about the flow
    NOT_RUN = 10  # call: the work did not run
    MAY_HAVE_RUN = 11  # call: late, outcome unknown or flow lost
    INTERRUPTED = 130  # by SIGINT
