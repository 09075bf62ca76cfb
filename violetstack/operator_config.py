"""What an operator's file says, as plain records: fronts, keys, models, hosts, ledger, certificates.

`language.compiling` makes them from a checked file; its routes, pools and policies go to the routing as a
`Plan` of their own."""

from __future__ import annotations

from hashlib import sha256

import msgspec

from violetstack.settings import SettingsMessage


class OperatorConfigError(Exception):
    """The file can't be used; the text says why."""


class Model(msgspec.Struct, forbid_unknown_fields=True):
    """`cls` is a class of the settings; `upstream` is the model's name at the hosts."""

    name: str
    cls: str = msgspec.field(name="class")
    upstream: str = ""
    max_tokens: int = 500


class Key(msgspec.Struct, forbid_unknown_fields=True):
    """`key` is the secret itself, or `sha256:` and its hash; `models` empty means all of them."""

    key: str
    tenant: str
    cls: str | None = msgspec.field(name="class", default=None)
    models: list[str] = []

    @property
    def hashed(self) -> str:
        if self.key.startswith("sha256:"):
            return self.key.removeprefix("sha256:").lower()
        return sha256(self.key.encode()).hexdigest()

    def may_use(self, model: Model) -> bool:
        return not self.models or model.name in self.models


class Tenant(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    cls: str | None = msgspec.field(name="class", default=None)


class OpenAIHost(msgspec.Struct, forbid_unknown_fields=True):
    """A host that speaks OpenAI's API: it reads and writes, and takes no states or places."""

    id: str
    address: str
    key: str = ""
    memory_tokens: float = 0.0
    weight: float = 1.0
    labels: list[str] = []


class IdempotencyStoreConfig(msgspec.Struct, forbid_unknown_fields=True):
    file: str
    keep_hours: float = 48.0
    lease_s: float = 10.0


class StateConfig(msgspec.Struct, forbid_unknown_fields=True):
    """`folder`: of this dispatcher alone, on a disk that outlives the process."""

    folder: str
    keep_hours: float = 48.0
    doubt: float = 0.0  # share of the hosts whose loss at once is doubted; 0: none is
    doubt_s: float = 30.0


class LeaseConfig(msgspec.Struct, forbid_unknown_fields=True):
    """`keys`: secrets of which the first seals what is sent, and any opens what is heard."""

    lease_s: float = 2.0
    keys: list[str] = []
    datagrams_per_s: float = 200.0
    trials: bool = False  # does one at a time try a host that fails?
    leave: int = 0  # how many may be restarted at once; 0: as many as are told to
    leave_wait_s: float = 0.0


class Tls(msgspec.Struct, forbid_unknown_fields=True):
    certificate: str
    key: str


class Acme(msgspec.Struct, forbid_unknown_fields=True):
    """`trust`: a file with the authority's own root, where it is not among the system's."""

    directory: str
    domains: list[str]
    account_key: str
    challenge_listen: str
    contact: str = ""
    renew_before_days: float = 30.0
    check_every_s: float = 3600.0
    trust: str = ""


class OperatorConfig(msgspec.Struct, forbid_unknown_fields=True):
    """`listen` is the chat front's address, empty where that is off; `platform` that of the other front."""

    listen: str = ""
    platform: str = ""
    discovery: str = ""
    cores: float = 1.0
    memory_mb: float = 192.0
    descriptors: int = 1024
    models: list[Model] = []
    keys: list[Key] = []
    tenants: list[Tenant] = []
    hosts: list[OpenAIHost] = []
    ledger: IdempotencyStoreConfig | None = None
    state: StateConfig | None = None
    duties: LeaseConfig | None = None
    tls: Tls | None = None
    acme: Acme | None = None
    settings: SettingsMessage | None = None


class ChatConfig:
    """The file checked against the settings it is used with."""

    def __init__(self, told: OperatorConfig, settings_message: SettingsMessage) -> None:
        self.told = told
        self.models = told.models
        self.keys = told.keys
        self._classes = {spec.name: n for n, spec in enumerate(settings_message.classes)}
        self._tenants = {spec.name: n for n, spec in enumerate(settings_message.parties or ())}
        named = [m.cls for m in told.models]
        named += [key.cls for key in told.keys if key.cls is not None]
        named += [tenant.cls for tenant in told.tenants if tenant.cls is not None]
        for name in named:
            if name not in self._classes:
                raise OperatorConfigError(f"class {name!r} is not among the settings' classes")
        for key in told.keys:
            if self._tenants and key.tenant not in self._tenants:
                raise OperatorConfigError(f"tenant {key.tenant!r} is not among the settings' tenants")
            for model in key.models:
                if model not in [m.name for m in told.models]:
                    raise OperatorConfigError(f"a key names the unknown model {model!r}")
        if told.acme is not None and told.tls is None:
            raise OperatorConfigError("acme needs [tls], which names the files that it keeps")

    def class_of(self, key: Key, model: Model) -> int:
        """The key's class, else its tenant's, else the model's."""
        tenant = next((t.cls for t in self.told.tenants if t.name == key.tenant), None)
        return self._classes[key.cls or tenant or model.cls]

    def tenant_index(self, name: str) -> int:
        return self._tenants.get(name, 0)
