"""A small HTTP/1.1 server and client that parse with ``httptools``.

Daemons use it instead of ``aiohttp``, whose import would slow their restart.
"""

from monsoonpier.http.client import HttpClient, HttpError
from monsoonpier.http.message import Request, Response
from monsoonpier.http.server import HttpServer

__all__ = ["HttpClient", "HttpError", "HttpServer", "Request", "Response"]
