"""Limits of the HTTP front end: each violation gets a typed error and does not disturb a concurrent stream."""

import json
import select
import socket
import threading
import time

from cluster import HOST, Cluster, bearer_headers, chat_body, request, stream_chat, team_settings

MAX_CONNECTIONS = 8
MAX_BODY_BYTES = 2000
READ_TIMEOUT_SECONDS = 0.5
REQUEST_TIMEOUT_SECONDS = 1.5
IDLE_TIMEOUT_SECONDS = 2.0
TOLERANCE_SECONDS = 3.0
LIMITS = {"threads": MAX_CONNECTIONS, "max_body_bytes": MAX_BODY_BYTES,
          "read_timeout_ms": int(READ_TIMEOUT_SECONDS * 1000),
          "request_timeout_ms": int(REQUEST_TIMEOUT_SECONDS * 1000),
          "idle_timeout_ms": int(IDLE_TIMEOUT_SECONDS * 1000)}
REQUEST_HEAD = ("POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nContent-Type: application/json\r\n"
                "Authorization: Bearer {key}\r\n")


class RawConnection:
    """A TCP connection to the router, for requests that an HTTP library would not send."""

    def __init__(self, port):
        self.socket = socket.create_connection((HOST, port))
        self.socket.settimeout(10.0)

    def send(self, text):
        self.socket.sendall(text.encode())

    def read_response(self):
        """Returns (status, error code, whether the router closes the connection)."""
        data = b""
        closed = False
        while not self.is_complete(data):
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
    def is_complete(data):
        head, end, body = data.partition(b"\r\n\r\n")
        lengths = [int(line.split(b":")[1]) for line in head.split(b"\r\n")
                   if line.lower().startswith(b"content-length:")]
        return bool(end) and bool(lengths) and len(body) >= lengths[0]

    def read_until_closed(self):
        """Returns the bytes after the response, until the router closes the connection."""
        data = b""
        while part := self.socket.recv(65536):
            data += part
        return data

    def close(self):
        self.socket.close()


def request_head(key="key-tengri", extra=""):
    return REQUEST_HEAD.format(key=key) + extra


def send_slowly(connection, text, pause=0.1):
    """Sends single bytes, each well within the read time-out, until the router responds or closes the connection."""
    for character in text:
        try:
            connection.send(character)
        except OSError:
            return
        time.sleep(pause)
        if connection.socket in select.select([connection.socket], [], [], 0)[0]:
            return


def check_refusals(port):
    def exchange(text):
        connection = RawConnection(port)
        connection.send(text)
        response = connection.read_response()
        connection.close()
        return response
    body = "{ not json"
    print("bad JSON", exchange(request_head(extra=f"Content-Length: {len(body)}\r\n\r\n") + body))
    print("JSON of another kind", exchange(request_head(extra="Content-Length: 2\r\n\r\n") + "[]"))
    print("unknown key, body not sent", exchange(request_head("key-nobody", "Content-Length: 100\r\n\r\n")))
    print("oversized body, not sent", exchange(request_head(extra=f"Content-Length: {MAX_BODY_BYTES + 1}\r\n\r\n")))
    chunk = "x" * 60000
    print("oversized chunked body",
          exchange(request_head(extra="Transfer-Encoding: chunked\r\n\r\n") + f"{len(chunk):x}\r\n{chunk}\r\n" * 2))
    connection = RawConnection(port)
    connection.send("hello\r\n\r\n" + "hello again\r\n\r\n")
    print("not HTTP", connection.read_response(), "more", connection.read_until_closed())
    print("unknown path", exchange("GET /nowhere HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer key-tengri\r\n\r\n"))


def check_slow_senders(port):
    def timed(name, send_part, limit):
        connection = RawConnection(port)
        begin = time.monotonic()
        send_part(connection)
        response = connection.read_response()
        print(name, response, "in time", time.monotonic() - begin < limit + TOLERANCE_SECONDS)
        connection.close()
    timed("sender stops in the headers", lambda connection: connection.send("POST /v1/ch"), READ_TIMEOUT_SECONDS)
    timed("sender stops in the body",
          lambda connection: connection.send(request_head(extra="Content-Length: 100\r\n\r\n") + "{"),
          READ_TIMEOUT_SECONDS)
    timed("sender trickles headers",
          lambda connection: send_slowly(connection, request_head() + "X-Long: " + "x" * 200),
          REQUEST_TIMEOUT_SECONDS)
    timed("sender trickles the body",
          lambda connection: (connection.send(request_head(extra="Content-Length: 500\r\n\r\n")),
                              send_slowly(connection, "x" * 400)),
          REQUEST_TIMEOUT_SECONDS)
    timed("idle connection", lambda connection: None, IDLE_TIMEOUT_SECONDS)


def exceed_connection_limit(port):
    """Opens one connection more than the limit; the router refuses it at once."""
    open_connections = [RawConnection(port) for _ in range(MAX_CONNECTIONS)]
    for connection in open_connections:
        connection.send("POST ")
    time.sleep(0.2)
    extra = RawConnection(port)
    extra.send(request_head(extra="Content-Length: 2\r\n\r\n") + "{}")
    print("one connection too many", extra.read_response())
    for connection in [*open_connections, extra]:
        connection.close()


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        cluster.put_object("settings/schools", team_settings())
        cluster.add_engine("engine-1", options=["--token-ms", "20"])
        router = cluster.add_router("router-1", {"limits": LIMITS})
        cluster.wait_ready()
        expected, done, _ = stream_chat(router.port, "tengri", "on the side", 400)
        print("stream before", done, len(expected.split()))
        concurrent_results = []
        stream = threading.Thread(target=lambda: concurrent_results.append(
            stream_chat(router.port, "tengri", "on the side", 400)))
        stream.start()
        check_refusals(router.port)
        check_slow_senders(router.port)
        stream.join()
        print("stream on the side", concurrent_results[0][1], concurrent_results[0][0] == expected)
        exceed_connection_limit(router.port)
        time.sleep(READ_TIMEOUT_SECONDS)
        status, _, text = request(router.port, "POST", "/v1/chat/completions", chat_body("after"),
                                  bearer_headers("tengri"))
        print("after all", status, len(json.loads(text)["choices"][0]["message"]["content"].split()))
        print("exit code", router.process.stop())
