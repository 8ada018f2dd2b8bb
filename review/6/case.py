"""Large uploads that stop just short of their end and stay open; then one of them ends."""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))

from common2 import BROKEN, COULD_NOT_RUN, FRONT_MEMORY_MB, HELD, TROUBLE, PagedStore, fleet, run_case  # noqa: E402

MB = 1 << 20
BODY_LIMIT = 4 * MB  # max_body_bytes of the configuration
IDLE_TIMEOUT_MS, TIMEOUT_MS = 15000, 15000
STOPPED = 25  # uploads of 1 MB that stop, besides one of half as much and the one that ends
PAUSE_SECONDS = 0.7
ORDINARY = 5  # callers on kept connections; the rule names more than three
PACKET, SLOW_START = 4096, 32


class Upload:
    """A client that sends one body, up to a point, and perhaps later the rest."""

    def __init__(self, router, name, length=None):
        self.name = name
        fields = fleet.request_headers("k1", {"X-Dogwoodlatch-Deadline-Ms": str(TIMEOUT_MS)}, name)
        framing = f"Content-Length: {length}" if length else "Transfer-Encoding: chunked"
        head = "\r\n".join([f"POST /write/{name} HTTP/1.1", *(f"{key}: {value}" for key, value in fields.items()),
                            framing])
        self.socket = socket.create_connection((router.ip, fleet.FRONTEND_PORT), timeout=10)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.failed = None
        self.send(head.encode() + b"\r\n\r\n")
        time.sleep(0.01)

    def send(self, data):
        try:
            self.socket.sendall(data)
        except OSError as error:
            self.failed = self.failed or repr(error)

    def send_body(self, count):
        """Sends bytes of the body, the first ones in single packets."""
        for _ in range(SLOW_START):
            self.send(b"b" * PACKET)
            time.sleep(0.004)
        self.send(b"b" * (count - SLOW_START * PACKET))

    def answer(self):
        """Returns the first line of the answer, or the error."""
        if self.failed:
            return self.failed
        self.socket.settimeout(6)
        try:
            data = self.socket.recv(65536)
            return data.split(b"\r\n", 1)[0].decode() if data else "closed without an answer"
        except OSError as error:
            return repr(error)


def upload_crowd(router):
    """Returns the uploads. With TROUBLE, all of them lack their end."""
    last_chunk = b"1\r\nz\r\n0\r\n\r\n"
    first = Upload(router, "chunked")
    first.send(b"%x\r\n" % MB)
    first.send_body(MB)
    first.send(b"\r\n" if TROUBLE else b"\r\n" + last_chunk)
    uploads = [first]
    for number in range(STOPPED + 1):
        length = MB if number < STOPPED else MB // 2
        upload = Upload(router, f"upload-{number}", length)
        upload.send_body(length - 1 if TROUBLE else length)
        uploads.append(upload)
    return uploads, last_chunk


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
    callers = [fleet.KeptConnection(router.ip, timeout=8) for _ in range(ORDINARY)]
    first = [caller.send("POST", "/write/first", b"body", "k1", f"first-{number}").status
             for number, caller in enumerate(callers)]
    record("first requests of the ordinary callers:", first)

    started = time.monotonic()
    uploads, last_chunk = upload_crowd(router)
    time.sleep(PAUSE_SECONDS)
    record("uploads:", len(uploads), "- held for clients:",
           int(fleet.metric(router.ip, "dogwoodlatch_client_input_bytes")), "bytes of memory_mb", FRONT_MEMORY_MB)

    # The ordinary callers ask again, and their requests run while one upload ends.
    plain.choose = lambda: "mute"  # answers after 1.5 s
    attempts = {}
    threads = [threading.Thread(target=lambda n=number, c=caller: attempts.__setitem__(n, c.send(
        "POST", "/write/again", b"body", "k1", f"ordinary-{n}")), daemon=True) for number, caller in enumerate(callers)]
    for thread in threads:
        thread.start()
    fleet.wait_until(lambda: sum(identity.startswith("ordinary") for identity in plain.ran) == ORDINARY, 3)
    plain.choose = None
    if TROUBLE:
        record(f"the chunked upload, begun {time.monotonic() - started:.1f} s ago, sends its end")
        uploads[0].send(last_chunk)
    for thread in threads:
        thread.join(10)
    code = router.process.poll()
    record("ordinary requests that the replica ran:", sorted(i for i in plain.ran if i.startswith("ordinary")))
    unanswered = [number for number, attempt in sorted(attempts.items()) if not attempt.status]
    for number, attempt in sorted(attempts.items()):
        record(f"ordinary-{number}: status {attempt.status} idle before {attempt.idle:.1f} s {attempt.error}")
    record("the router:", "alive" if code is None else f"ended by itself with {code}")
    answers = {upload.name: upload.answer() for upload in (uploads[:1] if TROUBLE else uploads)}
    for name, answer in answers.items():
        record(name, "->", answer)
    is_false_refusal = " 503 " in answers["chunked"] and "chunked" in plain.ran
    record("the chunked upload was refused and ran:", is_false_refusal)
    for upload in uploads:
        upload.socket.close()
    if code is None:
        record("an ordinary request afterwards:", fleet.request(router.ip, "/write/last", "POST", b"body")[0])
    return BROKEN if code is not None or len(unanswered) > 3 or is_false_refusal else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
