"""Creation, takeover and repair of answers under fencing epochs.

Only one instance at a time can commit tokens of an answer. A new owner has a majority
of the holders promise a higher epoch and continues from the longest answer of the
highest accepted epoch among their replies. It replicates that answer to a majority of
the old and of the new holders before it appends.

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

FENCE_TIMEOUT_MS = 700
ESTABLISH_TIMEOUT_S = 2.0
MAX_TRIES = 6
RETRY_DELAY_S = 0.05
EPOCH_OWNER_BITS = 16
SEARCH_BATCH_SIZE = 7
MAX_AGENTS_SEARCHED = 14

log = get_logger("answers")


class Ownership:
    """Creates answers, takes them over and changes their holders for this instance.

    Parameters
    ----------
    name : str
        Name of this instance.
    store : AnswerStore
        Replicas held by this instance.
    view : FleetView
        Knows which instances can be reached, and opens links to them.
    replicator : Replicator
        Sends answers to their holders.
    """

    def __init__(self, name, store, view, replicator):
        self._name = name
        self._store = store
        self._view = view
        self._replicator = replicator

    def _next_epoch(self, seen_epoch):
        """Return an epoch above one seen; its low bits hold this owner's number."""
        counter = (seen_epoch >> EPOCH_OWNER_BITS) + 1
        return counter << EPOCH_OWNER_BITS | self._view.number_of(self._name)

    def _choose_holders(self, request_key, min_replicas):
        return choose_holders(
            request_key,
            min_replicas,
            self._view.live_entries(),
            self._view.candidate_agents(),
            self._view.domain_by_name(),
        )

    async def create(self, spec, min_replicas, is_generated_id):
        """Create an answer and replicate it to a majority of its holders.

        Parameters
        ----------
        spec : AnswerSpec
        min_replicas : int
            Number of replicas that must exist before a token is delivered.
        is_generated_id : bool
            Whether this instance has just generated the request id, so that no answer
            can have it yet.

        Returns
        -------
        answer : OwnedAnswer
            Established under an epoch of this owner.

        Raises
        ------
        AlmonddealError
            `OWNERSHIP_LOST` if an answer with this id exists, `HOLDERS_UNREACHABLE`,
            `ANSWER_MEMORY_FULL`.
        """
        epoch = self._next_epoch(0)
        holders = self._choose_holders(spec.request, min_replicas)
        if not is_generated_id:
            epoch = await self._reserve_epoch(spec.request, epoch, holders)
        # With previous holders, the answer is established only once a majority has
        # accepted its epoch.
        answer = OwnedAnswer(spec, epoch, holders, previous_holders=holders)
        await self._establish(answer)
        return answer

    async def _reserve_epoch(self, request_key, epoch, holders):
        """Return an epoch that a majority of the holders promised for a new answer."""
        for _ in range(MAX_TRIES):
            replies = await self._send_fence_to_all(
                holders, Fence(request_key, epoch, False)
            )
            for reply in replies.values():
                if reply.found or reply.code == ANSWER_EVICTED.number:
                    raise AlmonddealError(OWNERSHIP_LOST, "the answer exists")
            n_promised = sum(r.code == OK.number for r in replies.values())
            if n_promised >= majority(holders):
                return epoch
            if len(replies) < majority(holders):
                detail = f"{len(replies)} of {len(holders)} holders answer"
                raise AlmonddealError(HOLDERS_UNREACHABLE, detail, was_run=NO)
            # Holders promised an epoch to another creation, perhaps an interrupted one.
            epoch = self._next_epoch(max(r.promised_epoch for r in replies.values()))
            await anyio.sleep(RETRY_DELAY_S * random.uniform(0.5, 2.0))
        raise AlmonddealError(HOLDERS_UNREACHABLE, "the request id is contended")

    async def _establish(self, answer):
        """Replicate an answer until its epoch is established, or raise."""
        self._replicator.replicate(answer)
        with anyio.move_on_after(ESTABLISH_TIMEOUT_S):
            while not answer.is_established and answer.error is None:
                if len(answer.holders_without_memory) >= majority(answer.holders):
                    raise AlmonddealError(ANSWER_MEMORY_FULL, "holders are full")
                await answer.wait_changed()
        if answer.error is not None:
            raise answer.error
        if not answer.is_established:
            error = AlmonddealError(HOLDERS_UNREACHABLE, "too few holders answer")
            answer.fail(error)
            raise error

    async def take_over(self, request_key, min_replicas):
        """Take over the ownership of an existing answer.

        Parameters
        ----------
        request_key : str
            Key of the request.
        min_replicas : int
            Number of replicas that must exist before a token is delivered.

        Returns
        -------
        answer : OwnedAnswer
            Established under a new epoch of this owner.

        Raises
        ------
        AlmonddealError
            `ANSWER_UNKNOWN`, `ANSWER_EVICTED` or `HOLDERS_UNREACHABLE`.
        """
        known = await self._find_latest(request_key)
        for _ in range(MAX_TRIES):
            answer, known = await self._try_take_over(request_key, known, min_replicas)
            if answer is not None:
                return answer
            await anyio.sleep(RETRY_DELAY_S * random.uniform(0.5, 2.0))
        raise AlmonddealError(HOLDERS_UNREACHABLE, "the answer is contended")

    async def _find_latest(self, request_key):
        """Return the latest `FenceReply` of the first batch that holds the answer."""
        n_unreached = 0
        for batch in self._search_batches(request_key):
            # Such a fence only reads: the instances promise nothing.
            replies = await self._send_fence_to_all(batch, Fence(request_key, 0, True))
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

    def _search_batches(self, request_key):
        """Yield batches of instance names, the most likely holders first."""
        entries = rank(request_key, self._view.all_entries())
        agents = rank(request_key, self._view.candidate_agents())[:MAX_AGENTS_SEARCHED]
        for names in (entries, agents):
            for start in range(0, len(names), SEARCH_BATCH_SIZE):
                yield names[start : start + SEARCH_BATCH_SIZE]

    async def _try_take_over(self, request_key, known, min_replicas):
        """Try once to take over an answer.

        Parameters
        ----------
        request_key : str
        known : FenceReply
            Latest known state of the answer; its holders are asked to promise an epoch.
        min_replicas : int

        Returns
        -------
        answer : OwnedAnswer or None
            None if another try is needed.
        known : FenceReply
            State to use in the next try.
        """
        epoch = self._next_epoch(known.promised_epoch)
        replies = await self._send_fence_to_all(
            known.holders, Fence(request_key, epoch, False)
        )
        promises = {n: r for n, r in replies.items() if r.code == OK.number and r.found}
        newest = max([known, *replies.values()], key=lambda r: r.accepted_epoch or 0)
        if newest.accepted_epoch > known.accepted_epoch:
            # A newer epoch may have other holders: retry with those.
            return None, newest
        if len(promises) < majority(known.holders):
            if any(r.code == OWNERSHIP_LOST.number for r in replies.values()):
                promised = max(r.promised_epoch or 0 for r in replies.values())
                known.promised_epoch = max(known.promised_epoch, promised)
                return None, known
            n_promises = len(promises)
            detail = f"{n_promises} of {len(known.holders)} holders have the answer"
            raise AlmonddealError(HOLDERS_UNREACHABLE, detail)
        most_complete = max(promises.values(), key=_completeness)
        answer = await self._continue_from(
            most_complete, epoch, known.holders, min_replicas
        )
        return answer, known

    async def _continue_from(
        self, most_complete, epoch, previous_holders, min_replicas
    ):
        holders = self._choose_holders(most_complete.spec.request, min_replicas)
        answer = OwnedAnswer(most_complete.spec, epoch, holders, previous_holders)
        answer.load_fence_reply(most_complete)
        await self._establish(answer)
        log.info(
            "took over answer %s with %d tokens, epoch %d",
            most_complete.spec.request,
            len(answer.tokens),
            epoch,
        )
        return answer

    async def repair(self, answer, min_replicas):
        """Replace unreachable holders of an answer, under a new epoch of this owner.

        Does nothing if the choice of holders is unchanged and no earlier repair is
        pending, or while an epoch is being established. A repair that cannot fence a
        majority of the current holders is left to the next call.

        Parameters
        ----------
        answer : OwnedAnswer
        min_replicas : int
        """
        request_key = answer.spec.request
        holders = self._choose_holders(request_key, min_replicas)
        is_repair_pending = answer.pending_epoch > answer.epoch
        is_same = set(holders) == set(answer.holders)
        if (is_same and not is_repair_pending) or not answer.is_established:
            return
        epoch = self._next_epoch(answer.pending_epoch)
        answer.pending_epoch = epoch
        previous = answer.holders
        replies = await self._send_fence_to_all(
            previous, Fence(request_key, epoch, False)
        )
        promises = [r for r in replies.values() if r.code == OK.number and r.found]
        if len(promises) < majority(previous) or answer.error is not None:
            return
        if any(r.accepted_epoch > answer.epoch for r in promises):
            answer.mark_superseded(max(r.accepted_epoch for r in promises))
            return
        answer.change_holders(epoch, holders, previous)
        self._replicator.replicate(answer)
        log.info("moving answer %s to holders %s", request_key, ", ".join(holders))

    async def _send_fence_to_all(self, names, message):
        """Send a `Fence` to instances; returns the replies received, by name."""
        reply_by_name = {}

        async def fence_one(name):
            if name == self._name:
                reply_by_name[name] = self._store.fence(message)
                return
            try:
                link = await self._view.open_link(name)
                reply_by_name[name] = await link.call(message, FENCE_TIMEOUT_MS)
            except AlmonddealError as error:
                log.debug("no reply from %s to a fence: %s", name, error)

        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(fence_one, name)
        return reply_by_name


def _completeness(reply):
    return reply.accepted_epoch, len(reply.tokens or ()), bool(reply.finish_reason)
