"""Subscription of an entry instance to one control instance at a time."""

import math
import random

import anyio

from almonddeal.announced.leaving_reports import LeavingReports
from almonddeal.announced.pause_reports import PauseReports
from almonddeal_common.address import Address
from almonddeal_common.clock import boot_ms, monotonic_ms
from almonddeal_common.codes import OK, AlmonddealError
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.connect import dial
from almonddeal_common.wire.gen.ttypes import Follow, ReadFresh, ShareRuns

STALE_TIMEOUT_MS = 700  # after it, a subscriber leaves a stale control instance
CONNECT_TIMEOUT_S = 0.4  # two unreachable instances cost less than a second
UNREACHABLE_BACKOFF_MS = 5000  # an instance that failed is tried last for this long
RETRY_INTERVAL_S = 0.15
MAX_SILENCE_MS = 150  # while streams begin, updates come more often
CATCH_UP_TIMEOUT_MS = 400  # two round trips, of which one may meet a lost peer
SEND_INTERVAL_S = 0.005  # run changes within it are sent in one message

log = get_logger("follower")


class Follower:
    """Receives updates from one control instance; sends it the runs of this instance.

    It also sends the limits of targets, the evidence on what crashes them, the origins
    of streams, which targets leave and which asked for a pause: of all but the limits
    at first all, as the control instance may have restarted, then what this instance
    adds.

    Parameters
    ----------
    settings : RoleSettings
    hello : Hello
    on_update : callable
        Called with each `FollowUpdate`.
    get_version : callable
        Returns the version of the configuration in force here.
    runs : VersionedMap
        Runs of this instance, sent to the control instance as they change.
    limits : VersionedMap
        Reports of this instance on the limits of targets.
    evidence : EvidenceStore
    origins : StreamOrigins
    leaving : LeavingReports, optional
    pauses : PauseReports, optional
    own_state : OwnEntryState, optional
        Sent as well, if given.
    """

    def __init__(
        self,
        settings,
        hello,
        on_update,
        get_version,
        runs,
        limits,
        evidence,
        origins,
        leaving=None,
        pauses=None,
        own_state=None,
    ):
        self._settings = settings
        self._hello = hello
        self._on_update = on_update
        self._get_version = get_version
        self._runs = runs
        self._limits = limits
        self._evidence = evidence
        self._origins = origins
        self._leaving = LeavingReports() if leaving is None else leaving
        self._pauses = PauseReports() if pauses is None else pauses
        self._own_state = own_state
        self._member_addresses = []
        self._domain_by_address = {}
        self._failed_ms_by_address = {}
        self._stale_since_ms = None
        self.link = None

    @property
    def follows_fresh_instance(self):
        """Whether this instance is subscribed to a fresh control instance."""
        return self.link is not None and self._stale_since_ms is None

    @property
    def is_current(self):
        """Whether a fresh control instance was heard within `MAX_SILENCE_MS`.

        False after a time for which this process was stopped, until it is heard again.
        """
        if not self.follows_fresh_instance:
            return False
        return boot_ms() - self.link.last_received_boot_ms <= MAX_SILENCE_MS

    @property
    def control_silence_ms(self):
        """Time since a fresh control instance was heard; infinite if none is."""
        if not self.follows_fresh_instance:
            return math.inf
        return boot_ms() - self.link.last_received_boot_ms

    async def catch_up(self):
        """Receive all that the control group had at the time of the call.

        The reply of the control instance follows the updates that it sent before, also
        if this process was stopped and has not read them yet.

        Returns
        -------
        has_caught_up : bool
            False if no majority of the control group can be reached.
        """
        link = self.link
        if link is None:
            return False
        try:
            reply = await link.call(ReadFresh(), CATCH_UP_TIMEOUT_MS)
        except AlmonddealError as error:
            log.info("could not catch up with the control group: %s", error)
            return False
        return reply.code == OK.number and self.link is link

    def _candidate_addresses(self):
        """Return the addresses to try: own failure domain first, failed ones last."""
        known = list(
            dict.fromkeys([*self._member_addresses, *self._settings.seed_addresses])
        )
        random.shuffle(known)
        own = self._settings.failure_domain
        backoff_start_ms = monotonic_ms() - UNREACHABLE_BACKOFF_MS

        def rank(address):
            is_unreachable = (
                self._failed_ms_by_address.get(address, 0.0) > backoff_start_ms
            )
            return is_unreachable, self._domain_by_address.get(address, own) != own

        return sorted(known, key=rank)

    async def run(self):
        """Keep a subscription to one control instance at a time, until cancelled."""
        while True:
            for address in self._candidate_addresses():
                try:
                    await self._follow_address(address)
                except Exception:
                    # Of a task of the subscription. The process has others to serve.
                    self.link = None
                    self._failed_ms_by_address[address] = monotonic_ms()
                    log.exception("subscription to %s failed", address)
            await anyio.sleep(RETRY_INTERVAL_S * random.uniform(0.5, 1.5))

    async def _follow_address(self, address):
        try:
            link = await dial(
                Address.parse(address), self._hello, {}, CONNECT_TIMEOUT_S
            )
        except AlmonddealError as error:
            self._failed_ms_by_address[address] = monotonic_ms()
            log.info("could not connect to control instance %s: %s", address, error)
            return
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_link, link, address)
            try:
                await self._follow(link, address, group)
            except AlmonddealError as error:
                self._failed_ms_by_address[address] = monotonic_ms()
                log.info(
                    "subscription to control instance %s failed: %s", address, error
                )
            finally:
                # Also if a stale instance is left, which cancels this task group.
                self.link = None
            group.cancel_scope.cancel()

    async def _run_link(self, link, address):
        reason = await link.run()
        if self.link is link:
            decide(
                log,
                "subscription ended, link to the control instance closed",
                address=address,
                reason=reason,
            )

    async def _follow(self, link, address, group):
        with anyio.move_on_after(1.0):
            await link.ready.wait()
        domain = link.peer.failure_domain if link.peer else None
        self._domain_by_address[address] = domain
        self._failed_ms_by_address.pop(address, None)
        if domain != self._settings.failure_domain and self._has_unknown_domain():
            # Its failure domain is recorded now. Instances of unknown domains are tried
            # before it, since they may be nearer.
            return
        request = Follow(self._get_version(), self._settings.instance)
        self._stale_since_ms = monotonic_ms()
        async with link.open_stream(request) as updates:
            group.start_soon(self._disconnect_when_stale, group)
            async for update in updates:
                self._handle_update(update, link, address, group)

    def _has_unknown_domain(self):
        known = {*self._member_addresses, *self._settings.seed_addresses}
        answered_or_failed = {*self._domain_by_address, *self._failed_ms_by_address}
        return not known <= answered_or_failed

    def _handle_update(self, update, link, address, group):
        if self.link is None:
            self.link = link
            decide(log, "subscribed to control instance", address=address)
            group.start_soon(self._send_runs, link)
            group.start_soon(self._send_limits, link)
            group.start_soon(self._send_evidence, link)
            group.start_soon(self._send_origins, link)
            group.start_soon(self._send_leaving, link)
            group.start_soon(self._send_pauses, link)
            if self._own_state is not None:
                group.start_soon(self._send_own_state, link)
        if update.member_addresses:
            self._member_addresses = list(update.member_addresses)
        if update.is_fresh:
            self._stale_since_ms = None
        elif self._stale_since_ms is None:
            self._stale_since_ms = monotonic_ms()
        self._on_update(update)

    async def _disconnect_when_stale(self, group):
        while True:
            await anyio.sleep(STALE_TIMEOUT_MS / 4000)  # a quarter of it, in s
            since_ms = self._stale_since_ms
            if since_ms is not None and monotonic_ms() - since_ms > STALE_TIMEOUT_MS:
                decide(log, "control instance is stale, subscribing to the next one")
                group.cancel_scope.cancel()

    async def _send_runs(self, link):
        await self._send_changes(link, self._runs, lambda runs: ShareRuns(runs, False))

    async def _send_limits(self, link):
        await self._send_changes(
            link, self._limits, lambda limits: ShareRuns([], False, [], limits)
        )

    async def _send_evidence(self, link):
        await self._send_records(
            link, self._evidence, lambda records: ShareRuns([], False, records)
        )

    async def _send_origins(self, link):
        await self._send_records(
            link,
            self._origins,
            lambda records: ShareRuns([], False, origins=records),
        )

    async def _send_leaving(self, link):
        await self._send_records(
            link,
            self._leaving,
            lambda records: ShareRuns([], False, leaving=records),
        )

    async def _send_pauses(self, link):
        await self._send_records(
            link,
            self._pauses,
            lambda records: ShareRuns([], False, pauses=records),
        )

    async def _send_own_state(self, link):
        states = self._own_state.states
        self._own_state.repeat()

        def make_message(records):
            own = [r for r in records if r is self._own_state.record]
            return ShareRuns([], False, entries=own) if own else None

        await self._send_changes(link, states, make_message, states.revision - 1)

    async def _send_records(self, link, store, make_message):
        """Send all records of a store, then what this instance adds to it."""
        sent_revision = store.revision
        if len(store):
            link.notify(make_message(store.values()))

        def make_own_message(records):
            own = [r for r in records if r.instance == self._settings.instance]
            return make_message(own) if own else None

        await self._send_changes(link, store, make_own_message, sent_revision)

    async def _send_changes(self, link, values, make_message, sent_revision=0):
        while True:
            changed = values.changed_since(sent_revision)
            sent_revision = values.revision
            message = make_message(changed) if changed else None
            if message is not None:
                link.notify(message)
            if values.revision == sent_revision:
                await values.wait()
            await anyio.sleep(SEND_INTERVAL_S)
