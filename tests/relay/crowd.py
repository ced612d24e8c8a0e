"""A crowd of connections to one port, each with bytes of its own to send."""
import selectors
import socket
import time

# Bytes that one connection may send in a turn, so that all advance together.
TURN_BYTES = 65536
# A crowd is done when none of it has moved for this time, or after the limit.
# Neither is an expectation: memory is checked over the whole life of a node.
QUIET_SECONDS = 0.6
LIMIT_SECONDS = 8


class Member:
    """One connection. `pieces`: what it sends; a number stands for a pause."""

    def __init__(self, port, pieces, reads):
        self.socket = socket.socket()
        self.socket.settimeout(5)
        if not reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.pieces = iter(pieces)
        self.left = memoryview(b"")
        self.reads = reads
        self.wakes_at = 0
        self.is_open = True
        self.has_sent_all = False

    def send_turn(self, now):
        """Sends what fits; returns whether anything moved or is still due."""
        sent = 0
        while sent < TURN_BYTES and now >= self.wakes_at:
            if not self.left:
                piece = next(self.pieces, None)
                if piece is None:
                    self.has_sent_all = True
                    break
                if isinstance(piece, float):
                    self.wakes_at = now + piece
                    break
                self.left = memoryview(piece)
            try:
                count = self.socket.send(self.left[:TURN_BYTES])
            except BlockingIOError:
                break
            except OSError:
                self.is_open = False
                return True
            self.left = self.left[count:]
            sent += count
        return sent > 0 or now < self.wakes_at

    def read_turn(self):
        try:
            data = self.socket.recv(TURN_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        self.is_open = bool(data)
        return True


class Crowd:
    def __init__(self, port, size, pieces_of, reads=True):
        self.members = [Member(port, pieces_of(number), reads) for number in range(size)]

    def play(self):
        """Sends until nothing moves any more. The connections stay open."""
        started = moved = time.monotonic()
        while time.monotonic() - moved < QUIET_SECONDS:
            if time.monotonic() - started > LIMIT_SECONDS:
                return
            for member in self.members:
                if not member.is_open:
                    continue
                if not member.has_sent_all and member.send_turn(time.monotonic()):
                    moved = time.monotonic()
                if member.reads and member.is_open and member.read_turn():
                    moved = time.monotonic()
            time.sleep(0.001)

    def close(self):
        for member in self.members:
            member.socket.close()
