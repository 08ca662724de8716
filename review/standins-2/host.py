"""A host as PROTOCOL.md describes it: flows, requests, heartbeats and health."""

import asyncio
import json
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from web import WebServer, read_message, request_bytes
from wire import (
    ACK,
    BOUNCED,
    FIN,
    RST,
    SPACE,
    SYN,
    Endpoint,
    Packet,
    Stream,
    decode,
    encode,
)

HEARTBEAT_SECONDS = 1.2
HEARTBEAT_TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 0.2
TICK_SECONDS = 0.01
KEPT_ENDED_SECONDS = 10.0


@dataclass(kw_only=True)
class HostFlow:
    """A flow from the first SYN on."""

    stream: Stream
    first_seq: int
    syn_at: float
    opened_at: float | None = None
    ended_at: float | None = None
    buffer: bytearray = field(default_factory=bytearray)


class Host:
    """One incarnation of a host.

    Args:
        name: The host's name in records.
        service: Its service.
        zone: Its zone.
        app: Where it receives packets (UDP) and answers health checks (TCP).
        outbound: Where it sends all packets.
        control: Where it sends heartbeats.
        cold_seconds: How long it is slow after its start.
        record: Called with each event worth recording.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        app: Endpoint,
        outbound: Endpoint,
        control: Endpoint,
        record: Callable[..., None],
        slots: int = 3,
        cold_seconds: float = 0.0,
    ) -> None:
        self.id = f"i-{random.getrandbits(32):08x}"
        self.name = name
        self.service = service
        self._zone = zone
        self.flows: dict[tuple[Endpoint, Endpoint], HostFlow] = {}
        self.runs_by_request: dict[str, int] = {}
        self.drain_acknowledged_at: float | None = None
        self.registered_at: float | None = None
        self.is_alive = False
        self._app, self._outbound, self._control = app, outbound, control
        self._record = record
        self._slots_count = slots
        self._slots = asyncio.Semaphore(slots)
        self._cold_seconds = cold_seconds
        self._is_draining = False
        self._sequence = 0
        self._tasks: set[asyncio.Task] = set()
        self._web = WebServer(app, self._health)

    async def start(self) -> None:
        self.started_at = time.monotonic()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(self._app)
        asyncio.get_running_loop().add_reader(self._socket, self._read)
        await self._web.start()
        self.is_alive = True
        self._record("host started", host=self.name, id=self.id, service=self.service)
        self._start_task(self._send_heartbeats())
        self._start_task(self._tick())

    def crash(self) -> None:
        """End at once, without a word; all flows are lost."""
        if not self.is_alive:
            return
        self.is_alive = False
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._web.stop()
        for task in self._tasks:
            task.cancel()
        self.flows.clear()
        self._record("host ended", host=self.name, id=self.id)

    def drain(self) -> None:
        """Report `draining` from the next heartbeat on, which is sent at once."""
        self._is_draining = True
        self._record("host says draining", host=self.name, id=self.id)
        self._start_task(self._send_heartbeat())

    def is_open(self, key: tuple[Endpoint, Endpoint]) -> bool:
        flow = self.flows.get(key)
        return flow is not None and flow.opened_at is not None and not flow.ended_at

    def _start_task(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Health and heartbeats

    async def _health(self, method, path, query, body) -> tuple[int, dict]:
        return (503 if self._is_draining else 200), {}

    async def _send_heartbeats(self) -> None:
        while True:
            is_acknowledged = await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS if is_acknowledged else RETRY_SECONDS)

    async def _send_heartbeat(self) -> bool:
        """Send one heartbeat on a new connection; return whether it got a 2xx."""
        self._sequence += 1
        is_draining = self._is_draining
        cold = self.started_at + self._cold_seconds - time.monotonic()
        body = {
            "service": self.service,
            "address": f"{self._app[0]}:{self._app[1]}",
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots_count,
            "state": "draining" if is_draining else "ready",
            "cold_remaining_ms": max(0, int(cold * 1000)),
            "sequence": self._sequence,
        }
        path = f"/monsoonpier/Instances.Heartbeat/{self.id}"
        writer = None
        try:
            async with asyncio.timeout(HEARTBEAT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(*self._control)
                writer.write(request_bytes(self._control, "POST", path, body))
                start, _, _ = await read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            if writer is not None:
                writer.close()
        if not start.split(" ")[1].startswith("2"):
            return False
        now = time.monotonic()
        if self.registered_at is None:
            self.registered_at = now
            self._record("host registered", host=self.name, id=self.id)
        if is_draining and self.drain_acknowledged_at is None:
            self.drain_acknowledged_at = now
            self._record("draining acknowledged", host=self.name, id=self.id)
        return True

    # Packets

    def _read(self) -> None:
        while True:
            try:
                raw = self._socket.recv(2048)
            except (BlockingIOError, ConnectionRefusedError):
                return
            self._handle(decode(raw))

    def _send(self, packets: list[Packet]) -> None:
        for packet in packets:
            self._send_raw(encode(packet))

    def _send_raw(self, raw: bytes) -> None:
        try:
            self._socket.sendto(raw, self._outbound)
        except OSError:
            pass  # Lost; the node may be restarting.

    def _handle(self, packet: Packet) -> None:
        if not packet.is_written_by_sender:
            self._record("packet that its sender did not write so", host=self.name)
            return
        flow = self.flows.get(packet.key)
        if packet.flags & SYN:
            self._handle_syn(packet, flow)
            return
        if flow is None or not self._belongs(packet, flow):
            self._send_raw(bytes((packet.raw[0] | BOUNCED,)) + packet.raw[1:])
            return
        if flow.ended_at is not None:
            self._handle_ended(packet, flow)
            return
        if packet.flags & RST:
            flow.ended_at = time.monotonic()
            return
        self._send(flow.stream.receive(packet, now=time.monotonic()))
        flow.buffer += flow.stream.inbox
        flow.stream.inbox.clear()
        self._run_requests(packet.key, flow)
        if flow.stream.has_peer_fin:
            self._send(flow.stream.send(b"", now=time.monotonic(), fin=True))
            flow.ended_at = time.monotonic()

    def _handle_syn(self, packet: Packet, flow: HostFlow | None) -> None:
        now = time.monotonic()
        if flow is None:
            first_seq = random.getrandbits(32)
            stream = Stream(
                own=packet.dst,
                peer=packet.src,
                seq=(first_seq + 1) % SPACE,
                expected=(packet.seq + 1) % SPACE,
            )
            flow = HostFlow(stream=stream, first_seq=first_seq, syn_at=now)
            self.flows[packet.key] = flow
        answer = Packet(
            flags=SYN | ACK,
            src=packet.dst,
            dst=packet.src,
            seq=flow.first_seq,
            ack=(packet.seq + 1) % SPACE,
        )
        self._send([answer])

    def _belongs(self, packet: Packet, flow: HostFlow) -> bool:
        """Open the flow if its `seq` is acknowledged; return whether it is open."""
        if flow.opened_at is None and packet.ack == (flow.first_seq + 1) % SPACE:
            flow.opened_at = time.monotonic()
            self._record("flow opened", host=self.name, id=self.id, port=packet.src[1])
        return flow.opened_at is not None

    def _handle_ended(self, packet: Packet, flow: HostFlow) -> None:
        flags = ACK if packet.flags & FIN else RST if packet.data else 0
        if flags:
            answer = Packet(
                flags=flags,
                src=packet.dst,
                dst=packet.src,
                seq=flow.stream.next_seq,
                ack=(packet.seq + 1) % SPACE,
            )
            self._send([answer])

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            for key, flow in list(self.flows.items()):
                if flow.opened_at is not None:
                    self._send(flow.stream.due(now=now))
                if flow.ended_at and now - flow.ended_at > KEPT_ENDED_SECONDS:
                    del self.flows[key]

    # Requests

    def _run_requests(self, key, flow: HostFlow) -> None:
        while True:
            head, separator, rest = bytes(flow.buffer).partition(b"\r\n\r\n")
            if not separator:
                return
            lines = head.decode().split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines[1:])
            size = int(headers.get("Content-Length", 0))
            if len(rest) < size:
                return
            flow.buffer = bytearray(rest[size:])
            self._start_task(self._run(key, flow, headers))

    async def _run(self, key, flow: HostFlow, headers: dict) -> None:
        request = headers["Request-Id"]
        async with self._slots:
            self.runs_by_request[request] = self.runs_by_request.get(request, 0) + 1
            self._record("request runs", host=self.name, id=self.id, request=request)
            await asyncio.sleep(float(headers.get("Work-Ms", 20)) / 1000)
        body = json.dumps({"request": request, "host": self.name, "id": self.id})
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        out = flow.stream.send(
            (head + body).encode(), now=time.monotonic(), fin=self._is_draining
        )
        self._send(out)
