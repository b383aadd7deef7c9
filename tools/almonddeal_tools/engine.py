"""Stand-in for an inference engine: continuous batching, a prefix cache and faults.

Run as ``python -m almonddeal_tools.engine --listen 127.0.0.1:6001``. ``POST /fault``
injects a fault; ``GET /records`` returns a record of every attempt.
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
    digest_request,
    next_token,
    token_text,
)
from almonddeal_tools.slots import PrioritySlots

CACHE_BLOCK_TOKENS = 64
ENGINE_BITS = 3  # low bits of a nonce, which hold the engine number
MAX_CACHE_BLOCKS = 4096


def draw_nonce(engine_number):
    """Return a random nonce that no other engine of a fleet of up to 8 draws.

    Parameters
    ----------
    engine_number : int
        Unique within the fleet; its `ENGINE_BITS` low bits are those of the nonce.
    """
    drawn = random.getrandbits(NONCE_BITS - ENGINE_BITS)
    return drawn << ENGINE_BITS | engine_number % (1 << ENGINE_BITS)


class Attempt:
    """One execution of a request: its parameters and its progress.

    Parameters
    ----------
    body : dict
        JSON body of ``POST /generate``.
    engine_number : int
    """

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
        self.context = digest_request(
            self.model, self.version, self.prompt, settings_json
        )
        self.nonce = draw_nonce(engine_number)
        self.n_computed = 0
        self.n_prefill = 0
        self.is_cancelled = False
        self.is_hung = False
        self.is_stopped = False

    def to_record(self):
        """Return the entry of the attempt in ``GET /records``, as a dict."""
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
    """LRU caches of prompt blocks and of the cache keys of requests.

    Storing and evicting a cache key emits an event. A share of the events is lost, as
    with real engines.

    Parameters
    ----------
    max_keys : int
        Number of cache keys kept.
    event_loss_rate : float
        Probability that an event is lost.
    """

    def __init__(self, max_keys, event_loss_rate):
        self._blocks = OrderedDict()
        self._keys = OrderedDict()
        self._max_keys = max_keys
        self._event_loss_rate = event_loss_rate
        self.events = []
        self._n_events = 0

    def touch_key(self, key):
        """Mark a cache key as most recently used; evicts keys beyond the maximum."""
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
        if random.random() >= self._event_loss_rate:
            at_s = anyio.current_time()
            event = {"number": self._n_events, "kind": kind, "key": key}
            self.events.append((at_s, event))
            del self.events[:-1000]

    def prefill(self, sequence):
        """Cache a sequence; returns the number of tokens not cached before."""
        n_cached = 0
        hit = True
        for end in range(CACHE_BLOCK_TOKENS, len(sequence) + 1, CACHE_BLOCK_TOKENS):
            key = hash(tuple(sequence[:end]))
            hit = hit and key in self._blocks
            if hit:
                n_cached = end
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > MAX_CACHE_BLOCKS:
            self._blocks.popitem(last=False)
        return len(sequence) - n_cached


class Engine:
    """Model of an engine: batch, caches, loaded models, orders and faults.

    Parameters
    ----------
    options : dict
        The keys of `DEFAULT_OPTIONS`, and ``models`` as [name, version] pairs.
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
        self.load_lock = anyio.Lock()
        self.orders = []
        self.is_refusing = False
        self.is_hung = False
        self.slots = PrioritySlots(options["slots"])
        self._load_reports = []

    @property
    def token_ms(self):
        """Decode time per token in ms at the current batch size."""
        return self.options["token_ms"] + self.options["batch_ms"] * len(self.running)

    def report_load(self):
        """Return the load as it was ``report_lag_ms`` ago, as a dict."""
        now = anyio.current_time()
        self._load_reports.append((now, self._current_load()))
        lag_s = self.options["report_lag_ms"] / 1000
        while len(self._load_reports) > 1 and self._load_reports[1][0] <= now - lag_s:
            self._load_reports.pop(0)
        at_s, load = self._load_reports[0]
        return {**load, "age_ms": int((now - at_s) * 1000)}

    def _current_load(self):
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
        """Return whether a version of a model is loaded."""
        return [model, version] in self.models

    async def stream(self, attempt):
        """Wait for a batch slot and run an attempt; yields its lines of JSON."""
        record = attempt.to_record()
        self.records.append(record)
        self.n_waiting += 1
        has_slot = False
        try:
            async with self.slots.acquire(attempt.priority):
                self.n_waiting -= 1
                has_slot = True
                self.running.add(attempt)
                async for line in self._decode(attempt):
                    record.update(attempt.to_record())
                    yield line
        except BaseException:
            attempt.is_cancelled = True
            raise
        finally:
            if not has_slot:
                self.n_waiting -= 1
            self.running.discard(attempt)
            record.update(attempt.to_record())

    async def _decode(self, attempt):
        self.cache.touch_key(attempt.cache_key)
        sequence = [*attempt.prompt.split(), *attempt.prefix]
        attempt.n_prefill = self.cache.prefill(sequence)
        await anyio.sleep(attempt.n_prefill * self.options["prefill_us"] / 1e6)
        previous = attempt.prefix[-1] if attempt.prefix else -1
        index = len(attempt.prefix)
        due_s = anyio.current_time()
        while index < attempt.max_tokens and not attempt.is_stopped:
            while (self.is_hung or attempt.is_hung) and not attempt.is_stopped:
                await anyio.sleep(0.02)
            # Each step is scheduled relative to the due time of the previous one, so
            # that late timers do not accumulate; at most 100 ms are caught up.
            due_s = max(due_s + self.token_ms / 1000, anyio.current_time() - 0.1)
            await anyio.sleep(max(0.0, due_s - anyio.current_time()))
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
        return JSONResponse(self._engine.report_load())

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
        visible_until_s = (
            anyio.current_time() - self._engine.options["event_lag_ms"] / 1000
        )
        events = self._engine.cache.events
        visible = [
            e for at_s, e in events if at_s <= visible_until_s and e["number"] >= since
        ]
        return JSONResponse(visible)

    async def _order(self, request):
        engine = self._engine
        order = await request.json()
        engine.orders.append(order)
        if engine.options["honours_fencing"] and order["fence"] < engine.highest_fence:
            return JSONResponse({"error": "old fencing number"}, 409)
        engine.highest_fence = max(engine.highest_fence, order["fence"])
        pair = [order["model"], order["version"]]
        if order["kind"] == "load":
            # Loads are serialised: the weight store serves one version at a time.
            async with engine.load_lock:
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
            # Blocks the event loop, so that the whole process stalls as under SIGSTOP.
            time.sleep(fault["seconds"])
        elif fault["kind"] == "die":
            os._exit(1)
        return JSONResponse({"ok": True})


DEFAULT_OPTIONS = {
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


def make_server_config(listen):
    """Return the Hypercorn configuration of a stand-in."""
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
    merged = {**DEFAULT_OPTIONS, "models": [["draft", "v1"]], **json.loads(options)}

    async def run():
        app = EngineApp(Engine(merged)).make_app()
        await serve(app, make_server_config(listen))

    anyio.run(run)


if __name__ == "__main__":
    main()
