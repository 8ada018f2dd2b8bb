"""Limits at the door: each broken limit gets a typed error, and a stream on the side is not disturbed."""

import json
import select
import socket
import threading
import time

from cluster import HOST, Cluster, bearer, chat_body, request, stream_chat, team

CONNECTIONS = 8
MAX_BODY_BYTES = 2000
READ_TIMEOUT_SECONDS = 0.5
REQUEST_TIMEOUT_SECONDS = 1.5
IDLE_TIMEOUT_SECONDS = 2.0
SLACK_SECONDS = 3.0
LIMITS = {"threads": CONNECTIONS, "max_body_bytes": MAX_BODY_BYTES,
          "read_timeout_ms": int(READ_TIMEOUT_SECONDS * 1000),
          "request_timeout_ms": int(REQUEST_TIMEOUT_SECONDS * 1000),
          "idle_timeout_ms": int(IDLE_TIMEOUT_SECONDS * 1000)}
HEAD = ("POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nContent-Type: application/json\r\n"
        "Authorization: Bearer {key}\r\n")


class Raw:
    """One raw connection to the router."""

    def __init__(self, port):
        self.socket = socket.create_connection((HOST, port))
        self.socket.settimeout(10.0)

    def send(self, text):
        self.socket.sendall(text.encode())

    def answer(self):
        """(status, error code, whether the router closed) of the one answer on this connection"""
        data = b""
        closed = False
        while not self.is_whole(data):
            part = self.socket.recv(65536)
            if not part:
                closed = True
                break
            data += part
        if not data:
            return None, None, closed
        head, _, body = data.partition(b"\r\n\r\n")
        if not closed:
            closed = b"connection: close" in head.lower()
        return int(head.split()[1]), json.loads(body)["error"]["code"], closed

    @staticmethod
    def is_whole(data):
        head, end, body = data.partition(b"\r\n\r\n")
        lengths = [int(line.split(b":")[1]) for line in head.split(b"\r\n")
                   if line.lower().startswith(b"content-length:")]
        return bool(end) and bool(lengths) and len(body) >= lengths[0]

    def rest(self):
        """What comes after the answer until the router closes."""
        data = b""
        while part := self.socket.recv(65536):
            data += part
        return data

    def close(self):
        self.socket.close()


def head(key="key-tengri", extra=""):
    return HEAD.format(key=key) + extra


def trickle(raw, text, pause=0.1):
    """Sends a byte at a time, each well within the time-out between two parts, until the router has had enough."""
    for character in text:
        try:
            raw.send(character)
        except OSError:
            return
        time.sleep(pause)
        if raw.socket in select.select([raw.socket], [], [], 0)[0]:
            return


def refusals(port):
    def exchange(text):
        raw = Raw(port)
        raw.send(text)
        answer = raw.answer()
        raw.close()
        return answer
    body = "{ not json"
    print("bad JSON", exchange(head(extra=f"Content-Length: {len(body)}\r\n\r\n") + body))
    print("JSON of another kind", exchange(head(extra="Content-Length: 2\r\n\r\n") + "[]"))
    print("unknown key, body not sent", exchange(head("key-nobody", "Content-Length: 100\r\n\r\n")))
    print("oversized body, not sent", exchange(head(extra=f"Content-Length: {MAX_BODY_BYTES + 1}\r\n\r\n")))
    chunk = "x" * 60000
    print("oversized chunked body",
          exchange(head(extra="Transfer-Encoding: chunked\r\n\r\n") + f"{len(chunk):x}\r\n{chunk}\r\n" * 2))
    raw = Raw(port)
    raw.send("hello\r\n\r\n" + "hello again\r\n\r\n")
    print("not HTTP", raw.answer(), "more", raw.rest())
    print("unknown path", exchange("GET /nowhere HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer key-tengri\r\n\r\n"))


def slow_senders(port):
    def timed(name, act, limit):
        raw = Raw(port)
        begin = time.monotonic()
        act(raw)
        answer = raw.answer()
        print(name, answer, "in time", time.monotonic() - begin < limit + SLACK_SECONDS)
        raw.close()
    timed("sender stops in the headers", lambda raw: raw.send("POST /v1/ch"), READ_TIMEOUT_SECONDS)
    timed("sender stops in the body", lambda raw: raw.send(head(extra="Content-Length: 100\r\n\r\n") + "{"),
          READ_TIMEOUT_SECONDS)
    timed("sender trickles headers", lambda raw: trickle(raw, head() + "X-Long: " + "x" * 200),
          REQUEST_TIMEOUT_SECONDS)
    timed("sender trickles the body",
          lambda raw: (raw.send(head(extra="Content-Length: 500\r\n\r\n")), trickle(raw, "x" * 400)),
          REQUEST_TIMEOUT_SECONDS)
    timed("idle connection", lambda raw: None, IDLE_TIMEOUT_SECONDS)


def crowd(port):
    """The connections beyond the limit are refused at once; those within it are served."""
    held = [Raw(port) for _ in range(CONNECTIONS)]
    for raw in held:
        raw.send("POST ")
    time.sleep(0.2)
    extra = Raw(port)
    extra.send(head(extra="Content-Length: 2\r\n\r\n") + "{}")
    print("one connection too many", extra.answer())
    for raw in [*held, extra]:
        raw.close()


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        cluster.put_object("settings/schools", team())
        cluster.add_engine("engine-1", options=["--token-ms", "20"])
        router = cluster.add_router("router-1", {"limits": LIMITS})
        cluster.wait_ready()
        expected, done, _ = stream_chat(router.port, "tengri", "on the side", 400)
        print("stream before", done, len(expected.split()))
        side = []
        stream = threading.Thread(target=lambda: side.append(stream_chat(router.port, "tengri", "on the side", 400)))
        stream.start()
        refusals(router.port)
        slow_senders(router.port)
        stream.join()
        print("stream on the side", side[0][1], side[0][0] == expected)
        crowd(router.port)
        time.sleep(READ_TIMEOUT_SECONDS)
        status, _, text = request(router.port, "POST", "/v1/chat/completions", chat_body("after"), bearer("tengri"))
        print("after all", status, len(json.loads(text)["choices"][0]["message"]["content"].split()))
        print("exit code", router.process.stop())
