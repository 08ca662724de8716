"""Helpers for capacity measurements: costs of processes, simulated agents."""

import asyncio
import os
from dataclasses import dataclass
from pathlib import Path

import numpy

from monsoonpier.model.keys import Key, KeyRing
from monsoonpier.model.target import Condition, LoadReport, TargetRecord
from monsoonpier.process.udp import UdpSocket, open_udp
from monsoonpier.wire.frames import Announce, FrameCodec, Heartbeat
from standins.deployment import KEYS as DEPLOYMENT_KEYS

__all__ = ["KEYRING", "Cost", "FakeAgents", "pause_after_burst", "fit", "read_cost"]

KEYRING = KeyRing(
    keys=tuple(
        Key(id=key["id"], secret=bytes.fromhex(key["secret"]))
        for key in DEPLOYMENT_KEYS
    )
)
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_KIB = os.sysconf("SC_PAGE_SIZE") // 1024
BURST = 32  # datagrams sent between two pauses
ANNOUNCE_BURST = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Processor seconds used since start, and resident memory in KiB."""

    seconds: float
    resident_kib: int


def read_cost(pid: int) -> Cost:
    """Return a process's cost as the kernel accounts for it.

    Processor time is read from ``schedstat``, in nanoseconds; the ticks of
    ``stat`` are too coarse.
    """
    seconds = sum(
        int((task / "schedstat").read_text().split()[0]) / 1e9
        for task in Path(f"/proc/{pid}/task").iterdir()
    )
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Cost(seconds=seconds, resident_kib=pages * PAGE_KIB)


def fit(points: list[tuple[float, float]]) -> dict:
    """Fit a straight line; return slope, its standard error, and intercept."""
    xs, ys = numpy.array(points, dtype=float).T
    (slope, intercept), covariance = numpy.polyfit(xs, ys, 1, cov="unscaled")
    residuals = ys - (slope * xs + intercept)
    spread = float(residuals @ residuals) / max(1, len(xs) - 2)
    return {
        "points": points,
        "slope": float(slope),
        "slope_error": float((covariance[0, 0] * spread) ** 0.5),
        "intercept": float(intercept),
    }


class FakeAgents:
    """Simulates many agents on one socket."""

    def __init__(self, *, ip: str, service: str = "maps") -> None:
        self._ip = ip
        self._service = service
        self._codec = FrameCodec(keys=KEYRING)
        self.socket: UdpSocket | None = None
        self.received = 0

    async def start(self) -> None:
        """Open the shared socket."""
        self.socket = await open_udp(self._count, ip=self._ip, port=0)

    def _count(self, data: bytes, sender) -> None:
        self.received += 1

    def record(self, number: int) -> TargetRecord:
        """Return an agent's target record."""
        service = self._service
        return TargetRecord(
            name=f"{service}-fake-{number:05d}",
            service=service,
            data_centre="dc-1",
            ip=self._ip,
            port=self.socket.address.port,
            control=f"{self._ip}:9001",
            instance=number.to_bytes(8, "big"),
            epoch=1_764_700_000_000 + number,
            slots=3,
            connections=2_000,
            condition=Condition.SERVING,
        )

    async def announce(self, numbers: range, to: tuple[str, int]) -> None:
        """Announce agents to a balancer and send a heartbeat of each."""
        for number in numbers:
            record = self.record(number)
            self.socket.send(self._codec.encode(Announce(record=record)), to)
            self.beat(number, to)
            await pause_after_burst(number, burst=ANNOUNCE_BURST)

    def beat(self, number: int, to: tuple[str, int], *, report: int = 1) -> None:
        """Send a heartbeat of one agent."""
        record = self.record(number)
        load = LoadReport(
            number=report, service_ms=20, age_ms=60_000, condition=Condition.SERVING
        )
        frame = Heartbeat(
            name=record.name, epoch=record.epoch, change=record.change, load=load
        )
        self.socket.send(self._codec.encode(frame), to)


async def pause_after_burst(number: int, *, burst: int = BURST) -> None:
    """Sleep after each burst, so that the receiver's buffer does not overflow."""
    if number % burst == 0:
        await asyncio.sleep(0.002)
