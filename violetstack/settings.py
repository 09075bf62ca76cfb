"""Decodes the settings object that operators and the simulator provide.

The dispatcher reads it from its configuration, the simulator adapter from its first message. The attributes
of the `...Message` types are the keys of the object and must not be renamed; `decode_settings` translates
them to the names of `violetstack.policy_api.Settings`. Durations are in milliseconds unless the key has
another unit. Unknown keys are ignored, and an absent value is null.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from violetstack.policy_api import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    Role,
    Settings,
    TenantSettings,
)

T = TypeVar("T")

MIN_LATENCY_OBJECTIVE_MS = 0.0
MIN_CLIENT_TIMEOUT_MS = 1.0
US_PER_MS = 1000.0

# Values of `report.how`.
REPORT_INLINE = "inline"
REPORT_ON_HEALTH_CHECK = "on_probe"
# The value of `membership_mode` with which the dispatcher watches the endpoint list.
MODE_WATCH = "subscribe"

IDEMPOTENCY_BY_NAME = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}


class Message(msgspec.Struct):
    """Base class of the types that are decoded from JSON."""


class ClassMessage(Message):
    """A class of requests; see `ClassSettings`."""

    aim: float
    give_up: float
    idempotency: str = "read_like"
    group: str | None = None
    window: float | None = None
    value: float | None = None
    late_value: float | None = None
    aim_stretch: float | None = None
    name: str = ""


class TenantMessage(Message):
    """A tenant; see `TenantSettings`."""

    fraction: float | None = None
    allowance_per_s: float | None = None
    name: str = ""


class TwoStageMessage(Message):
    """Capabilities of the hosts of a two-stage service; lists have an entry for each kind or each class."""

    ahead: bool | None = None
    aim_us_per_1000_prompt_tokens: list[float] | None = None
    kv_tokens: list[float] | None = None
    local_read: bool | None = None
    release: float | None = None
    resume: bool | None = None
    stage_of_kind: list[str] | None = None
    token_aim: list[float] | None = None


class LimitsMessage(Message):
    """Limits on the requests that the dispatcher sends to hosts."""

    cancel: bool | None = None
    connect_timeout: float | None = None
    max_attempts: int | None = None
    max_retry_after: float | None = None
    may_duplicate: bool | None = None
    probes: bool | None = None
    retry_after: bool | None = None
    idle_close: float | None = None
    peers: bool | None = None


class RulesMessage(Message):
    """Durations and shares of the service's rules for drains, watches, slow start and overload."""

    cold: float | None = None
    cold_share: float | None = None
    fall: float | None = None
    fall_multiple: float | None = None
    grace_to_answer: float | None = None
    must_ask_in: float | None = None
    stop_sending_within: float | None = None


class LoadReportMessage(Message):
    """How hosts report their load (`how`), and the names of the values in a report."""

    how: str | None = None
    names: list[str] | None = None


class SettingsMessage(Message):
    """The whole settings object."""

    classes: list[ClassMessage]
    fleet_size: int = 1
    me: int = 0
    zone: int = 0
    kinds: list[str] | None = None
    zones: list[str] | None = None
    parties: list[TenantMessage] | None = None
    over_share_worth: float | None = None
    family_info: TwoStageMessage | None = None
    limits: LimitsMessage | None = None
    rules: RulesMessage | None = None
    report: LoadReportMessage | None = None
    membership_mode: str | None = None


class MessageError(Exception):
    """A message has an invalid value; the text names the field and the value."""


class UnknownValueError(MessageError):
    """A field has a value that the protocol does not define."""

    def __init__(self, field: str, value: str | None) -> None:
        """Creates the error for a field and its value."""
        super().__init__(f"unknown {field} {value!r}")
        self.field = field
        self.value = value


class UnknownRoleError(MessageError):
    """A kind of host has a role that the protocol does not define."""

    def __init__(self, reason: str) -> None:
        """Creates the error; `reason` names the role."""
        super().__init__(f"unknown stage_of_kind: {reason}")


class TimeTooShortError(MessageError):
    """A latency objective or client timeout is too short for any response."""

    def __init__(self, field: str, value_ms: float) -> None:
        """Creates the error for a field and its value."""
        super().__init__(f"{field}: {value_ms:g} ms is too short for a response")
        self.field = field
        self.value_ms = value_ms


class NoClassesError(MessageError):
    """No class of requests is defined."""

    def __init__(self) -> None:
        """Creates the error."""
        super().__init__("classes: at least one class is required")


def look_up(table: dict[str, T], value: str, field: str) -> T:
    """Returns the entry of the table for a value of a field.

    Raises:
        UnknownValueError: The table has no such entry.
    """
    if value not in table:
        raise UnknownValueError(field, value)
    return table[value]


def decode_settings(message: SettingsMessage, seed: int) -> Settings:
    """Translates the settings object; an absent value means not limited, not allowed or not known.

    Raises:
        MessageError: A value is out of range or not defined by the protocol, or no class is defined.
    """
    if not message.classes:
        raise NoClassesError
    two_stage = message.family_info or TwoStageMessage()
    limits = message.limits or LimitsMessage()
    rules = message.rules or RulesMessage()
    report = message.report or LoadReportMessage()
    roles = _roles(two_stage, len(message.kinds or []))
    return Settings(
        seed=seed,
        dispatcher_index=message.me,
        dispatcher_count=max(1, message.fleet_size),
        zone=message.zone,
        classes=tuple(_class_settings(item, i, two_stage) for i, item in enumerate(message.classes)),
        tenants=tuple(_tenant_settings(item) for item in message.parties or ()),
        over_quota_weight=_or_default(message.over_share_worth, 1.0),
        roles=roles,
        memory_tokens=tuple(two_stage.kv_tokens or ()),
        reserve_ahead=bool(two_stage.ahead),
        decode_hosts_prefill=bool(two_stage.local_read),
        resume_supported=bool(two_stage.resume),
        state_retention_ms=two_stage.release or 0.0,
        max_attempts=limits.max_attempts or 1,
        cancellation_allowed=bool(limits.cancel),
        hedging_allowed=bool(limits.may_duplicate),
        health_checks_allowed=bool(limits.probes),
        gossip_allowed=bool(limits.peers) and message.fleet_size > 1,
        send_retry_after=bool(limits.retry_after),
        max_retry_after_ms=limits.max_retry_after or 0.0,
        connect_timeout_ms=limits.connect_timeout or 0.0,
        watch_required=message.membership_mode == MODE_WATCH,
        watch_deadline_ms=rules.must_ask_in or 0.0,
        load_report_fields=_load_report_fields(report),
        health_checks_report_load=report.how == REPORT_ON_HEALTH_CHECK,
        slow_start_capacity=_or_default(rules.cold_share, 1.0),
        slow_start_ms=rules.cold or 0.0,
        overload_window_ms=rules.fall or 0.0,
        overload_multiple=rules.fall_multiple or 0.0,
        answer_grace_ms=rules.grace_to_answer or 0.0,
    )


def _class_settings(message: ClassMessage, index: int, two_stage: TwoStageMessage) -> ClassSettings:
    _require_at_least(MIN_LATENCY_OBJECTIVE_MS, message.aim, f"classes[{index}].aim")
    _require_at_least(MIN_CLIENT_TIMEOUT_MS, message.give_up, f"classes[{index}].give_up")
    scope = _deduplication_scope(message.group)
    return ClassSettings(
        latency_objective_ms=message.aim,
        client_timeout_ms=message.give_up,
        idempotency=look_up(IDEMPOTENCY_BY_NAME, message.idempotency, "idempotency"),
        deduplication_scope=scope,
        deduplication_window_ms=message.window or 0.0,
        priority_weight=_or_default(message.value, 1.0),
        late_weight_share=message.late_value or 0.0,
        objective_ms_per_1000_tokens=_entry_at(two_stage.aim_us_per_1000_prompt_tokens, index) / US_PER_MS,
        objective_stretch=message.aim_stretch or 0.0,
        inter_token_objective_ms=_entry_at(two_stage.token_aim, index),
    )


def _require_at_least(min_ms: float, value_ms: float, field: str) -> None:
    if value_ms < min_ms:
        raise TimeTooShortError(field, value_ms)


def _deduplication_scope(name: str | None) -> DeduplicationScope:
    try:
        return DeduplicationScope(name or "all")
    except ValueError:
        raise UnknownValueError("group", name) from None


def _tenant_settings(message: TenantMessage) -> TenantSettings:
    return TenantSettings(
        quota_share=message.fraction or 0.0,
        quota_per_s=message.allowance_per_s or 0.0,
    )


def _roles(two_stage: TwoStageMessage, kind_count: int) -> tuple[Role, ...]:
    names = two_stage.stage_of_kind or [Role.MIXED.value] * max(1, kind_count)
    try:
        return tuple(Role(name) for name in names)
    except ValueError as error:
        raise UnknownRoleError(str(error)) from None


def _load_report_fields(report: LoadReportMessage) -> tuple[str, ...]:
    if report.how not in (REPORT_INLINE, REPORT_ON_HEALTH_CHECK):
        return ()
    return tuple(report.names or ())


def _or_default(value: float | None, default: float) -> float:
    return default if value is None else value


def _entry_at(values: list[float] | None, index: int) -> float:
    return values[index] if values is not None and index < len(values) else 0.0
