"""What the kernel knows of a node's connections, and peers whose machine is cut."""
import ctypes
import socket
import struct
from pathlib import Path

SO_ATTACH_FILTER = 26
ESTABLISHED = 1
# A window of this size is closed by a few kilobytes.
SMALL_WINDOW_BYTES = 2304
WINDOW_PROBE_TIMER = 4


def cut_machine(connection):
    """Drops all that arrives at a socket, as if its machine had no power."""
    drop_all = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))
    program = struct.pack("HP", 1, ctypes.addressof(drop_all))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def rows(node_port, peer_port):
    """Rows of /proc/net/tcp of the node's end of a connection."""
    for line in Path("/proc/net/tcp").read_text().split("\n")[1:]:
        fields = line.split()
        if len(fields) < 6:
            continue
        ports = [int(address.split(":")[1], 16) for address in fields[1:3]]
        if ports == [node_port, peer_port]:
            yield fields


def is_open(node_port, peer_port):
    return any(int(fields[3], 16) == ESTABLISHED for fields in rows(node_port, peer_port))


def is_window_closed(node_port, peer_port):
    """Whether the node has bytes to send and probes the peer's closed window."""
    for fields in rows(node_port, peer_port):
        unsent = int(fields[4].split(":")[0], 16)
        timer = int(fields[5].split(":")[0], 16)
        if unsent > 0 and timer == WINDOW_PROBE_TIMER:
            return True
    return False


def connect_with_small_window(port):
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
    connection.settimeout(8)
    connection.connect(("127.0.0.1", port))
    return connection
