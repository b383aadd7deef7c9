"""Keeping an answer's prefix warm in the cache of a second engine.

A resume then computes only the tokens since the last priming, for the price of one more
prefill of the prompt and of the answer.
"""

from almonddeal.targets.choose import prefix_key
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import StartAttempt

PRIMED = "primed"
PRIME_EVERY_TOKENS = 128
LOWEST_PRIORITY = 0

log = get_logger("answers")


class Primer:
    """Primes second engines for the answers of this owner.

    Parameters
    ----------
    spare_target : callable
        ``spare_target(spec, avoid, preferred)`` returns a `Target` with room beside the
        one named `avoid`, or None.
    open_link : async callable
        Maps a `TargetState` to the open link to its agent.
    group : anyio.abc.TaskGroup
    """

    def __init__(self, spare_target, open_link, group):
        self._spare_target = spare_target
        self._open_link = open_link
        self._group = group
        self.n_primings = 0

    def note_progress(self, answer, customer, target):
        """Prime when enough tokens came since the last time."""
        if customer.resume.mode != PRIMED:
            return
        n_tokens = len(answer.tokens)
        is_due = answer.n_primed < 0 or n_tokens - answer.n_primed >= PRIME_EVERY_TOKENS
        if is_due:
            answer.n_primed = n_tokens
            self._group.start_soon(self._prime, answer, target.name)

    async def _prime(self, answer, running_at):
        spare = self._spare_target(answer.spec, running_at, answer.primed_target)
        if spare is None:
            return
        start = StartAttempt(
            answer.spec,
            answer.n_attempts,
            list(answer.tokens),
            LOWEST_PRIORITY,
            True,
            prefix_key(answer.spec.prompt),
        )
        try:
            link = await self._open_link(spare.state)
            async with link.open_stream(start) as stream:
                async for _ in stream:
                    log.warning("a priming of %s sent tokens", answer.spec.request)
        except AlmonddealError as error:
            log.debug("priming at %s failed, %s", spare.name, error)
            return
        self.n_primings += 1
        answer.primed_target = spare.name
