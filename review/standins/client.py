"""A stand-in of clients behind one address, and of the routers before the nodes."""

import asyncio
import random
import socket
import time
import zlib

from calls import call
from wire import ACK, RST, SYN, End, decode, encode

_MASK = 0xFFFFFFFF
COPIES_AT = (0.2, 0.6)
GIVE_UP_S = 1.4


class Router:
    """Forwards by a hash over the nodes in rotation (``hash_fn = mod``)."""

    def __init__(self, *, record, ready_port, packet_port):
        self.nodes = {}  # name: ip
        self._misses = {}
        self._record = record
        self._ready_port = ready_port
        self._packet_port = packet_port
        self._task = None

    def add(self, name, ip):
        self.nodes[name] = ip
        self._misses[name] = 2

    def start(self):
        self._task = asyncio.create_task(self._probe_forever())

    def stop(self):
        self._task.cancel()

    @property
    def rotation(self):
        """Names of the nodes in rotation; all of them if fewer than half are."""
        names = sorted(self.nodes)
        good = [name for name in names if self._misses[name] < 2]
        return good if 2 * len(good) >= len(names) else names

    def pick(self, src, dst, rotation=None):
        names = self.rotation if rotation is None else rotation
        value = zlib.crc32(f"{src[0]} {dst[0]} {src[1]} {dst[1]}".encode())
        return names[value % len(names)]

    def endpoint(self, src, dst, node=None):
        return (self.nodes[node or self.pick(src, dst)], self._packet_port)

    async def _probe_forever(self):
        while True:
            await asyncio.gather(*(self._probe(name) for name in list(self.nodes)))
            await asyncio.sleep(0.5)

    async def _probe(self, name):
        before = self._misses[name] < 2
        status, _ = await call(
            (self.nodes[name], self._ready_port),
            "GET",
            "/monsoonpier/ready",
            timeout=0.45,
        )
        self._misses[name] = 0 if status == 200 else self._misses[name] + 1
        after = self._misses[name] < 2
        if before != after:
            self._record("rotation", node=name, ready=after)


class Clients:
    def __init__(self, *, ip, port, router, record):
        self.ip = ip
        self._port = port
        self.router = router
        self._record = record
        self._flows = {}

    def start(self):
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._socket.bind((self.ip, self._port))
        asyncio.get_running_loop().add_reader(self._socket, self._read)
        self._task = asyncio.create_task(self._tick())

    def stop(self):
        self._task.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def send(self, raw, src, dst, node=None):
        endpoint = self.router.endpoint(src, dst, node)
        try:
            self._socket.sendto(raw, endpoint)
        except OSError:
            pass

    async def open(self, port, to, node=None):
        """Open a flow from a port; return it. ``flow.state`` tells the outcome.

        With ``node`` the flow goes directly to that node.
        """
        flow = ClientFlow(self, (self.ip, port), to, node)
        self._flows[(flow.own, flow.peer)] = flow
        await flow.open()
        return flow

    def forget(self, flow):
        if self._flows.get((flow.own, flow.peer)) is flow:
            del self._flows[(flow.own, flow.peer)]

    def _read(self):
        for _ in range(128):
            try:
                raw = self._socket.recv(2048)
            except OSError:
                return
            packet = decode(raw)
            if packet is None:
                self._record("client got a packet that nobody wrote")
                continue
            flow = self._flows.get((packet.dst, packet.src))
            if flow is not None:
                flow.take(packet)

    async def _tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for flow in list(self._flows.values()):
                if flow.end is not None and flow.state == "open":
                    flow.end.tick(now)


class ClientFlow:
    """A flow; ``state`` is opening, open, reset (by the host or the system) or failed."""

    def __init__(self, clients, own, peer, node):
        self.own, self.peer, self._node = own, peer, node
        self.state = "opening"
        self.reset_by_system = False
        self.end = None
        self._clients = clients
        self._first = random.getrandbits(32)
        self._changed = asyncio.Event()

    def _send(self, raw):
        self._clients.send(raw, self.own, self.peer, self._node)

    async def open(self):
        began = time.monotonic()
        for copy, until in enumerate((*COPIES_AT, GIVE_UP_S)):
            self._send(encode(SYN, self.own, self.peer, self._first, copy))
            while self.state == "opening":
                left = began + until - time.monotonic()
                if left <= 0 or not await self._wait(left):
                    break
            if self.state != "opening":
                return
        self.state = "failed"
        self._clients.forget(self)

    async def _wait(self, seconds):
        self._changed.clear()
        try:
            await asyncio.wait_for(self._changed.wait(), max(0.001, seconds))
        except TimeoutError:
            return False
        return True

    async def request(self, ident, *, timeout=4.0, method="GET"):
        """Send a request; return the body of its answer, or ``None``."""
        text = (
            f"{method} / HTTP/1.1\r\nHost: {self.peer[0]}\r\nRequest-Id: {ident}\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        self.end.write(text.encode(), time.monotonic())
        until = time.monotonic() + timeout
        while self.state == "open":
            head, mark, rest = bytes(self.end.inbox).partition(b"\r\n\r\n")
            if mark:
                size = int(head.decode().split("Content-Length: ")[1].split("\r\n")[0])
                if len(rest) >= size:
                    del self.end.inbox[: len(head) + 4 + size]
                    return rest[:size].decode()
            left = until - time.monotonic()
            if left <= 0:
                return None
            await self._wait(left)
        return None

    async def close(self):
        if self.state != "open":
            return
        self.end.write(b"", time.monotonic(), fin=True)
        until = time.monotonic() + 3
        while self.state == "open" and not self.end.is_ended:
            if time.monotonic() > until:
                break
            await self._wait(0.1)
        self.state = "closed" if self.end.is_ended else self.state
        await asyncio.sleep(0.05)
        self._clients.forget(self)

    def take(self, packet):
        if packet.flags & RST:
            if self.state in ("opening", "open"):
                self.state = "reset"
                self.reset_by_system = packet.is_own_reset
        elif packet.flags & SYN:
            if self.end is None:
                self.end = End(
                    self.own, self.peer, self._first + 1, packet.seq + 1, self._send
                )
                self.state = "open"
            if self.end.expected == (packet.seq + 1) & _MASK or self.state == "open":
                if (packet.seq + 1) & _MASK == self.end.expected:
                    self.end.acknowledge()
        elif self.end is not None and packet.flags & ACK:
            self.end.take(packet, time.monotonic())
        self._changed.set()
