"""Who gets the next free place at a target: the fair queue before the engines."""

import anyio

from almonddeal.limits.fair_queue import FairQueue
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import NO_TARGET, OVERLOADED, AlmonddealError

RATE_WEIGHT = 0.1
RECHECK_S = 0.25


class _Waiting:
    __slots__ = ("event", "target")

    def __init__(self):
        self.event = anyio.Event()
        self.target = None


class _AnyCustomer:
    """Stands for every customer where calls are not told apart."""

    name = ""
    weight = 1.0

    class limits:  # noqa: N801
        priority = 5


_ANY_CUSTOMER = _AnyCustomer()


class Dispatcher:
    """Gives out places at targets for one model version, in fair order.

    Parameters
    ----------
    targets_of : callable
        Returns the targets that may take the work now.
    choose : callable
        Policy; see `almonddeal.targets.choose`.
    """

    def __init__(self, targets_of, choose):
        self._targets_of = targets_of
        self._choose = choose
        self._queue = FairQueue()
        self._waiting_by_entry = {}
        self._prompt_by_entry = {}
        self._interval_ms = 0.0
        self._last_pop_ms = None

    @property
    def n_waiting(self):
        """Number of requests that wait."""
        return len(self._queue)

    async def acquire_target(
        self, customer, prompt, wait_ms, is_resume, avoid=(), preferred=None
    ):
        """Wait for a place and return it as an entered `Target`.

        The caller leaves the target's context when its work there is over.

        Raises
        ------
        AlmonddealError
            `OVERLOADED` or `NO_TARGET`; nothing was sent anywhere.
        """
        if not self._targets_of():
            raise AlmonddealError(NO_TARGET, "no live target serves this")
        if not self._queue:
            target = self._preferred_target(preferred, avoid)
            target = target or self._choose_target(prompt, avoid)
            if target is not None:
                target.__enter__()
                return target
        self._refuse_hopeless(wait_ms, is_resume)
        return await self._wait_for_place(customer, prompt, wait_ms, is_resume)

    async def acquire_call_target(self, wait_ms):
        """Wait for a place for a short call; calls wait in the order they came."""
        return await self.acquire_target(_ANY_CUSTOMER, "", wait_ms, is_resume=False)

    def spare_target(self, avoid, preferred):
        """Return a target with room beside the one named `avoid`, or None."""
        target = self._preferred_target(preferred, (avoid,))
        if target is not None:
            return target
        others = [t for t in self._targets_of() if t.name != avoid and t.has_capacity]
        return min(others, key=lambda t: t.occupancy, default=None)

    def _preferred_target(self, preferred, avoid):
        if preferred is None or preferred in avoid:
            return None
        for target in self._targets_of():
            if (
                target.name == preferred
                and target.has_capacity
                and not target.is_in_backoff
            ):
                return target
        return None

    def _choose_target(self, prompt, avoid):
        targets = self._targets_of()
        preferred = [t for t in targets if not t.is_in_backoff and t.name not in avoid]
        # Targets that failed lately still serve when nothing else is left.
        return self._choose(preferred or targets, prompt)

    def _refuse_hopeless(self, wait_ms, is_resume):
        expected_ms = self.n_waiting * self._interval_ms
        if not is_resume and expected_ms > wait_ms:
            detail = f"{self.n_waiting} requests wait"
            raise AlmonddealError(OVERLOADED, detail, retry_after_ms=round(expected_ms))

    async def _wait_for_place(self, customer, prompt, wait_ms, is_resume):
        entry = self._queue.push(
            customer.name, customer.weight, customer.limits.priority, is_resume
        )
        waiting = self._waiting_by_entry[entry] = _Waiting()
        self._prompt_by_entry[entry] = prompt
        deadline_ms = monotonic_ms() + wait_ms
        try:
            while waiting.target is None and monotonic_ms() < deadline_ms:
                left_s = (deadline_ms - monotonic_ms()) / 1000
                with anyio.move_on_after(min(RECHECK_S, max(0.0, left_s))):
                    await waiting.event.wait()
                self.dispatch_waiting()
        except BaseException:
            if waiting.target is not None:
                waiting.target.__exit__(None, None, None)
            raise
        finally:
            self._queue.remove(entry)
            self._waiting_by_entry.pop(entry, None)
            self._prompt_by_entry.pop(entry, None)
        if waiting.target is None:
            raise AlmonddealError(OVERLOADED, "no place became free in time")
        return waiting.target

    def dispatch_waiting(self):
        """Give free places to those whose turn it is."""
        while True:
            entry = self._queue.peek()
            if entry is None:
                return
            target = self._choose_target(self._prompt_by_entry[entry], ())
            if target is None:
                return
            self._queue.pop()
            self._note_pop()
            waiting = self._waiting_by_entry[entry]
            target.__enter__()
            waiting.target = target
            waiting.event.set()

    def _note_pop(self):
        now_ms = monotonic_ms()
        if self._last_pop_ms is not None:
            interval_ms = now_ms - self._last_pop_ms
            self._interval_ms += RATE_WEIGHT * (interval_ms - self._interval_ms)
        self._last_pop_ms = now_ms
