"""Replays the recorded trace and checks that each response is complete."""

import dataclasses
import http.client
import json
import os
import threading
import time

from cluster import HOST, bearer_headers, chat_body, request

TRACE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "trace")
PIECE_BYTES = 1024
BYTES_PER_TOKEN = 4
REQUESTS_PER_PROGRESS_LINE = 16
TIMEOUT_SECONDS = 30.0
MODELS = {"tengri": "assistant", "ounje": "menu"}


@dataclasses.dataclass
class Result:
    outcome: str
    fault: str = ""
    ttft_seconds: float = None
    workspace: str = ""
    prompt: str = ""
    response: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0


def load_trace():
    with open(os.path.join(TRACE, "requests.jsonl"), encoding="utf-8") as lines:
        return [json.loads(line) for line in lines]


def build_messages(record):
    """Returns the chat messages of a record: its shared parts as the system message, its last part as the user's."""
    texts = []
    for part in record["parts"]:
        with open(os.path.join(TRACE, part + ".txt"), encoding="utf-8") as text:
            texts.append(text.read())
    return [{"role": "system", "content": "\n".join(texts[:-1])}, {"role": "user", "content": texts[-1]}]


def recomputed_tokens(chats):
    """Counts tokens of full cache pieces that were computed again although an earlier request of the workspace had
    computed them."""
    seen, wasted = set(), 0
    for chat in chats:
        size = len(chat.prompt.encode())
        pieces = [chat.prompt.encode()[:end] for end in range(PIECE_BYTES, size + 1, PIECE_BYTES)]
        known = sum(1 for piece in pieces if (chat.workspace, piece) in seen)
        wasted += max(0, known * PIECE_BYTES // BYTES_PER_TOKEN - chat.cached_tokens)
        seen.update((chat.workspace, piece) for piece in pieces)
    return wasted


class Replayer:
    """Sends requests to the routers in round-robin order."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.words_by_prompt = {}
        self.lock = threading.Lock()

    def send(self, number, record):
        routers = self.cluster.routers
        port = routers[number % len(routers)].port
        try:
            result = self.send_chat(port, record) if "parts" in record else self.send_service_call(port, record)
            if "key" in record and not result.fault:
                result = self.resend(routers[(number + 1) % len(routers)].port, record, result)
        except (OSError, http.client.HTTPException, ValueError, KeyError) as error:
            result = Result("none", f"request failed: {error!r}")
        if result.fault:
            result.fault = f"request {number}: {result.fault}"
        return result

    def resend(self, port, record, first):
        """Sends a confirmation again through another router, which must return the first response."""
        again = self.send_service_call(port, record)
        if not again.fault and again.response != first.response:
            again.fault = f"resend got a different response: {again.response}"
        return again

    def send_service_call(self, port, record):
        headers = bearer_headers(record["workspace"])
        if "key" in record:
            headers["Idempotency-Key"] = record["key"]
        body = "{}" if record["method"] == "POST" else None
        status, response_headers, text = request(port, record["method"],
                                                 f"/services/{record['service']}{record['path']}", body, headers)
        outcome = response_headers.get("X-Dogwoodlatch-Outcome", "none")
        if status != 200 or outcome != "complete":
            return Result(outcome, f"status {status}: {text}")
        response = json.loads(text)
        if response["path"] != record["path"] or response["key"] != record.get("key", ""):
            return Result(outcome, f"response belongs to another call: {text}")
        return Result(outcome, response=text)

    def send_chat(self, port, record):
        messages = build_messages(record)
        body = {**chat_body("", record["max_tokens"], True, MODELS[record["workspace"]]), "messages": messages}
        words, done, usage, error, ttft_seconds = self.stream(port, record["workspace"], body)
        result = Result("complete" if done else "none", ttft_seconds=ttft_seconds, workspace=record["workspace"],
                        prompt="".join(f"{m['role']}\n{m['content']}\n" for m in messages))
        if error:
            result.outcome = error["type"]
        if error or not done:
            result.fault = f"stream ended with {error}"
            return result
        result.prompt_tokens = usage["prompt_tokens"]
        result.cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]
        result.fault = self.check_words(result, words, record["max_tokens"])
        return result

    def check_words(self, result, words, expected):
        """Checks the number of words, and that equal prompts yield equal words up to the shorter response's length."""
        if len(words) != expected:
            return f"got {len(words)} words instead of {expected}"
        with self.lock:
            known = self.words_by_prompt.setdefault(result.prompt, words)
        shared = min(len(known), len(words))
        return "" if known[:shared] == words[:shared] else "words differ from an earlier response to this prompt"

    @staticmethod
    def stream(port, workspace, body):
        """Returns (words, whether [DONE] was received, usage, error, seconds to the first token)."""
        words, done, usage, error, ttft_seconds = [], False, {}, None, None
        begin = time.monotonic()
        connection = http.client.HTTPConnection(HOST, port, timeout=TIMEOUT_SECONDS)
        try:
            connection.request("POST", "/v1/chat/completions", json.dumps(body), bearer_headers(workspace))
            response = connection.getresponse()
            if response.status != 200:
                return words, done, usage, json.loads(response.read())["error"], None
            for line in response:
                line = line.decode().strip()
                if not line.startswith("data: "):
                    continue
                if line == "data: [DONE]":
                    done = True
                    continue
                event = json.loads(line[len("data: "):])
                error = event.get("error", error)
                usage = event.get("usage", usage)
                for choice in event.get("choices", []):
                    text = choice["delta"].get("content")
                    if text:
                        ttft_seconds = ttft_seconds or time.monotonic() - begin
                        words.extend(text.split())
            return words, done, usage, error, ttft_seconds
        finally:
            connection.close()
