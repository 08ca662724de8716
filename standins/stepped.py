"""Runs a module with its wall clock offset by some seconds.

``python -m standins.stepped SECONDS MODULE ARGUMENTS...``. Simulates a wall clock
that steps between two starts of a process. The monotonic clock, which timers use, is
unchanged.
"""

import runpy
import sys
import time

__all__: list[str] = []


def _offset_wall_clock(seconds: float) -> None:
    true_time = time.time
    time.time = lambda: true_time() + seconds


if __name__ == "__main__":
    _, offset, module, *rest = sys.argv
    _offset_wall_clock(float(offset))
    sys.argv = [module, *rest]
    runpy.run_module(module, run_name="__main__", alter_sys=True)
