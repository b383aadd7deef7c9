"""Tests of the nonces that distinguish the attempts of an answer.

If two engines draw the same nonce, the tokens of two attempts count as one attempt, and
a check of a resume fails at random.
"""

from almonddeal_tools.chain import (
    NONCE_BITS,
    count_attempts,
    digest_request,
    next_token,
)
from almonddeal_tools.engine import ENGINE_BITS, draw_nonce


def make_tokens(nonce, n_tokens, previous=-1, start=0):
    """Return the token ids of one attempt, as a list."""
    request_digest = digest_request("m", "v", "p", "{}")
    tokens = []
    for index in range(start, start + n_tokens):
        previous = next_token(request_digest, previous, index, nonce)
        tokens.append(previous)
    return tokens


class TestNonces:
    def test_engines_of_a_fleet_never_draw_the_same_nonce(self):
        drawn = [{draw_nonce(number) for _ in range(5000)} for number in range(3)]
        for first, second in ((0, 1), (0, 2), (1, 2)):
            assert not drawn[first] & drawn[second]

    def test_nonces_fit_in_nonce_bits(self):
        assert 0 < ENGINE_BITS < NONCE_BITS
        assert all(draw_nonce(n) < 1 << NONCE_BITS for n in range(100))

    def test_attempts_of_two_engines_are_counted_separately(self):
        first = make_tokens(draw_nonce(0), 5)
        second = make_tokens(draw_nonce(1), 5, first[-1], 5)
        assert count_attempts(first + second) == 2
