"""Prometheus metrics of a process, served over HTTP."""

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, Summary
from aioprometheus.renderer import render

__all__ = ["Counter", "Gauge", "Histogram", "Summary", "metrics_app"]


async def metrics_app(scope, receive, send):
    """ASGI application that serves all metrics of the process."""
    if scope["type"] != "http":
        return
    accept = [value.decode() for name, value in scope["headers"] if name == b"accept"]
    content, headers = render(REGISTRY, accept)
    raw_headers = [(k.lower().encode(), v.encode()) for k, v in headers.items()]
    await send({"type": "http.response.start", "status": 200, "headers": raw_headers})
    await send({"type": "http.response.body", "body": content})
