"""What may make a request crash its target: the request as such, or prompt segments.

A suspect is the hash of a shared prompt segment, or stands for the request: then it is
the request's fingerprint after a prefix, which no hash of a segment contains.
"""

_FINGERPRINT_PREFIX = "request:"


def list_suspects(admitted):
    """Return the suspects of an `AdmittedRequest`, as a tuple of str."""
    fingerprint = _FINGERPRINT_PREFIX + admitted.fingerprint
    return fingerprint, *shared_prefix_hashes(admitted.request)


def stands_for_request(suspect):
    """Tell whether a suspect stands for a request, and not for a prompt segment."""
    return suspect.startswith(_FINGERPRINT_PREFIX)


def shared_prefix_hashes(request):
    """Return the hashes of the shared segments of a `CallerRequest`, as a tuple."""
    generation = request.generation
    return () if generation is None else generation.shared_prefix_hashes
