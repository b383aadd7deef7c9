"""Software versions that began streams, as kept by control and entry instances."""

from collections import Counter

from almonddeal.announced.expiring_map import ExpiringMap
from almonddeal_common.clock import wall_ms

UNKNOWN_VERSION = ""  # no target announces it
RETENTION_MS = 60_000.0  # longer than the longest request timeout of a route
MAX_ORIGINS = 20_000


class StreamOrigins(ExpiringMap):
    """Records of `StreamOrigin` by request id.

    The version of a record changes at most once, to `UNKNOWN_VERSION`, so that
    instances may receive records repeatedly and in any order.
    """

    def __init__(self):
        super().__init__(RETENTION_MS, MAX_ORIGINS)
        self._count_by_version_by_service = {}

    def add(self, origin):
        """Add a record, or that its version is unknown; return whether that was new."""
        if origin.request not in self:
            self._count_by_version(origin.service_name)[origin.version] += 1
            self.put(origin.request, origin, max(0.0, wall_ms() - origin.began_ms))
            return True
        return origin.version == UNKNOWN_VERSION and self.retract(origin.request)

    def retract(self, request):
        """Make the version of a record unknown; return whether it was known.

        Changes the record itself, as the streams that it is about refer to it.
        """
        origin = self.get(request)
        if origin is None or origin.version == UNKNOWN_VERSION:
            return False
        self._forget(origin)
        origin.version = UNKNOWN_VERSION
        self._count_by_version(origin.service_name)[UNKNOWN_VERSION] += 1
        self.put(request, origin, max(0.0, wall_ms() - origin.began_ms))
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

        Streams of an unknown version are left out. None as well while there are so many
        records that some were evicted.
        """
        if len(self) >= MAX_ORIGINS:
            return None
        count_by_version = self._count_by_version_by_service.get(service_name, {})
        versions = [v for v in count_by_version if v != UNKNOWN_VERSION]
        return versions[0] if len(versions) == 1 else None
