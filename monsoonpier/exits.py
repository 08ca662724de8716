"""Exit statuses of the program; ``docs/OPERATIONS.md`` explains each."""

from enum import IntEnum

__all__ = ["Exit"]


class Exit(IntEnum):
    """What a command's exit status means."""

    OK = 0
    BAD_INPUT = 2  # files, settings or arguments: findings are on stderr
    CONFLICT = 3  # another operator's change came first; nothing was changed
    UNKNOWN = 4  # the platform can't tell whether the change was accepted
    UNAVAILABLE = 5  # platform, port or process can't be reached
    LAGGING = 6  # accepted, but not yet in force on every balancer
    NOT_FOUND = 7  # explain: no log line is about that flow
    NOT_RUN = 10  # call: the work did not run
    MAY_HAVE_RUN = 11  # call: late, unknown or flow lost
    INTERRUPTED = 130
