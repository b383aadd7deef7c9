"""Fleet membership: digests between entry instances, and reachability."""
