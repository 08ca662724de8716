"""The HTTP port of a process: metrics, health and readiness."""

from collections.abc import Callable, Iterable

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import Metric
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily

from monsoonpier.model.address import Address

__all__ = ["WebServer", "counter", "gauge"]

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
        self._address = address
        self._registry = CollectorRegistry()
        self._registry.register(_Collector(read_metrics))
        self._is_ready = is_ready
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Begin to serve.

        Raises:
            OSError: If the port is taken.
        """
        app = web.Application()
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, *self._address.endpoint).start()

    async def stop(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(self._registry),
            headers={"Content-Type": CONTENT_TYPE},
        )

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.Response:
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")
