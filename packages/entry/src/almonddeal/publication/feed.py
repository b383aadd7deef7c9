"""Control side of following: sends each follower what changed since its last update."""

import anyio

from almonddeal.announced.versioned_map import VersionedMap
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import FollowUpdate, Ok, ShareRuns, ShareTargets

STALE_AGE_MS = 900  # tolerates one lost heartbeat round and a retry of the leader
FRESH_CHECK_INTERVAL_S = 0.25
STALE_CHECK_INTERVAL_S = 0.03  # followers get no configuration until it is fresh
REPLICATION_TIMEOUT_MS = 600  # targets wait at most 1 s for an acknowledgement
ENDED_RUN_RETENTION_MS = 3000  # followers receive the end within milliseconds
RUN_RETENTION_MS = 30_000  # longer than the longest request timeout of a route

log = get_logger("feed")


class Feed:
    """Distributes the configuration, announcements and runs to followers.

    Parameters
    ----------
    name : str
        Member name of this control instance.
    publication : Publication
    registry : TargetRegistry
    control : ControlClient
        Gives the time since the last confirmed read of the group.
    consensus : Consensus
        Gives the members and their addresses.
    peer_by_name : dict of str to Peer
        Links to the other control instances.
    """

    def __init__(self, name, publication, registry, control, consensus, peer_by_name):
        self._name = name
        self._publication = publication
        self._registry = registry
        self._control = control
        self._consensus = consensus
        self._peer_by_name = peer_by_name
        self._runs = VersionedMap()
        self._n_links_by_instance = {}
        self._receipt_by_request = {}
        self._was_fresh = False

    @property
    def is_fresh(self):
        """Whether this instance was refreshed within the last `STALE_AGE_MS`.

        A fresh instance has every configuration committed before its last refresh.
        """
        return 0 <= self._control.fresh_age_ms < STALE_AGE_MS

    @property
    def n_followers(self):
        """Number of instances that follow this one."""
        return len(self._n_links_by_instance)

    def notify_changed(self):
        """Send updates after a change of configuration or members."""
        self._registry.announcements.notify()

    async def handle_follow(self, link, message, emit):
        """Send updates to one follower until its link closes."""
        instance = message.instance
        n_links = self._n_links_by_instance.get(instance, 0)
        self._n_links_by_instance[instance] = n_links + 1
        decide(
            log, "follower connected", instance=instance, version=message.have_version
        )
        try:
            await self._send_updates(message, emit)
        finally:
            self._n_links_by_instance[instance] -= 1
            if not self._n_links_by_instance[instance]:
                del self._n_links_by_instance[instance]
            decide(log, "follower disconnected", instance=instance)

    async def _send_updates(self, message, emit):
        version = message.have_version
        targets_sent = runs_sent = 0
        addresses = is_fresh = None
        while True:
            update = FollowUpdate(version, b"", [], [], self.is_fresh, [], 0)
            publication = self._publication
            if self.is_fresh and publication.version > version:
                update.version = version = publication.version
                update.content = publication.compressed
            update.targets = self._registry.announcements.changed_since(targets_sent)
            targets_sent = self._registry.announcements.revision
            update.runs = [
                run
                for run in self._runs.changed_since(runs_sent)
                if run.instance != message.instance
            ]
            runs_sent = self._runs.revision
            members = sorted(self._consensus.members.address_by_name.values())
            if members != addresses:
                update.member_addresses = addresses = members
            has_changes = update.content or update.targets or update.runs
            if has_changes or update.member_addresses or is_fresh != update.is_fresh:
                is_fresh = update.is_fresh
                update.n_followers = self.n_followers
                emit(update)
            await self._wait_for_change(version, targets_sent, runs_sent, is_fresh)

    async def _wait_for_change(self, version, targets_sent, runs_sent, is_fresh):
        while (
            self._registry.announcements.revision == targets_sent
            and self._runs.revision == runs_sent
            and (self._publication.version <= version or not self.is_fresh)
            and self.is_fresh == is_fresh
        ):
            await self._registry.announcements.wait()

    async def monitor_freshness(self):
        """Notify followers when this instance becomes fresh or stale; never returns."""
        while True:
            await anyio.sleep(
                FRESH_CHECK_INTERVAL_S if self._was_fresh else STALE_CHECK_INTERVAL_S
            )
            if self.is_fresh != self._was_fresh:
                self._was_fresh = self.is_fresh
                decide(
                    log,
                    "reads of the control group are confirmed again"
                    if self._was_fresh
                    else "reads of the control group are no longer confirmed",
                    age_ms=round(self._control.fresh_age_ms),
                    version=self._publication.version,
                )
                self.notify_changed()
            self._evict_old_runs()

    async def accept_announcement(self, announcement, origin):
        """Merge an announcement and replicate it to the other control instances.

        Returns
        -------
        is_replicated : bool
            Whether a majority of the control instances has it.
        """
        if not self._registry.merge(announcement, origin):
            return True
        return await self.replicate_announcement(
            self._registry.announcements.get(announcement.target)
        )

    async def replicate_announcement(self, announcement):
        """Replicate an announcement; return whether a majority acknowledged it."""
        return await self._replicate_to_peers(ShareTargets([announcement]))

    async def _replicate_to_peers(self, message):
        members = self._consensus.members
        n_acknowledged = 1
        n_required = members.quorum

        async def call(peer):
            nonlocal n_acknowledged
            try:
                await peer.call(message, REPLICATION_TIMEOUT_MS)
                n_acknowledged += 1
            except AlmonddealError as error:
                log.info(
                    "could not replicate to control instance %s: %s", peer.name, error
                )

        async with anyio.create_task_group() as group:
            for name in members.voters_except(self._name):
                peer = self._peer_by_name.get(name)
                if peer is not None and peer.is_up:
                    group.start_soon(call, peer)
        return n_acknowledged >= n_required

    async def handle_share_targets(self, link, message, emit):
        """Merge announcements replicated by another control instance."""
        for announcement in message.targets:
            self._registry.merge(announcement, link.peer.instance)
        return Ok()

    def send_full_state(self, link):
        """Send all announcements and runs to a control instance with a new link."""
        targets = self._registry.announcements.values()
        if targets:
            link.notify(ShareTargets(targets))
        if len(self._runs):
            link.notify(ShareRuns(self._runs.values(), True))

    async def handle_share_runs(self, link, message, emit):
        """Relay runs of followers, so that all of them see the load of each target."""
        for run in message.runs:
            self._runs.put(run.request, run)
            self._receipt_by_request[run.request] = (monotonic_ms(), run.is_ended)
        self._registry.announcements.notify()
        if not message.is_relayed:
            relayed_message = ShareRuns(message.runs, True)
            for peer in list(self._peer_by_name.values()):
                if peer.is_up:
                    peer.require_link().notify(relayed_message)
        return Ok()

    def _evict_old_runs(self):
        now_ms = monotonic_ms()
        for request, (received_ms, is_ended) in list(self._receipt_by_request.items()):
            if now_ms - received_ms > (
                ENDED_RUN_RETENTION_MS if is_ended else RUN_RETENTION_MS
            ):
                del self._receipt_by_request[request]
                self._runs.discard(request)
