"""A TCP proxy that can silently drop the bytes of its connections."""

import socket
import threading

HOST = "127.0.0.1"
CHUNK = 65536


class _Link:
    """A downstream connection and its upstream connection."""

    def __init__(self, downstream, upstream):
        self.downstream = downstream
        self.upstream = upstream
        self.silent = False

    def pump(self, source, sink):
        """Forwards bytes, or drops them once the link is silent."""
        try:
            while data := source.recv(CHUNK):
                if not self.silent:
                    sink.sendall(data)
            if not self.silent:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def close(self):
        for side in (self.downstream, self.upstream):
            try:
                side.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # Already closed.


class TcpProxy:
    """Listens on its own port and forwards connections to another port."""

    def __init__(self, to):
        self._to = to
        self._links = []
        self._lock = threading.Lock()
        self._is_partitioned = False
        self._listener = socket.create_server((HOST, 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open_connections(self):
        """Makes open connections silent permanently; new ones work."""
        with self._lock:
            for link in self._links:
                link.silent = True

    def partition(self, on):
        """While on, new connections are silent too. Open ones become silent permanently."""
        with self._lock:
            self._is_partitioned = on
        self.silence_open_connections()

    def close(self):
        self._listener.close()
        with self._lock:
            for link in self._links:
                link.close()

    def _accept(self):
        while True:
            try:
                downstream, _ = self._listener.accept()
            except OSError:
                return
            self._connect(downstream)

    def _connect(self, downstream):
        try:
            upstream = socket.create_connection((HOST, self._to))
        except OSError:
            downstream.close()
            return
        link = _Link(downstream, upstream)
        with self._lock:
            link.silent = self._is_partitioned
            self._links.append(link)
        for source, sink in ((downstream, upstream), (upstream, downstream)):
            threading.Thread(target=link.pump, args=(source, sink), daemon=True).start()
