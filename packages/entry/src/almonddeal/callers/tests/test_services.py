"""Tests of calls of plain services while their instance stops."""

import hashlib
from functools import partial
from types import SimpleNamespace

import anyio
import httpx
import pytest

from almonddeal.callers import app as callers_app
from almonddeal.callers.app import CallerInterface
from almonddeal.document.model import FleetDocument
from almonddeal.entry_instance import HANDOVER_S, EntryInstance
from almonddeal_common.virtual_time import run_in_virtual_time

API_KEY = "secret"
DOCUMENT = {
    "format": 1,
    "customers": {
        "kite": {
            "key_sha256": [hashlib.sha256(API_KEY.encode()).hexdigest()],
            "services": ["badges"],
        }
    },
    "services": {
        "badges": {
            "timeout_ms": 8000,
            "lookups": [{"method": "GET", "path_prefix": "/status"}],
        }
    },
}
STOP_TIMEOUT_S = 5.0
POLL_S = 0.2


class Instance:
    """What `CallerInterface` and a drain use of an entry instance.

    Lookups take `lookup_s`.
    """

    is_fresh = True
    call_transport = retry_budget = None

    def __init__(self, monkeypatch, lookup_s):
        self.document = FleetDocument(1, DOCUMENT)
        self.limits = SimpleNamespace(check_rate=lambda customer: None)
        self.settings = SimpleNamespace(stop_timeout_s=STOP_TIMEOUT_S)
        self.answers = SimpleNamespace(
            is_stopping=False, n_generating=0, hand_over=lambda: None
        )
        self.orders = SimpleNamespace(n_in_flight=0)
        self.n_lookups_in_flight = 0
        self.n_run = 0

        async def run_lookup(*args):
            self.n_run += 1
            await anyio.sleep(lookup_s)
            return SimpleNamespace(body=b"done", status=200, headers={})

        monkeypatch.setattr(callers_app, "run_lookup", run_lookup)
        self.drain = partial(EntryInstance._drain, self)

    async def call(self, method):
        """Call the service; return the response."""
        transport = httpx.ASGITransport(CallerInterface(self).make_app())
        async with httpx.AsyncClient(transport=transport) as client:
            return await client.request(
                method,
                "http://entry/services/badges/status/7",
                headers={"authorization": f"Bearer {API_KEY}"},
            )


class TestStop:
    # Guards against a lookup that is passed on late in a stop and cut as the process
    # ends, which does not wait for it.
    @pytest.mark.parametrize("method", ["GET", "POST"])
    def test_call_that_arrives_during_the_stop_is_refused(self, method, monkeypatch):
        async def main():
            instance = Instance(monkeypatch, lookup_s=3.0)
            instance.answers.is_stopping = True
            response = await instance.call(method)
            return response, instance.n_run

        response, n_run = run_in_virtual_time(main)
        assert response.status_code == 503
        assert response.json()["error"]["name"] == "STOPPING"
        assert n_run == 0

    # Guards against a stop that does not wait for the lookups in flight.
    @pytest.mark.parametrize("lookup_s", [HANDOVER_S + 1.5, STOP_TIMEOUT_S + 2.0])
    def test_stop_waits_for_lookups_in_flight(self, lookup_s, monkeypatch):
        async def main():
            instance = Instance(monkeypatch, lookup_s)
            async with anyio.create_task_group() as group:
                group.start_soon(instance.call, "GET")
                while not instance.n_run:
                    await anyio.sleep(0)
                started_s = anyio.current_time()
                await instance.drain()
                took_s = anyio.current_time() - started_s
                group.cancel_scope.cancel()
            return took_s

        ends_s = min(lookup_s, STOP_TIMEOUT_S)
        assert ends_s <= run_in_virtual_time(main) <= ends_s + POLL_S
