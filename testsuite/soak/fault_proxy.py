"""A TCP proxy on the loopback interface that injects network faults: delays, stalls and resets."""

import os
import random
import socket
import struct
import threading
import time

CHUNK = 16384
BACKLOG = 128
POLL_SECONDS = 0.02


class FaultProxy:
    """Forwards connections to `upstream`.

    Bytes that are held back are forwarded later and in order: the proxy never changes, drops or reorders the bytes
    of a connection. What it holds is discarded if the sender resets the connection.
    """

    def __init__(self, address, upstream):
        self.upstream = upstream
        self.max_delay_seconds = 0.0  # each chunk is delayed by a random time up to this
        self.holds_requests = False  # stalls the direction towards `upstream`
        self.holds_responses = False  # stalls the direction from `upstream`
        self.lock = threading.Lock()
        self.open_pairs = set()
        self.resets = []  # times of reset_all
        self.is_closed = False
        self.listener = socket.create_server(address, backlog=BACKLOG)
        self.acceptor = threading.Thread(target=self.accept_connections, daemon=True)
        self.acceptor.start()

    def accept_connections(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve_connection, args=(caller,), daemon=True).start()

    def serve_connection(self, caller):
        try:
            target = socket.create_connection(self.upstream, timeout=2)
        except OSError:
            self.reset(caller)
            return
        target.settimeout(None)
        for endpoint in (caller, target):
            endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (caller, target)
        with self.lock:
            self.open_pairs.add(pair)
        request_thread = threading.Thread(target=self.forward, args=(caller, target, lambda: self.holds_requests),
                                          daemon=True)
        request_thread.start()
        self.forward(target, caller, lambda: self.holds_responses)
        request_thread.join()
        with self.lock:
            self.open_pairs.discard(pair)
        for endpoint in pair:
            endpoint.close()

    def forward(self, source, destination, is_holding):
        try:
            while chunk := source.recv(CHUNK):
                if self.max_delay_seconds > 0:
                    time.sleep(random.uniform(0, self.max_delay_seconds))
                while is_holding() and not self.is_closed:
                    time.sleep(POLL_SECONDS)
                self.raise_if_reset(source)
                destination.sendall(chunk)
            destination.shutdown(socket.SHUT_WR)
        except OSError:
            for endpoint in (source, destination):
                self.reset(endpoint)

    @staticmethod
    def raise_if_reset(source):
        """Discards held bytes if `source` was reset, as its kernel would; an orderly close still delivers them."""
        error = source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error))

    @staticmethod
    def reset(endpoint):
        try:
            endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            endpoint.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # the peer has already closed the connection
        endpoint.close()

    def reset_all(self):
        """Resets all open connections."""
        self.resets.append(time.monotonic())
        with self.lock:
            pairs = list(self.open_pairs)
        for pair in pairs:
            for endpoint in pair:
                self.reset(endpoint)

    def stop(self):
        self.is_closed = True
        self.listener.shutdown(socket.SHUT_RDWR)  # unblocks the accept call
        self.acceptor.join()
        self.listener.close()
        self.reset_all()
