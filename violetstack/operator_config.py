"""The compiled operator's file: fronts, keys, models, hosts, stores, leases and certificates.

`language.compiling` builds an OperatorConfig from a checked file, and compiles the file's routes, pools and
policies to a routing plan. A field whose name differs from the key has the key as its `name` option.
"""

from __future__ import annotations

from hashlib import sha256

import msgspec

from violetstack.settings import SettingsMessage

HASH_PREFIX = "sha256:"


class OperatorConfigError(Exception):
    """The operator's file is invalid; the text names the position or key, and the reason."""


class ModelConfig(msgspec.Struct, forbid_unknown_fields=True):
    """A model that clients may request: its class in the settings, and its name at the hosts (`upstream`)."""

    name: str
    class_name: str = msgspec.field(name="class")
    upstream: str = ""
    max_tokens: int = 500


class ApiKey(msgspec.Struct, forbid_unknown_fields=True):
    """A client's API key. `key` is the secret, or `sha256:` and its hash; empty `models` allows all."""

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
        """Returns whether this key gives access to the model."""
        return not self.models or model.name in self.models


class TenantConfig(msgspec.Struct, forbid_unknown_fields=True):
    """A tenant, and the class of its requests if the key has no class."""

    name: str
    class_name: str | None = msgspec.field(name="class", default=None)


class OpenAIHost(msgspec.Struct, forbid_unknown_fields=True):
    """A host with OpenAI's API, which prefills and decodes, but has no calls for state or reservations."""

    id: str
    address: str
    key: str = ""
    memory_tokens: float = 0.0
    weight: float = 1.0
    labels: list[str] = []


class IdempotencyStoreConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The file with the records of non-idempotent requests, and the time for which they are kept."""

    file: str
    keep_hours: float = 48.0
    lease_s: float = 10.0


class StateConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The stored state. `folder` is used by this dispatcher alone and outlives the process.

    If at least the share `doubt` of the hosts disappears from the endpoint list at once, the loss is applied
    only after `doubt_s`; with 0, every loss is applied at once.
    """

    folder: str
    keep_hours: float = 48.0
    doubt: float = 0.0
    doubt_s: float = 30.0


class LeaseConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Leases between the dispatchers. The first of `keys` signs messages; each of them verifies messages.

    With `outlier_checks`, one dispatcher at a time checks an outlier. At most `restart_permits` dispatchers
    restart at the same time, each waiting up to `restart_permit_wait_s` for its permit; 0 is no limit.
    """

    lease_s: float = 2.0
    keys: list[str] = []
    datagrams_per_s: float = 200.0
    outlier_checks: bool = msgspec.field(name="trials", default=False)
    restart_permits: int = msgspec.field(name="leave", default=0)
    restart_permit_wait_s: float = msgspec.field(name="leave_wait_s", default=0.0)


class TlsFiles(msgspec.Struct, forbid_unknown_fields=True):
    """Paths of the certificate chain and its private key, both in PEM format."""

    certificate: str
    key: str


class AcmeConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Certificates by ACME; `trust` is a file with the authority's root if the system does not have it."""

    directory: str
    domains: list[str]
    account_key: str
    challenge_listen: str
    contact: str = ""
    renew_before_days: float = 30.0
    check_every_s: float = 3600.0
    trust: str = ""


class OperatorConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file; `listen` is the chat front's address (empty: off), `platform` the platform front's."""

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
    """The configuration of the chat front, checked against the settings with which it is used.

    Raises:
        OperatorConfigError: A class, tenant or model is undefined, or `acme` lacks `tls`.
    """

    def __init__(self, operator: OperatorConfig, settings: SettingsMessage) -> None:
        """Checks the classes, tenants and models of the file."""
        self.operator = operator
        self.models = operator.models
        self.keys = operator.keys
        self._classes = {spec.name: index for index, spec in enumerate(settings.classes)}
        self._tenants = {spec.name: index for index, spec in enumerate(settings.parties or ())}
        self._check_classes()
        self._check_keys()
        if operator.acme is not None and operator.tls is None:
            raise OperatorConfigError("acme requires tls, which names the files of the certificate and key")

    def class_of(self, key: ApiKey, model: ModelConfig) -> str:
        """Returns the class of the key, else of its tenant, else of the model."""
        tenant_class = next((t.class_name for t in self.operator.tenants if t.name == key.tenant), None)
        return key.class_name or tenant_class or model.class_name

    def class_index(self, name: str) -> int:
        """Returns the index in the settings of a class that `class_of` names."""
        return self._classes[name]

    def tenant_index(self, name: str) -> int:
        """Returns the index of the tenant; 0 if the settings do not define it."""
        return self._tenants.get(name, 0)

    def _check_classes(self) -> None:
        class_names = [model.class_name for model in self.models]
        class_names += [key.class_name for key in self.keys if key.class_name is not None]
        class_names += [item.class_name for item in self.operator.tenants if item.class_name is not None]
        for name in class_names:
            if name not in self._classes:
                raise OperatorConfigError(f"class {name!r} is not defined in the settings")

    def _check_keys(self) -> None:
        models = {model.name for model in self.models}
        for key in self.keys:
            if self._tenants and key.tenant not in self._tenants:
                raise OperatorConfigError(f"tenant {key.tenant!r} of a key is not defined in the settings")
            for name in key.models:
                if name not in models:
                    raise OperatorConfigError(f"model {name!r} of a key is not defined")
