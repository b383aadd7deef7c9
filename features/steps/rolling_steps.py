import random
import threading
import time

import httpx
from answer_steps import Reading
from behave import then, when

from almonddeal_tools.caller import Answer

N_CALLERS = 6
N_TOKENS = 300


class SteadyCaller(threading.Thread):
    """Asks for one answer after the other at instances that say they are ready."""

    def __init__(self, fleet, number):
        super().__init__(daemon=True)
        self.is_over = False
        self.cut = []
        self.n_whole = 0
        self._fleet = fleet
        self._random = random.Random(number)

    def run(self):
        while not self.is_over:
            url = self._random.choice(self._fleet.caller_urls)
            if not is_ready(url):
                continue
            version = self._fleet.document["models"]["draft"]["version"]
            prompt = f"steady {self._random.random()}"
            answer = Answer(prompt, N_TOKENS, version=version)
            reading = Reading(url, answer)
            reading.run()
            if answer.is_complete:
                self.n_whole += 1
            elif answer.n_tokens:
                self.cut.append((url, answer.n_tokens, answer.error))


def is_ready(url):
    try:
        return httpx.get(f"{url}/healthz", trust_env=False).status_code == 200
    except httpx.HTTPError:
        time.sleep(0.05)
        return False


@when(
    "callers ask without a pause while every process is told to stop and started again"
)
def roll_everything(context):
    context.callers = [SteadyCaller(context.fleet, n) for n in range(N_CALLERS)]
    for caller in context.callers:
        caller.start()
    names = ["agent0", "agent1", "agent2", "entry0", "entry1", "entry2"]
    for name in names:
        process = context.fleet.process_by_name[name]
        process.terminate()
        assert process.wait(20) == 0
        process.start()
        context.fleet.wait_until(context.fleet.all_ready, "ready fleet")
    for caller in context.callers:
        caller.is_over = True
    for caller in context.callers:
        caller.join(30)


@then("no answer that had begun was cut")
def check_not_cut(context):
    cut = [item for caller in context.callers for item in caller.cut]
    assert not cut, cut
    assert all(caller.n_whole > 3 for caller in context.callers)
