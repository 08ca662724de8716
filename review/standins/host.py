"""A stand-in of a host beside an agent, as PROTOCOL.md ("Hosts") describes it."""

import asyncio
import random
import socket
import time

from calls import post
from wire import ACK, BOUNCED, FIN, RST, SYN, End, decode, encode

_MASK = 0xFFFFFFFF
ENDED_SECONDS = 30.0


class _Flow:
    def __init__(self, first):
        self.first = first  # own sequence number of the SYN+ACK
        self.end = None  # once the flow is open
        self.ended_at = None


class Host:
    """One incarnation of a host; ``record`` is called with each event."""

    def __init__(
        self,
        *,
        name,
        service,
        ip,
        ports,
        zone,
        record,
        beat_s=1.2,
        ident=None,
        work_s=0.05,
    ):
        self.name, self.service, self.ip, self.zone = name, service, ip, zone
        self.ident = ident or f"i-{random.getrandbits(32):08x}"
        self.is_draining = False
        self.drain_acked_at = None
        self.is_cut = False  # nothing passes to or from it
        self._ports = ports
        self._record = record
        self._beat_s = beat_s
        self._work_s = work_s
        self._slots = asyncio.Semaphore(5)
        self._sequence = 0
        self._flows = {}
        self._tasks = set()

    async def start(self, *, heartbeats=True):
        loop = asyncio.get_running_loop()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._socket.bind((self.ip, self._ports["app"]))
        loop.add_reader(self._socket, self._read)
        self._server = await asyncio.start_server(
            self._serve_tcp, self.ip, self._ports["app"]
        )
        self._writers = set()
        self._spawn(self._tick())
        if heartbeats:
            self._spawn(self._beat())
        self._record("host starts", host=self.name, incarnation=self.ident)

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self, what="host ends"):
        """End at once, as a process that exits or crashes."""
        for task in list(self._tasks):
            task.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record(what, host=self.name, incarnation=self.ident)

    # Calls to the node on its machine

    def beat_body(self):
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{self.ip}:{self._ports['app']}",
            "zone": self.zone,
            "version": "v1",
            "slots": 5,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
        }

    @property
    def beat_path(self):
        return f"/monsoonpier/Instances.Heartbeat/{self.ident}"

    async def _beat(self):
        while True:
            body = self.beat_body()
            status = await post(
                (self.ip, self._ports["control"]), self.beat_path, body, timeout=1.0
            )
            is_acked = status is not None and 200 <= status < 300
            if body["state"] == "draining" and is_acked and not self.drain_acked_at:
                self.drain_acked_at = time.monotonic()
                self._record(
                    "draining acknowledged", host=self.name, incarnation=self.ident
                )
            await asyncio.sleep(self._beat_s if is_acked else 0.1)

    async def drain(self):
        """Say ``draining`` at the next beat, now."""
        self.is_draining = True
        self._record("host says draining", host=self.name, incarnation=self.ident)

    async def leave(self):
        path = f"/monsoonpier/Instances.Leave/{self.ident}"
        status = await post((self.ip, self._ports["control"]), path, {}, timeout=1.0)
        self._record("leave sent", host=self.name, status=status)

    async def _serve_tcp(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if self.is_cut:
                    await asyncio.sleep(3600)
                status = 503 if self.is_draining else 200
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # also the end of the case
        finally:
            self._writers.discard(writer)
            writer.close()

    # Packets

    def _send(self, raw):
        if self.is_cut:
            return
        try:
            self._socket.sendto(raw, (self.ip, self._ports["outbound"]))
        except OSError:
            pass

    def _read(self):
        for _ in range(128):
            try:
                raw = self._socket.recv(2048)
            except OSError:
                return
            if not self.is_cut:
                self._take(raw)

    def _take(self, raw):
        packet = decode(raw)
        if packet is None:
            self._record("host got a packet that nobody wrote", host=self.name)
            return
        key = (packet.src, packet.dst)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            if flow is not None and flow.ended_at is not None:
                flow = None
            if flow is None:
                flow = self._flows[key] = _Flow(random.getrandbits(32))
            self._send(
                encode(SYN | ACK, packet.dst, packet.src, flow.first, packet.seq + 1)
            )
            return
        if flow is not None and flow.ended_at is not None:
            if packet.flags & RST:
                return
            if packet.data:
                self._send(encode(RST, packet.dst, packet.src, packet.ack, packet.seq))
            elif packet.flags & FIN:
                flow.end.acknowledge()
            return
        if flow is not None and flow.end is None:
            if packet.ack == (flow.first + 1) & _MASK and not packet.flags & RST:
                flow.end = End(
                    packet.dst, packet.src, flow.first + 1, packet.seq, self._send
                )
                self._record(
                    "flow opened", host=self.name, port=packet.src[1], to=packet.dst
                )
        if flow is None or flow.end is None:
            if flow is not None and packet.flags & RST:
                del self._flows[key]
                return
            self._send(bytes((raw[0] | BOUNCED,)) + raw[1:])
            return
        if packet.flags & RST:
            del self._flows[key]
            return
        now = time.monotonic()
        flow.end.take(packet, now)
        self._run_requests(flow, packet)
        if flow.end.has_peer_fin and not flow.end.has_fin:
            flow.end.write(b"", now, fin=True)

    def _run_requests(self, flow, packet):
        while True:
            head, mark, rest = bytes(flow.end.inbox).partition(b"\r\n\r\n")
            if not mark:
                return
            fields = dict(
                line.split(": ", 1) for line in head.decode().split("\r\n")[1:]
            )
            size = int(fields.get("Content-Length", 0))
            if len(rest) < size:
                return
            del flow.end.inbox[: len(head) + 4 + size]
            ident = fields["Request-Id"]
            self._spawn(self._run(flow, ident))

    async def _run(self, flow, ident):
        async with self._slots:
            self._record(
                "run",
                host=self.name,
                incarnation=self.ident,
                request=ident,
                service=self.service,
                draining=self.is_draining,
            )
            await asyncio.sleep(self._work_s)
        body = f"{ident} {self.name}".encode()
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {ident}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        flow.end.write(head.encode() + body, time.monotonic(), fin=self.is_draining)

    async def _tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for key, flow in list(self._flows.items()):
                if flow.end is None:
                    continue
                if flow.ended_at is None:
                    flow.end.tick(now)
                    if flow.end.is_ended:
                        flow.ended_at = now
                    elif flow.end.resends > 8:
                        del self._flows[key]
                elif now - flow.ended_at > ENDED_SECONDS:
                    del self._flows[key]
