"""The control side of following: each follower gets what changed since it heard."""

import anyio

from almonddeal.announced.versioned_map import VersionedMap
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import FollowUpdate, Ok, ShareRuns, ShareTargets

STALE_AFTER_MS = 900  # one lost heartbeat round and one retry of the leader's
FRESH_CHECK_S = 0.25
STALE_CHECK_S = 0.03  # followers wait for a configuration meanwhile
SHARE_TIMEOUT_MS = 600  # targets wait at most 1 s for their acknowledgement
KEEP_ENDED_RUN_MS = 3000  # followers hear of the end within milliseconds
KEEP_RUN_MS = 30_000  # longer than any route lets a request run

log = get_logger("feed")


class Feed:
    """Distributes configuration, targets and runs from one control instance.

    Parameters
    ----------
    name : str
        This control instance.
    publication : Publication
    registry : TargetRegistry
    control : ControlClient
        Tells how old this instance's knowledge of the group is.
    consensus : Consensus
        Its members are the other control instances.
    peer_by_name : dict of str to Peer
        The other control instances.
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
        self._kept_by_request = {}
        self._fresh = False

    @property
    def is_fresh(self):
        """Whether this instance would know of a newer committed configuration."""
        return 0 <= self._control.fresh_age_ms < STALE_AFTER_MS

    @property
    def n_followers(self):
        """Number of instances that follow this one now."""
        return len(self._n_links_by_instance)

    def notify_changed(self):
        """Wake all followers, after a change of configuration or members."""
        self._registry.announcements.notify()

    # ---- followers -------------------------------------------------------------

    async def handle_follow(self, link, message, emit):
        """Send updates to one follower for as long as its link lasts."""
        instance = message.instance
        count = self._n_links_by_instance.get(instance, 0)
        self._n_links_by_instance[instance] = count + 1
        decide(log, "gains a follower", instance=instance, version=message.have_version)
        try:
            await self._feed(message, emit)
        finally:
            self._n_links_by_instance[instance] -= 1
            if not self._n_links_by_instance[instance]:
                del self._n_links_by_instance[instance]
            decide(log, "loses a follower", instance=instance)

    async def _feed(self, message, emit):
        version = message.have_version
        targets_seen = runs_seen = 0
        addresses = is_fresh = None
        while True:
            update = FollowUpdate(version, b"", [], [], self.is_fresh, [], 0)
            publication = self._publication
            if self.is_fresh and publication.version > version:
                update.version = version = publication.version
                update.content = publication.packed
            update.targets = self._registry.announcements.changed_since(targets_seen)
            targets_seen = self._registry.announcements.revision
            update.runs = [
                run
                for run in self._runs.changed_since(runs_seen)
                if run.instance != message.instance
            ]
            runs_seen = self._runs.revision
            members = sorted(self._consensus.members.address_by_name.values())
            if members != addresses:
                update.member_addresses = addresses = members
            is_news = update.content or update.targets or update.runs
            if is_news or update.member_addresses or is_fresh != update.is_fresh:
                is_fresh = update.is_fresh
                update.n_followers = self.n_followers
                emit(update)
            await self._wait_news(version, targets_seen, runs_seen, is_fresh)

    async def _wait_news(self, version, targets_seen, runs_seen, is_fresh):
        while (
            self._registry.announcements.revision == targets_seen
            and self._runs.revision == runs_seen
            and (self._publication.version <= version or not self.is_fresh)
            and self.is_fresh == is_fresh
        ):
            await self._registry.announcements.wait()

    async def monitor_freshness(self):
        """Tell followers when this instance loses or regains touch with the group."""
        while True:
            await anyio.sleep(FRESH_CHECK_S if self._fresh else STALE_CHECK_S)
            if self.is_fresh != self._fresh:
                self._fresh = self.is_fresh
                decide(
                    log,
                    "is in touch with the group"
                    if self._fresh
                    else "is out of touch with the group",
                    age_ms=round(self._control.fresh_age_ms),
                    version=self._publication.version,
                )
                self.notify_changed()
            self._forget_old_runs()

    # ---- targets ---------------------------------------------------------------

    async def accept_announcement(self, record, origin):
        """Take a target's own word and bring it to the other control instances.

        Returns
        -------
        is_shared : bool
            Whether a majority of the group knows it now.
        """
        if not self._registry.merge(record, origin):
            return True
        return await self.replicate_announcement(
            self._registry.announcements.get(record.target)
        )

    async def replicate_announcement(self, record):
        """Bring a record to the other control instances; tells if a majority has it."""
        return await self._call_peers(ShareTargets([record]))

    async def _call_peers(self, message):
        members = self._consensus.members
        n_known = 1
        needed = members.quorum

        async def call(peer):
            nonlocal n_known
            try:
                await peer.call(message, SHARE_TIMEOUT_MS)
                n_known += 1
            except AlmonddealError as error:
                log.info("could not share with %s, %s", peer.name, error)

        async with anyio.create_task_group() as group:
            for name in members.others(self._name):
                peer = self._peer_by_name.get(name)
                if peer is not None and peer.is_up:
                    group.start_soon(call, peer)
        return n_known >= needed

    async def handle_share_targets(self, link, message, emit):
        """Merge records that another control instance shares."""
        for record in message.targets:
            self._registry.merge(record, link.peer.instance)
        return Ok()

    def send_full_state(self, link):
        """Bring a control instance up to date whose link is new."""
        targets = self._registry.announcements.values()
        if targets:
            link.notify(ShareTargets(targets))
        if len(self._runs):
            link.notify(ShareRuns(self._runs.values(), True))

    # ---- runs ------------------------------------------------------------------

    async def handle_share_runs(self, link, message, emit):
        """Pass on what followers run, so that all see the load of each target."""
        for run in message.runs:
            self._runs.put(run.request, run)
            self._kept_by_request[run.request] = (monotonic_ms(), run.is_ended)
        self._registry.announcements.notify()
        if not message.is_relayed:
            relayed = ShareRuns(message.runs, True)
            for peer in list(self._peer_by_name.values()):
                if peer.is_up:
                    peer.require_link().notify(relayed)
        return Ok()

    def _forget_old_runs(self):
        now_ms = monotonic_ms()
        for request, (put_ms, is_ended) in list(self._kept_by_request.items()):
            if now_ms - put_ms > (KEEP_ENDED_RUN_MS if is_ended else KEEP_RUN_MS):
                del self._kept_by_request[request]
                self._runs.discard(request)
