"""Where a process listens: a host number and a port."""


class Address:
    """A host number and port, written ``127.0.0.1:7000``."""

    __slots__ = ("host", "port")

    def __init__(self, host, port):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text):
        """Return the address written in `text`."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    def __str__(self):
        return f"{self.host}:{self.port}"

    def __repr__(self):
        return f"Address({self.host!r}, {self.port})"
