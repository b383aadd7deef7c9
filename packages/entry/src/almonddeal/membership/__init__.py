"""The other entry instances: links, digests and who is alive."""
