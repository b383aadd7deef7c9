"""Fleet document and customer keys that the tools use."""

import hashlib

KEY_BY_CUSTOMER = {"tujenge": "key-tujenge", "keystone": "key-keystone"}


def sha256_hex(text):
    """Return the SHA-256 digest of a text, in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def base_document():
    """Return the initial fleet document, with two customers, a model and a service."""
    return {
        "format": 1,
        "customers": {
            "tujenge": {
                "key_sha256": [sha256_hex(KEY_BY_CUSTOMER["tujenge"])],
                "models": ["draft"],
                "services": ["badges"],
                "limits": {"requests_per_s": 1000, "burst": 1000, "max_streams": 500},
                "resume": {
                    "mode": "primed",
                    "copies": 2,
                    "disconnect_grace_ms": 500,
                },
            },
            "keystone": {
                "key_sha256": [sha256_hex(KEY_BY_CUSTOMER["keystone"])],
                "models": ["draft"],
                "services": ["badges"],
                "limits": {"requests_per_s": 1000, "burst": 1000, "max_streams": 500},
                "resume": {"mode": "plain", "copies": 2, "disconnect_grace_ms": 0},
            },
        },
        "models": {"draft": {"version": "v1"}},
        "services": {
            "badges": {
                "timeout_ms": 8000,
                "lookups": [{"method": "GET", "path_prefix": "/status"}],
            }
        },
    }
