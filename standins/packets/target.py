"""A test double of a target for flows without a token."""

import asyncio
import random
import socket
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

from monsoonpier.model.address import Address
from standins.packets.stream import Stream
from standins.packets.wire import ACK, BOUNCED, FIN, RST, SYN, Segment

__all__ = ["PacketTarget"]

TICK_SECONDS = 0.02
CALL_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
REPEAT_SECONDS = 0.1  # after a heartbeat that was not acknowledged


@dataclass(slots=True, kw_only=True)
class _Flow:
    stream: Stream
    initial_sequence: int
    is_open: bool = False
    buffer: bytearray = field(default_factory=bytearray)
    tasks: set = field(default_factory=set)

    @property
    def is_ended(self) -> bool:
        """Whether both ends have closed."""
        return self.stream.has_fin and self.stream.has_peer_fin


@dataclass(kw_only=True)
class PacketTarget:
    r"""Accepts flows, runs their requests and counts the runs.

    A request is ``id size work_ms response_size\n`` and ``size`` bytes of body. Its
    response is ``id instance response_size\n`` and that many bytes of body.

    Args:
        app: Address for packets (UDP) and health checks (TCP).
        outbound: Address to which it sends all packets.
        control: Address to which it sends heartbeats.
        beat_seconds: Interval of heartbeats.
        opened: Number of flows whose first SYN it received.
        foreign: Number of packets received for flows that aren't open here.
    """

    service: str
    app: Address
    outbound: Address
    control: Address
    slots: int = 3
    beat_seconds: float = 0.5
    instance: str = ""
    runs_by_id: Counter = field(default_factory=Counter)
    is_draining: bool = False
    opened: int = 0
    foreign: int = 0
    _flows: dict = field(default_factory=dict)
    _sequence: int = 0

    async def run(self) -> None:
        """Serve until cancelled."""
        self.instance = self.instance or f"i-{random.getrandbits(32):08x}"
        self._slots = asyncio.Semaphore(self.slots)
        loop = asyncio.get_running_loop()
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        raw.bind(self.app.endpoint)
        raw.setblocking(False)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        loop.add_reader(raw, self._read_packets, raw)
        self._socket = raw
        app = web.Application()
        app.router.add_get("/health", self._health)
        app.router.add_get("/standin/runs", self._get_runs)
        app.router.add_post("/standin/drain", self._drain)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, *self.app.endpoint).start()
        try:
            await asyncio.gather(self._send_heartbeats(), self._run_timer())
        finally:
            self._flows.clear()
            loop.remove_reader(raw)
            raw.close()
            await runner.cleanup()

    def has_open_flow(
        self, source: tuple[str, int], destination: tuple[str, int]
    ) -> bool:
        """Return whether a flow is open at this target."""
        flow = self._flows.get((source, destination))
        return flow is not None and flow.is_open

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(status=503 if self.is_draining else 200)

    async def _get_runs(self, request: web.Request) -> web.Response:
        body = {
            "instance": self.instance,
            "runs": self.runs_by_id,
            "foreign": self.foreign,
            "flows": sum(flow.is_open for flow in self._flows.values()),
        }
        return web.json_response(body)

    async def _drain(self, request: web.Request) -> web.Response:
        self.is_draining = True
        return web.Response()

    async def leave(self) -> None:
        """Tell the agent that the target ends."""
        async with aiohttp.ClientSession(timeout=CALL_TIMEOUT) as session:
            await self._call(session, "Leave", {})

    async def _call(
        self, session: aiohttp.ClientSession, call: str, body: dict
    ) -> bool:
        """Call the agent; return whether it has acknowledged the call."""
        path = f"/monsoonpier/Instances.{call}/{self.instance}"
        try:
            async with session.post(
                f"http://{self.control}{path}", json=body
            ) as response:
                await response.read()
                return response.ok
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False  # The agent isn't running; the next call may reach it.

    async def _send_heartbeats(self) -> None:
        async with aiohttp.ClientSession(timeout=CALL_TIMEOUT) as session:
            while True:
                self._sequence += 1
                body = {
                    "service": self.service,
                    "address": str(self.app),
                    "zone": "dc-1",
                    "version": "v1",
                    "slots": self.slots,
                    "state": "draining" if self.is_draining else "ready",
                    "cold_remaining_ms": 0,
                    "sequence": self._sequence,
                }
                is_acknowledged = await self._call(session, "Heartbeat", body)
                await asyncio.sleep(
                    self.beat_seconds if is_acknowledged else REPEAT_SECONDS
                )

    async def _run_timer(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for key, flow in list(self._flows.items()):
                self._send(flow.stream.resend(now=_now()))
                if flow.stream.resends > 8:
                    del self._flows[key]

    # Packets

    def _read_packets(self, raw: socket.socket) -> None:
        for _ in range(64):
            try:
                data = raw.recv(2048)
            except (BlockingIOError, ConnectionRefusedError):
                return
            self._handle_packet(data)

    def _send(self, segments: list[Segment]) -> None:
        for segment in segments:
            self._send_raw(segment.encode())

    def _send_raw(self, data: bytes) -> None:
        try:
            self._socket.sendto(data, self.outbound.endpoint)
        except OSError:
            pass  # treated as packet loss; the socket may be closed

    def _handle_packet(self, data: bytes) -> None:
        segment = Segment.decode(data)
        key = (segment.source, segment.destination)
        flow = self._flows.get(key)
        if segment.flags & SYN:
            if flow is None or flow.is_ended:
                flow = self._new_flow(segment)
                self._flows[key] = flow
                self.opened += 1
            syn_ack = Segment(
                flags=SYN | ACK,
                source=segment.destination,
                destination=segment.source,
                sequence=flow.initial_sequence,
                acknowledged=(segment.sequence + 1) % (1 << 32),
            )
            self._send([syn_ack])
            return
        if flow is None or not self._is_open_after(flow, segment):
            self.foreign += 1
            self._send_raw(bytes((data[0] | BOUNCED,)) + data[1:])
            return
        if segment.flags & RST:
            del self._flows[key]
            return
        if flow.is_ended and segment.data:
            self._send([_reset(segment)])
            return
        self._send(flow.stream.receive(segment, now=_now()))
        flow.buffer += flow.stream.inbox
        flow.stream.inbox.clear()
        self._run_complete_requests(flow)
        if segment.flags & FIN and not flow.stream.has_fin:
            self._send(flow.stream.send(b"", now=_now(), fin=True))

    def _new_flow(self, segment: Segment) -> _Flow:
        initial_sequence = random.getrandbits(32)
        stream = Stream(
            own=segment.destination,
            peer=segment.source,
            next_sequence=(initial_sequence + 1) % (1 << 32),
            expected_sequence=(segment.sequence + 1) % (1 << 32),
        )
        return _Flow(stream=stream, initial_sequence=initial_sequence)

    def _is_open_after(self, flow: _Flow, segment: Segment) -> bool:
        """Open the flow on the handshake's last packet; return whether it is open."""
        distance = (segment.acknowledged - flow.initial_sequence) % (1 << 32)
        if not flow.is_open:
            flow.is_open = distance == 1
        return flow.is_open

    def _run_complete_requests(self, flow: _Flow) -> None:
        while True:
            line, separator, rest = bytes(flow.buffer).partition(b"\n")
            if not separator:
                return
            request, size, work_ms, response_size = line.decode().split(" ")
            if len(rest) < int(size):
                return
            flow.buffer = bytearray(rest[int(size) :])
            task = asyncio.create_task(
                self._run_request(flow, request, int(work_ms), int(response_size))
            )
            flow.tasks.add(task)
            task.add_done_callback(flow.tasks.discard)

    async def _run_request(
        self, flow: _Flow, request: str, work_ms: int, response_size: int
    ) -> None:
        async with self._slots:
            self.runs_by_id[request] += 1
            await asyncio.sleep(work_ms / 1000)
        head = f"{request} {self.instance} {response_size}\n".encode()
        fin = self.is_draining
        self._send(flow.stream.send(head + b"x" * response_size, now=_now(), fin=fin))


def _reset(segment: Segment) -> Segment:
    """Return the answer to data of a flow that has ended."""
    return Segment(
        flags=RST,
        source=segment.destination,
        destination=segment.source,
        sequence=segment.acknowledged,
        acknowledged=segment.sequence,
    )


def _now() -> float:
    return time.monotonic()
