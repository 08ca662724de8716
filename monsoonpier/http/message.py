"""HTTP requests and responses, shared by client and server."""

from dataclasses import dataclass, field

__all__ = ["MAX_BODY_BYTES", "Request", "Response", "encode_response"]

MAX_BODY_BYTES = 4 * 1_048_576  # room for a configuration of 1 MB in base64

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
    """A request; ``query_by_name`` holds one value of each query parameter."""

    method: str
    path: str
    query_by_name: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A complete response.

    ``headers_by_name`` holds the headers that a client received, by lower-case name.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"
    headers_by_name: dict[str, str] = field(default_factory=dict)


def encode_response(response: Response, *, keep_alive: bool) -> bytes:
    """Encode a response to bytes."""
    reason = _REASONS_BY_STATUS.get(response.status, b"Status")
    connection = b"keep-alive" if keep_alive else b"close"
    return b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n" % (
        response.status,
        reason,
        response.content_type.encode(),
        len(response.body),
    ) + b"Connection: %s\r\n\r\n%s" % (connection, response.body)
