"""A toy model host that speaks OpenAI's chat API: it answers with the words of the question.

python examples/toy_host.py [PORT]
"""

from __future__ import annotations

import json
import sys
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

WORD_S = 0.1


class ToyHost(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        words = str(body["messages"][-1]["content"]).split() or ["?"]
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for n, word in enumerate(words):
            last = n == len(words) - 1
            self.event({"delta": {"content": f"{word} "}, "finish_reason": "stop" if last else None})
            time.sleep(WORD_S)
        usage = {"prompt_tokens": len(words), "completion_tokens": len(words), "total_tokens": 2 * len(words)}
        self.chunk(b"data: " + json.dumps({"choices": [], "usage": usage}).encode() + b"\n\n")
        self.chunk(b"data: [DONE]\n\n")
        self.wfile.write(b"0\r\n\r\n")

    def event(self, choice: dict[str, object]) -> None:
        told = {"object": "chat.completion.chunk", "choices": [{"index": 0, **choice}]}
        self.chunk(b"data: " + json.dumps(told).encode() + b"\n\n")

    def chunk(self, data: bytes) -> None:
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()


if __name__ == "__main__":
    port = int(sys.argv[1]) if len(sys.argv) > 1 else 9001
    print(f"toy host on http://127.0.0.1:{port}", flush=True)
    ThreadingHTTPServer(("127.0.0.1", port), ToyHost).serve_forever()
