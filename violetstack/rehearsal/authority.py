"""A scripted ACME server after RFC 8555: accounts, orders, http-01 challenges and certificates."""

from __future__ import annotations

import datetime
import secrets
from collections import deque
from typing import Any

import orjson
import trio
from acme.jws import JWS
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from josepy.b64 import b64decode, b64encode
from josepy.jwk import JWK

from violetstack.config import parse_address
from violetstack.protocol.http_server import Headers, HttpRequest
from violetstack.rehearsal.clients import connect
from violetstack.rehearsal.peer import Peer, PeerConnection

JSON: Headers = [("Content-Type", "application/json")]
DAYS = 90.0


class Problem(Exception):
    """An error response of the ACME server: a problem document with this status."""

    def __init__(self, status: int, kind: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.kind = kind
        self.detail = detail


class Authority(Peer):
    """An ACME server with a root certificate of its own.

    Attributes:
        challenge_at: The address that takes the place of port 80 of every domain.
        days: The remaining days of the next certificates; 90 for all after these.
        refuses: Whether new orders are rejected.
        refused: How many orders were rejected.
        issued: The certificates, oldest first.
    """

    def __init__(self, *days: float) -> None:
        super().__init__()
        self.challenge_at = ""
        self.days = deque(days)
        self.refuses = False
        self.refused = 0
        self.issued: list[x509.Certificate] = []
        self._nonces: set[str] = set()
        self._accounts: dict[str, Any] = {}
        self._orders: dict[str, dict[str, Any]] = {}
        self._authorizations: dict[str, dict[str, Any]] = {}
        self._chains: dict[str, bytes] = {}
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "rehearsal authority")])
        self.root = self._sign(self.name, self.key.public_key(), [], 3650.0, ca=True)

    @property
    def root_pem(self) -> bytes:
        return self.root.public_bytes(serialization.Encoding.PEM)

    def _url(self, path: str) -> str:
        return f"http://{self.address}{path}"

    def _nonce(self) -> tuple[str, str]:
        nonce = b64encode(secrets.token_bytes(16)).decode()
        self._nonces.add(nonce)
        return "Replay-Nonce", nonce

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        path = inbound.path
        if path == "/directory":
            paths = {"newNonce": "/nonce", "newAccount": "/account", "newOrder": "/order"}
            directory = {name: self._url(at) for name, at in paths.items()}
            await connection.answer(200, JSON, orjson.dumps(directory))
        elif path == "/nonce":
            await connection.answer(200, [self._nonce(), ("Cache-Control", "no-store")])
        else:
            try:
                status, headers, body = await self._signed(path, bytes(inbound.body))
            except Problem as problem:
                kind = f"urn:ietf:params:acme:error:{problem.kind}"
                status = problem.status
                headers = [("Content-Type", "application/problem+json")]
                body = orjson.dumps({"type": kind, "detail": problem.detail, "status": problem.status})
            await connection.answer(status, [*headers, self._nonce()], body)

    async def _signed(self, path: str, raw: bytes) -> tuple[int, Headers, bytes]:
        signed = JWS.json_loads(raw)
        header = signed.signature.combined
        nonce = b64encode(header.nonce).decode() if header.nonce else ""
        if nonce not in self._nonces:
            raise Problem(400, "badNonce", "the nonce is unknown or was used before")
        self._nonces.discard(nonce)
        if header.url != self._url(path):
            raise Problem(401, "unauthorized", "the signed URL is not that of the request")
        account = self._accounts.get(header.kid or "")
        key = header.jwk if path == "/account" else account
        if key is None or not signed.verify(key):
            raise Problem(403, "unauthorized", "the signature does not verify")
        if path == "/account":
            return self._account(key)
        payload: dict[str, Any] = orjson.loads(signed.payload) if signed.payload else {}
        kind, _, name = path.removeprefix("/").partition("/")
        match kind:
            case "order" if not name:
                return self._new_order(payload)
            case "order":
                return 200, JSON, orjson.dumps(self._orders[name])
            case "authorization":
                return 200, JSON, orjson.dumps(self._authorizations[name])
            case "challenge":
                return await self._challenge(name, key)
            case "finalize":
                return self._finalize(name, payload)
            case "certificate":
                return 200, [("Content-Type", "application/pem-certificate-chain")], self._chains[name]
        raise Problem(404, "malformed", "there is no such resource")

    def _account(self, key: JWK) -> tuple[int, Headers, bytes]:
        url = self._url("/accounts/" + b64encode(key.thumbprint()).decode())
        known = url in self._accounts
        self._accounts[url] = key
        return 200 if known else 201, [*JSON, ("Location", url)], b'{"status":"valid"}'

    def _new_order(self, payload: dict[str, Any]) -> tuple[int, Headers, bytes]:
        if self.refuses:
            self.refused += 1
            raise Problem(429, "rateLimited", "new orders are rejected")
        name = secrets.token_hex(8)
        urls = []
        for identifier in payload["identifiers"]:
            authorization = secrets.token_hex(8)
            token = b64encode(secrets.token_bytes(32)).decode()
            at = self._url(f"/challenge/{authorization}")
            challenge = {"type": "http-01", "url": at, "token": token, "status": "pending"}
            self._authorizations[authorization] = {
                "identifier": identifier,
                "status": "pending",
                "challenges": [challenge],
            }
            urls.append(self._url(f"/authorization/{authorization}"))
        order = self._orders[name] = {
            "status": "pending",
            "identifiers": payload["identifiers"],
            "authorizations": urls,
            "finalize": self._url(f"/finalize/{name}"),
        }
        return 201, [*JSON, ("Location", self._url(f"/order/{name}"))], orjson.dumps(order)

    async def _challenge(self, name: str, key: JWK) -> tuple[int, Headers, bytes]:
        authorization = self._authorizations[name]
        challenge = authorization["challenges"][0]
        thumbprint = b64encode(key.thumbprint()).decode()
        call = await connect(parse_address(self.challenge_at))
        async with call.stream:
            domain = authorization["identifier"]["value"]
            target = f"/.well-known/acme-challenge/{challenge['token']}"
            await call.send("GET", target, [("X-For", domain)])
            answer = await call.receive()
        valid = answer.status == 200 and answer.body.decode().strip() == f"{challenge['token']}.{thumbprint}"
        authorization["status"] = challenge["status"] = "valid" if valid else "invalid"
        if not valid:
            kind = "urn:ietf:params:acme:error:unauthorized"
            challenge["error"] = {"type": kind, "detail": "the key authorization does not match"}
        up = ("Link", f'<{self._url(f"/authorization/{name}")}>;rel="up"')
        return 200, [*JSON, up], orjson.dumps(challenge)

    def _finalize(self, name: str, payload: dict[str, Any]) -> tuple[int, Headers, bytes]:
        order = self._orders[name]
        names = [url.rpartition("/")[2] for url in order["authorizations"]]
        if any(self._authorizations[n]["status"] != "valid" for n in names):
            raise Problem(403, "orderNotReady", "an authorization is not valid yet")
        request = x509.load_der_x509_csr(b64decode(payload["csr"]))
        requested = request.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        domains = requested.get_values_for_type(x509.DNSName)
        if sorted(domains) != sorted(i["value"] for i in order["identifiers"]):
            raise Problem(400, "badCSR", "the names of the certificate request are not those of the order")
        days = self.days.popleft() if self.days else DAYS
        public: Any = request.public_key()
        certificate = self._sign(x509.Name([]), public, domains, days)
        self.issued.append(certificate)
        self._chains[name] = certificate.public_bytes(serialization.Encoding.PEM) + self.root_pem
        order |= {"status": "valid", "certificate": self._url(f"/certificate/{name}")}
        return 200, [*JSON, ("Location", self._url(f"/order/{name}"))], orjson.dumps(order)

    def _sign(
        self, subject: x509.Name, public: Any, domains: list[str], days: float, ca: bool = False
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(public)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=max(0.01, DAYS - days)))
            .not_valid_after(now + datetime.timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=ca, path_length=None), critical=True)
        )
        if domains:
            names = x509.SubjectAlternativeName([x509.DNSName(domain) for domain in domains])
            builder = builder.add_extension(names, critical=True)
        return builder.sign(self.key, hashes.SHA256())

    async def until_issued(self, count: int) -> None:
        """Wait until that many certificates have been issued in all."""
        while len(self.issued) < count:
            await trio.sleep(0.01)
