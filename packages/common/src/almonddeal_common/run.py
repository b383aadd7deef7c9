"""Run of an async function that is the last work of its process."""

import gc

import anyio


def run_and_exit_early(main, *args):
    """Run an async function, and leave its objects to the end of the process.

    The interpreter searches all objects for garbage before it exits, which takes longer
    than what else is left to do.
    """
    try:
        anyio.run(main, *args)
    finally:
        gc.freeze()
