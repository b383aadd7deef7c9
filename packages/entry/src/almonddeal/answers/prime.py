"""Priming: a spare engine prefills its prefix cache with an answer in progress.

After the loss of an attempt, the spare engine has to prefill only the tokens since the
last priming. The cost is one additional prefill of the prompt and of the answer.
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
    """Primes spare engines for the answers that this instance owns.

    Parameters
    ----------
    spare_target : callable
        ``spare_target(spec, name_to_avoid, preferred_name)`` returns a `Target` with
        free capacity other than the one named `name_to_avoid`, or None.
    open_link : async callable
        Maps a `TargetState` to the open link to its agent.
    group : anyio.abc.TaskGroup
        Runs the primings.
    """

    def __init__(self, spare_target, open_link, group):
        self._spare_target = spare_target
        self._open_link = open_link
        self._group = group
        self.n_primings = 0

    def prime_if_due(self, answer, customer, target):
        """Start a priming if the customer uses it and enough tokens have been added.

        Parameters
        ----------
        answer : OwnedAnswer
        customer : Customer
        target : Target
            Target of the current attempt; another one is primed.
        """
        if customer.resume.mode != PRIMED:
            return
        n_tokens = len(answer.tokens)
        is_due = (
            answer.n_tokens_at_priming < 0
            or n_tokens - answer.n_tokens_at_priming >= PRIME_EVERY_TOKENS
        )
        if is_due:
            answer.n_tokens_at_priming = n_tokens
            self._group.start_soon(self._prime, answer, target.name)

    async def _prime(self, answer, active_target_name):
        spare = self._spare_target(
            answer.spec, active_target_name, answer.primed_target_name
        )
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
                    log.warning(
                        "priming of answer %s returned tokens", answer.spec.request
                    )
        except AlmonddealError as error:
            log.debug("priming at target %s failed: %s", spare.name, error)
            return
        self.n_primings += 1
        answer.primed_target_name = spare.name
