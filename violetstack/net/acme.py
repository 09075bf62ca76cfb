"""Orders and renews certificates by ACME (RFC 8555) with http-01 challenges.

Imported only if ACME is configured, because its libraries use several MiB of memory.
"""

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

from violetstack.fronts.reply import TEXT_HEADERS, Reply
from violetstack.log import log
from violetstack.net.tls import Certificate
from violetstack.operator_config import AcmeConfig, TlsFiles
from violetstack.protocol.http_server import HttpRequest

ORDER_TIMEOUT_S = 90.0  # from the order to the issued certificate
REQUEST_TIMEOUT_S = 30
FIRST_RETRY_S = 5.0  # after a failed order; doubles up to the interval between checks
SECONDS_PER_DAY = 86400.0
MAX_ERROR_LENGTH = 500
OWNER_ONLY = 0o600


class ChallengeFront:
    """Answers the http-01 requests of the certificate authority; any other request gets a 404."""

    def __init__(self) -> None:
        """Creates a front that answers with 404 until a response is added."""
        self._responses: dict[str, str] = {}  # by path

    def add(self, path: str, validation: str) -> None:
        """Answers requests for `path` with `validation`."""
        self._responses[path] = validation

    def clear(self) -> None:
        """Answers every request with 404 again."""
        self._responses.clear()

    def handle(self, inbound: HttpRequest, reply: Reply) -> None:
        """Answers a request."""
        validation = self._responses.get(inbound.path) if inbound.method == "GET" else None
        if validation is None:
            reply.answer(404, TEXT_HEADERS, b"not found\n")
        else:
            reply.answer(200, [("Content-Type", "application/octet-stream")], validation.encode())

    def reject(self, status: int, reason: str, reply: Reply) -> None:
        """Answers a request that could not be parsed."""
        reply.answer(status, TEXT_HEADERS, reason.encode() + b"\n")


class IssuedCertificate(NamedTuple):
    """A private key and its certificate chain, both PEM."""

    key: bytes
    chain: bytes


class PrivateKey(NamedTuple):
    """A key, and its PEM encoding without a password."""

    key: ec.EllipticCurvePrivateKey
    pem: bytes


class AcmeClient:
    """An account with a certificate authority. The methods block, so they run on a thread."""

    def __init__(self, config: AcmeConfig, front: ChallengeFront) -> None:
        """Creates a client; `front` answers the challenges. Nothing is sent before `issue`."""
        self._config = config
        self._front = front

    def issue(self) -> IssuedCertificate:
        """Orders a certificate and answers its challenges.

        Raises:
            acme.errors.Error: The order failed; the HTTP client may also raise errors of its own.
        """
        account_key = self._account_key()
        authority = self._connect(account_key)
        private_key = _generate_key()
        order = authority.new_order(make_csr(private_key.pem, domains=self._config.domains))
        try:
            for authorization in order.authorizations:
                if authorization.body.status != messages.STATUS_VALID:
                    self._answer_challenge(authority, authorization, account_key)
            deadline = datetime.datetime.now() + datetime.timedelta(seconds=ORDER_TIMEOUT_S)
            finished = authority.poll_and_finalize(order, deadline)
            return IssuedCertificate(private_key.pem, finished.fullchain_pem.encode())
        finally:
            self._front.clear()

    def _account_key(self) -> JWKEC:
        path = Path(self._config.account_key)
        if path.exists():
            key = serialization.load_pem_private_key(path.read_bytes(), None)
            return JWKEC(key=key)
        created = _generate_key()
        _write_private_file(path, created.pem)
        return JWKEC(key=created.key)

    def _connect(self, key: JWKEC) -> client.ClientV2:
        trust: bool | str = self._config.trust or True
        net = client.ClientNetwork(
            key,
            alg=ES256,
            user_agent="violetstack",
            verify_ssl=trust,  # type: ignore[arg-type]  # requests also accepts a file of root certificates
            timeout=REQUEST_TIMEOUT_S,
        )
        authority = client.ClientV2(client.ClientV2.get_directory(self._config.directory, net), net)
        contact = (f"mailto:{self._config.contact}",) if self._config.contact else ()
        registration = messages.NewRegistration(contact=contact, terms_of_service_agreed=True)
        try:
            authority.new_account(registration)
        except errors.ConflictError as conflict:  # the account exists already
            net.account = messages.RegistrationResource(body=messages.Registration(), uri=conflict.location)
        return authority

    def _answer_challenge(
        self, authority: client.ClientV2, authorization: messages.AuthorizationResource, key: JWKEC
    ) -> None:
        offered = [
            candidate
            for candidate in authorization.body.challenges
            if isinstance(candidate.chall, challenges.HTTP01)
        ]
        if not offered:
            raise errors.Error("the certificate authority offers no http-01 challenge")
        challenge = offered[0]
        response, validation = challenge.response_and_validation(key)
        self._front.add(challenge.chall.path, validation)
        authority.answer_challenge(challenge, response)


class CertificateLifetime(NamedTuple):
    """Remaining and total lifetime of a certificate, in seconds; both are 0 if it cannot be read."""

    left_s: float
    total_s: float

    def is_renewal_due(self, renew_before_days: float) -> bool:
        """Returns whether expiry is nearer than `renew_before_days` and than a third of the lifetime.

        Without the second condition, a certificate with a lifetime below `renew_before_days` would be ordered
        at every check.
        """
        renew_before_s = min(renew_before_days * SECONDS_PER_DAY, self.total_s / 3.0)
        return self.left_s < renew_before_s or not self.left_s


def read_lifetime(files: TlsFiles) -> CertificateLifetime:
    """Reads the lifetime of the certificate in the files."""
    try:
        certificate = x509.load_pem_x509_certificate(Path(files.certificate).read_bytes())
    except (OSError, ValueError):
        return CertificateLifetime(0.0, 0.0)
    now = datetime.datetime.now(datetime.UTC)
    end = certificate.not_valid_after_utc
    total = end - certificate.not_valid_before_utc
    return CertificateLifetime(max(0.0, (end - now).total_seconds()), total.total_seconds())


async def renew_certificate(
    config: AcmeConfig, certificate: Certificate, issue: Callable[[], IssuedCertificate]
) -> None:
    """Orders a certificate whenever it is missing or due for renewal, until cancelled.

    After a failed order the current certificate stays in use, and the order is retried with backoff.
    """
    retry_s = min(FIRST_RETRY_S, config.check_every_s)
    loaded = False
    while True:
        lifetime = read_lifetime(certificate.files)
        if lifetime.left_s and not loaded:
            loaded = certificate.reload()
        wait_s = config.check_every_s
        if not loaded or lifetime.is_renewal_due(config.renew_before_days):
            try:
                loaded = await _order_certificate(certificate, issue, config.domains)
                retry_s = min(FIRST_RETRY_S, config.check_every_s)
            except Exception as error:  # the library raises errors of many types; none may end the service
                log(
                    "certificate_order_failed",
                    error=repr(error)[:MAX_ERROR_LENGTH],
                    left_s=round(lifetime.left_s),
                )
                wait_s = retry_s
                retry_s = min(2.0 * retry_s, config.check_every_s)
        await trio.sleep(wait_s)


async def _order_certificate(
    certificate: Certificate, issue: Callable[[], IssuedCertificate], domains: list[str]
) -> bool:
    """Orders and stores a certificate; returns whether it could be loaded."""
    issued = await trio.to_thread.run_sync(issue, abandon_on_cancel=True)
    _write_private_file(Path(certificate.files.key), issued.key)
    _write_private_file(Path(certificate.files.certificate), issued.chain)
    loaded = certificate.reload()
    log(
        "certificate_issued",
        domains=domains,
        days=read_lifetime(certificate.files).left_s / SECONDS_PER_DAY,
    )
    return loaded


def _write_private_file(path: Path, data: bytes) -> None:
    """Replaces the file atomically, readable only by its owner."""
    new = path.with_name(path.name + ".new")
    with os.fdopen(os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, OWNER_ONLY), "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    new.replace(path)


def _generate_key() -> PrivateKey:
    key = ec.generate_private_key(ec.SECP256R1())
    pem = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    return PrivateKey(key, pem)
