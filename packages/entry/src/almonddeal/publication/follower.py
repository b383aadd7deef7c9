"""The follower's side: one control instance at a time, left when it is out of touch."""

import random

import anyio

from almonddeal_common.address import Address
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.connect import dial
from almonddeal_common.wire.gen.ttypes import Follow, ShareRuns

OUT_OF_TOUCH_MS = (
    700  # how long a control instance may be out of touch before it is left
)
CONNECT_TIMEOUT_S = 0.4  # two lost instances are passed by within a second
LOST_MS = 5000  # how long a lost instance is tried after the others
RETRY_S = 0.15
SEND_INTERVAL_S = 0.005  # changes of runs within this time travel together

log = get_logger("follower")


class Follower:
    """Keeps a link to one control instance and passes on what it says.

    Parameters
    ----------
    settings : RoleSettings
    hello : Hello
    on_update : callable
        Called with each `FollowUpdate`.
    version : callable
        Returns the version that is in force here.
    runs : VersionedMap
        Own runs, brought to the control instance as they change.
    """

    def __init__(self, settings, hello, on_update, version, runs):
        self._settings = settings
        self._hello = hello
        self._on_update = on_update
        self._version = version
        self._runs = runs
        self._members = []
        self._domain_by_address = {}
        self._lost_ms_by_address = {}
        self._stale_since_ms = None
        self.link = None

    @property
    def is_connected(self):
        """Whether a control instance in touch with its group is followed now."""
        return self.link is not None and self._stale_since_ms is None

    def _addresses(self):
        """Return the control instances to try: nearest first, lost ones last."""
        known = list(dict.fromkeys([*self._members, *self._settings.seed_addresses]))
        random.shuffle(known)
        own = self._settings.failure_domain
        lost_before_ms = monotonic_ms() - LOST_MS

        def rank(address):
            is_lost = self._lost_ms_by_address.get(address, 0.0) > lost_before_ms
            return is_lost, self._domain_by_address.get(address, own) != own

        return sorted(known, key=rank)

    async def run(self):
        """Follow for ever."""
        while True:
            for address in self._addresses():
                await self._try(address)
            await anyio.sleep(RETRY_S * random.uniform(0.5, 1.5))

    async def _try(self, address):
        try:
            link = await dial(
                Address.parse(address), self._hello, {}, CONNECT_TIMEOUT_S
            )
        except AlmonddealError as error:
            self._lost_ms_by_address[address] = monotonic_ms()
            log.info("could not follow %s, %s", address, error)
            return
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_link, link, address)
            try:
                await self._follow(link, address, group)
            except AlmonddealError as error:
                self._lost_ms_by_address[address] = monotonic_ms()
                log.info("stops following %s, %s", address, error)
            self.link = None
            group.cancel_scope.cancel()

    async def _run_link(self, link, address):
        reason = await link.run()
        if self.link is link:
            decide(log, "loses a control instance", address=address, reason=reason)

    async def _follow(self, link, address, group):
        with anyio.move_on_after(1.0):
            await link.ready.wait()
        domain = link.peer.failure_domain if link.peer else None
        self._domain_by_address[address] = domain
        self._lost_ms_by_address.pop(address, None)
        if domain != self._settings.failure_domain and self._is_any_unknown():
            # Its failure domain is known now; nearer ones are tried before it.
            return
        request = Follow(self._version(), self._settings.instance)
        self._stale_since_ms = monotonic_ms()
        async with link.open_stream(request) as updates:
            group.start_soon(self._leave_when_stale, group)
            async for update in updates:
                self._take(update, link, address, group)

    def _is_any_unknown(self):
        known = {*self._members, *self._settings.seed_addresses}
        answered_or_lost = {*self._domain_by_address, *self._lost_ms_by_address}
        return not known <= answered_or_lost

    def _take(self, update, link, address, group):
        if self.link is None:
            self.link = link
            decide(log, "follows a control instance", address=address)
            group.start_soon(self._send_runs, link)
        if update.member_addresses:
            self._members = list(update.member_addresses)
        if update.is_fresh:
            self._stale_since_ms = None
        elif self._stale_since_ms is None:
            self._stale_since_ms = monotonic_ms()
        self._on_update(update)

    async def _leave_when_stale(self, group):
        while True:
            await anyio.sleep(OUT_OF_TOUCH_MS / 4000)
            since_ms = self._stale_since_ms
            if since_ms is not None and monotonic_ms() - since_ms > OUT_OF_TOUCH_MS:
                decide(log, "leaves a control instance that is out of touch")
                group.cancel_scope.cancel()

    async def _send_runs(self, link):
        sent = 0
        while True:
            runs = self._runs.changed_since(sent)
            sent = self._runs.revision
            if runs:
                link.notify(ShareRuns(runs, False))
            if self._runs.revision == sent:
                await self._runs.wait()
            await anyio.sleep(SEND_INTERVAL_S)
