"""Sends each subscriber, an entry instance, what changed since its last update."""

import anyio

from almonddeal.announced.expiring_map import ExpiringMap
from almonddeal.announced.versioned_map import VersionedMap
from almonddeal.publication.follower import MAX_SILENCE_MS
from almonddeal.publication.record_stores import RecordStores
from almonddeal.publication.revisions import Revisions
from almonddeal.publication.subscriber_states import SubscriberStates
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import NO_QUORUM, OK, AlmonddealError
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.pauses import PauseDetector
from almonddeal_common.wire.gen.ttypes import (
    FollowUpdate,
    Ok,
    ReadFreshReply,
    ShareRuns,
    ShareTargets,
)

# Tolerates a lost round of Raft heartbeats and a retry of the leader.
STALE_AGE_MS = 900
CHECK_INTERVAL_WHILE_FRESH_S = 0.25
CHECK_INTERVAL_WHILE_STALE_S = 0.03  # subscribers get no configuration until fresh
REPLICATION_TIMEOUT_MS = 600  # targets wait at most 1 s for an acknowledgement
CATCH_UP_TIMEOUT_MS = 300  # subscribers wait a little longer for the reply
# A fresh instance is silent for at most a third of what its subscribers accept as the
# age of what they know, so that one late update does not exceed it.
HEARTBEAT_INTERVAL_S = MAX_SILENCE_MS / 3 / 1000
ENDED_RUN_RETENTION_MS = 3000  # subscribers receive the end within milliseconds
LIMIT_RETENTION_MS = 3000  # instances repeat their reports every second
MAX_LOGGED = 20
RUN_RETENTION_MS = 30_000  # longer than the longest request timeout of a route

log = get_logger("feed")


def _of_others(instance, records):
    return [record for record in records if record.instance != instance]


class Feed:
    """Distributes configuration, announcements and reports to subscribers.

    Parameters
    ----------
    name : str
        Member name of this control instance.
    publication : Publication
    registry : TargetRegistry
    control_client : ControlClient
        Gives the time since the last confirmed read of the group.
    consensus : Consensus
        Gives the members and their addresses.
    peer_by_name : dict of str to Peer
        Links to the other control instances.

    Attributes
    ----------
    evidence : EvidenceStore
        Evidence on requests and prompt segments, of all instances.
    origins : StreamOrigins
        Software versions that began streams, of all instances.
    """

    def __init__(
        self, name, publication, registry, control_client, consensus, peer_by_name
    ):
        self._name = name
        self._publication = publication
        self._registry = registry
        self._control_client = control_client
        self._consensus = consensus
        self._peer_by_name = peer_by_name
        self._runs = VersionedMap()
        self._records = RecordStores()
        self.evidence = self._records.store_by_field["evidence"]
        self.origins = self._records.store_by_field["origins"]
        self._limits = ExpiringMap(LIMIT_RETENTION_MS)
        self._entries = SubscriberStates()
        self._n_links_by_instance = {}
        self._sent_by_link = {}
        # Pairs of the time of receipt in ms and whether the run has ended.
        self._receipt_by_request = {}
        self._was_fresh = False

    @property
    def is_fresh(self):
        """Whether this instance was refreshed within the last `STALE_AGE_MS`.

        A fresh instance has every configuration committed before its last refresh.
        """
        return 0 <= self._control_client.fresh_age_ms < STALE_AGE_MS

    @property
    def n_followers(self):
        """Number of entry instances that subscribe to this one."""
        return len(self._n_links_by_instance)

    def notify_changed(self):
        """Wake the senders of updates after a change of configuration or members."""
        self._registry.announcements.notify()

    async def handle_follow(self, link, message, emit):
        """Send updates to one subscriber until its link closes; handles `Follow`."""
        instance = message.instance
        n_links = self._n_links_by_instance.get(instance, 0)
        self._n_links_by_instance[instance] = n_links + 1
        decide(
            log, "subscriber connected", instance=instance, version=message.have_version
        )
        try:
            await self._send_updates(link, message, emit)
        finally:
            self._sent_by_link.pop(link, None)
            self._share_ended(link)
            self._n_links_by_instance[instance] -= 1
            if not self._n_links_by_instance[instance]:
                del self._n_links_by_instance[instance]
            decide(log, "subscriber disconnected", instance=instance)

    async def _send_updates(self, link, message, emit):
        sent_version, own = message.have_version, message.instance
        sent = Revisions(0, 0, 0, 0, (0,) * len(self._records.revisions))
        sent_addresses = sent_is_fresh = None
        is_due = False
        while True:
            update = FollowUpdate(
                sent_version, b"", [], [], self.is_fresh, [], 0, [], origins=[]
            )
            publication = self._publication
            if self.is_fresh and publication.version > sent_version:
                update.version = sent_version = publication.version
                update.content = publication.compressed
            update.targets = self._registry.announcements.changed_since(
                sent.announcements
            )
            update.runs = _of_others(own, self._runs.changed_since(sent.runs))
            # Also those of the subscriber itself, which may have restarted.
            records_by_field = self._records.changed_since(sent.records)
            for field, records in records_by_field.items():
                setattr(update, field, records)
            update.limits = _of_others(own, self._limits.changed_since(sent.limits))
            update.entries = _of_others(own, self._entries.changed_since(sent.entries))
            sent = self._revisions()
            members = sorted(self._consensus.members.address_by_name.values())
            if members != sent_addresses:
                update.member_addresses = sent_addresses = members
            if (
                update.content
                or update.targets
                or update.runs
                or update.limits
                or update.entries
                or records_by_field
                or update.member_addresses
                or sent_is_fresh != update.is_fresh
                or (is_due and update.is_fresh)
            ):
                sent_is_fresh = update.is_fresh
                update.n_followers = self.n_followers
                emit(update)
            self._sent_by_link[link] = sent
            with anyio.move_on_after(HEARTBEAT_INTERVAL_S) as scope:
                await self._wait_for_change(sent_version, sent, sent_is_fresh)
            is_due = scope.cancelled_caught

    async def handle_read_fresh(self, link, message, emit):
        """Reply to a subscriber behind all that a majority acknowledged before.

        The other members reply with their announcements, since their own links to this
        one may be down. The updates to the subscriber precede the reply to it.
        """
        is_confirmed = await self._call_peers(
            ShareTargets([]), CATCH_UP_TIMEOUT_MS, self._merge_reply
        )
        due = self._revisions()
        while is_confirmed and not self._has_sent(link, due):
            if link not in self._sent_by_link:
                is_confirmed = False
            self.notify_changed()
            await anyio.lowlevel.checkpoint()
        code = OK if is_confirmed else NO_QUORUM
        return ReadFreshReply(code.number, 0, self._name, 0)

    def _merge_reply(self, peer, reply):
        """Merge the announcements of a member; return whether it replied with them."""
        if not isinstance(reply, ShareTargets):
            log.info("control instance %s does not reply with announcements", peer.name)
            return False
        for announcement in reply.targets:
            self._registry.merge(announcement, peer.name)
        return True

    def _has_sent(self, link, due):
        sent = self._sent_by_link.get(link)
        return sent is not None and sent.include(due)

    def _revisions(self):
        return Revisions(
            self._registry.announcements.revision,
            self._runs.revision,
            self._limits.revision,
            self._entries.revision,
            self._records.revisions,
        )

    async def _wait_for_change(self, sent_version, sent_revisions, sent_is_fresh):
        while (
            self._revisions() == sent_revisions
            and (self._publication.version <= sent_version or not self.is_fresh)
            and self.is_fresh == sent_is_fresh
        ):
            await self._registry.announcements.wait()

    async def monitor_periodically(self):
        """Wake the senders when this instance becomes fresh or stale; evict old runs.

        Runs until cancelled.
        """
        pauses = PauseDetector()
        while True:
            if await pauses.sleep(
                CHECK_INTERVAL_WHILE_FRESH_S
                if self._was_fresh
                else CHECK_INTERVAL_WHILE_STALE_S
            ):
                self._registry.record_pause(monotonic_ms())
            if self.is_fresh != self._was_fresh:
                self._was_fresh = self.is_fresh
                decide(
                    log,
                    "reads of the control group are confirmed"
                    if self._was_fresh
                    else "reads of the control group are no longer confirmed",
                    age_ms=round(self._control_client.fresh_age_ms),
                    version=self._publication.version,
                )
                self.notify_changed()
            self._share_unheard()
            self._evict_old_runs()
            self._records.evict_stale()
            self._limits.evict_stale()
            self._entries.evict_stale()

    def _share_unheard(self):
        """Tell the others which targets this instance does not hear any more."""
        unheard = self._registry.mark_unheard(monotonic_ms())
        if not unheard:
            return
        decide(
            log,
            "heartbeats are overdue",
            targets=[announcement.target for announcement in unheard[:MAX_LOGGED]],
            n_targets=len(unheard),
        )
        self._notify_peers(ShareTargets(unheard))

    def _notify_peers(self, message):
        for peer in list(self._peer_by_name.values()):
            if peer.is_up:
                peer.require_link().notify(message)

    async def accept_announcement(self, announcement, origin):
        """Merge an announcement, and replicate it if that is due.

        Returns
        -------
        is_replicated : bool
            Whether a majority of the control group has the state of the target.
        """
        target = announcement.target
        is_due = self._registry.merge(announcement, origin, is_direct=True)
        if not is_due and self._registry.is_acknowledged(target):
            return True
        return await self.replicate_announcement(
            self._registry.announcements.get(target)
        )

    async def replicate_announcement(self, announcement):
        """Replicate an announcement; return whether a majority acknowledged it."""
        is_replicated = await self._call_peers(
            ShareTargets([announcement]), REPLICATION_TIMEOUT_MS
        )
        if is_replicated:
            self._registry.record_acknowledgement(announcement)
        return is_replicated

    async def _call_peers(self, message, timeout_ms, accepts=lambda peer, reply: True):
        """Call the other voters; return whether a majority replied, once that is known.

        The rest receive the message as well, also if they are silent for some time.

        Parameters
        ----------
        message : ShareTargets
        timeout_ms : float
        accepts : callable
            ``accepts(peer, reply)`` returns whether a reply counts.
        """
        members = self._consensus.members
        n_acknowledged = int(self._name in members)
        n_required = members.quorum

        async def call(peer):
            nonlocal n_acknowledged
            try:
                reply = await peer.call(message, timeout_ms, is_cancellable=False)
            except AlmonddealError as error:
                log.info("call of control instance %s failed: %s", peer.name, error)
                return
            n_acknowledged += accepts(peer, reply)
            if n_acknowledged >= n_required:
                # Stops waiting only: the calls have been sent.
                group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            for name in members.voters_except(self._name):
                peer = self._peer_by_name.get(name)
                if peer is not None and peer.is_up:
                    group.start_soon(call, peer)
        return n_acknowledged >= n_required

    async def handle_share_targets(self, link, message, emit):
        """Merge announcements replicated by another control instance.

        Returns
        -------
        reply : Ok or ShareTargets
            All announcements of this instance if the message has none.
        """
        if not message.targets:
            return ShareTargets(self._registry.announcements.values())
        for announcement in message.targets:
            self._registry.merge(announcement, link.peer.instance)
        return Ok()

    def send_state(self, link):
        """Send all announcements and reports to a control instance."""
        targets = self._registry.announcements.values()
        if targets:
            link.notify(ShareTargets(targets))
        runs, entries = self._runs.values(), self._entries.values()
        records_by_field = self._records.values()
        if runs or entries or records_by_field:
            link.notify(ShareRuns(runs, True, entries=entries, **records_by_field))

    async def handle_share_runs(self, link, message, emit):
        """Relay the reports of subscribers, so that all instances have them."""
        for run in message.runs:
            self._runs.put(run.request, run)
            self._receipt_by_request[run.request] = (monotonic_ms(), run.is_ended)
        records_by_field = self._records.add(message)
        limits = message.limits or []  # None in messages of earlier releases
        for limit in limits:
            self._limits.put((limit.instance, limit.target, limit.born_ms), limit)
        entries = self._entries.receive(link, message)
        self._registry.announcements.notify()
        has_news = message.runs or limits or entries or records_by_field
        if has_news and not message.is_relayed:
            relayed = ShareRuns(
                message.runs, True, limits=limits, entries=entries, **records_by_field
            )
            self._notify_peers(relayed)
        return Ok()

    def _share_ended(self, link):
        """Tell all that the subscriber of a link is gone, if it said it is ready."""
        if ended := self._entries.end_link(link):
            self.notify_changed()
            self._notify_peers(ShareRuns([], True, entries=ended))

    def _evict_old_runs(self):
        now_ms = monotonic_ms()
        for request, (received_ms, is_ended) in list(self._receipt_by_request.items()):
            if now_ms - received_ms > (
                ENDED_RUN_RETENTION_MS if is_ended else RUN_RETENTION_MS
            ):
                del self._receipt_by_request[request]
                self._runs.discard(request)
