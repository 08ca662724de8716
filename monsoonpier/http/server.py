"""An HTTP server that passes each request to a handler."""

import asyncio
from collections.abc import Callable
from urllib.parse import parse_qsl

import httptools
import structlog

from monsoonpier.http.message import (
    MAX_BODY_BYTES,
    Request,
    Response,
    encode_response,
)
from monsoonpier.model.address import Address

__all__ = ["HttpServer"]

MAX_CONNECTIONS = 256  # far above what probes, metrics and one target need
BACKLOG = 128
_log = structlog.get_logger("monsoonpier.http.server")

Handler = Callable[[Request], Response]


class HttpServer:
    """Serves one address; an exception of the handler gives status 500."""

    def __init__(self, *, address: Address, handler: Handler) -> None:
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    async def start(self) -> None:
        """Start serving.

        Raises:
            OSError: If the port is in use.
        """
        loop = asyncio.get_running_loop()
        ip, port = self._address.endpoint
        self._server = await loop.create_server(
            lambda: _Connection(self), ip, port, backlog=BACKLOG
        )

    async def stop(self) -> None:
        """Stop serving and close every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    def handle(self, request: Request) -> Response:
        """Return the handler's response, or status 500 if it raises."""
        try:
            return self._handler(request)
        except Exception:
            _log.exception("handler failed", path=request.path)
            return Response(status=500)

    def add(self, connection: "_Connection") -> bool:
        """Register a connection; return ``False`` if there are too many."""
        if len(self._connections) >= MAX_CONNECTIONS:
            return False
        self._connections.add(connection)
        return True

    def remove(self, connection: "_Connection") -> None:
        """Unregister a closed connection."""
        self._connections.discard(connection)


class _Connection(asyncio.Protocol):
    """One connection; parses requests and sends the responses in order."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._body = bytearray()

    def connection_made(self, transport) -> None:
        self._transport = transport
        if not self._server.add(self):
            transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.remove(self)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            _log.warning("malformed request", reason=str(error))
            self._reply(Response(status=400), keep_alive=False)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    # Callbacks of httptools:

    def on_message_begin(self) -> None:
        self._url = b""
        self._body.clear()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > MAX_BODY_BYTES:
            self._reply(Response(status=413), keep_alive=False)
            return
        self._body += body

    def on_message_complete(self) -> None:
        try:
            request = self._build_request()
        except (httptools.HttpParserError, UnicodeDecodeError, ValueError) as error:
            _log.warning("malformed request", reason=str(error))
            self._reply(Response(status=400), keep_alive=False)
            return
        keep_alive = self._parser.should_keep_alive()
        self._reply(self._server.handle(request), keep_alive=keep_alive)

    def _build_request(self) -> Request:
        url = httptools.parse_url(self._url)
        query = (url.query or b"").decode()
        return Request(
            method=self._parser.get_method().decode(),
            path=url.path.decode(),
            query_by_name=dict(parse_qsl(query)),
            body=bytes(self._body),
        )

    def _reply(self, response: Response, *, keep_alive: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(encode_response(response, keep_alive=keep_alive))
        if not keep_alive:
            self._transport.close()
