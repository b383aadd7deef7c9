"""Token chains by which any caller can tell mixed, lost or repeated tokens.

A token is a nonce of its attempt and a keyed hash over the token before, the position,
the prompt, the settings and the version. A token of another attempt, a gap or a
repetition breaks the chain at the next token.
"""

from hashlib import blake2b

KEY = b"almonddeal stand-in"
NONCE_BITS = 11
HASH_BITS = 20


def context_digest(model, version, prompt, settings_json):
    """Return the digest of what must stay the same along an answer."""
    text = "\0".join((model, version, prompt, settings_json))
    return blake2b(text.encode(), key=KEY, digest_size=16).digest()


def next_token(context, previous, index, nonce):
    """Return the token id at `index` of an attempt with a nonce, as a 31 bit int."""
    data = context + f"/{previous}/{index}/{nonce}".encode()
    digest = blake2b(data, key=KEY, digest_size=4).digest()
    value = int.from_bytes(digest, "big") & ((1 << HASH_BITS) - 1)
    return nonce << HASH_BITS | value


def token_text(token):
    """Return the text of a token id."""
    return f" {token:08x}"


def parse_text(text):
    """Return the token ids of a text, as a list."""
    return [int(word, 16) for word in text.split()]


def first_break(context, tokens):
    """Return the index of the first token that does not follow, or None."""
    previous = -1
    for index, token in enumerate(tokens):
        nonce = token >> HASH_BITS
        if next_token(context, previous, index, nonce) != token:
            return index
        previous = token
    return None


def n_attempts(tokens):
    """Return how many attempts made the tokens."""
    nonces = [token >> HASH_BITS for token in tokens]
    return sum(a != b for a, b in zip([None, *nonces], nonces, strict=False))
