"""Processor time that an event stream costs, by the shape of its bytes.

The cost has to be linear in the bytes: the ratio of the times of eight times the bytes
is to be below `MAX_RATIO`. A stream is fed as it is read, in pieces of
`MAX_PIECE_BYTES`, and in pieces of one byte.
"""

import time
from contextlib import suppress

from almonddeal.relay.events import MAX_EVENT_BYTES, EventReader
from almonddeal_common.bodies import MAX_PIECE_BYTES
from almonddeal_common.codes import AlmonddealError
from almonddeal_tools.bench.figures import print_figure

MAX_RATIO = 10.0
FACTOR = 8
# An event without an end is rejected beyond the limit of its size.
N_BYTES_WITHOUT_END = MAX_EVENT_BYTES // FACTOR
N_BYTES = 1024 * 1024
SHAPE_BY_NAME = {
    "empty lines": b"\n",
    "empty lines, CRLF": b"\r\n",
    "comments": b": ping\n\n",
    "comments without an end": b": ping\n",
    "lines without a field": b"x\n\n",
    "fields without a value": b"data\r\n\r\n",
    "events": b"id:1\ndata: x\n\n",
    "events, CRLF": b"id:1\r\ndata: x\r\n\r\n",
    "events of many lines": b"id:1\n" + b"data: x\n" * 200 + b"\n",
    "data lines without an end": b"data: x\n",
    "ids without an end": b"id:1\r\n",
    "lone CRs": b"\r",
    "no lines": b"x" * 64,
    "zero bytes": b"\x00" * 64,
}


def _measure_s(shape, n_bytes, piece_bytes):
    """Return the processor time in s of feeding a reader."""
    data = shape * (n_bytes // len(shape))
    reader = EventReader()
    started_s = time.process_time()
    with suppress(AlmonddealError):
        for start in range(0, len(data), piece_bytes):
            reader.feed(data[start : start + piece_bytes])
    return time.process_time() - started_s


def run():
    """Print the cost of each shape, and how it grows with the bytes."""
    for name, shape in SHAPE_BY_NAME.items():
        has_end = b"\n\n" in shape * 2 or b"\r\n\r\n" in shape * 2
        n_bytes = N_BYTES if has_end else N_BYTES_WITHOUT_END
        for piece_bytes in (MAX_PIECE_BYTES, 1):
            short_s = _measure_s(shape, n_bytes, piece_bytes)
            long_s = _measure_s(shape, FACTOR * n_bytes, piece_bytes)
            print_figure(
                f"{name}, pieces of {piece_bytes} bytes: growth by {FACTOR}",
                long_s / short_s,
                "ratio",
                MAX_RATIO,
                ms_per_mb=round(long_s * 1e9 / (FACTOR * n_bytes), 1),
            )
