"""Virtual time for the relay tests, which makes them fast and deterministic."""

import pytest

from almonddeal_common.virtual_time import VirtualTime


@pytest.fixture(autouse=True)
def virtual_time():
    """Replace the clock by a virtual one, in which waits take no real time."""
    with VirtualTime() as virtual:
        yield virtual
