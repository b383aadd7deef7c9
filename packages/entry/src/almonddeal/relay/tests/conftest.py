"""The relay's tests run in virtual time: they wait for nothing and never differ."""

import pytest

from almonddeal_common.virtual_time import VirtualTime


@pytest.fixture(autouse=True)
def virtual_time():
    """Enter a clock that moves only while a test's coroutines run."""
    with VirtualTime() as virtual:
        yield virtual
