"""The HTTP port of a process: metrics, health and readiness."""

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import Metric
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily

from monsoonpier.http import HttpServer, Request, Response
from monsoonpier.model.address import Address

__all__ = ["WebServer", "counter", "gauge", "ready_response"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "monsoonpier_"


def gauge(name: str, text: str, value: float) -> Metric:
    """Return a gauge without labels."""
    return GaugeMetricFamily(PREFIX + name, text, value=value)


def counter(name: str, text: str, values_by_label: dict, label: str) -> Metric:
    """Return a counter with one label."""
    family = CounterMetricFamily(PREFIX + name, text, labels=[label])
    for key, value in values_by_label.items():
        family.add_metric([str(key)], value)
    return family


class _Collector:
    """Reads the process's own counts when metrics are asked for."""

    def __init__(self, read: Callable[[], Iterable[Metric]]) -> None:
        self._read = read

    def collect(self) -> Iterable[Metric]:
        return self._read()


class WebServer:
    """Serves ``/metrics``, ``/healthz`` and ``/readyz``."""

    def __init__(
        self,
        *,
        address: Address,
        read_metrics: Callable[[], Iterable[Metric]],
        is_ready: Callable[[], bool],
    ) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(_Collector(read_metrics))
        self._is_ready = is_ready
        self._server = HttpServer(address=address, handler=self.answer)

    async def start(self) -> None:
        """Begin to serve.

        Raises:
            OSError: If the port is taken.
        """
        await self._server.start()

    async def stop(self) -> None:
        """Stop serving."""
        await self._server.stop()

    def answer(self, request: Request) -> Response:
        """Return the page that was asked for."""
        if request.method != "GET":
            return Response(status=405)
        match request.path:
            case "/metrics":
                body = generate_latest(self._registry)
                return Response(body=body, content_type=CONTENT_TYPE)
            case "/healthz":
                return Response(body=b"ok\n")
            case "/readyz":
                return ready_response(is_ready=self._is_ready())
        return Response(status=404)


def ready_response(*, is_ready: bool) -> Response:
    """Return what a probe of readiness is answered."""
    if is_ready:
        return Response(body=b"ready\n")
    return Response(status=503, body=b"not ready\n")
