"""Resource overhead: tokens computed beyond those of the answers."""

import anyio

from almonddeal_tools.bench.figures import print_figure
from almonddeal_tools.caller import Answer, make_client, stream_answer
from almonddeal_tools.documents import KEY_BY_CUSTOMER

N_ANSWERS = 200
N_TOKENS = 200
PROMPT_WORDS = 100
N_LOSSES = 2
N_CONCURRENT = 20
PREFILL_COST_RATIO = 0.01


class ResourceBench:
    """Reads answers, hangs one stream in 100, and counts the work of the engines.

    A prefilled token counts as `PREFILL_COST_RATIO` of a generated one, which is the
    ratio of their times at the engine stand-in.

    Parameters
    ----------
    fleet : Fleet
    customer : str
    """

    def __init__(self, fleet, customer):
        self._fleet = fleet
        self._customer = customer
        self._numbers_to_break = {
            (k + 1) * N_ANSWERS // (N_LOSSES + 1) for k in range(N_LOSSES)
        }

    async def run(self):
        """Measure and print the figures."""
        answers = []
        limiter = anyio.CapacityLimiter(N_CONCURRENT)
        async with make_client() as client, anyio.create_task_group() as group:
            for number in range(N_ANSWERS):
                words = " ".join(f"w{number}x{n}" for n in range(PROMPT_WORDS))
                answer = Answer(words, N_TOKENS)
                answers.append(answer)
                group.start_soon(self._read_answer, client, limiter, number, answer)
                await anyio.sleep(0.03)
        self._print_figures(answers)

    async def _read_answer(self, client, limiter, number, answer):
        key = KEY_BY_CUSTOMER[self._customer]
        is_broken = False
        async with limiter:
            url = self._fleet.caller_urls[number % 3]
            async for _ in stream_answer(client, url, key, answer):
                if (
                    number in self._numbers_to_break
                    and answer.n_tokens == 100
                    and not is_broken
                ):
                    is_broken = True
                    self._hang_stream(answer)

    def _hang_stream(self, answer):
        engine = self._fleet.find_engine(answer.request_id)
        self._fleet.inject_fault(engine, kind="hang_stream", request=answer.request_id)

    def _print_figures(self, answers):
        assert all(answer.is_complete for answer in answers)
        ids = {answer.request_id for answer in answers}
        records = [
            r
            for r in self._fleet.fetch_engine_records()
            if r["request"].partition(":")[2] in ids
        ]
        n_own = sum(answer.n_tokens for answer in answers)
        n_extra_decoded = sum(r["n_computed"] for r in records) - n_own
        # A priming attempt generates no tokens, so all of its prefill is overhead.
        first_records = [r for r in records if r["attempt"] == 1 and r["n_computed"]]
        n_first_prefill = sum(r["n_prefill"] for r in first_records)
        n_extra_prefill = sum(r["n_prefill"] for r in records) - n_first_prefill
        extra_tokens = n_extra_decoded + PREFILL_COST_RATIO * n_extra_prefill
        naive_extra_tokens = N_LOSSES * (100 + PREFILL_COST_RATIO * PROMPT_WORDS)
        print_figure(
            f"extra resource, {self._customer} default, 1 loss in 100 answers",
            extra_tokens / n_own * 100,
            "% of the answers' tokens",
            "under 2" if self._customer == "keystone" else "under 10",
            naive_extra_tokens / n_own * 100,
            decoded_extra=n_extra_decoded,
            prefilled_extra=n_extra_prefill,
            attempts=sum(bool(r["n_computed"]) for r in records),
            primings=sum(not r["n_computed"] for r in records),
        )
