"""Entry point of the daemons: ``python3 -m monsoonpier.platform ROLE``."""

import gc
import signal
import sys


def _run() -> int:
    # Settings may change, with SIGHUP, while a process is starting; until its own
    # handler stands the signal would end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports make many objects and little garbage: looking for it took 22 ms of the
    # 250 ms of processor time that an agent's imports need (process_time, 21 starts).
    gc.disable()
    from monsoonpier.platform.daemons import main

    return main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(_run())
