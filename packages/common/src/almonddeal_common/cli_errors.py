"""How a command line ends on an error: all of them printed, one exit status."""

import sys
from contextlib import contextmanager

import click

from almonddeal_common.codes import INTERNAL, AlmonddealError


def flatten(error):
    """Return the leaves of an exception group, or the exception itself, as a list."""
    if isinstance(error, BaseExceptionGroup):
        return [leaf for part in error.exceptions for leaf in flatten(part)]
    return [error]


@contextmanager
def exit_with_errors():
    """Turn errors with a result code into printed lines and an exit status."""
    try:
        yield
    except (AlmonddealError, ExceptionGroup) as error:
        leaves = flatten(error)
        known = [leaf for leaf in leaves if isinstance(leaf, AlmonddealError)]
        if len(known) < len(leaves):
            raise
        for leaf in known:
            click.echo(f"error {leaf.code.number} {leaf}", err=True)
        sys.exit(known[0].code.exit_status if known else INTERNAL.exit_status)
