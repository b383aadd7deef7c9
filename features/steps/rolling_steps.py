import random
import threading
import time

import httpx
from answer_steps import AnswerReader
from behave import then, when

from almonddeal_tools.caller import Answer

N_CALLERS = 6
N_TOKENS = 300


class ContinuousCaller(threading.Thread):
    """Requests answers in sequence, each at a random instance that is ready."""

    def __init__(self, fleet, number):
        super().__init__(daemon=True)
        self.is_stopped = False
        self.interrupted = []
        self.n_complete = 0
        self._fleet = fleet
        self._random = random.Random(number)

    def run(self):
        while not self.is_stopped:
            url = self._random.choice(self._fleet.caller_urls)
            if not is_ready(url):
                continue
            version = self._fleet.document["models"]["draft"]["version"]
            prompt = f"steady {self._random.random()}"
            answer = Answer(prompt, N_TOKENS, version=version)
            reader = AnswerReader(url, answer)
            reader.run()
            if answer.is_complete:
                self.n_complete += 1
            elif answer.n_tokens:
                self.interrupted.append((url, answer.n_tokens, answer.error))


def is_ready(url):
    try:
        return httpx.get(f"{url}/healthz", trust_env=False).status_code == 200
    except httpx.HTTPError:
        time.sleep(0.05)
        return False


@when("callers request answers while all agents and entry instances restart in turn")
def restart_all(context):
    context.callers = [ContinuousCaller(context.fleet, n) for n in range(N_CALLERS)]
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
        caller.is_stopped = True
    for caller in context.callers:
        caller.join(30)


@then("no started answer was interrupted")
def check_not_interrupted(context):
    interrupted = [item for caller in context.callers for item in caller.interrupted]
    assert not interrupted, interrupted
    assert all(caller.n_complete > 3 for caller in context.callers)
