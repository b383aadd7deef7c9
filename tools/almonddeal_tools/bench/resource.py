"""Extra resource use: what is computed beyond the answers' own tokens."""

import anyio

from almonddeal_tools.bench.figures import show
from almonddeal_tools.caller import Answer, make_client, stream_answer
from almonddeal_tools.documents import KEY_BY_CUSTOMER

N_ANSWERS = 200
N_TOKENS = 200
PROMPT_WORDS = 100
N_LOSSES = 2
AT_ONCE = 20
PREFILL_COST = 0.01


class ResourceBench:
    """Serves answers with one loss a hundred and counts the engines' work.

    A prefilled token is counted as `PREFILL_COST` of a generated one, which is the
    ratio of the stand-in's times.

    Parameters
    ----------
    fleet : Fleet
    customer : str
    """

    def __init__(self, fleet, customer):
        self._fleet = fleet
        self._customer = customer
        self._lost_at = {(k + 1) * N_ANSWERS // (N_LOSSES + 1) for k in range(N_LOSSES)}

    async def run(self):
        """Measure and print the figures."""
        answers = []
        limiter = anyio.CapacityLimiter(AT_ONCE)
        async with make_client() as client, anyio.create_task_group() as group:
            for number in range(N_ANSWERS):
                words = " ".join(f"w{number}x{n}" for n in range(PROMPT_WORDS))
                answer = Answer(words, N_TOKENS)
                answers.append(answer)
                group.start_soon(self._serve, client, limiter, number, answer)
                await anyio.sleep(0.03)
        self._show(answers)

    async def _serve(self, client, limiter, number, answer):
        key = KEY_BY_CUSTOMER[self._customer]
        is_lost = False
        async with limiter:
            url = self._fleet.caller_urls[number % 3]
            async for _ in stream_answer(client, url, key, answer):
                if number in self._lost_at and answer.n_tokens == 100 and not is_lost:
                    is_lost = True
                    self._hang(answer)

    def _hang(self, answer):
        engine = self._fleet.engine_of(answer.request_id)
        self._fleet.fault(engine, kind="hang_stream", request=answer.request_id)

    def _show(self, answers):
        assert all(answer.is_whole for answer in answers)
        ids = {answer.request_id for answer in answers}
        records = [
            r
            for r in self._fleet.engine_records()
            if r["request"].partition(":")[2] in ids
        ]
        own = sum(answer.n_tokens for answer in answers)
        extra_decoded = sum(r["n_computed"] for r in records) - own
        # A priming generates nothing, so all of its prefill is extra.
        first = [r for r in records if r["attempt"] == 1 and r["n_computed"]]
        first_prefill = sum(r["n_prefill"] for r in first)
        extra_prefill = sum(r["n_prefill"] for r in records) - first_prefill
        extra = extra_decoded + PREFILL_COST * extra_prefill
        naive = N_LOSSES * (100 + PREFILL_COST * PROMPT_WORDS)
        show(
            f"extra resource, {self._customer} default, 1 loss in 100 answers",
            extra / own * 100,
            "% of the answers' tokens",
            "under 2" if self._customer == "keystone" else "under 10",
            naive / own * 100,
            decoded_extra=extra_decoded,
            prefilled_extra=extra_prefill,
            attempts=sum(bool(r["n_computed"]) for r in records),
            primings=sum(not r["n_computed"] for r in records),
        )
