"""What sockets have received and the process has not read."""

import fcntl
import sys
import termios

C_INT_BYTES = 4


def n_unread_bytes(sock):
    """Return the number of bytes in the receive buffer of a connected socket.

    Those of a TLS connection are still encrypted.

    Parameters
    ----------
    sock : socket.socket or asyncio.trsock.TransportSocket

    Returns
    -------
    n_bytes : int
        0 if the socket is closed, or its bytes can't be counted.

    References
    ----------
    FIONREAD in tty_ioctl(4) and tcp(7).
    """
    file_descriptor = sock.fileno()
    if file_descriptor < 0:
        return 0
    try:
        count = fcntl.ioctl(file_descriptor, termios.FIONREAD, bytes(C_INT_BYTES))
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)
