"""Callers of flows without a token, and the fabric before the balancers."""

import asyncio
import random
import socket
import time
from dataclasses import dataclass, field

from standins.packets.stream import Stream
from standins.packets.wire import ACK, RST, SYN, Segment
from standins.proxy import LinkFaults

__all__ = ["CallerFlow", "FlowEnded", "PacketCaller", "Response"]

RETRANSMIT_AT_SECONDS = (0.2, 0.6)  # after the first SYN
GIVE_UP_SECONDS = 1.4  # after the first SYN
TICK_SECONDS = 0.01


class FlowEnded(Exception):
    """The flow was reset or closed, or opening it timed out."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A complete response and the target instance that sent it."""

    request: str
    instance: str
    body: bytes


@dataclass(kw_only=True)
class PacketCaller:
    """All callers behind one IP address; flows differ by their port.

    Args:
        ip: The callers' IP address.
        port: UDP port to which monsoonpier sends packets for callers.
        balancers: Endpoints in the fabric's rotation; each packet goes to a random
            one.
        draw: Source of randomness.
        faults: Faults of the fabric.
        bad_checksums: Number of packets received with a wrong checksum.
    """

    ip: str
    port: int
    balancers: list[tuple[str, int]]
    draw: random.Random
    faults: LinkFaults = field(default_factory=LinkFaults)
    bad_checksums: int = 0
    _flows: dict = field(default_factory=dict)
    _next_port: int = 20_000

    def start(self) -> None:
        """Bind the socket and start the retransmission timer.

        Raises:
            OSError: If the port is in use.
        """
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        raw.bind((self.ip, self.port))
        raw.setblocking(False)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        asyncio.get_running_loop().add_reader(raw, self._read_packets)
        self._socket = raw
        self._timer_task = asyncio.create_task(self._run_timer())

    def close(self) -> None:
        """Stop the timer and close the socket."""
        self._timer_task.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    async def open(
        self,
        service: tuple[str, int],
        *,
        port: int | None = None,
        initial_sequence: int | None = None,
    ) -> "CallerFlow":
        """Open a flow to a service.

        Args:
            service: The service's address and port.
            port: The caller's port; a new one if ``None``.
            initial_sequence: The number of the SYN; drawn if ``None``.

        Raises:
            FlowEnded: If it is reset or opening it times out.
        """
        if port is None:
            self._next_port += 1
            port = self._next_port
        flow = CallerFlow(
            caller=self,
            own=(self.ip, port),
            peer=service,
            initial_sequence=initial_sequence,
        )
        self._flows[flow.own] = flow
        try:
            await flow.open()
        except FlowEnded:
            self.forget(flow)
            raise
        return flow

    def forget(self, flow: "CallerFlow") -> None:
        """Drop a flow; later packets for it are ignored."""
        self._flows.pop(flow.own, None)

    def send(self, segments: list[Segment]) -> None:
        """Send each packet to a random balancer, subject to the fabric's faults."""
        for segment in segments:
            if not self.balancers:
                return  # no balancer is in the fabric's rotation
            if self.draw.random() < self.faults.loss_share:
                continue
            endpoint = self.draw.choice(self.balancers)
            if not self.faults.delay_seconds:
                self._send_raw(segment.encode(), endpoint)
                continue
            loop = asyncio.get_running_loop()
            seconds = self.draw.uniform(0, self.faults.delay_seconds)
            loop.call_later(seconds, self._send_raw, segment.encode(), endpoint)

    def _send_raw(self, data: bytes, endpoint: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, endpoint)
        except OSError:
            pass  # treated as packet loss; the socket may be closed

    def _read_packets(self) -> None:
        for _ in range(64):
            try:
                data = self._socket.recv(2048)
            except (BlockingIOError, ConnectionRefusedError):
                return
            segment = Segment.decode(data)
            if not segment.has_valid_checksum:
                self.bad_checksums += 1
                continue
            flow = self._flows.get(segment.destination)
            if flow is not None:
                flow.handle_segment(segment)

    async def _run_timer(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for flow in list(self._flows.values()):
                flow.tick()


class CallerFlow:
    """A flow of a caller; responses arrive in the order of requests."""

    def __init__(
        self,
        *,
        caller: PacketCaller,
        own: tuple[str, int],
        peer: tuple[str, int],
        initial_sequence: int | None = None,
    ) -> None:
        self.caller = caller
        self.own = own
        self.peer = peer
        self.resets = 0
        if initial_sequence is None:
            initial_sequence = random.getrandbits(32)
        self._initial_sequence = initial_sequence
        self._stream: Stream | None = None
        self._changed = asyncio.Event()
        self._end_reason: str | None = None

    async def open(self) -> None:
        """Send the SYN, with retransmissions, until the target accepts the flow.

        Raises:
            FlowEnded: If the flow is reset or opening it times out.
        """
        started_at = time.monotonic()
        for retransmission, until in enumerate(
            (*RETRANSMIT_AT_SECONDS, GIVE_UP_SECONDS)
        ):
            self.caller.send([self._segment(SYN, acknowledged=retransmission)])
            while self._stream is None and time.monotonic() < started_at + until:
                self._raise_if_ended()
                self._changed.clear()
                left = started_at + until - time.monotonic()
                try:
                    await asyncio.wait_for(self._changed.wait(), max(0.001, left))
                except TimeoutError:
                    break
            self._raise_if_ended()
            if self._stream is not None:
                return
        raise FlowEnded("not opened in time")

    async def request(
        self,
        request: str,
        *,
        body: bytes = b"",
        work_ms: int = 5,
        response_size: int = 100,
    ) -> Response:
        """Send a request and return its response.

        Args:
            request: The request's id.
            body: Its body.
            work_ms: Service time at the target, in milliseconds.
            response_size: Size of the response's body in bytes.

        Raises:
            FlowEnded: If the flow is reset or closed before the response.
        """
        assert self._stream is not None
        head = f"{request} {len(body)} {work_ms} {response_size}\n".encode()
        self.caller.send(self._stream.send(head + body, now=time.monotonic()))
        while True:
            line, separator, rest = bytes(self._stream.inbox).partition(b"\n")
            if separator:
                request_id, instance, size = line.decode().split(" ")
                if len(rest) >= int(size):
                    del self._stream.inbox[: len(line) + 1 + int(size)]
                    return Response(
                        request=request_id, instance=instance, body=rest[: int(size)]
                    )
            if self._stream.has_peer_fin:
                raise FlowEnded("closed by the target")
            self._raise_if_ended()
            self._changed.clear()
            await self._changed.wait()

    @property
    def is_closed_by_target(self) -> bool:
        """Whether the target has closed the flow."""
        return self._stream is not None and self._stream.has_peer_fin

    def close(self) -> None:
        """Close this direction of the flow."""
        if self._stream is not None and self._end_reason is None:
            self.caller.send(self._stream.send(b"", now=time.monotonic(), fin=True))

    def handle_segment(self, segment: Segment) -> None:
        """Process a packet received for this flow."""
        if segment.flags & RST:
            self.resets += 1
            self._end_reason = "reset"
        elif segment.flags & SYN:
            self._handle_syn_ack(segment)
        elif self._stream is not None:
            self.caller.send(self._stream.receive(segment, now=time.monotonic()))
        self._changed.set()

    def tick(self) -> None:
        """Retransmit unacknowledged packets that are due."""
        if self._stream is not None and self._end_reason is None:
            self.caller.send(self._stream.resend(now=time.monotonic()))

    def _handle_syn_ack(self, segment: Segment) -> None:
        if self._stream is None:
            self._stream = Stream(
                own=self.own,
                peer=self.peer,
                next_sequence=(self._initial_sequence + 1) % (1 << 32),
                expected_sequence=(segment.sequence + 1) % (1 << 32),
            )
        elif self._stream.expected_sequence != (segment.sequence + 1) % (1 << 32):
            return  # another target's SYN-ACK for a retransmitted SYN
        acknowledged = (segment.sequence + 1) % (1 << 32)
        self.caller.send([self._segment(ACK, acknowledged=acknowledged)])

    def _segment(self, flags: int, *, acknowledged: int) -> Segment:
        sequence = (
            self._initial_sequence
            if flags == SYN
            else (self._initial_sequence + 1) % (1 << 32)
        )
        return Segment(
            flags=flags,
            source=self.own,
            destination=self.peer,
            sequence=sequence,
            acknowledged=acknowledged,
        )

    def _raise_if_ended(self) -> None:
        if self._end_reason is not None:
            raise FlowEnded(self._end_reason)
