"""Runs a fleet on loopback until interrupted, and prints commands for trying it."""

import time

import click

from almonddeal_tools.documents import KEY_BY_CUSTOMER
from almonddeal_tools.fleet import OPERATOR_TOKEN, Fleet


def _usage_lines(fleet):
    key = KEY_BY_CUSTOMER["tujenge"]
    caller = fleet.caller_urls[0]
    services = f"{caller}/services/badges"
    operator = fleet.operator_urls[0]
    auth = f"-H 'authorization: Bearer {key}'"
    body = (
        """'{"model": "draft", "prompt": "hello", "max_tokens": 40, "stream": true}'"""
    )
    chat = (
        """'{"model": "draft", "max_tokens": 40, """
        """"messages": [{"role": "user", "content": "hello"}]}'"""
    )
    return [
        f"callers:   {' '.join(fleet.caller_urls)}",
        f"operators: {' '.join(fleet.operator_urls)}",
        f"engines:   {' '.join(fleet.engine_urls)}",
        f"curl -N {auth} -d {body} {caller}/v1/completions",
        f"curl {auth} -d {chat} {caller}/v1/chat/completions",
        f"curl {auth} -H 'idempotency-key: k1' -d badge {services}/orders",
        f"curl {auth} {services}/status/1",
        f"curl -H 'authorization: Bearer {OPERATOR_TOKEN}' {operator}/v1/status",
        f"curl {operator}/metrics/",
        f"almonddeal --url {operator} --token {OPERATOR_TOKEN} status",
    ]


@click.command()
@click.option("--entries", default=3)
@click.option("--engines", default=3)
@click.option("--services", default=1)
def main(entries, engines, services):
    """Run a fleet on loopback until interrupted."""
    with Fleet(entries, engines, services) as fleet:
        for line in _usage_lines(fleet):
            click.echo(line)
        try:
            while True:
                time.sleep(1)
        except KeyboardInterrupt:
            click.echo("stopping")


if __name__ == "__main__":
    main()
