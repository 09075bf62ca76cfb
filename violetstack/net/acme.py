"""Certificates by ACME (RFC 8555): order, http-01, issue, renew. Imported only where configured."""

from __future__ import annotations

import datetime
import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import trio
from acme import challenges, client, errors, messages
from acme.crypto_util import make_csr
from cryptography import x509
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from josepy.jwa import ES256
from josepy.jwk import JWKEC

from violetstack.fronts.reply import TEXT, Reply
from violetstack.log import log
from violetstack.net.tls import Certificate
from violetstack.operator_config import AcmeConfig, TlsFiles
from violetstack.protocol.server_side import Inbound

ORDER_S = 90.0
NETWORK_S = 30
FIRST_AGAIN_S = 5.0  # after a failure; doubled up to the time between checks


class Challenges:
    """The front that answers http-01: what the authority may fetch, and nothing else."""

    def __init__(self) -> None:
        self.answers: dict[str, str] = {}

    def handle(self, inbound: Inbound, reply: Reply) -> None:
        found = self.answers.get(inbound.path) if inbound.method == "GET" else None
        if found is None:
            reply.answer(404, TEXT, b"not found\n")
        else:
            reply.answer(200, [("Content-Type", "application/octet-stream")], found.encode())

    def rejected(self, status: int, reason: str, reply: Reply) -> None:
        reply.answer(status, TEXT, reason.encode() + b"\n")


class Issued(NamedTuple):
    key: bytes
    chain: bytes


def _private(path: Path, data: bytes) -> None:
    """Whole or not at all, and readable by its owner only."""
    new = path.with_name(path.name + ".new")
    with os.fdopen(os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    new.replace(path)


def _new_key() -> tuple[ec.EllipticCurvePrivateKey, bytes]:
    key = ec.generate_private_key(ec.SECP256R1())
    form = serialization.PrivateFormat.PKCS8
    plain = serialization.NoEncryption()
    return key, key.private_bytes(serialization.Encoding.PEM, form, plain)


class Authority:
    """The account with one authority. Blocking: runs on a thread."""

    def __init__(self, config: AcmeConfig, front: Challenges) -> None:
        self._config = config
        self._front = front

    def _account_key(self) -> JWKEC:
        path = Path(self._config.account_key)
        if path.exists():
            key = serialization.load_pem_private_key(path.read_bytes(), None)
        else:
            key, pem = _new_key()
            _private(path, pem)
        return JWKEC(key=key)

    def _client(self, key: JWKEC) -> client.ClientV2:
        trust: bool | str = self._config.trust or True
        net = client.ClientNetwork(
            key,
            alg=ES256,
            user_agent="violetstack",
            verify_ssl=trust,  # type: ignore[arg-type]  # requests takes a file of roots here too
            timeout=NETWORK_S,
        )
        authority = client.ClientV2(client.ClientV2.get_directory(self._config.directory, net), net)
        contact = (f"mailto:{self._config.contact}",) if self._config.contact else ()
        new = messages.NewRegistration(contact=contact, terms_of_service_agreed=True)
        try:
            authority.new_account(new)
        except errors.ConflictError as known:
            account = messages.RegistrationResource(body=messages.Registration(), uri=known.location)
            net.account = account
        return authority

    def issue(self) -> Issued:
        """One order, from the account to the chain."""
        key = self._account_key()
        authority = self._client(key)
        _, pem = _new_key()
        order = authority.new_order(make_csr(pem, domains=self._config.domains))
        paths: list[str] = []
        try:
            for authorization in order.authorizations:
                if authorization.body.status == messages.STATUS_VALID:
                    continue
                offered = [c for c in authorization.body.challenges if isinstance(c.chall, challenges.HTTP01)]
                if not offered:
                    raise errors.Error("the authority offers no http-01 challenge")
                response, validation = offered[0].response_and_validation(key)
                paths.append(offered[0].chall.path)
                self._front.answers[offered[0].chall.path] = validation
                authority.answer_challenge(offered[0], response)
            deadline = datetime.datetime.now() + datetime.timedelta(seconds=ORDER_S)
            finished = authority.poll_and_finalize(order, deadline)
            return Issued(pem, finished.fullchain_pem.encode())
        finally:
            for path in paths:
                self._front.answers.pop(path, None)


class Life(NamedTuple):
    """Of the certificate in the files: seconds that are left, and of the whole; 0 where none can be read."""

    left_s: float
    whole_s: float

    def due(self, renew_before_days: float) -> bool:
        """Guards against ordering again and again where certificates live shorter than the set time."""
        return self.left_s < min(renew_before_days * 86400.0, self.whole_s / 3.0) or not self.left_s


def life_of(files: TlsFiles) -> Life:
    try:
        certificate = x509.load_pem_x509_certificate(Path(files.certificate).read_bytes())
    except (OSError, ValueError):
        return Life(0.0, 0.0)
    now = datetime.datetime.now(datetime.UTC)
    end = certificate.not_valid_after_utc
    whole = end - certificate.not_valid_before_utc
    return Life(max(0.0, (end - now).total_seconds()), whole.total_seconds())


async def keep_certified(config: AcmeConfig, certificate: Certificate, issue: Callable[[], Issued]) -> None:
    """Orders when the certificate is missing or near its end; a failure keeps the one there is."""
    again = min(FIRST_AGAIN_S, config.check_every_s)
    served = False
    while True:
        life = life_of(certificate.files)
        if life.left_s and not served:
            served = _load(certificate)
        wait = config.check_every_s
        if not served or life.due(config.renew_before_days):
            try:
                issued = await trio.to_thread.run_sync(issue, abandon_on_cancel=True)
                _private(Path(certificate.files.key), issued.key)
                _private(Path(certificate.files.certificate), issued.chain)
                served = _load(certificate)
                again = min(FIRST_AGAIN_S, config.check_every_s)
                log(
                    "certificate_issued",
                    domains=config.domains,
                    days=life_of(certificate.files).left_s / 86400.0,
                )
            except Exception as error:  # the library raises many kinds; none may end the service
                log("certificate_order_failed", error=repr(error)[:500], left_s=round(life.left_s))
                wait = again
                again = min(2.0 * again, config.check_every_s)
        await trio.sleep(wait)


def _load(certificate: Certificate) -> bool:
    try:
        certificate.load()
    except OSError as error:  # a key that does not fit, or a broken file
        log("certificate_invalid", error=str(error))
        return False
    return True
