"""A small HTTP/1.1 server and client, enough for the platform's interfaces."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Failed", 403: "Forbidden"}


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes]:
    """Return the start line, the headers in lower case, and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return start, headers, body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: dict | None = None,
    *,
    timeout: float,
) -> tuple[int, bytes]:
    """Make one call on a connection of its own.

    Raises:
        OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError:
            If there is no whole answer in time.
    """
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request_bytes(address, method, path, body))
            start, _, answer = await read_message(reader)
            return int(start.split(" ")[1]), answer
        finally:
            writer.close()


def request_bytes(
    address: tuple[str, int], method: str, path: str, body: dict | None
) -> bytes:
    data = json.dumps(body).encode() if body is not None else b""
    head = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
    head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


Handler = Callable[[str, str, dict, bytes], Awaitable[tuple[int, dict]]]


class WebServer:
    """Passes each request's method, path, query and body to a handler."""

    def __init__(self, address: tuple[str, int], handler: Handler) -> None:
        self._address = address
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self._address)

    def stop(self) -> None:
        """Stop at once; connections are reset, as when a process is killed."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                start, _, body = await read_message(reader)
                method, target, _ = start.split(" ")
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query))
                status, answer = await self._handler(method, parts.path, query, body)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                head += "Content-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode())
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass  # The peer has closed the connection.
        except asyncio.CancelledError:
            pass  # The case ends while a call waits; nothing awaits this task.
        finally:
            self._writers.discard(writer)
            writer.close()
