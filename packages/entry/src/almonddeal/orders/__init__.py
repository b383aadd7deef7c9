"""Orders, which run at most once, and lookups, which may be repeated."""
