"""Uploads of legal size that fill the memory for clients, of which two pause before their end."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))

from common2 import BROKEN, COULD_NOT_RUN, HELD, TROUBLE, PagedStore, fleet, run_case  # noqa: E402

import socket  # noqa: E402

MB = 1 << 20
BODY_LIMIT = 4 * MB  # max_body_bytes of the configuration
STEADY, PIECE, PIECE_SECONDS, STEADY_REST = 24, 4500, 0.1, 300_000
PAUSE_SECONDS = 0.7  # of each of the two uploads that pause; clients may be idle for idle_timeout_ms
IDLE_TIMEOUT_MS, TIMEOUT_MS = 15000, 15000
RUN_SECONDS = 0.8  # of the ordinary requests that are in progress meanwhile


class Upload:
    """A client that sends one body, up to a point, and later the rest."""

    def __init__(self, site, router, name, length=None):
        self.record, self.name, self.length = site.record, name, length
        fields = fleet.request_headers("k1", {"X-Dogwoodlatch-Deadline-Ms": str(TIMEOUT_MS)}, name)
        framing = f"Content-Length: {length}" if length else "Transfer-Encoding: chunked"
        head = "\r\n".join([f"POST /write/{name} HTTP/1.1", *(f"{key}: {value}" for key, value in fields.items()),
                            framing])
        self.socket = socket.create_connection((router.ip, fleet.FRONTEND_PORT), timeout=20)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.failed = None
        self.sent = 0
        self.send(head.encode() + b"\r\n\r\n")
        time.sleep(0.01)

    def send(self, data):
        try:
            self.socket.sendall(data)
        except OSError as error:
            self.failed = self.failed or repr(error)

    def send_body(self, count):
        """Sends bytes of the body, first in small packets as over a slow link."""
        while count > 0:
            size = min(4096 if self.sent < 32 * 4096 else 65536, count)
            self.send(b"b" * size)
            if size == 4096:
                time.sleep(0.004)
            self.sent += size
            count -= size

    def answer(self):
        """Returns the first line of the answer, or the error."""
        self.socket.settimeout(6)
        try:
            data = self.socket.recv(65536)
            return data.split(b"\r\n", 1)[0].decode() if data else "closed without an answer"
        except OSError as error:
            return repr(error)


def pump(uploads, is_over):
    """Goes on with the steady uploads, each several KB at a time and several times a second."""
    while not is_over.is_set():
        for upload in list(uploads):
            size = min(PIECE, upload.length - upload.sent)
            if size > 0:
                upload.send(b"b" * size)
                upload.sent += size
        time.sleep(PIECE_SECONDS)


def case(site):
    record = site.record
    store = PagedStore()
    content = fleet.configuration(1, ["k1"], timeout_ms=TIMEOUT_MS, idle_timeout_ms=IDLE_TIMEOUT_MS)
    content["limits"]["max_body_bytes"] = BODY_LIMIT
    store.put("config", "main", content)
    plain = fleet.Target(store, site.ip(21), "p1", "plain")
    router = site.router()
    if not fleet.wait_until(lambda: fleet.is_ready(router.ip)):
        record("the router is not ready")
        return COULD_NOT_RUN
    record("ordinary request:", fleet.request(router.ip, "/write/first", "POST", b"body")[0])

    steady, is_over = [], threading.Event()
    threading.Thread(target=pump, args=(steady, is_over), daemon=True).start()

    # A chunked upload that pauses before its last chunk. Its first chunks are 1 MB.
    paused = Upload(site, router, "paused-1")
    paused.send(b"%x\r\n" % MB)
    paused.send_body(MB)
    paused.send(b"\r\n")
    last_chunk = b"1\r\nz\r\n0\r\n\r\n"
    if not TROUBLE:
        paused.send(last_chunk)
    for number in range(STEADY):
        upload = Upload(site, router, f"steady-{number}", MB)
        upload.send_body(MB - STEADY_REST)
        steady.append(upload)
    half = Upload(site, router, "steady-half", MB // 2)
    half.send_body(MB // 2 - STEADY_REST)
    steady.append(half)
    other = Upload(site, router, "paused-2", MB)
    other.send_body(MB - 1 if TROUBLE else MB)
    time.sleep(PAUSE_SECONDS)
    record("bytes held for clients:", int(fleet.metric(router.ip, "dogwoodlatch_client_input_bytes")),
           "of", int(0.25 * 110 * MB), "- uploads in progress:", len(steady) + 2)

    # Ordinary callers, whose requests run while the upload ends.
    plain.choose = lambda: "mute"  # answers after 1.5 s
    answers = []
    callers = [threading.Thread(target=lambda name=f"ordinary-{number}": answers.append(
        (name, fleet.request(router.ip, "/write/" + name, "POST", b"body", identity=name,
                             headers={"X-Dogwoodlatch-Deadline-Ms": "6000"})[0])), daemon=True) for number in range(5)]
    for caller in callers:
        caller.start()
    fleet.wait_until(lambda: sum(identity.startswith("ordinary") for identity in plain.ran) == len(callers), 3)
    plain.choose = None
    if TROUBLE:
        record("paused-1 sends its last chunk")
        paused.send(last_chunk)
    for caller in callers:
        caller.join(10)
    code = router.process.poll()
    record("ordinary requests that had begun to run:", sorted(i for i in plain.ran if i.startswith("ordinary")))
    record("their answers (0: the connection ended without one):", sorted(answers))
    record("the router:", "alive" if code is None else f"ended by itself with {code}")
    if code is None:
        time.sleep(STEADY_REST / PIECE * PIECE_SECONDS * 0.5)
    is_over.set()
    for upload in [paused, other, *steady] if code is None else [paused]:
        if code is None and upload in steady and upload.sent < upload.length:
            upload.send(b"b" * (upload.length - upload.sent))
        record(upload.name, "->", upload.failed or upload.answer())
    if code is None and not TROUBLE:
        return HELD if all(status == 200 for _, status in answers) and len(answers) == len(callers) else BROKEN
    return HELD if code is None and all(status for _, status in answers) else BROKEN


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
