"""How long balancers offer the targets of a lost data centre, in simulated time.

``--balancers 460 --targets 4800`` takes 20 minutes and 2 GB, the defaults 15 s.
"""

import sys

import msgspec
from cyclopts import App

from monsoonpier.wire.frames import Gossip, RecordQuery
from standins.membership import SimulatedFleet

LOST = "dc-1"
WARM_SECONDS = 3.0
READ_AT_SECONDS = (*range(3, 15), 16, 18, 20, 25, 30)
app = App(name="lost_data_centre", help=__doc__)


class _MeasuredFleet(SimulatedFleet):
    """A fleet that counts the bytes of what balancers send about targets."""

    sent_bytes = 0

    def send(self, frame: object, *, source, to) -> None:
        """Count a frame before it is sent."""
        if isinstance(frame, Gossip | RecordQuery):
            self.sent_bytes += len(msgspec.msgpack.encode(frame))
        super().send(frame, source=source, to=to)


def _offered(fleet: SimulatedFleet) -> tuple[list[int], int]:
    """Return the lost targets that each balancer offers, and all suspected living."""
    agents = fleet.agents_by_name
    offered, suspected = [], 0
    for balancer in fleet.balancers:
        lost = 0
        for found in balancer.membership.table.all_candidates(now=fleet.now):
            if agents[found.record.name].is_alive:
                suspected += found.suspected
            else:
                lost += not found.suspected
        offered.append(lost)
    return offered, suspected


@app.default
def main(
    *, balancers: int = 60, targets: int = 600, data_centres: int = 6, seed: int = 5
) -> None:
    """Print what is offered and sent, for each moment after the loss."""
    fleet = _MeasuredFleet(
        seed=seed, balancers=balancers, targets=targets, data_centres=data_centres
    )
    fleet.settle()
    fleet.run(WARM_SECONDS)
    fleet.lose(LOST)
    lost = sum(not agent.is_alive for agent in fleet.agents_by_name.values())
    left = len(fleet.balancers)
    print(f"{lost} targets lost, {left} balancers left")
    last = 0
    for at in READ_AT_SECONDS:
        before = fleet.sent_bytes
        fleet.run(at - last)
        offered, suspected = _offered(fleet)
        rate = (fleet.sent_bytes - before) / (at - last) / left / 1000
        print(
            f"{at} s: share offered {sum(offered) / left / lost:.4f}, "
            f"at most {max(offered)} at a balancer, living suspected {suspected}, "
            f"{rate:.1f} KB/s of gossip and queries a balancer",
            flush=True,
        )
        last = at


if __name__ == "__main__":
    sys.exit(app())
