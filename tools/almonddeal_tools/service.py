"""Stand-in for an HTTP service; records every order that it executes.

Run as ``python -m almonddeal_tools.service --listen 127.0.0.1:6101 --log FILE``.
A record is appended to the file before the response, so that it survives a kill.
"""

import json

import anyio
import click
from hypercorn.asyncio import serve
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from almonddeal_tools.engine import make_server_config


class Service:
    """State and request handlers of the stand-in.

    Parameters
    ----------
    log_path : str
        File of execution records, one JSON object per line.
    delay_s : float
        Execution time of an order; a lookup takes a tenth of it.
    """

    def __init__(self, log_path, delay_s):
        self.delay_s = delay_s
        self.n_lookups = 0
        self.n_executed = 0
        self._log_path = log_path

    async def handle_order(self, request):
        """Execute an order: append its record, then respond after the delay."""
        body = await request.body()
        self.n_executed += 1
        number = self.n_executed
        record = {
            "number": number,
            "key": request.headers.get("idempotency-key"),
            "customer": request.headers.get("x-customer"),
            "body": body.decode(),
        }
        with open(self._log_path, "a") as file:
            file.write(json.dumps(record) + "\n")
        await anyio.sleep(self.delay_s)
        return JSONResponse({"executed": number, "body": body.decode()})

    async def handle_lookup(self, request):
        """Respond to a lookup."""
        self.n_lookups += 1
        await anyio.sleep(self.delay_s / 10)
        return JSONResponse({"status": "known", "path": request.url.path})


@click.command()
@click.option("--listen", required=True)
@click.option("--log", required=True)
@click.option("--delay-s", default=0.02)
def main(listen, log, delay_s):
    """Run the service stand-in."""
    service = Service(log, delay_s)
    app = Starlette(
        routes=[
            Route("/orders", service.handle_order, methods=["POST"]),
            Route("/status/{number}", service.handle_lookup),
        ]
    )

    async def run():
        await serve(app, make_server_config(listen))

    anyio.run(run)


if __name__ == "__main__":
    main()
