"""Error reporting of commands: prints all errors and sets the exit status."""

import sys
from contextlib import contextmanager

import click

from almonddeal_common.codes import INTERNAL, AlmonddealError


def leaf_exceptions(error):
    """Return the leaf exceptions of a group, or a list of the exception itself."""
    if isinstance(error, BaseExceptionGroup):
        return [leaf for child in error.exceptions for leaf in leaf_exceptions(child)]
    return [error]


@contextmanager
def exit_with_errors():
    """Print errors that have a result code and exit with the status of the first.

    A group with any other exception is raised.
    """
    try:
        yield
    except (AlmonddealError, ExceptionGroup) as error:
        leaf_errors = leaf_exceptions(error)
        coded_errors = [
            leaf for leaf in leaf_errors if isinstance(leaf, AlmonddealError)
        ]
        if len(coded_errors) < len(leaf_errors):
            raise
        for leaf in coded_errors:
            click.echo(f"error {leaf.code.number} {leaf}", err=True)
        sys.exit(
            coded_errors[0].code.exit_status if coded_errors else INTERNAL.exit_status
        )
