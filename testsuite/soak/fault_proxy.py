"""A TCP proxy on the loopback that harms the connections through it, as links do."""

import random
import socket
import struct
import threading
import time

CHUNK = 16384
BACKLOG = 128
POLL_SECONDS = 0.02


class FaultProxy:
    """Passes connections on to `upstream`. Bytes that are held back are passed on later, in order, so that no
    connection carries other bytes than its ends have sent."""

    def __init__(self, address, upstream):
        self.upstream = upstream
        self.delay = 0.0  # seconds by which each chunk is late, at most
        self.holds_requests = False  # nothing goes to the upstream side
        self.holds_answers = False  # nothing comes back from it
        self.lock = threading.Lock()
        self.open_pairs = set()
        self.is_closed = False
        self.listener = socket.create_server(address, backlog=BACKLOG)
        self.acceptor = threading.Thread(target=self.accept, daemon=True)
        self.acceptor.start()

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(caller,), daemon=True).start()

    def serve(self, caller):
        try:
            target = socket.create_connection(self.upstream, timeout=2)
        except OSError:
            self.reset(caller)
            return
        target.settimeout(None)
        for end in (caller, target):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (caller, target)
        with self.lock:
            self.open_pairs.add(pair)
        forth = threading.Thread(target=self.pump, args=(caller, target, lambda: self.holds_requests), daemon=True)
        forth.start()
        self.pump(target, caller, lambda: self.holds_answers)
        forth.join()
        with self.lock:
            self.open_pairs.discard(pair)
        for end in pair:
            end.close()

    def pump(self, source, sink, is_held):
        try:
            while chunk := source.recv(CHUNK):
                if self.delay > 0:
                    time.sleep(random.uniform(0, self.delay))
                while is_held() and not self.is_closed:
                    time.sleep(POLL_SECONDS)
                sink.sendall(chunk)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for end in (source, sink):
                self.reset(end)

    @staticmethod
    def reset(end):
        try:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            end.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # it has ended by itself
        end.close()

    def reset_all(self):
        """Resets every connection that is open now."""
        with self.lock:
            pairs = list(self.open_pairs)
        for pair in pairs:
            for end in pair:
                self.reset(end)

    def stop(self):
        self.is_closed = True
        self.listener.shutdown(socket.SHUT_RDWR)  # ends a waiting accept
        self.acceptor.join()
        self.listener.close()
        self.reset_all()
