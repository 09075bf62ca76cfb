"""The settings as the operators write them, and their reading as the module's own type.

Both hosts of the module read the same object: the simulator's adapter from its first message, the
real dispatcher from its configuration file.
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


class Message(msgspec.Struct):
    """Unknown keys are ignored, an absent value is null."""


class ClassMessage(Message):
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
    fraction: float | None = None
    allowance_per_s: float | None = None
    name: str = ""


class TwoStageMessage(Message):
    ahead: bool | None = None
    aim_us_per_1000_prompt_tokens: list[float] | None = None
    kv_tokens: list[float] | None = None
    local_read: bool | None = None
    release: float | None = None
    resume: bool | None = None
    stage_of_kind: list[str] | None = None
    token_aim: list[float] | None = None


class LimitsMessage(Message):
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
    cold: float | None = None
    cold_share: float | None = None
    fall: float | None = None
    fall_multiple: float | None = None
    grace_to_answer: float | None = None
    must_ask_in: float | None = None
    stop_sending_within: float | None = None


class LoadReportMessage(Message):
    how: str | None = None
    names: list[str] | None = None


class SettingsMessage(Message):
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


_EFFECT = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}


class MessageError(Exception):
    """The other side sent something the wire does not allow."""


def look_up(table: dict[str, T], word: str, field: str) -> T:
    if word not in table:
        raise MessageError(f"unknown {field} {word!r}")
    return table[word]


def _nth(values: list[float] | None, index: int) -> float:
    return values[index] if values is not None and index < len(values) else 0.0


def _class(spec: ClassMessage, index: int, family: TwoStageMessage) -> ClassSettings:
    for key, value, least in (("aim", spec.aim, 0.0), ("give_up", spec.give_up, 1.0)):
        if value < least:
            raise MessageError(f"classes[{index}].{key}: {value:g} ms leaves no time to answer in")
    try:
        group = DeduplicationScope(spec.group or "all")
    except ValueError:
        raise MessageError(f"unknown group {spec.group!r}") from None
    return ClassSettings(
        latency_objective_ms=spec.aim,
        client_timeout_ms=spec.give_up,
        idempotency=look_up(_EFFECT, spec.idempotency, "idempotency"),
        deduplication_scope=group,
        deduplication_window_ms=spec.window or 0.0,
        priority_weight=1.0 if spec.value is None else spec.value,
        late_weight_share=spec.late_value or 0.0,
        objective_ms_per_1000_tokens=_nth(family.aim_us_per_1000_prompt_tokens, index) / 1000.0,
        objective_stretch=spec.aim_stretch or 0.0,
        inter_token_objective_ms=_nth(family.token_aim, index),
    )


def decode_settings(message: SettingsMessage, seed: int) -> Settings:
    """The start-up message as the module's settings; what is absent gets the mildest reading."""
    if not message.classes:
        raise MessageError("classes: there is none, so nothing could be served")
    family = message.family_info or TwoStageMessage()
    limits = message.limits or LimitsMessage()
    rules = message.rules or RulesMessage()
    report = message.report or LoadReportMessage()
    stages = family.stage_of_kind or ["both"] * max(1, len(message.kinds or []))
    try:
        roles = tuple(Role(word) for word in stages)
    except ValueError as error:
        raise MessageError(f"unknown stage_of_kind: {error}") from None
    names = tuple(report.names or ()) if report.how in ("inline", "on_probe") else ()
    return Settings(
        seed=seed,
        dispatcher_index=message.me,
        dispatcher_count=max(1, message.fleet_size),
        zone=message.zone,
        classes=tuple(_class(spec, index, family) for index, spec in enumerate(message.classes)),
        tenants=tuple(
            TenantSettings(p.fraction or 0.0, p.allowance_per_s or 0.0) for p in message.parties or ()
        ),
        over_quota_weight=1.0 if message.over_share_worth is None else message.over_share_worth,
        roles=roles,
        memory_tokens=tuple(family.kv_tokens or ()),
        reserve_ahead=bool(family.ahead),
        decode_hosts_prefill=bool(family.local_read),
        resume_supported=bool(family.resume),
        state_retention_ms=family.release or 0.0,
        max_attempts=limits.max_attempts or 1,
        cancellation_allowed=bool(limits.cancel),
        hedging_allowed=bool(limits.may_duplicate),
        health_checks_allowed=bool(limits.probes),
        gossip_allowed=bool(limits.peers) and message.fleet_size > 1,
        send_retry_after=bool(limits.retry_after),
        max_retry_after_ms=limits.max_retry_after or 0.0,
        connect_timeout_ms=limits.connect_timeout or 0.0,
        watch_required=message.membership_mode == "subscribe",
        watch_deadline_ms=rules.must_ask_in or 0.0,
        load_report_fields=names,
        health_checks_report_load=report.how == "on_probe",
        slow_start_capacity=1.0 if rules.cold_share is None else rules.cold_share,
        slow_start_ms=rules.cold or 0.0,
        overload_window_ms=rules.fall or 0.0,
        overload_multiple=rules.fall_multiple or 0.0,
        answer_grace_ms=rules.grace_to_answer or 0.0,
    )
