"""Tests of reading bodies whose bytes are all there at once."""

import anyio
import pytest
from anyio.lowlevel import checkpoint

from almonddeal_common.bodies import (
    MAX_PIECE_BYTES,
    BodyTooLargeError,
    in_pieces,
    read_limited,
)


async def make_chunks(*chunks):
    for chunk in chunks:
        yield chunk


def count_turns(function, *args):
    """Return how often another task runs while an async function does, and its result.

    The other task runs at each opportunity.
    """

    async def main():
        n_turns = 0

        async def count():
            nonlocal n_turns
            while True:
                await checkpoint()
                n_turns += 1

        async with anyio.create_task_group() as group:
            group.start_soon(count)
            await checkpoint()
            result = await function(*args)
            group.cancel_scope.cancel()
        return n_turns, result

    return anyio.run(main)


async def join_pieces(chunks):
    return [piece async for piece in in_pieces(chunks)]


class TestBytesThatAreThereAtOnce:
    """Pattern: a peer sends tiny chunks or long reads without a pause."""

    # Guards against one body that keeps the event loop from all other requests.
    @pytest.mark.parametrize(
        "chunks", [[b"x"] * 1000, [b"x" * 1000 * MAX_PIECE_BYTES]], ids=["tiny", "long"]
    )
    @pytest.mark.parametrize(
        "read", [join_pieces, lambda chunks: read_limited(chunks, 1 << 30)]
    )
    def test_other_tasks_run_after_each_piece(self, read, chunks):
        n_turns, _ = count_turns(read, make_chunks(*chunks))
        assert n_turns >= 1000

    def test_pieces_have_all_bytes_in_order(self):
        chunks = [b"", b"abc", bytes(range(256)) * 100, b"d"]
        _, pieces = count_turns(join_pieces, make_chunks(*chunks))
        assert b"".join(pieces) == b"".join(chunks)
        assert max(map(len, pieces)) == MAX_PIECE_BYTES

    def test_body_beyond_the_limit_is_refused(self):
        with pytest.raises(BodyTooLargeError):
            anyio.run(read_limited, make_chunks(b"ab", b"c"), 2)
        assert anyio.run(read_limited, make_chunks(b"ab", b"c"), 3) == b"abc"
