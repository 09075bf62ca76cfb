"""ACME certificates are ordered, served, renewed without closing connections, and kept if renewal fails."""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio
from cryptography import x509

from tests.process_time import wait_until
from tests.test_stories import pair
from violetstack.net.acme import CertificateLifetime
from violetstack.rehearsal.authority import Authority
from violetstack.rehearsal.clients import Call, chat_body, chat_headers, connect
from violetstack.rehearsal.stage import Stage, stage

SHORT_LIFETIME_DAYS = 5.0  # so close to expiry that a renewal is due at once


def play(
    tmp_path: Path, authority: Authority, story: Callable[[Stage, ssl.SSLContext], Awaitable[None]]
) -> None:
    async def main() -> None:
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                await nursery.start(authority.serve)
                files = {"certificate": str(tmp_path / "chain.pem"), "key": str(tmp_path / "key.pem")}
                acme = {
                    "directory": f"http://{authority.address}/directory",
                    "domains": ["localhost"],
                    "account_key": str(tmp_path / "account.pem"),
                    "challenge_listen": "127.0.0.1:0",
                    "check_every_s": 0.05,
                }
                async with stage(*pair(), chat={"tls": files, "acme": acme}) as on:
                    assert on.challenge is not None
                    authority.challenge_at = f"{on.challenge[0]}:{on.challenge[1]}"
                    trust = ssl.create_default_context(cadata=authority.root_pem.decode())
                    await story(on, trust)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def request_is_served(call: Call) -> bool:
    await call.send("POST", "/v1/chat/completions", chat_headers(), chat_body("giro-consulta", stream=False))
    answer = await call.receive()
    call.http.reuse()
    call.answer = type(answer)()
    return answer.outcome == "served"


async def served_serial_number(on: Stage, trust: ssl.SSLContext) -> int:
    """Returns the serial number of the certificate that a new connection gets."""
    call = await connect(on.chat, trust)
    async with call.stream:
        assert isinstance(call.stream, trio.SSLStream)
        await call.stream.do_handshake()
        der = call.stream.getpeercert(binary_form=True)
        return x509.load_der_x509_certificate(der).serial_number


async def wait_until_served(on: Stage, trust: ssl.SSLContext, number: int) -> None:
    while True:
        try:
            if await served_serial_number(on, trust) == number:
                return
        except (trio.BrokenResourceError, OSError):
            pass  # no certificate is loaded yet
        await trio.sleep(0.01)


def test_a_certificate_is_ordered_and_served(tmp_path: Path) -> None:
    authority = Authority()

    async def story(on: Stage, trust: ssl.SSLContext) -> None:
        await authority.until_issued(1)
        await wait_until_served(on, trust, authority.issued[0].serial_number)
        call = await connect(on.chat, trust)
        async with call.stream:
            assert await request_is_served(call)
        assert (tmp_path / "key.pem").stat().st_mode & 0o777 == 0o600

    play(tmp_path, authority, story)


def test_a_renewed_certificate_is_used_by_new_connections_and_open_ones_stay(tmp_path: Path) -> None:
    authority = Authority(SHORT_LIFETIME_DAYS)

    async def story(on: Stage, trust: ssl.SSLContext) -> None:
        await authority.until_issued(1)
        await wait_until_served(on, trust, authority.issued[0].serial_number)
        call = await connect(on.chat, trust)
        async with call.stream:
            assert await request_is_served(call)
            await authority.until_issued(2)
            await wait_until_served(on, trust, authority.issued[1].serial_number)
            assert await request_is_served(call)
        assert len(authority.issued) == 2

    play(tmp_path, authority, story)


def test_a_failed_renewal_keeps_the_certificate_in_use(tmp_path: Path) -> None:
    authority = Authority(SHORT_LIFETIME_DAYS)

    async def story(on: Stage, trust: ssl.SSLContext) -> None:
        await authority.until_issued(1)
        authority.refuses = True
        await wait_until(lambda: authority.refused >= 2, 30.0)
        assert await served_serial_number(on, trust) == authority.issued[0].serial_number
        assert len(authority.issued) == 1

    play(tmp_path, authority, story)


@pytest.mark.parametrize(
    ("left_days", "total_days", "due"),
    [(0, 0, True), (29, 90, True), (31, 90, False), (5, 6, False), (1, 6, True)],
)
def test_a_renewal_is_due_in_the_last_third_of_the_lifetime_at_the_earliest(
    left_days: float, total_days: float, due: bool
) -> None:
    """Otherwise certificates with a lifetime of six days would be ordered at every check."""
    assert CertificateLifetime(left_days * 86400.0, total_days * 86400.0).is_renewal_due(30.0) is due
