"""Entry point of the daemons: ``python3 -m monsoonpier.platform ROLE``."""

import gc
import signal
import sys


def _run() -> int:
    """Run the daemon that the command line names; return its exit status."""
    # SIGHUP reports changed settings. Until the daemon installs its own handler, the
    # default action of the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports create many objects but little garbage, so garbage collection only slows
    # the start, by 22 of 250 ms of processor time. The daemon enables it again.
    gc.disable()
    from monsoonpier.platform.daemons import main

    return main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(_run())
