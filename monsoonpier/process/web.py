"""The HTTP port of a process: metrics, health and readiness."""

from collections.abc import Callable, Iterable

from monsoonpier.http import HttpServer, Request, Response
from monsoonpier.model.address import Address
from monsoonpier.process.metrics import Metric

__all__ = ["WebServer", "ready_response"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class WebServer:
    """Serves ``/metrics``, ``/healthz`` and ``/readyz``."""

    def __init__(
        self,
        *,
        address: Address,
        read_metrics: Callable[[], Iterable[Metric]],
        is_ready: Callable[[], bool],
    ) -> None:
        self._read_metrics = read_metrics
        self._is_ready = is_ready
        self._server = HttpServer(address=address, handler=self.handle)

    async def start(self) -> None:
        """Start serving.

        Raises:
            OSError: If the port is in use.
        """
        await self._server.start()

    async def stop(self) -> None:
        """Stop serving."""
        await self._server.stop()

    def handle(self, request: Request) -> Response:
        """Serve the path of a request, or return status 404 or 405."""
        if request.method != "GET":
            return Response(status=405)
        match request.path:
            case "/metrics":
                return Response(body=self._metrics(), content_type=CONTENT_TYPE)
            case "/healthz":
                return Response(body=b"ok\n")
            case "/readyz":
                return ready_response(is_ready=self._is_ready())
        return Response(status=404)

    def _metrics(self) -> bytes:
        from monsoonpier.process.exposition import expose

        return expose(self._read_metrics)


def ready_response(*, is_ready: bool) -> Response:
    """Return the response to a readiness probe."""
    if is_ready:
        return Response(body=b"ready\n")
    return Response(status=503, body=b"not ready\n")
