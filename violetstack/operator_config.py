"""The operator's file as loaded: front, keys, models, hosts, stores, leases and certificates.

`language.compiling` builds an OperatorConfig from a checked file; the file's routes, pools and policies are
compiled to a routing plan. Keys of the file are met there; a field that is renamed here says so.
"""

from __future__ import annotations

from hashlib import sha256

import msgspec

from violetstack.settings import SettingsMessage

HASH_PREFIX = "sha256:"


class OperatorConfigError(Exception):
    """The operator's file can't be used; the text names the place and the reason."""


class ModelConfig(msgspec.Struct, forbid_unknown_fields=True):
    """A model that clients may ask for: its class of the settings, and its name at the hosts (`upstream`)."""

    name: str
    class_name: str = msgspec.field(name="class")
    upstream: str = ""
    max_tokens: int = 500


class ApiKey(msgspec.Struct, forbid_unknown_fields=True):
    """`key` is the secret itself, or `sha256:` and its hash; an empty `models` allows all of them."""

    key: str
    tenant: str
    class_name: str | None = msgspec.field(name="class", default=None)
    models: list[str] = []

    @property
    def hashed(self) -> str:
        """The SHA-256 of the secret, in lower-case hexadecimal."""
        if self.key.startswith(HASH_PREFIX):
            return self.key.removeprefix(HASH_PREFIX).lower()
        return sha256(self.key.encode()).hexdigest()

    def may_use(self, model: ModelConfig) -> bool:
        """Does this key give access to the model?"""
        return not self.models or model.name in self.models


class TenantConfig(msgspec.Struct, forbid_unknown_fields=True):
    """A tenant, and the class of its requests where its keys name none."""

    name: str
    class_name: str | None = msgspec.field(name="class", default=None)


class OpenAIHost(msgspec.Struct, forbid_unknown_fields=True):
    """A host that speaks OpenAI's API: it does prefill and decode, and has no state or reservation calls."""

    id: str
    address: str
    key: str = ""
    memory_tokens: float = 0.0
    weight: float = 1.0
    labels: list[str] = []


class IdempotencyStoreConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The file with the records of non-idempotent requests, and how long they are kept."""

    file: str
    keep_hours: float = 48.0
    lease_s: float = 10.0


class StateConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The durable state. `folder` belongs to this dispatcher alone and outlives the process.

    `doubt` is the share of the hosts whose loss at once is not applied for `doubt_s`; 0 applies every loss.
    """

    folder: str
    keep_hours: float = 48.0
    doubt: float = 0.0
    doubt_s: float = 30.0


class LeaseConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Leases between the dispatchers. The first of `keys` signs what is sent, any of them verifies.

    `outlier_checks`: one dispatcher at a time checks an outlier. `restart_permits`: the number of dispatchers
    that may restart at once, each waiting up to `restart_permit_wait_s` for its permit; 0 is no limit.
    """

    lease_s: float = 2.0
    keys: list[str] = []
    datagrams_per_s: float = 200.0
    outlier_checks: bool = msgspec.field(name="trials", default=False)
    restart_permits: int = msgspec.field(name="leave", default=0)
    restart_permit_wait_s: float = msgspec.field(name="leave_wait_s", default=0.0)


class TlsFiles(msgspec.Struct, forbid_unknown_fields=True):
    """The paths of the certificate chain and its private key, both PEM."""

    certificate: str
    key: str


class AcmeConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Certificates by ACME. `trust`: a file with the authority's root, where the system does not have it."""

    directory: str
    domains: list[str]
    account_key: str
    challenge_listen: str
    contact: str = ""
    renew_before_days: float = 30.0
    check_every_s: float = 3600.0
    trust: str = ""


class OperatorConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file. `listen` is the chat front's address (empty: off), `platform` the platform front's."""

    listen: str = ""
    platform: str = ""
    discovery: str = ""
    cores: float = 1.0
    memory_mb: float = 192.0
    descriptors: int = 1024
    models: list[ModelConfig] = []
    keys: list[ApiKey] = []
    tenants: list[TenantConfig] = []
    hosts: list[OpenAIHost] = []
    ledger: IdempotencyStoreConfig | None = None
    state: StateConfig | None = None
    duties: LeaseConfig | None = None
    tls: TlsFiles | None = None
    acme: AcmeConfig | None = None
    settings: SettingsMessage | None = None


class ChatFrontConfig:
    """The chat front's part of the file, checked against the settings it is used with.

    Raises OperatorConfigError for names that the settings or the file do not have.
    """

    def __init__(self, operator: OperatorConfig, settings: SettingsMessage) -> None:
        """Checks the file's classes, tenants and models."""
        self.operator = operator
        self.models = operator.models
        self.keys = operator.keys
        self._classes = {spec.name: index for index, spec in enumerate(settings.classes)}
        self._tenants = {spec.name: index for index, spec in enumerate(settings.parties or ())}
        self._check_classes()
        self._check_keys()
        if operator.acme is not None and operator.tls is None:
            raise OperatorConfigError("acme needs [tls], which names the files that it keeps")

    def class_of(self, key: ApiKey, model: ModelConfig) -> int:
        """The index of the key's class, else of its tenant's, else of the model's."""
        tenant = next((t.class_name for t in self.operator.tenants if t.name == key.tenant), None)
        return self._classes[key.class_name or tenant or model.class_name]

    def tenant_index(self, name: str) -> int:
        """The index of the tenant; 0 where the settings define none."""
        return self._tenants.get(name, 0)

    def _check_classes(self) -> None:
        named = [model.class_name for model in self.models]
        named += [key.class_name for key in self.keys if key.class_name is not None]
        named += [tenant.class_name for tenant in self.operator.tenants if tenant.class_name is not None]
        for name in named:
            if name not in self._classes:
                raise OperatorConfigError(f"class {name!r} is not among the settings' classes")

    def _check_keys(self) -> None:
        models = {model.name for model in self.models}
        for key in self.keys:
            if self._tenants and key.tenant not in self._tenants:
                raise OperatorConfigError(f"tenant {key.tenant!r} is not among the settings' tenants")
            for name in key.models:
                if name not in models:
                    raise OperatorConfigError(f"a key names the unknown model {name!r}")
