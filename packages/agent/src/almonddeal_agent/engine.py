"""All that is particular to the platform's engine interface, as closures.

Replace this module to serve another engine; nothing else knows its HTTP paths.
"""

import json

import anyio
import httpx

from almonddeal_common.codes import (
    ATTEMPT_LOST,
    STALE_FENCE,
    TARGET_REFUSED,
    AlmonddealError,
)
from almonddeal_common.wire.gen.ttypes import Load, ModelState

PROBE_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 1024


class Token:
    """One generated token, or the end of the stream if `finish_reason` is set."""

    __slots__ = ("finish_reason", "index", "text", "token")

    def __init__(self, index, token, text, finish_reason=""):
        self.index = index
        self.token = token
        self.text = text
        self.finish_reason = finish_reason


class EngineReport:
    """What an engine says of itself: its load, its loaded versions and its role."""

    __slots__ = ("load", "models", "role")

    def __init__(self, load, models, role=""):
        self.load = load
        self.models = models
        self.role = role


class CacheEvent:
    """One event of an engine's prefix cache: a key was stored or evicted."""

    __slots__ = ("key", "kind", "number")

    def __init__(self, number, kind, key):
        self.number = number
        self.kind = kind
        self.key = key


class EngineInterface:
    """The closures through which an agent speaks to its engine.

    Attributes
    ----------
    generate : async generator function
        ``generate(start)`` begins a stream, or goes on from a prefix of token ids, and
        yields lists of `Token`; leaving it cancels the stream.
    cancel : async callable
        ``cancel(start)`` cancels a stream also where closing it is not noticed.
    report : async callable
        Returns an `EngineReport`.
    cache_events : async callable
        ``cache_events(since)`` returns the events from a number on, as a list.
    order : async callable
        ``order(target_order)`` loads, unloads or changes the role.
    """

    __slots__ = ("cache_events", "cancel", "generate", "order", "report")

    def __init__(self, generate, cancel, report, cache_events, order):
        self.generate = generate
        self.cancel = cancel
        self.report = report
        self.cache_events = cache_events
        self.order = order


def make_client():
    """Return the HTTP client that an agent keeps for its target."""
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS, max_keepalive_connections=MAX_CONNECTIONS
    )
    timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_S)
    return httpx.AsyncClient(limits=limits, timeout=timeout, trust_env=False)


def http_engine(client, address):
    """Return the interface of the engine that listens at `address`."""
    base = f"http://{address}"

    async def generate(start):
        request = client.build_request(
            "POST", f"{base}/generate", json=_generate_body(start)
        )
        ended = False
        try:
            response = await client.send(request, stream=True)
        except httpx.ConnectError as error:
            raise AlmonddealError(TARGET_REFUSED, f"engine: {error}") from None
        except httpx.HTTPError as error:
            raise AlmonddealError(ATTEMPT_LOST, f"engine: {error!r}") from None
        try:
            if response.status_code != 200:
                detail = f"engine answered {response.status_code}"
                raise AlmonddealError(TARGET_REFUSED, detail)
            async for tokens in _read_tokens(response):
                ended = bool(tokens[-1].finish_reason)
                yield tokens
                if ended:
                    return
        except httpx.HTTPError as error:
            raise AlmonddealError(ATTEMPT_LOST, f"engine: {error!r}") from None
        finally:
            with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
                await response.aclose()
        if not ended:
            raise AlmonddealError(ATTEMPT_LOST, "engine closed the stream early")

    async def report():
        with anyio.fail_after(PROBE_TIMEOUT_S):
            response = await client.get(f"{base}/load")
        return _parse_report(response.json())

    async def cancel(start):
        body = {"request": start.spec.request, "attempt": start.attempt}
        with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
            try:
                await client.post(f"{base}/cancel", json=body)
            except httpx.HTTPError:
                return

    async def cache_events(since):
        with anyio.fail_after(PROBE_TIMEOUT_S):
            response = await client.get(f"{base}/events", params={"since": since})
        return [
            CacheEvent(e["number"], e["kind"], bytes.fromhex(e["key"]))
            for e in response.json()
        ]

    async def order(target_order):
        body = {
            "fence": target_order.fence,
            "kind": target_order.kind,
            "model": target_order.model,
            "version": target_order.version,
            "role": target_order.role,
        }
        try:
            response = await client.post(f"{base}/order", json=body)
        except httpx.HTTPError as error:
            raise AlmonddealError(TARGET_REFUSED, f"engine: {error!r}") from None
        if response.status_code == 409:
            raise AlmonddealError(STALE_FENCE, "the engine refused the number")
        if response.status_code != 200:
            detail = f"engine answered {response.status_code}"
            raise AlmonddealError(TARGET_REFUSED, detail)

    return EngineInterface(generate, cancel, report, cache_events, order)


def _generate_body(start):
    spec = start.spec
    return {
        "request": spec.request,
        "attempt": start.attempt,
        "model": spec.model,
        "version": spec.version,
        "adapter": spec.adapter,
        "prompt": spec.prompt,
        "prefix": start.prefix,
        "settings": json.loads(spec.settings_json),
        # Priming fills the cache with the prefix and generates nothing.
        "max_tokens": len(start.prefix) if start.prime else spec.max_tokens,
        "priority": start.priority,
        "cache_key": (start.cache_key or b"").hex(),
    }


async def _read_tokens(response):
    rest = b""
    async for data in response.aiter_bytes():
        *lines, rest = (rest + data).split(b"\n")
        tokens = [_parse_token(line) for line in lines if line]
        if tokens:
            yield tokens


def _parse_token(line):
    raw = json.loads(line)
    return Token(
        raw.get("index", -1),
        raw.get("id", 0),
        raw.get("text", ""),
        raw.get("finish", ""),
    )


def _parse_report(raw):
    load = Load(
        raw["running"],
        raw["waiting"],
        raw["slots"],
        raw["free_tokens"],
        raw["token_ms"],
        raw["age_ms"],
    )
    models = [
        ModelState(m["model"], m["version"], m.get("adapters", []))
        for m in raw["models"]
    ]
    return EngineReport(load, models, raw.get("role", ""))
