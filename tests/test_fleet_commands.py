"""`violetstack fleet` against admin APIs with prepared responses."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

import msgspec
from click.testing import CliRunner

from violetstack.commands.main import main

UNREACHABLE = "127.0.0.1:1"
LEASES = {
    "me": 3,
    "fit": True,
    "electors": [0, 3],
    "speaks": False,
    "datagrams": 5,
    "bytes": 9,
    "duties": [
        {
            "name": "leave:0",
            "holder": 3,
            "mine": True,
            "number": 5,
            "left_ms": 400,
            "why": "elected",
            "since_ms": 1500,
        },
        {
            "name": "try:r3",
            "holder": None,
            "mine": False,
            "number": 4,
            "left_ms": 0,
            "why": "",
            "since_ms": None,
        },
    ],
}


@contextmanager
def admin_api(leases: dict[str, Any] = LEASES) -> Iterator[str]:
    """Serve an admin API that rejects every POST with 409; yield its address."""

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            self._respond(200, leases if self.path == "/admin/duties" else {"status": "serving"})

        def do_POST(self) -> None:
            name = self.rfile.read(int(self.headers["Content-Length"])).decode()
            self._respond(409, {"error": f"not now: {name}"})

        def _respond(self, status: int, body: dict[str, Any]) -> None:
            data = msgspec.json.encode(body)
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *_: Any) -> None:
            """Write nothing to standard error."""

    with HTTPServer(("127.0.0.1", 0), Handler) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield f"127.0.0.1:{server.server_port}"
        server.shutdown()


def run_fleet(*arguments: str) -> tuple[int, str]:
    """Run a `fleet` command; return its exit status and output."""
    result = CliRunner().invoke(main, ["fleet", *arguments])
    return result.exit_code, result.output


def test_who_shows_leases_and_their_holders() -> None:
    with admin_api() as address:
        assert run_fleet("who", address) == (
            0,
            f"{address}: dispatcher 3, eligible, acceptor that grants nothing yet after its start, "
            "5 datagrams sent\n"
            "  leave:0: dispatcher 3, fencing token 5, 400 ms left; elected 1.5 s ago\n"
            "  try:r3: no known holder, fencing token 4, 0 ms left\n",
        )


def test_who_reports_unreachable_dispatchers_and_leases_claimed_by_two() -> None:
    with admin_api() as first, admin_api({**LEASES, "me": 4}) as second:
        status, output = run_fleet("who", UNREACHABLE, first)
        assert status == 1
        assert f"{UNREACHABLE}: " in output
        assert f"{first}: dispatcher 3" in output
        status, output = run_fleet("who", first, second)
        assert status == 1
        assert "leave:0 is claimed by 3 as well" in output


def test_who_reports_a_response_that_it_cannot_decode() -> None:
    with admin_api({"me": "nobody"}) as address:
        status, output = run_fleet("who", address)
        assert status == 1
        assert output.startswith(f"{address}: ")


def test_resign_shows_the_reason_of_a_rejection() -> None:
    with admin_api() as address:
        assert run_fleet("resign", address, "try:r3") == (1, f"Error: {address}: not now: try:r3\n")


def test_roll_stops_at_a_dispatcher_that_gets_no_restart_permit() -> None:
    with admin_api() as address:
        assert run_fleet("roll", "--dry-run", address) == (0, f"1. {address}: serves\n")
        status, output = run_fleet("roll", "--within", "0", address, UNREACHABLE)
        assert (status, output) == (
            1,
            f"Error: {address}: no permit: not now: ; not restarted: {UNREACHABLE}\n",
        )
