"""Network addresses of processes."""


class Address:
    """An IPv4 address and a port, written ``127.0.0.1:7000``."""

    __slots__ = ("host", "port")

    def __init__(self, host, port):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text):
        """Parse an address such as ``127.0.0.1:7000``."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    def __str__(self):
        return f"{self.host}:{self.port}"

    def __repr__(self):
        return f"Address({self.host!r}, {self.port})"
