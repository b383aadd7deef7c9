"""Tests of the generation of answers on engines that are lost."""

from types import SimpleNamespace

from almonddeal.answers.generate import MAX_LOSSES_BEFORE_TOKEN, AnswerGenerator
from almonddeal.answers.owned import OwnedAnswer
from almonddeal.answers.tests.fakes import make_spec
from almonddeal.document.model import Customer
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    NO_TARGET,
    NOT_REACHED,
    AlmonddealError,
)
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.gen.ttypes import AttemptChunk


class LostEngines:
    """Engines that send some tokens and are then lost.

    Parameters
    ----------
    code : ResultCode
        With which each attempt ends.
    n_tokens : int
        Sent before it ends, by the first attempt.
    n_losses : int
        After which no engine is left.
    """

    def __init__(self, code, n_tokens=0, n_losses=50):
        self.code = code
        self.n_tokens = n_tokens
        self.n_losses = n_losses
        self.n_attempts = 0
        self.name = "engine"
        self.state = None
        self.reply = None

    def record_failure(self):
        return None

    async def acquire_target(self, *arguments):
        if self.n_attempts >= self.n_losses:
            raise AlmonddealError(NO_TARGET, "none is left")
        return self

    async def open_link(self, state):
        return self

    def open_stream(self, start):
        self.n_attempts += 1
        return self

    async def __aenter__(self):
        return self._chunks()

    async def __aexit__(self, *error):
        return None

    def __exit__(self, *error):
        return None

    async def _chunks(self):
        if self.n_attempts == 1:
            for index in range(self.n_tokens):
                yield AttemptChunk(1, index, [7], [" 7"])
        raise AlmonddealError(self.code, "lost")


def generate(engines):
    """Generate an answer on the engines; return it."""
    generator = AnswerGenerator(
        lambda spec: engines,
        engines.open_link,
        SimpleNamespace(replicate=lambda answer: None),
        lambda spec: True,
        SimpleNamespace(prime_if_due=lambda *arguments: None),
    )
    answer = OwnedAnswer(make_spec(), 1, ["entry0"])
    customer = Customer("c", {"key_sha256": []})
    run_in_virtual_time(generator.generate, answer, customer)
    return answer


class TestLostEngines:
    def test_answer_ends_few_engines_before_its_first_token(self):
        """Guards against engines crashing one after the other by an answer."""
        engines = LostEngines(ATTEMPT_LOST)
        answer = generate(engines)
        assert engines.n_attempts == MAX_LOSSES_BEFORE_TOKEN
        assert answer.error.code == ATTEMPT_LOST
        assert answer.error.was_run == "unknown"

    def test_answer_that_was_never_sent_waits_for_an_engine(self):
        engines = LostEngines(NOT_REACHED, n_losses=20)
        answer = generate(engines)
        assert engines.n_attempts == 20
        assert answer.error.was_run == "no"

    def test_answer_that_has_begun_goes_on(self):
        engines = LostEngines(ATTEMPT_LOST, n_tokens=2, n_losses=20)
        answer = generate(engines)
        assert engines.n_attempts == 20
        assert len(answer.tokens) == 2
