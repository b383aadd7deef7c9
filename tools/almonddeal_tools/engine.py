"""A stand-in for a model engine: continuous batching, a prefix cache and faults.

Run as ``python -m almonddeal_tools.engine --listen 127.0.0.1:6001``. Faults are ordered
by ``POST /fault``. ``GET /records`` tells every attempt that ran.
"""

import json
import os
import random
import time
from collections import OrderedDict

import anyio
import click
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.responses import JSONResponse, StreamingResponse
from starlette.routing import Route

from almonddeal_tools.chain import (
    NONCE_BITS,
    context_digest,
    next_token,
    token_text,
)
from almonddeal_tools.slots import PrioritySlots

CACHE_BLOCK = 64
ENGINE_BITS = 3  # of a nonce; the numbers of a fleet's engines differ in them
MAX_CACHE_BLOCKS = 4096


def draw_nonce(engine_number):
    """Return a nonce that no other engine of a small fleet draws.

    Parameters
    ----------
    engine_number : int
        Different for the engines of a fleet; its lowest bits end the nonce.
    """
    drawn = random.getrandbits(NONCE_BITS - ENGINE_BITS)
    return drawn << ENGINE_BITS | engine_number % (1 << ENGINE_BITS)


class Attempt:
    """One running stream."""

    def __init__(self, body, engine_number):
        self.request = body["request"]
        self.attempt = body["attempt"]
        self.model = body["model"]
        self.version = body["version"]
        self.prompt = body["prompt"]
        self.prefix = list(body["prefix"])
        self.max_tokens = body["max_tokens"]
        self.priority = body["priority"]
        self.cache_key = body.get("cache_key", "")
        settings_json = json.dumps(body["settings"], sort_keys=True)
        self.context = context_digest(
            self.model, self.version, self.prompt, settings_json
        )
        self.nonce = draw_nonce(engine_number)
        self.n_computed = 0
        self.n_prefill = 0
        self.is_cancelled = False
        self.is_hung = False
        self.is_stopped = False

    def record(self):
        """Return the attempt as a dict for JSON."""
        return {
            "request": self.request,
            "attempt": self.attempt,
            "version": self.version,
            "n_prefix": len(self.prefix),
            "n_computed": self.n_computed,
            "n_prefill": self.n_prefill,
            "cancelled": self.is_cancelled,
        }


class PrefixCache:
    """Which prompt blocks are cached; the least recently used go first.

    Events tell of keys that callers gave; some are left out, as real ones are.
    """

    def __init__(self, max_keys, lost_share):
        self._blocks = OrderedDict()
        self._keys = OrderedDict()
        self._max_keys = max_keys
        self._lost_share = lost_share
        self.events = []
        self._n_events = 0

    def note_key(self, key):
        """Note that a key is in use; the least recently used ones are evicted."""
        if not key:
            return
        if key not in self._keys:
            self._add_event("stored", key)
        self._keys[key] = None
        self._keys.move_to_end(key)
        while len(self._keys) > self._max_keys:
            oldest, _ = self._keys.popitem(last=False)
            self._add_event("evicted", oldest)

    def _add_event(self, kind, key):
        self._n_events += 1
        if random.random() >= self._lost_share:
            at = anyio.current_time()
            event = {"number": self._n_events, "kind": kind, "key": key}
            self.events.append((at, event))
            del self.events[:-1000]

    def prefill(self, text_tokens):
        """Cache a sequence; returns the number of tokens that had to be computed."""
        n_cached = 0
        hit = True
        for end in range(CACHE_BLOCK, len(text_tokens) + 1, CACHE_BLOCK):
            key = hash(tuple(text_tokens[:end]))
            hit = hit and key in self._blocks
            if hit:
                n_cached = end
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > MAX_CACHE_BLOCKS:
            self._blocks.popitem(last=False)
        return len(text_tokens) - n_cached


class Engine:
    """State of the stand-in.

    Parameters
    ----------
    options : dict
        ``slots``, ``token_ms``, ``batch_ms``, ``prefill_us``, ``report_lag_ms``,
        ``honours_fencing``, ``load_s`` and ``models`` as [name, version] pairs.
    """

    def __init__(self, options):
        self.options = options
        self.number = options["number"]
        self.models = [list(pair) for pair in options["models"]]
        self.running = set()
        self.n_waiting = 0
        self.records = []
        self.cache = PrefixCache(options["cache_keys"], options["lost_events"])
        self.role = ""
        self.highest_fence = 0
        self.loading = anyio.Lock()
        self.orders = []
        self.is_refusing = False
        self.is_hung = False
        self.slots = PrioritySlots(options["slots"])
        self._reports = []

    @property
    def token_ms(self):
        """Time for one token at the present batch."""
        return self.options["token_ms"] + self.options["batch_ms"] * len(self.running)

    def report(self):
        """Return the load as of the report lag ago."""
        now = anyio.current_time()
        self._reports.append((now, self._load()))
        lag_s = self.options["report_lag_ms"] / 1000
        while len(self._reports) > 1 and self._reports[1][0] <= now - lag_s:
            self._reports.pop(0)
        at, load = self._reports[0]
        return {**load, "age_ms": int((now - at) * 1000)}

    def _load(self):
        return {
            "running": len(self.running),
            "waiting": self.n_waiting,
            "slots": self.options["slots"],
            "free_tokens": 1_000_000,
            "token_ms": self.token_ms,
            "role": self.role,
            "models": [{"model": m, "version": v} for m, v in self.models],
        }

    def serves(self, model, version):
        """Tell whether a version is loaded."""
        return [model, version] in self.models

    async def stream(self, attempt):
        """Yield the lines of one attempt."""
        record = attempt.record()
        self.records.append(record)
        self.n_waiting += 1
        entered = False
        try:
            async with self.slots.taken(attempt.priority):
                self.n_waiting -= 1
                entered = True
                self.running.add(attempt)
                async for line in self._decode(attempt):
                    record.update(attempt.record())
                    yield line
        except BaseException:
            attempt.is_cancelled = True
            raise
        finally:
            if not entered:
                self.n_waiting -= 1
            self.running.discard(attempt)
            record.update(attempt.record())

    async def _decode(self, attempt):
        self.cache.note_key(attempt.cache_key)
        sequence = [*attempt.prompt.split(), *attempt.prefix]
        attempt.n_prefill = self.cache.prefill(sequence)
        await anyio.sleep(attempt.n_prefill * self.options["prefill_us"] / 1e6)
        previous = attempt.prefix[-1] if attempt.prefix else -1
        index = len(attempt.prefix)
        due = anyio.current_time()
        while index < attempt.max_tokens and not attempt.is_stopped:
            while (self.is_hung or attempt.is_hung) and not attempt.is_stopped:
                await anyio.sleep(0.02)
            # Steps are scheduled from the one before, so that a late timer does not
            # slow the engine down for good.
            due = max(due + self.token_ms / 1000, anyio.current_time() - 0.1)
            await anyio.sleep(max(0.0, due - anyio.current_time()))
            token = next_token(attempt.context, previous, index, attempt.nonce)
            attempt.n_computed += 1
            line = {"index": index, "id": token, "text": token_text(token)}
            yield (json.dumps(line) + "\n").encode()
            previous = token
            index += 1
        yield b'{"finish": "length"}\n'


class EngineApp:
    """HTTP interface of the stand-in."""

    def __init__(self, engine):
        self._engine = engine

    def make_app(self):
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/generate", self._generate, methods=["POST"]),
                Route("/load", self._load),
                Route("/records", self._records),
                Route("/orders", self._orders),
                Route("/cancel", self._cancel, methods=["POST"]),
                Route("/events", self._events),
                Route("/order", self._order, methods=["POST"]),
                Route("/fault", self._fault, methods=["POST"]),
            ]
        )

    async def _generate(self, request):
        engine = self._engine
        attempt = Attempt(await request.json(), engine.number)
        if engine.is_refusing:
            return JSONResponse({"error": "refusing"}, 503)
        if not engine.serves(attempt.model, attempt.version):
            return JSONResponse({"error": "not loaded"}, 409)
        stream = engine.stream(attempt)
        return StreamingResponse(stream, media_type="application/x-ndjson")

    async def _load(self, request):
        if self._engine.is_hung:
            await anyio.sleep(60)
        return JSONResponse(self._engine.report())

    async def _records(self, request):
        return JSONResponse(self._engine.records)

    async def _orders(self, request):
        return JSONResponse(self._engine.orders)

    async def _cancel(self, request):
        body = await request.json()
        for attempt in self._engine.running:
            if (attempt.request, attempt.attempt) == (body["request"], body["attempt"]):
                attempt.is_stopped = True
        return JSONResponse({"ok": True})

    async def _events(self, request):
        since = int(request.query_params["since"])
        before = anyio.current_time() - self._engine.options["event_lag_ms"] / 1000
        events = self._engine.cache.events
        late = [e for at, e in events if at <= before and e["number"] >= since]
        return JSONResponse(late)

    async def _order(self, request):
        engine = self._engine
        order = await request.json()
        engine.orders.append(order)
        if engine.options["honours_fencing"] and order["fence"] < engine.highest_fence:
            return JSONResponse({"error": "old fencing number"}, 409)
        engine.highest_fence = max(engine.highest_fence, order["fence"])
        pair = [order["model"], order["version"]]
        if order["kind"] == "load":
            # The weight store gives one version at a time.
            async with engine.loading:
                await anyio.sleep(engine.options["load_s"])
            if pair not in engine.models:
                engine.models.append(pair)
        elif order["kind"] == "role":
            engine.role = order["role"]
        elif pair in engine.models:
            engine.models.remove(pair)
        return JSONResponse({"ok": True})

    async def _fault(self, request):
        engine = self._engine
        fault = await request.json()
        if fault["kind"] == "hang":
            engine.is_hung = fault.get("on", True)
        elif fault["kind"] == "hang_stream":
            for attempt in engine.running:
                if attempt.request.endswith(fault["request"]):
                    attempt.is_hung = True
                    break
        elif fault["kind"] == "refuse":
            engine.is_refusing = fault.get("on", True)
        elif fault["kind"] == "pause":
            # Nothing of the process runs meanwhile, as under SIGSTOP.
            time.sleep(fault["seconds"])
        elif fault["kind"] == "die":
            os._exit(1)
        return JSONResponse({"ok": True})


DEFAULTS = {
    "number": 0,
    "slots": 64,
    "token_ms": 5.0,
    "batch_ms": 0.05,
    "prefill_us": 50.0,
    "report_lag_ms": 200,
    "honours_fencing": True,
    "load_s": 1.0,
    "cache_keys": 512,
    "lost_events": 0.02,
    "event_lag_ms": 300,
}


def make_config(listen):
    """Return the hypercorn configuration of a stand-in."""
    config = Config()
    config.bind = [listen]
    config.accesslog = None
    config.errorlog = None
    config.backlog = 2048
    config.keep_alive_timeout = 3600
    config.graceful_timeout = 0.2
    return config


@click.command()
@click.option("--listen", required=True)
@click.option("--options", default="{}", help="JSON object of options.")
def main(listen, options):
    """Run the engine stand-in."""
    merged = {**DEFAULTS, "models": [["draft", "v1"]], **json.loads(options)}

    async def run():
        app = EngineApp(Engine(merged)).make_app()
        await serve(app, make_config(listen))

    anyio.run(run)


if __name__ == "__main__":
    main()
