"""A toy model host with OpenAI's chat completions API. It streams the words of the question as its answer.

python examples/toy_host.py [PORT]
"""

from __future__ import annotations

import json
import sys
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

SECONDS_PER_WORD = 0.1


class ToyHost(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        words = str(body["messages"][-1]["content"]).split() or ["?"]
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for index, word in enumerate(words):
            is_last = index == len(words) - 1
            self.send_event({"delta": {"content": f"{word} "}, "finish_reason": "stop" if is_last else None})
            time.sleep(SECONDS_PER_WORD)
        usage = {"prompt_tokens": len(words), "completion_tokens": len(words), "total_tokens": 2 * len(words)}
        self.send_chunk(b"data: " + json.dumps({"choices": [], "usage": usage}).encode() + b"\n\n")
        self.send_chunk(b"data: [DONE]\n\n")
        self.wfile.write(b"0\r\n\r\n")

    def send_event(self, choice: dict[str, object]) -> None:
        event = {"object": "chat.completion.chunk", "choices": [{"index": 0, **choice}]}
        self.send_chunk(b"data: " + json.dumps(event).encode() + b"\n\n")

    def send_chunk(self, data: bytes) -> None:
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()


if __name__ == "__main__":
    port = int(sys.argv[1]) if len(sys.argv) > 1 else 9001
    print(f"toy host on http://127.0.0.1:{port}", flush=True)
    ThreadingHTTPServer(("127.0.0.1", port), ToyHost).serve_forever()
