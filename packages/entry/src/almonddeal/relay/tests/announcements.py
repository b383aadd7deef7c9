"""Announcements of scripted targets."""

from almonddeal.announced.announcement import READY
from almonddeal_common.wire.gen.ttypes import AnnouncedTarget


def make_announcement(
    target,
    domain="fd1",
    born_ms=1000,
    state=READY,
    service="s",
    slots=64,
    version="v1",
):
    number = int(target.rpartition("-")[2])
    return AnnouncedTarget(
        target,
        service,
        f"10.0.0.{number}:80",
        domain,
        version,
        slots,
        state,
        born_ms,
        1,
        0,
        0,
    )
