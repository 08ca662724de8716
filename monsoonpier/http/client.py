"""An HTTP client of one server with timeouts and persistent connections."""

import asyncio

import httptools

from monsoonpier.http.message import MAX_BODY_BYTES, Response
from monsoonpier.model.address import Address

__all__ = ["HttpClient", "HttpError"]

MAX_IDLE_CONNECTIONS = 2  # one for a long poll, one for other calls
IDLE_SECONDS = 8.0  # shorter than the idle timeout of common servers
CONNECT_SECONDS = 1.0
# The largest value of the users' store takes 2.3 s on a link of 4.8 Mbit/s.
TRANSFER_SECONDS = 4.0  # from the first part of a body to the last
STALL_SECONDS = 2.0  # between two parts


class HttpError(Exception):
    """No complete response was received.

    ``was_sent`` is true if the server may have processed the request, and
    ``was_partial`` if a part of the response's body was received.
    """

    def __init__(
        self, reason: str, *, was_sent: bool, was_partial: bool = False
    ) -> None:
        super().__init__(reason)
        self.was_sent = was_sent
        self.was_partial = was_partial


class HttpClient:
    """Calls one server; a connection on which a call failed is not reused.

    After a call has timed out, no earlier connection is reused.
    """

    def __init__(self, *, address: Address) -> None:
        self._address = address
        self._idle: list[_Connection] = []

    async def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        timeout: float,
        max_bytes: int = MAX_BODY_BYTES,
    ) -> Response:
        """Send one request and return its response.

        Args:
            method: The HTTP method.
            target: The path and query.
            body: The JSON body, if any.
            timeout: Seconds to wait, once connected, for the first part of the
                response's body, or for the complete response if it has none. A body
                that has begun gets ``TRANSFER_SECONDS`` at least, as long as it
                isn't held up for ``STALL_SECONDS``.
            max_bytes: The limit on the size of the response's body, which isn't
                received if the response says that it is larger.

        Raises:
            HttpError: If no complete response is received in time. It counts as
                partial if the body is too large.
        """
        connection = await self._acquire(min(timeout, CONNECT_SECONDS))
        try:
            request = self._encode_request(method, target, body)
            response = await connection.exchange(
                request, timeout=timeout, max_bytes=max_bytes
            )
        except (TimeoutError, OSError, httptools.HttpParserError) as error:
            connection.close()
            if isinstance(error, TimeoutError):
                # What made this connection silent may have done so to the idle ones.
                self.close()
            raise HttpError(
                f"{method} {target}: {error!r}",
                was_sent=True,
                was_partial=connection.has_part_of_body,
            ) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        self._release(connection)
        return response

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _acquire(self, timeout: float) -> "_Connection":
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable and now - connection.used_at < IDLE_SECONDS:
                return connection
            connection.close()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    _Connection, *self._address.endpoint
                )
        except (TimeoutError, OSError) as error:
            raise HttpError(
                f"connection to {self._address} failed: {error!r}", was_sent=False
            ) from error
        return connection

    def _release(self, connection: "_Connection") -> None:
        if connection.is_usable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            connection.used_at = asyncio.get_running_loop().time()
            self._idle.append(connection)
            return
        connection.close()

    def _encode_request(self, method: str, target: str, body: bytes) -> bytes:
        head = f"{method} {target} HTTP/1.1\r\nHost: {self._address}\r\n"
        if body or method == "POST":
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        return head.encode() + b"\r\n" + body


class _Connection(asyncio.Protocol):
    """A connection that exchanges one request and response at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._headers_by_name: dict[str, str] = {}
        self._response: asyncio.Future | None = None
        self._keeps_alive = True
        self._limit: asyncio.Timeout | None = None
        self._transfer_until = 0.0
        self._max_bytes = MAX_BODY_BYTES
        self._is_too_large = False
        self.used_at = 0.0

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on this connection."""
        assert self._transport is not None
        return self._keeps_alive and not self._transport.is_closing()

    @property
    def has_part_of_body(self) -> bool:
        """Whether a part of the last response's body was received, or is too large."""
        return bool(self._body) or self._is_too_large

    async def exchange(
        self, request: bytes, *, timeout: float, max_bytes: int = MAX_BODY_BYTES
    ) -> Response:
        """Send a request and wait for its response, as `HttpClient.call` does."""
        assert self._transport is not None
        self._body.clear()
        self._max_bytes = min(max_bytes, MAX_BODY_BYTES)
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        async with asyncio.timeout(timeout) as self._limit:
            return await self._response

    def close(self) -> None:
        """Close immediately and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport) -> None:
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(exc or ConnectionResetError("connection closed"))

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(error)
            self.close()

    def on_message_begin(self) -> None:
        self._body.clear()
        self._headers_by_name = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers_by_name[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        size = self._headers_by_name.get("content-length", "")
        self._check_size(int(size) if size.isdecimal() else 0)

    def on_body(self, body: bytes) -> None:
        self._extend_limit(is_first=not self._body)
        self._body += body
        self._check_size(len(self._body))

    def _check_size(self, size: int) -> None:
        """Give the response up if its body has more bytes than allowed."""
        if size > self._max_bytes:
            self._is_too_large = True
            self._fail(OSError("response body too large"))
            self.close()

    def on_message_complete(self) -> None:
        self._keeps_alive = self._parser.should_keep_alive()
        if self._response is None or self._response.done():
            return
        status = self._parser.get_status_code()
        response = Response(
            status=status,
            body=bytes(self._body),
            headers_by_name=self._headers_by_name,
        )
        self._response.set_result(response)

    def _extend_limit(self, *, is_first: bool) -> None:
        """Allow the body its own time, and its next part a shorter one."""
        if self._limit is None or self._response is None or self._response.done():
            return  # No response is awaited.
        now = asyncio.get_running_loop().time()
        until = self._limit.when()
        if until is None or now >= until:
            return
        if is_first:
            self._transfer_until = max(until, now + TRANSFER_SECONDS)
        self._limit.reschedule(min(self._transfer_until, now + STALL_SECONDS))

    def _fail(self, error: Exception) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)
