"""Client of the platform's engine API.

To support another engine, replace this module; no other one knows the HTTP paths.
"""

import json

import anyio
import httpx

from almonddeal_common.bodies import in_pieces, read_limited
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    STALE_FENCE,
    TARGET_REFUSED,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import Load, ModelState

POLL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 0.5
TARGET_ORDER_TIMEOUT_S = 600.0  # weights of a large model load for minutes
MAX_LINE_BYTES = 1024 * 1024  # of a stream; a token has some dozens of bytes
MAX_QUERY_BYTES = 4 * 1024 * 1024
MAX_CONNECTIONS = 1024
# What the parsing of bytes raises that are no valid message of the engine.
MALFORMED = (ValueError, TypeError, AttributeError, KeyError)

log = get_logger("engine")


class Token:
    """A generated token, or the end of the stream if `finish_reason` is set."""

    __slots__ = ("finish_reason", "index", "text", "token")

    def __init__(self, index, token, text, finish_reason=""):
        self.index = index
        self.token = token
        self.text = text
        self.finish_reason = finish_reason


class EngineReport:
    """Report of an engine: its load, its loaded versions and its role."""

    __slots__ = ("load", "models", "role")

    def __init__(self, load, models, role=""):
        self.load = load
        self.models = models
        self.role = role


class CacheEvent:
    """Event of an engine's prefix cache: a key was stored or evicted."""

    __slots__ = ("key", "kind", "number")

    def __init__(self, number, kind, key):
        self.number = number
        self.kind = kind
        self.key = key


class EngineInterface:
    """The operations of an engine, as closures.

    Attributes
    ----------
    generate : async generator function
        ``generate(start)`` starts a stream, or resumes it after the tokens generated so
        far (``start.prefix``), and yields lists of `Token`; closing the generator
        cancels the stream.
    cancel : async callable
        ``cancel(start)`` cancels a stream explicitly, for engines that do not notice a
        closed connection.
    report : async callable
        Returns an `EngineReport`.
    cache_events : async callable
        ``cache_events(since)`` returns the list of events numbered `since` and up.
    send_target_order : async callable
        ``send_target_order(target_order)`` loads or unloads a version, or changes the
        role.
    """

    __slots__ = ("cache_events", "cancel", "generate", "report", "send_target_order")

    def __init__(self, generate, cancel, report, cache_events, send_target_order):
        self.generate = generate
        self.cancel = cancel
        self.report = report
        self.cache_events = cache_events
        self.send_target_order = send_target_order


def make_client():
    """Return the HTTP client for an agent's target.

    Connections are not kept: a second copy of a response that arrives late would be
    taken for the response to the next request on its connection.
    """
    limits = httpx.Limits(max_connections=MAX_CONNECTIONS, max_keepalive_connections=0)
    timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_S)
    return httpx.AsyncClient(limits=limits, timeout=timeout, trust_env=False)


def http_engine(client, address):
    """Return the `EngineInterface` of the engine at `address`."""
    base_url = f"http://{address}"

    async def generate(start):
        request = client.build_request(
            "POST", f"{base_url}/generate", json=_generate_body(start)
        )
        is_complete = False
        try:
            response = await client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise AlmonddealError(TARGET_REFUSED, f"engine: {error!r}") from None
        except httpx.HTTPError as error:
            raise AlmonddealError(ATTEMPT_LOST, f"engine: {error!r}") from None
        try:
            if response.status_code != 200:
                detail = f"engine answered {response.status_code}"
                raise AlmonddealError(TARGET_REFUSED, detail)
            async for tokens in _read_tokens(response):
                is_complete = bool(tokens[-1].finish_reason)
                yield tokens
                if is_complete:
                    return
        except (httpx.HTTPError, *MALFORMED) as error:
            raise AlmonddealError(ATTEMPT_LOST, f"engine: {error!r}") from None
        finally:
            with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
                await response.aclose()
        if not is_complete:
            raise AlmonddealError(ATTEMPT_LOST, "engine closed the stream early")

    async def query(method, path, **content):
        """Send a query; return the status and the bounded body of the response."""
        async with client.stream(method, base_url + path, **content) as response:
            body = await read_limited(response.aiter_bytes(), MAX_QUERY_BYTES)
            return response.status_code, body

    async def report():
        with anyio.fail_after(POLL_TIMEOUT_S):
            _, body = await query("GET", "/load")
        return _parse_report(json.loads(body))

    async def cancel(start):
        body = {"request": start.spec.request, "attempt": start.attempt}
        with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
            try:
                await query("POST", "/cancel", json=body)
            except (httpx.HTTPError, ValueError) as error:
                # The engine also sees that the connection of the stream was closed.
                log.info("engine did not confirm a cancellation: %r", error)

    async def cache_events(since):
        with anyio.fail_after(POLL_TIMEOUT_S):
            _, body = await query("GET", "/events", params={"since": since})
        return [
            CacheEvent(e["number"], e["kind"], bytes.fromhex(e["key"]))
            for e in json.loads(body)
        ]

    async def send_target_order(target_order):
        body = {
            "fence": target_order.fence,
            "kind": target_order.kind,
            "model": target_order.model,
            "version": target_order.version,
            "role": target_order.role,
        }
        try:
            with anyio.fail_after(TARGET_ORDER_TIMEOUT_S):
                status, _ = await query("POST", "/order", json=body)
        except (httpx.HTTPError, TimeoutError, ValueError) as error:
            raise AlmonddealError(TARGET_REFUSED, f"engine: {error!r}") from None
        if status == 409:
            raise AlmonddealError(STALE_FENCE, "the engine refused the number")
        if status != 200:
            raise AlmonddealError(TARGET_REFUSED, f"engine answered {status}")

    return EngineInterface(generate, cancel, report, cache_events, send_target_order)


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
        # Priming only prefills the KV cache. As `max_tokens` counts the prefix, no
        # token is generated.
        "max_tokens": len(start.prefix) if start.prime else spec.max_tokens,
        "priority": start.priority,
        "cache_key": (start.cache_key or b"").hex(),
    }


async def _read_tokens(response):
    rest = b""
    async for data in in_pieces(response.aiter_bytes()):
        *lines, rest = (rest + data).split(b"\n")
        if len(rest) > MAX_LINE_BYTES:
            raise ValueError(f"a line has more than {MAX_LINE_BYTES} bytes")
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
