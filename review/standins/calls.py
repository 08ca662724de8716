"""One HTTP/1.1 call over a connection of its own."""

import asyncio
import json


async def call(endpoint, method, path, body=None, *, timeout):
    """Return (status, body), or (None, b"") without an answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*endpoint)
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {endpoint[0]}:{endpoint[1]}\r\n"
            if body is not None:
                head += "Content-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n"
            writer.write(head.encode() + b"\r\n" + data)
            answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(answer.split(" ", 2)[1])
            size = 0
            for line in answer.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    size = int(value)
            return status, await reader.readexactly(size)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None, b""
    finally:
        if writer is not None:
            writer.close()


async def post(endpoint, path, body, *, timeout):
    return (await call(endpoint, "POST", path, body, timeout=timeout))[0]
