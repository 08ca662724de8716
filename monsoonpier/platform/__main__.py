"""Entry point of the daemons: ``python3 -m monsoonpier.platform ROLE``."""

import gc
import signal
import sys


def _run() -> int:
    # SIGHUP reports changed settings. Its default action would end the process
    # before the process installs its own handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports create many objects but little garbage, so collection only slows the
    # start. The daemon enables it again.
    gc.disable()
    from monsoonpier.platform.daemons import main

    return main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(_run())
