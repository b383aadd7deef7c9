"""Creating answers and taking them over, so that only one instance ever appends.

A new owner has a majority of the holders promise a higher epoch, continues from the
longest answer of the highest epoch among them, and writes that to a majority of the old
and of the new holders before it goes on.

References
----------
L. Lamport, D. Malkhi and L. Zhou, "Vertical Paxos and Primary-Backup
Replication", 2009.
"""

import random

import anyio

from almonddeal.answers.owned import OwnedAnswer, majority
from almonddeal.answers.placement import choose_holders, rank
from almonddeal_common.codes import (
    ANSWER_EVICTED,
    ANSWER_MEMORY_FULL,
    ANSWER_UNKNOWN,
    HOLDERS_UNREACHABLE,
    NO,
    OK,
    OWNERSHIP_LOST,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import Fence

CALL_TIMEOUT_MS = 700
ESTABLISH_TIMEOUT_S = 2.0
MAX_TRIES = 6
BACKOFF_S = 0.05
EPOCH_OWNER_BITS = 16
FIND_BATCH = 7
MAX_AGENTS_ASKED = 14

log = get_logger("answers")


class Ownership:
    """Makes this instance the owner of answers.

    Parameters
    ----------
    name : str
        This instance.
    store : AnswerStore
        Answers held here.
    view : FleetView
        Says which instances can be reached, and opens links to them.
    replicator : Replicator
    """

    def __init__(self, name, store, view, replicator):
        self._name = name
        self._store = store
        self._view = view
        self._replicator = replicator

    def _next_epoch(self, seen_epoch):
        counter = (seen_epoch >> EPOCH_OWNER_BITS) + 1
        return counter << EPOCH_OWNER_BITS | self._view.number_of(self._name)

    def _choose_holders(self, request, n_copies):
        return choose_holders(
            request,
            n_copies,
            self._view.live_entries(),
            self._view.live_agents(),
            self._view.domain_by_name(),
        )

    # ---- creating --------------------------------------------------------------

    async def create(self, spec, n_copies, is_new_id):
        """Begin an answer; returns the established `OwnedAnswer`.

        Parameters
        ----------
        spec : AnswerSpec
        n_copies : int
        is_new_id : bool
            Whether the request id was made here just now, so that no answer can have
            it yet.

        Raises
        ------
        AlmonddealError
            `OWNERSHIP_LOST` if an answer by this id exists, `HOLDERS_UNREACHABLE`,
            `ANSWER_MEMORY_FULL`.
        """
        epoch = self._next_epoch(0)
        holders = self._choose_holders(spec.request, n_copies)
        if not is_new_id:
            epoch = await self._reserve(spec.request, epoch, holders)
        answer = OwnedAnswer(spec, epoch, holders, previous_holders=holders)
        await self._establish(answer)
        return answer

    async def _reserve(self, request, epoch, holders):
        """Have a majority promise an epoch for a new answer; returns the epoch."""
        for _ in range(MAX_TRIES):
            replies = await self._ask(holders, Fence(request, epoch, False))
            for reply in replies.values():
                if reply.found or reply.code == ANSWER_EVICTED.number:
                    raise AlmonddealError(OWNERSHIP_LOST, "the answer exists")
            n_promised = sum(r.code == OK.number for r in replies.values())
            if n_promised >= majority(holders):
                return epoch
            if len(replies) < majority(holders):
                detail = f"{len(replies)} of {len(holders)} holders answer"
                raise AlmonddealError(HOLDERS_UNREACHABLE, detail, was_run=NO)
            # Another creation was promised before, perhaps one that was cut off.
            epoch = self._next_epoch(max(r.promised_epoch for r in replies.values()))
            await anyio.sleep(BACKOFF_S * random.uniform(0.5, 2.0))
        raise AlmonddealError(HOLDERS_UNREACHABLE, "the request id is contended")

    async def _establish(self, answer):
        self._replicator.spread(answer)
        with anyio.move_on_after(ESTABLISH_TIMEOUT_S):
            while not answer.is_established and answer.error is None:
                if len(answer.full_holders) >= majority(answer.holders):
                    raise AlmonddealError(ANSWER_MEMORY_FULL, "holders are full")
                await answer.wait_changed()
        if answer.error is not None:
            raise answer.error
        if not answer.is_established:
            error = AlmonddealError(HOLDERS_UNREACHABLE, "too few holders answer")
            answer.fail(error)
            raise error

    # ---- taking over -----------------------------------------------------------

    async def take_over(self, request, n_copies):
        """Become the owner of an existing answer.

        Raises
        ------
        AlmonddealError
            `ANSWER_UNKNOWN`, `ANSWER_EVICTED` or `HOLDERS_UNREACHABLE`.
        """
        latest = await self._find_latest(request)
        for _ in range(MAX_TRIES):
            answer, latest = await self._try_take(request, latest, n_copies)
            if answer is not None:
                return answer
            await anyio.sleep(BACKOFF_S * random.uniform(0.5, 2.0))
        raise AlmonddealError(HOLDERS_UNREACHABLE, "the answer is contended")

    async def _find_latest(self, request):
        """Return the newest description of an answer that anybody gives."""
        n_unreached = 0
        for batch in self._search_batches(request):
            replies = await self._ask(batch, Fence(request, 0, True))
            n_unreached += len(batch) - len(replies)
            found = [reply for reply in replies.values() if reply.found]
            if found:
                return max(found, key=lambda reply: reply.accepted_epoch)
            if any(r.code == ANSWER_EVICTED.number for r in replies.values()):
                raise AlmonddealError(ANSWER_EVICTED, "no longer kept")
        if n_unreached:
            detail = f"{n_unreached} instances cannot be asked"
            raise AlmonddealError(HOLDERS_UNREACHABLE, detail)
        raise AlmonddealError(ANSWER_UNKNOWN, "no instance holds it")

    def _search_batches(self, request):
        """Yield names in the order in which they are likely to hold an answer."""
        entries = rank(request, self._view.all_entries())
        agents = rank(request, self._view.live_agents())[:MAX_AGENTS_ASKED]
        for names in (entries, agents):
            for start in range(0, len(names), FIND_BATCH):
                yield names[start : start + FIND_BATCH]

    async def _try_take(self, request, latest, n_copies):
        """Try once; returns the answer or None, and what to go by the next time."""
        epoch = self._next_epoch(latest.promised_epoch)
        replies = await self._ask(latest.holders, Fence(request, epoch, False))
        promises = {n: r for n, r in replies.items() if r.code == OK.number and r.found}
        newest = max([latest, *replies.values()], key=lambda r: r.accepted_epoch or 0)
        if newest.accepted_epoch > latest.accepted_epoch:
            # The answer has moved on: its newer description names other holders.
            return None, newest
        if len(promises) < majority(latest.holders):
            if any(r.code == OWNERSHIP_LOST.number for r in replies.values()):
                promised = max(r.promised_epoch or 0 for r in replies.values())
                latest.promised_epoch = max(latest.promised_epoch, promised)
                return None, latest
            n_held = len(promises)
            detail = f"{n_held} of {len(latest.holders)} holders have the answer"
            raise AlmonddealError(HOLDERS_UNREACHABLE, detail)
        best = max(promises.values(), key=_completeness)
        answer = await self._continue_from(best, epoch, latest.holders, n_copies)
        return answer, latest

    async def _continue_from(self, best, epoch, previous_holders, n_copies):
        holders = self._choose_holders(best.spec.request, n_copies)
        answer = OwnedAnswer(best.spec, epoch, holders, previous_holders)
        answer.adopt(best)
        await self._establish(answer)
        log.info(
            "took over %s at token %d, epoch %d",
            best.spec.request,
            len(answer.tokens),
            epoch,
        )
        return answer

    # ---- repairing -------------------------------------------------------------

    async def repair(self, answer, n_copies):
        """Replace holders that cannot be reached, under a new epoch of this owner."""
        request = answer.spec.request
        holders = self._choose_holders(request, n_copies)
        is_fenced = answer.pending_epoch > answer.epoch
        is_same = set(holders) == set(answer.holders)
        if (is_same and not is_fenced) or not answer.is_established:
            return
        epoch = self._next_epoch(answer.pending_epoch)
        answer.pending_epoch = epoch
        previous = answer.holders
        replies = await self._ask(previous, Fence(request, epoch, False))
        promises = [r for r in replies.values() if r.code == OK.number and r.found]
        if len(promises) < majority(previous) or answer.error is not None:
            return
        if any(r.accepted_epoch > answer.epoch for r in promises):
            answer.lose(max(r.accepted_epoch for r in promises))
            return
        answer.change_epoch(epoch, holders, previous)
        self._replicator.spread(answer)
        log.info("moved %s to holders %s", request, ", ".join(holders))

    # ---- asking ----------------------------------------------------------------

    async def _ask(self, names, message):
        """Send a `Fence` to instances; returns the replies that came, by name."""
        reply_by_name = {}

        async def ask(name):
            if name == self._name:
                reply_by_name[name] = self._store.fence(message)
                return
            try:
                link = await self._view.open_link(name)
                reply_by_name[name] = await link.call(message, CALL_TIMEOUT_MS)
            except AlmonddealError as error:
                log.debug("%s did not answer, %s", name, error)

        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(ask, name)
        return reply_by_name


def _completeness(reply):
    return reply.accepted_epoch, len(reply.tokens or ()), bool(reply.finish_reason)
