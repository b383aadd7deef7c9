"""Software versions that began streams, as kept by control and entry instances."""

from collections import Counter

from almonddeal.announced.expiring_map import ExpiringMap
from almonddeal_common.clock import wall_ms

RETENTION_MS = 60_000.0  # longer than the longest request timeout of a route
MAX_ORIGINS = 20_000


class StreamOrigins(ExpiringMap):
    """Records of `StreamOrigin` by request id; each is accepted once.

    A record is a fact and never changes, so that instances may receive it repeatedly
    and in any order.
    """

    def __init__(self):
        super().__init__(RETENTION_MS, MAX_ORIGINS)
        self._count_by_version_by_service = {}

    def add(self, origin):
        """Add a record; return whether it was new."""
        if origin.request in self:
            return False
        self._count_by_version(origin.service_name)[origin.version] += 1
        self.put(origin.request, origin, max(0.0, wall_ms() - origin.began_ms))
        return True

    def discard(self, key):
        """Remove a record, if present, without a new revision."""
        origin = self.get(key)
        if origin is not None:
            self._forget(origin)
        super().discard(key)

    def _forget(self, origin):
        count_by_version = self._count_by_version(origin.service_name)
        count_by_version[origin.version] -= 1
        if not count_by_version[origin.version]:
            del count_by_version[origin.version]
        if not count_by_version:
            del self._count_by_version_by_service[origin.service_name]

    def _count_by_version(self, service_name):
        return self._count_by_version_by_service.setdefault(service_name, Counter())

    def common_version(self, service_name):
        """Return the version that began all known streams of a service, or None.

        None as well while there are so many records that some were evicted.
        """
        if len(self) >= MAX_ORIGINS:
            return None
        count_by_version = self._count_by_version_by_service.get(service_name, {})
        return next(iter(count_by_version)) if len(count_by_version) == 1 else None
