"""Delay of a change, and load on the store, while those that watch it fail.

Run with ``python -m bench.freshness_cost``; the fleets are simulated in virtual time.
"""

import asyncio
import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

import structlog

from monsoonpier.model.keys import Key, KeyRing
from standins.held_store import run_in_virtual_time
from standins.store_fleet import FAULTS_BY_NAME, FleetBalancer, StoreFleet

KEYS = KeyRing(keys=(Key(id=1, secret=b"k" * 32),))
CALM_SECONDS = 40.0
MEASURED_CALM_SECONDS = 20.0  # the last of them
CHANGE_SECONDS = 2.0  # from the fault to the change
AFTER_SECONDS = 60.0  # from the fault to the end
VALIDATING_CALLS = ("watch", "read", "read_changes")


@dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """A simulated fleet.

    Attributes:
        balancers: How many there are.
        data_centres: How many data centres they are in.
        bound_seconds: The time in which a stored change must be in force.
        transfer_seconds: The time in which a configuration is received; unless 0, it
            counts as large.
    """

    balancers: int
    data_centres: int
    bound_seconds: float
    transfer_seconds: float = 0.0


FLEETS = (
    Fleet(balancers=4, data_centres=1, bound_seconds=3.0),
    Fleet(balancers=24, data_centres=3, bound_seconds=5.0, transfer_seconds=0.7),
    Fleet(balancers=460, data_centres=6, bound_seconds=13.0, transfer_seconds=0.7),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """What one play showed; calls are those that read or watch.

    Attributes:
        ailing: The number of balancers that failed.
        change_seconds: When the configuration was in force on the last healthy
            balancer.
        order_seconds: The same for an evacuation order.
        calm_calls: Calls a second before the fault.
        calls: Calls a second over the minute after it.
        peak_calls: Calls in the worst second of it.
        value_reads: Reads of the whole configuration in this minute.
        mean_bytes: Bytes a second of freshness messages that a balancer sends, calm.
        most_bytes: The same for the balancer that sends most.
    """

    ailing: int
    change_seconds: float
    order_seconds: float
    calm_calls: float
    calls: float
    peak_calls: int
    value_reads: int
    mean_bytes: float
    most_bytes: float


def _choose(watchers: list[FleetBalancer], share: str) -> list[FleetBalancer]:
    ordered = sorted(watchers, key=lambda each: each.record.data_centre)
    match share:
        case "one":
            return ordered[:1]
        case "a data centre":
            first = ordered[0].record.data_centre
            return [each for each in ordered if each.record.data_centre == first]
    return ordered


async def _play(size: Fleet, *, fault: str, share: str) -> Figures:
    loop = asyncio.get_running_loop()
    fleet = StoreFleet(
        balancers=size.balancers,
        data_centres=size.data_centres,
        bound_seconds=size.bound_seconds,
        keys=KEYS,
        seed=1,
        transfer_seconds=size.transfer_seconds,
    )
    await asyncio.sleep(CALM_SECONDS - MEASURED_CALM_SECONDS)
    fleet.calls.clear()
    fleet.freshness_bytes_by_endpoint.clear()
    await asyncio.sleep(MEASURED_CALM_SECONDS)
    calm = [call for _, _, call in fleet.calls if call in VALIDATING_CALLS]
    sent = list(fleet.freshness_bytes_by_endpoint.values())
    ailing = _choose(fleet.watchers, share)
    fleet.calls.clear()
    fleet.value_reads.clear()
    began = loop.time()
    for each in ailing:
        FAULTS_BY_NAME[fault](fleet, each)
    await asyncio.sleep(CHANGE_SECONDS)
    changed_at = loop.time()
    fleet.put_configuration(2)
    fleet.put_evacuation("dc-9")
    await asyncio.sleep(AFTER_SECONDS - CHANGE_SECONDS)
    healthy = [each for each in fleet.running if each not in ailing]
    in_force = [each.in_force_at.get(2, float("inf")) for each in healthy]
    ordered = [each.evacuated_at.get("dc-9", float("inf")) for each in healthy]
    by_second = Counter(
        int(at - began) for at, _, call in fleet.calls if call in VALIDATING_CALLS
    )
    await fleet.stop()
    return Figures(
        ailing=len(ailing),
        change_seconds=max(in_force) - changed_at,
        order_seconds=max(ordered) - changed_at,
        calm_calls=len(calm) / MEASURED_CALM_SECONDS,
        calls=sum(by_second.values()) / AFTER_SECONDS,
        peak_calls=max(by_second.values()),
        value_reads=len(fleet.value_reads),
        mean_bytes=sum(sent) / MEASURED_CALM_SECONDS / size.balancers,
        most_bytes=max(sent, default=0) / MEASURED_CALM_SECONDS,
    )


def _rows(sizes: list[int]) -> Iterator[str]:
    for size in FLEETS:
        if sizes and size.balancers not in sizes:
            continue
        for fault in FAULTS_BY_NAME:
            for share in ("one", "a data centre", "all"):
                figures = run_in_virtual_time(_play(size, fault=fault, share=share))
                yield (
                    f"| {size.balancers} | {fault}: {share} ({figures.ailing}) "
                    f"| {figures.change_seconds:.2f}, {figures.order_seconds:.2f} of "
                    f"{size.bound_seconds:g} s "
                    f"| {figures.calm_calls:.1f} | {figures.calls:.1f} "
                    f"| {figures.peak_calls} | {figures.value_reads} "
                    f"| {figures.mean_bytes:.0f}, {figures.most_bytes:.0f} |"
                )


def main(arguments: list[str]) -> None:
    """Print a table; the arguments choose sizes, otherwise all are played."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    print(
        "| balancers | fault | version, order in force after | calls/s calm | after "
        "| peak second | whole reads | bytes/s mean, most |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for row in _rows([int(argument) for argument in arguments]):
        print(row, flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
