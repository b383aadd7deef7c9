"""Dispatch of queued requests to targets with free slots, in fair order."""

import anyio

from almonddeal.limits.fair_queue import FairQueue
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import NO_TARGET, OVERLOADED, AlmonddealError

INTERVAL_GAIN = 0.1  # weight of a new interval in the mean between dispatches
RECHECK_INTERVAL_S = 0.25


class _Waiter:
    __slots__ = ("avoid", "event", "prompt", "target")

    def __init__(self, prompt, avoid):
        self.prompt = prompt
        self.avoid = avoid
        self.event = anyio.Event()
        self.target = None


class _SharedCustomer:
    """Customer of all calls, so that calls queue in the order of arrival."""

    name = ""
    weight = 1.0

    class limits:  # noqa: N801
        priority = 5


_SHARED_CUSTOMER = _SharedCustomer()


class Dispatcher:
    """Assigns slots at the targets of one model version or service, in fair order.

    Parameters
    ----------
    list_targets : callable
        Returns the targets of the model version or service that may be used now.
    choose : callable
        Selection policy; see `almonddeal.targets.choose`.
    """

    def __init__(self, list_targets, choose):
        self._list_targets = list_targets
        self._choose = choose
        self._queue = FairQueue()
        self._waiter_by_entry = {}
        self._mean_interval_ms = 0.0
        self._last_dispatch_ms = None

    @property
    def n_waiting(self):
        """Number of queued requests."""
        return len(self._queue)

    async def acquire_target(
        self, customer, prompt, max_wait_ms, is_resume, avoid=(), preferred=None
    ):
        """Wait for a target with a free slot; returns it as an entered `Target`.

        Whoever acquires the target must exit its context to free the slot.

        Parameters
        ----------
        customer : Customer
        prompt : str
            Used by policies with prefix affinity.
        max_wait_ms : float
        is_resume : bool
            Resumed requests go first and are not rejected for a long queue.
        avoid : collection of str
            Names of targets to use only if there is no other.
        preferred : str or None
            Name of a target to use if it has a free slot and nothing is queued.

        Raises
        ------
        AlmonddealError
            `OVERLOADED` or `NO_TARGET`; the request was not sent to any target.
        """
        if not self._list_targets():
            raise AlmonddealError(NO_TARGET, "no live target serves this")
        if not self._queue:
            target = self._preferred_target(preferred, avoid)
            target = target or self._choose_target(prompt, avoid)
            if target is not None:
                target.__enter__()
                return target
        self._reject_if_overloaded(max_wait_ms, is_resume)
        return await self._wait_for_target(
            customer, prompt, max_wait_ms, is_resume, avoid
        )

    async def acquire_call_target(self, max_wait_ms):
        """Wait for a target for a service call; calls queue in the order of arrival."""
        return await self.acquire_target(
            _SHARED_CUSTOMER, "", max_wait_ms, is_resume=False
        )

    def spare_target(self, avoid, preferred):
        """Return a target with a free slot, but not the one named `avoid`, or None."""
        target = self._preferred_target(preferred, (avoid,))
        if target is not None:
            return target
        others = [t for t in self._list_targets() if t.name != avoid and t.has_capacity]
        return min(others, key=lambda t: t.occupancy, default=None)

    def _preferred_target(self, preferred, avoid):
        if preferred is None or preferred in avoid:
            return None
        for target in self._list_targets():
            if (
                target.name == preferred
                and target.has_capacity
                and not target.is_in_backoff
            ):
                return target
        return None

    def _choose_target(self, prompt, avoid):
        targets = self._list_targets()
        healthy = [t for t in targets if not t.is_in_backoff and t.name not in avoid]
        # Targets that failed recently are used if there is no other.
        return self._choose(healthy or targets, prompt)

    def _reject_if_overloaded(self, max_wait_ms, is_resume):
        expected_ms = self.n_waiting * self._mean_interval_ms
        if not is_resume and expected_ms > max_wait_ms:
            detail = f"{self.n_waiting} requests wait"
            raise AlmonddealError(OVERLOADED, detail, retry_after_ms=round(expected_ms))

    async def _wait_for_target(self, customer, prompt, max_wait_ms, is_resume, avoid):
        entry = self._queue.push(
            customer.name, customer.weight, customer.limits.priority, is_resume
        )
        waiter = self._waiter_by_entry[entry] = _Waiter(prompt, avoid)
        deadline_ms = monotonic_ms() + max_wait_ms
        try:
            while waiter.target is None and monotonic_ms() < deadline_ms:
                left_s = (deadline_ms - monotonic_ms()) / 1000
                with anyio.move_on_after(min(RECHECK_INTERVAL_S, max(0.0, left_s))):
                    await waiter.event.wait()
                self.dispatch_waiting()
        except BaseException:
            if waiter.target is not None:
                waiter.target.__exit__(None, None, None)
            raise
        finally:
            self._queue.remove(entry)
            self._waiter_by_entry.pop(entry, None)
        if waiter.target is None:
            raise AlmonddealError(OVERLOADED, "no place became free in time")
        return waiter.target

    def dispatch_waiting(self):
        """Assign free slots to queued requests, in order, while there are any."""
        while True:
            entry = self._queue.peek()
            if entry is None:
                return
            waiter = self._waiter_by_entry[entry]
            target = self._choose_target(waiter.prompt, waiter.avoid)
            if target is None:
                return
            self._queue.pop()
            self._record_dispatch()
            target.__enter__()
            waiter.target = target
            waiter.event.set()

    def _record_dispatch(self):
        now_ms = monotonic_ms()
        if self._last_dispatch_ms is not None:
            interval_ms = now_ms - self._last_dispatch_ms
            self._mean_interval_ms += INTERVAL_GAIN * (
                interval_ms - self._mean_interval_ms
            )
        self._last_dispatch_ms = now_ms
