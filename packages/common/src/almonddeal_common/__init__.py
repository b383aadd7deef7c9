"""What both binaries of almonddeal share: codes, settings, logs and the wire."""

__version__ = "0.1.0"
