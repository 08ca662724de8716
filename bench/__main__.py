"""``make bench``: one JSON line a figure, kept in docs/figures/bench.jsonl."""

import json
import sys
from pathlib import Path

import uvloop

from bench import link_use, packet_placement, placement, policy_bound, running

KEPT = Path(__file__).parent.parent / "docs" / "figures" / "bench.jsonl"


async def _run(wanted: list[str], write) -> None:
    simulated = (
        placement.broken_flows,
        placement.imbalance,
        packet_placement.packet_placement,
        policy_bound.policy_bound,
        link_use.link_use,
    )
    for measure in simulated:
        if not wanted or measure.__name__ in wanted:
            for figure in measure():
                write(figure)
    for measure in running.ALL:
        if not wanted or measure.__name__ in wanted:
            async for figure in measure():
                write(figure)


def main() -> None:
    """Run the measurements named as arguments, or all."""
    figures = []

    def write(figure: dict) -> None:
        figures.append(figure)
        print(json.dumps(figure), flush=True)

    uvloop.run(_run(sys.argv[1:], write))
    if not sys.argv[1:]:
        KEPT.parent.mkdir(parents=True, exist_ok=True)
        KEPT.write_text("".join(json.dumps(f) + "\n" for f in figures))


if __name__ == "__main__":
    main()
