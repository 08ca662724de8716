"""Requests and responses as both ends of a connection see them."""

from dataclasses import dataclass, field

__all__ = ["MAX_BODY_BYTES", "Request", "Response", "encode_response"]

MAX_BODY_BYTES = 4 * 1_048_576  # a configuration of a megabyte, base64, with room

_REASONS_BY_STATUS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    413: b"Content Too Large",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One request: ``query_by_name`` holds the first value of each name."""

    method: str
    path: str
    query_by_name: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """One whole response.

    ``headers_by_name`` has what a server sent, by names in lower case.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"
    headers_by_name: dict[str, str] = field(default_factory=dict)


def encode_response(response: Response, *, keep_alive: bool) -> bytes:
    """Return the response's bytes on the wire."""
    reason = _REASONS_BY_STATUS.get(response.status, b"Status")
    connection = b"keep-alive" if keep_alive else b"close"
    return b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n" % (
        response.status,
        reason,
        response.content_type.encode(),
        len(response.body),
    ) + b"Connection: %s\r\n\r\n%s" % (connection, response.body)
