"""Resume latency: time from a fault to the next token of the answer."""

import time

import anyio
import httpx

from almonddeal_tools.bench.figures import percentile, print_figure
from almonddeal_tools.bench.naive import NaiveCaller, read_from_engine
from almonddeal_tools.caller import Answer, make_client, stream_answer
from almonddeal_tools.chain import HASH_BITS
from almonddeal_tools.documents import KEY_BY_CUSTOMER

N_ROUNDS = 25
N_FLOOR_ROUNDS = 15
N_TOKENS = 400
FAULT_AT_TOKEN = 150
PROMPT_WORDS = 400
NAIVE_TIMEOUT_S = 10.0


class TimedReader:
    """Reads an answer and records the arrival time of every token.

    Parameters
    ----------
    answer : Answer
    """

    def __init__(self, answer):
        self.answer = answer
        self.token_times_s = []

    async def read(self, client, url, key):
        """Read one stream until it ends or its connection fails."""
        try:
            async for _ in stream_answer(client, url, key, self.answer):
                self.token_times_s.append(time.monotonic())
        except httpx.HTTPError:
            return

    def resume_ms(self, at_s):
        """Return the time in ms from `at_s` to the first token of another attempt.

        Tokens of the first attempt that were in flight at the fault do not count.
        Returns None if there was no other attempt.
        """
        tokens = self.answer.tokens
        first_nonce = tokens[0] >> HASH_BITS
        for index, token in enumerate(tokens):
            if token >> HASH_BITS != first_nonce:
                return (self.token_times_s[index] - at_s) * 1000
        return None

    def next_token_ms(self, at_s):
        """Return the time in ms from `at_s` to the next token after it."""
        return min(t for t in self.token_times_s if t > at_s) * 1000 - at_s * 1000


class ResumeBench:
    """Kills and hangs engines, and kills entry instances, during answers.

    Parameters
    ----------
    fleet : Fleet
    customer : str
    """

    def __init__(self, fleet, customer):
        self._fleet = fleet
        self._customer = customer
        self._key = KEY_BY_CUSTOMER[customer]
        self._naive_caller = NaiveCaller(fleet, NAIVE_TIMEOUT_S)
        self.n_incomplete = 0
        self.n_without_resume = 0

    def _prompt(self, number):
        return " ".join(f"name{number}x{n}" for n in range(PROMPT_WORDS))

    async def _floor_ms(self, client):
        """Return the median time in ms to the first token of a resume at an engine."""
        times_ms = []
        for number in range(N_FLOOR_ROUNDS):
            url = self._fleet.engine_urls[number % 3]
            started = time.monotonic()
            token_times_s = await read_from_engine(
                client,
                url,
                self._prompt(5000 + number),
                FAULT_AT_TOKEN + 1,
                FAULT_AT_TOKEN,
            )
            times_ms.append((token_times_s[0] - started) * 1000)
        return percentile(times_ms, 50)

    async def measure_engine_kills(self, client):
        """Return resume latencies in ms after SIGKILL of an engine."""
        return await self._measure_rounds(client, self._kill_engine)

    async def measure_stream_hangs(self, client):
        """Return resume latencies in ms after a hang of a stream."""
        return await self._measure_rounds(client, self._hang_stream)

    async def _measure_rounds(self, client, break_stream):
        latencies_ms = []
        for number in range(N_ROUNDS):
            answer = Answer(self._prompt(number), N_TOKENS)
            reader = TimedReader(answer)
            fault_at_s = None
            async with anyio.create_task_group() as group:
                url = self._fleet.caller_urls[number % 3]
                group.start_soon(reader.read, client, url, self._key)
                while answer.n_tokens < FAULT_AT_TOKEN:
                    await anyio.sleep(0.002)
                engine = self._fleet.find_engine(answer.request_id)
                fault_at_s = await break_stream(engine, answer)
            latency_ms = reader.resume_ms(fault_at_s)
            if latency_ms is None:
                self.n_without_resume += 1
            else:
                latencies_ms.append(latency_ms)
            self.n_incomplete += not answer.is_complete
            await self._restore_engine(engine)
        return latencies_ms

    async def _kill_engine(self, engine, answer):
        at_s = time.monotonic()
        self._fleet.process_by_name[f"engine{engine}"].kill()
        return at_s

    async def _hang_stream(self, engine, answer):
        at_s = time.monotonic()
        self._fleet.inject_fault(engine, kind="hang_stream", request=answer.request_id)
        return at_s

    async def _restore_engine(self, engine):
        process = self._fleet.process_by_name[f"engine{engine}"]
        if not process.is_running:
            process.start()
        with anyio.fail_after(30):
            while not self._fleet.all_ready():
                await anyio.sleep(0.1)

    async def measure_entry_kills(self, client):
        """Return times in ms from a reconnect after an entry SIGKILL to a token."""
        latencies_ms = []
        for number in range(N_ROUNDS):
            answer = Answer(self._prompt(1000 + number), N_TOKENS)
            reader = TimedReader(answer)
            name = f"entry{number % 3}"
            async with anyio.create_task_group() as group:
                url = self._fleet.caller_urls[number % 3]
                group.start_soon(reader.read, client, url, self._key)
                while answer.n_tokens < FAULT_AT_TOKEN:
                    await anyio.sleep(0.002)
                self._fleet.process_by_name[name].kill()
            at_s = time.monotonic()
            while answer.finish_reason is None:
                url = self._fleet.caller_urls[(number + 1) % 3]
                await reader.read(client, url, self._key)
            latencies_ms.append(reader.next_token_ms(at_s))
            self.n_incomplete += not answer.is_complete
            self._fleet.process_by_name[name].start()
            with anyio.fail_after(30):
                while not self._fleet.all_ready():
                    await anyio.sleep(0.1)
        return latencies_ms

    async def run(self):
        """Measure and print all figures."""
        async with make_client() as client:
            floor_ms = await self._floor_ms(client)
            await self._print_engine_kills(client, floor_ms)
            latencies_ms = await self.measure_stream_hangs(client)
            naive_ms = await self._naive_caller.measure_hang_recovery_ms(
                client, self._prompt(-2), FAULT_AT_TOKEN
            )
            print_figure(
                "resume after a hang, p99",
                percentile(latencies_ms, 99),
                "ms",
                "under 3000",
                naive_ms,
                p50=round(percentile(latencies_ms, 50), 1),
                n=len(latencies_ms),
            )
            latencies_ms = await self.measure_entry_kills(client)
            naive_ms = await self._naive_caller.measure_regeneration_ms(
                client, self._prompt(-3), FAULT_AT_TOKEN
            )
            print_figure(
                "reconnect after entry SIGKILL to next token, p99",
                percentile(latencies_ms, 99),
                "ms",
                "under 500",
                naive_ms,
                p50=round(percentile(latencies_ms, 50), 1),
                n=len(latencies_ms),
            )
        print_figure(
            "answers not whole in resume rounds", self.n_incomplete, "answers", "0"
        )
        print_figure(
            "rounds without a second attempt", self.n_without_resume, "rounds", "0"
        )

    async def run_engine_kills(self):
        """Measure and print only the figures of engine kills."""
        async with make_client() as client:
            await self._print_engine_kills(client, await self._floor_ms(client))

    async def _print_engine_kills(self, client, floor_ms):
        latencies_ms = await self.measure_engine_kills(client)
        naive_ms = await self._naive_caller.measure_regeneration_ms(
            client, self._prompt(-1), FAULT_AT_TOKEN
        )
        p50, p99 = percentile(latencies_ms, 50), percentile(latencies_ms, 99)
        n = len(latencies_ms)
        name = f"resume after engine SIGKILL, {self._customer} default"
        print_figure(f"{name}, p50", p50, "ms", None, naive_ms, n=n)
        print_figure(f"{name}, p99", p99, "ms", "under 1000", naive_ms, n=n)
        print_figure(
            f"{name}, p50 over the floor of a plain resume",
            p50 / floor_ms,
            "ratio",
            "at most 1.25",
            naive_ms / floor_ms,
            floor_ms=floor_ms,
        )
