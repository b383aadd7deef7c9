"""Tests of the token chains that tell attempts apart."""

from almonddeal_tools.chain import NONCE_BITS, context_digest, n_attempts, next_token
from almonddeal_tools.engine import ENGINE_BITS, draw_nonce


def chain(nonce, n_tokens, previous=-1, start=0):
    """Return tokens of one attempt, as a list."""
    context = context_digest("m", "v", "p", "{}")
    tokens = []
    for index in range(start, start + n_tokens):
        previous = next_token(context, previous, index, nonce)
        tokens.append(previous)
    return tokens


class TestNonces:
    def test_engines_of_a_fleet_never_draw_the_same(self):
        drawn = [{draw_nonce(number) for _ in range(5000)} for number in range(3)]
        for first, second in ((0, 1), (0, 2), (1, 2)):
            assert not drawn[first] & drawn[second]

    def test_they_fit_their_bits(self):
        assert 0 < ENGINE_BITS < NONCE_BITS
        assert all(draw_nonce(n) < 1 << NONCE_BITS for n in range(100))

    def test_attempts_of_two_engines_are_counted_apart(self):
        first = chain(draw_nonce(0), 5)
        second = chain(draw_nonce(1), 5, first[-1], 5)
        assert n_attempts(first + second) == 2
