"""Code shared by entry instances and agents: result codes, settings, logs, links."""

__version__ = "0.1.0"
