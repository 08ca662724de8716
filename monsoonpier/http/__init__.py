"""A small HTTP/1.1 server and client; ``httptools`` does the parsing.

Daemons use it in place of ``aiohttp``, whose import takes 0.18 s and 14 MB
(measured on CPython 3.11): much of the time in which a process that was killed
serves nothing.
"""

from monsoonpier.http.client import HttpClient, HttpError
from monsoonpier.http.message import Request, Response
from monsoonpier.http.server import HttpServer

__all__ = ["HttpClient", "HttpError", "HttpServer", "Request", "Response"]
