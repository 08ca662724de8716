"""Clients behind one address, and the platform's routers in front of the nodes."""

import asyncio
import random
import socket
import time
import zlib
from collections.abc import Callable

from web import call
from wire import ACK, RST, SPACE, SYN, Endpoint, Packet, Stream, decode, encode

SYN_AT_SECONDS = (0.0, 0.2, 0.6)
GIVE_UP_SECONDS = 1.4
RESET_WINDOW = 76_800
PROBE_SECONDS = 0.5
MISSES = 2
TICK_SECONDS = 0.01


class FlowError(Exception):
    """The flow was reset, did not open, or gave no answer in time."""


class Router:
    """Hashes flows (`mod`) over the nodes in rotation, as PROTOCOL.md has it.

    Args:
        client_zone: The zone of the clients.
        record: Called with each change of the rotation.
    """

    def __init__(self, *, client_zone: str, record: Callable[..., None]) -> None:
        self.ready_by_node: dict[str, Endpoint] = {}
        self._client_zone = client_zone
        self._zone_by_node: dict[str, str] = {}
        self._datagram_by_node: dict[str, Endpoint] = {}
        self._misses: dict[str, int] = {}
        self.record = record

    def add(self, name: str, *, zone: str, ready: Endpoint, datagram: Endpoint) -> None:
        self._zone_by_node[name] = zone
        self.ready_by_node[name] = ready
        self._datagram_by_node[name] = datagram
        self._misses[name] = MISSES

    @property
    def rotation(self) -> list[str]:
        """The nodes that the clients' packets go to."""
        zones = set(self._zone_by_node.values()) - {self._client_zone}
        for zone in (self._client_zone, *sorted(zones)):
            names = sorted(n for n, z in self._zone_by_node.items() if z == zone)
            ready = [n for n in names if self.is_ready(n)]
            if ready:
                return ready if 2 * len(ready) >= len(names) else names
        return sorted(self._zone_by_node)

    def is_ready(self, name: str) -> bool:
        return self._misses[name] < MISSES

    def route(self, packet: Packet) -> Endpoint:
        text = f"{packet.src} {packet.dst}".encode()
        nodes = self.rotation
        return self._datagram_by_node[nodes[zlib.crc32(text) % len(nodes)]]

    async def run(self) -> None:
        while True:
            await asyncio.gather(*map(self._probe, list(self.ready_by_node)))
            await asyncio.sleep(PROBE_SECONDS)

    async def _probe(self, name: str) -> None:
        before = self.is_ready(name)
        try:
            status, _ = await call(
                self.ready_by_node[name], "GET", "/monsoonpier/ready", timeout=0.4
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        self._misses[name] = 0 if status == 200 else self._misses[name] + 1
        if self.is_ready(name) != before:
            word = "in" if not before else "out of"
            self.record(f"node {word} rotation", node=name)


class Client:
    """All clients behind one address; each flow has a port of its own."""

    def __init__(
        self, *, address: Endpoint, router: Router, record: Callable[..., None]
    ) -> None:
        self.address = address
        self.resets: list[tuple[float, ClientFlow, Packet]] = []
        self.flows: dict[int, ClientFlow] = {}
        self._router = router
        self.record = record
        self._next_port = random.randint(20_000, 30_000)

    async def start(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(self.address)
        asyncio.get_running_loop().add_reader(self._socket, self._read)
        self._timer = asyncio.create_task(self._tick())

    def stop(self) -> None:
        self._timer.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    async def open(self, route: Endpoint, *, port: int = 0) -> "ClientFlow":
        """Open a flow, from a new port or from that of a flow that has long ended.

        Raises:
            FlowError: If it is reset, or no SYN+ACK comes in time.
        """
        self._next_port += 1
        port = port or self._next_port
        flow = ClientFlow(self, own=(self.address[0], port), peer=route)
        self.flows[port] = flow
        await flow.open()
        return flow

    def forget(self, flow: "ClientFlow") -> None:
        self.flows.pop(flow.own[1], None)

    def send(self, packets: list[Packet]) -> None:
        for packet in packets:
            try:
                self._socket.sendto(encode(packet), self._router.route(packet))
            except OSError:
                pass  # Lost.

    def note_reset(self, flow: "ClientFlow", packet: Packet) -> None:
        self.resets.append((time.monotonic(), flow, packet))
        self.record(
            "client got a reset",
            port=flow.own[1],
            by="system" if packet.is_system_reset else "host",
            taken=flow.is_reset,
        )

    def _read(self) -> None:
        while True:
            try:
                raw = self._socket.recv(2048)
            except (BlockingIOError, ConnectionRefusedError):
                return
            packet = decode(raw)
            if not (packet.is_written_by_sender or packet.is_system_reset):
                self.record("packet that its sender did not write so", at="client")
                continue
            flow = self.flows.get(packet.dst[1])
            if flow is not None:
                flow.handle(packet)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            for flow in list(self.flows.values()):
                if flow.stream is not None and not flow.is_reset:
                    self.send(flow.stream.due(now=now))


class ClientFlow:
    """A flow of a client."""

    def __init__(self, client: Client, *, own: Endpoint, peer: Endpoint) -> None:
        self.own, self.peer = own, peer
        self.stream: Stream | None = None
        self.is_reset = False
        self.syn_at = time.monotonic()
        self._client = client
        self._seq = random.getrandbits(32)
        self._changed = asyncio.Event()

    @property
    def key(self) -> tuple[Endpoint, Endpoint]:
        return (self.own, self.peer)

    async def open(self) -> None:
        began = self.syn_at = time.monotonic()
        waits = [*SYN_AT_SECONDS[1:], GIVE_UP_SECONDS]
        for count, until in enumerate(waits):
            syn = Packet(
                flags=SYN, src=self.own, dst=self.peer, seq=self._seq, ack=count
            )
            self._client.send([syn])
            while self.stream is None and not self.is_reset:
                left = began + until - time.monotonic()
                if left <= 0 or not await self._wait(left):
                    break
            if self.is_reset:
                raise FlowError("reset before it opened")
            if self.stream is not None:
                return
        raise FlowError("no SYN+ACK in time")

    async def request(self, request: str, *, work_ms: int = 20, timeout: float) -> str:
        """Send a POST and return the body of the answer.

        Raises:
            FlowError: If the flow is reset, or the answer doesn't come in time.
        """
        assert self.stream is not None
        text = f"POST /work HTTP/1.1\r\nRequest-Id: {request}\r\n"
        text += f"Work-Ms: {work_ms}\r\nContent-Length: 0\r\n\r\n"
        until = time.monotonic() + timeout
        self._client.record("request sent", request=request, port=self.own[1])
        self._client.send(self.stream.send(text.encode(), now=time.monotonic()))
        while True:
            head, separator, rest = bytes(self.stream.inbox).partition(b"\r\n\r\n")
            if separator:
                size = int(head.rpartition(b": ")[2])
                if len(rest) >= size:
                    del self.stream.inbox[: len(head) + 4 + size]
                    answer = rest[:size].decode()
                    self._client.record("request answered", answer=answer)
                    return answer
            if self.is_reset:
                raise FlowError("reset")
            left = until - time.monotonic()
            if left <= 0:
                raise FlowError("no answer in time")
            await self._wait(left)

    def close(self) -> None:
        if self.stream is not None and not self.is_reset:
            self._client.send(self.stream.send(b"", now=time.monotonic(), fin=True))

    def handle(self, packet: Packet) -> None:
        if packet.flags & RST:
            self._handle_reset(packet)
        elif packet.flags & SYN:
            self._handle_syn_ack(packet)
        elif self.stream is not None:
            self._client.send(self.stream.receive(packet, now=time.monotonic()))
        self._changed.set()

    def _handle_reset(self, packet: Packet) -> None:
        """Take a reset if the flow isn't open or `seq` is near the last `ack`."""
        if self.stream is not None:
            distance = (packet.seq - self.stream.expected) % SPACE
            is_near = min(distance, SPACE - distance) <= RESET_WINDOW
            self.is_reset |= is_near
        else:
            self.is_reset = True
        self._client.note_reset(self, packet)

    def _handle_syn_ack(self, packet: Packet) -> None:
        expected = (packet.seq + 1) % SPACE
        if self.stream is None:
            self.stream = Stream(
                own=self.own,
                peer=self.peer,
                seq=(self._seq + 1) % SPACE,
                expected=expected,
            )
        elif self.stream.expected != expected:
            return  # Another host's, or a late copy.
        ack = Packet(
            flags=ACK,
            src=self.own,
            dst=self.peer,
            seq=(self._seq + 1) % SPACE,
            ack=expected,
        )
        self._client.send([ack])

    async def _wait(self, seconds: float) -> bool:
        """Wait for a packet; return whether one came in time."""
        self._changed.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True
