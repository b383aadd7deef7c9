"""Hash-chained tokens, which let a reader detect mixed, missing or repeated tokens.

A token id consists of the nonce of its attempt and a keyed hash of the previous token,
the position, the nonce and the request (model, version, prompt and settings). If tokens
of two attempts are mixed, or a token is missing or repeated, the hash of the next token
is invalid.
"""

from hashlib import blake2b

HASH_KEY = b"almonddeal stand-in"
NONCE_BITS = 11
HASH_BITS = 20


def digest_request(model, version, prompt, settings_json):
    """Return the digest of everything that is constant over an answer, as bytes."""
    text = "\0".join((model, version, prompt, settings_json))
    return blake2b(text.encode(), key=HASH_KEY, digest_size=16).digest()


def next_token(request_digest, previous, index, nonce):
    """Return the id of the token at `index` as a 31-bit integer.

    Parameters
    ----------
    request_digest : bytes
        From `digest_request`.
    previous : int
        Id of the token before, or -1 at the start of the answer.
    index : int
    nonce : int
        Nonce of the attempt that generates the token.
    """
    data = request_digest + f"/{previous}/{index}/{nonce}".encode()
    digest = blake2b(data, key=HASH_KEY, digest_size=4).digest()
    value = int.from_bytes(digest, "big") & ((1 << HASH_BITS) - 1)
    return nonce << HASH_BITS | value


def token_text(token):
    """Return the text that stands for a token id."""
    return f" {token:08x}"


def parse_tokens(text):
    """Return the token ids in a text, as a list of int."""
    return [int(word, 16) for word in text.split()]


def first_invalid_index(request_digest, tokens):
    """Return the index of the first token with an invalid hash, or None."""
    previous = -1
    for index, token in enumerate(tokens):
        nonce = token >> HASH_BITS
        if next_token(request_digest, previous, index, nonce) != token:
            return index
        previous = token
    return None


def count_attempts(tokens):
    """Return the number of attempts that generated the tokens, by changes of nonce."""
    nonces = [token >> HASH_BITS for token in tokens]
    return sum(a != b for a, b in zip([None, *nonces], nonces, strict=False))
