"""The operators' calls: a call's bytes in, its answer's bytes out, and what it asks of the dispatcher."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from violetstack.admin.cordons import TooMany, Unknown
from violetstack.protocol.server_side import Headers, Inbound, Rejected, ServerSide

MAX_CALL = 1024  # bytes of a body; an id is a short word
PLAIN_ID = re.compile(r"[!-~]{1,128}")
JSON: Headers = [("Content-Type", "application/json"), ("Cache-Control", "no-store")]
CALLS = {
    "/admin/health": "GET",
    "/admin/stats": "GET",
    "/admin/cordon": "POST",
    "/admin/uncordon": "POST",
    "/admin/duties": "GET",
    "/admin/leave": "POST",
    "/admin/resign": "POST",
}


class House(Protocol):
    """What the door opens to; the daemon's."""

    @property
    def started(self) -> bool:
        """With a list at hand; from then on hosts can be taken out, also while it ends."""

    @property
    def taking(self) -> bool:
        """Does it take clients?"""

    def figures(self) -> dict[str, Any]: ...

    def cordon(self, server: str) -> None:
        """Out from now on, and recorded for a successor. Raises Unknown, TooMany or NotRecorded."""

    def uncordon(self, server: str) -> None: ...

    def duties(self) -> dict[str, Any]:
        """Who holds what, as far as this dispatcher knows. Raises Refused, as the next two."""

    def leave(self) -> dict[str, Any]:
        """Asks for leave to be restarted; with it, the process ends."""

    def resign(self, name: str) -> dict[str, Any]:
        """The duty goes to others."""


class NotRecorded(Exception):
    """The record for a successor could not be written; nothing was changed."""


class Refused(Exception):
    """A no; the text says why."""

    def __init__(self, status: int, reason: str, headers: Headers | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.headers = headers or []


class Call:
    """One connection, for one call. `feed` until `answer` is there; it is the connection's last word."""

    def __init__(self, house: House, log: Callable[..., None]) -> None:
        self._house = house
        self._log = log
        self._http = ServerSide(most_body=MAX_CALL)
        self._http.closing = True

    def feed(self, data: bytes) -> bytes | None:
        """The whole answer, once the call is whole or can't become one."""
        inbound: Inbound | None = None
        try:
            self._http.feed(data)
            inbound = self._http.next_request()
            if inbound is None:
                return self._http.continue_100() if self._http.wants_continue else None
            status = 200
            headers = JSON
            told = msgspec.json.encode(self._act(inbound))
        except Rejected as error:
            status, headers, told = self._no(inbound, error.status, error.reason, [])
        except Refused as error:
            status, headers, told = self._no(inbound, error.status, error.reason, error.headers)
        except Exception as error:  # no call's failure ends the door
            status, headers, told = self._no(inbound, 500, repr(error), [])
        return b"".join(self._http.answer(status, headers, told + b"\n"))

    @property
    def answered(self) -> bool:
        return not self._http.can_answer

    def late(self) -> bytes:
        """The answer to a call that does not come whole in time."""
        status, headers, told = self._no(None, 408, "the call did not arrive in time", [])
        return b"".join(self._http.answer(status, headers, told + b"\n"))

    def _no(
        self, inbound: Inbound | None, status: int, reason: str, headers: Headers
    ) -> tuple[int, Headers, bytes]:
        path = inbound.path if inbound is not None else ""
        self._log("admin_call_rejected", path=path, status=status, reason=reason)
        return status, [*JSON, *headers], msgspec.json.encode({"error": reason})

    def _act(self, inbound: Inbound) -> dict[str, Any]:
        method = CALLS.get(inbound.path)
        if method is None:
            raise Refused(404, f"there is no such call; there are {', '.join(CALLS)}")
        if inbound.method != method:
            raise Refused(405, f"{inbound.path} takes {method}", [("Allow", method)])
        if inbound.path == "/admin/stats":
            return self._house.figures()
        if inbound.path == "/admin/health":
            if not self._house.taking:
                raise Refused(503, "this process does not take clients now")
            return {"status": "serving"}
        if not self._house.started:
            raise Refused(503, "this process has not started yet")
        match inbound.path:
            case "/admin/duties":
                return self._house.duties()
            case "/admin/leave":
                return self._house.leave()
            case "/admin/resign":
                return self._house.resign(self._id(inbound, "a duty's name"))
        return self._move(inbound.path, self._id(inbound, "the id of one model host"))

    def _move(self, path: str, server: str) -> dict[str, Any]:
        try:
            if path == "/admin/cordon":
                self._house.cordon(server)
                return {"out": server}
            self._house.uncordon(server)
            return {"back": server}
        except Unknown:
            raise Refused(404, f"no model host has the id {server!r}") from None
        except TooMany as error:
            raise Refused(409, str(error)) from None
        except NotRecorded as error:
            raise Refused(503, f"not recorded for a successor: {error}") from None

    def _id(self, inbound: Inbound, what: str) -> str:
        try:
            text = bytes(inbound.body).decode().strip()
        except UnicodeDecodeError:
            text = ""
        if not PLAIN_ID.fullmatch(text):
            raise Refused(400, f"the body is to be {what}")
        return text
