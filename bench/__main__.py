"""Runs measurements (``make bench``); prints each figure as a line of JSON.

A run of all measurements also writes them to docs/figures/bench.jsonl.
"""

import json
import sys
from pathlib import Path

import uvloop

from bench import link_use, packet_placement, placement, policy_bound, running

RESULTS_FILE = Path(__file__).parent.parent / "docs" / "figures" / "bench.jsonl"


async def _run(names: list[str], write) -> None:
    simulated = (
        placement.broken_flows,
        placement.imbalance,
        packet_placement.packet_placement,
        policy_bound.policy_bound,
        link_use.link_use,
    )
    for measure in simulated:
        if not names or measure.__name__ in names:
            for figure in measure():
                write(figure)
    for measure in running.ALL:
        if not names or measure.__name__ in names:
            async for figure in measure():
                write(figure)


def main() -> None:
    """Run the measurements named on the command line, or all of them."""
    figures = []

    def write(figure: dict) -> None:
        figures.append(figure)
        print(json.dumps(figure), flush=True)

    uvloop.run(_run(sys.argv[1:], write))
    if not sys.argv[1:]:
        RESULTS_FILE.parent.mkdir(parents=True, exist_ok=True)
        RESULTS_FILE.write_text("".join(json.dumps(f) + "\n" for f in figures))


if __name__ == "__main__":
    main()
