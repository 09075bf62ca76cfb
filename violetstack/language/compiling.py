"""A checked file as the daemon takes it: the operator's records, the settings and the plan of routes."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from violetstack.language.checker import Checked, Known, check, in_order
from violetstack.language.files import Unreadable, read, read_text
from violetstack.language.meaning import Definition, Meaning
from violetstack.load_shedding.levels import LevelPlan
from violetstack.operator_config import (
    AcmeConfig,
    ApiKey,
    IdempotencyStoreConfig,
    LeaseConfig,
    ModelConfig,
    OpenAIHost,
    OperatorConfig,
    OperatorConfigError,
    StateConfig,
    TenantConfig,
    TlsFiles,
)
from violetstack.routing.generations import RoutingPlan
from violetstack.settings import (
    ClassMessage,
    LimitsMessage,
    LoadReportMessage,
    RulesMessage,
    SettingsMessage,
    TenantMessage,
    TwoStageMessage,
)

EFFECTS = {"repeatable": "read_like", "keyed": "idempotency_key", "once": "non_idempotent"}
MIB = 2.0**20


@dataclass(frozen=True, slots=True)
class Compiled:
    file: OperatorConfig
    plan: RoutingPlan
    levels: LevelPlan


def load(path: str | Path, known: Known | None = None) -> tuple[Compiled, list[str]]:
    """The file and its warnings as text. Raises OperatorConfigError with the first error and its place."""
    try:
        checked = check(read(path), known)
    except Unreadable as error:
        raise OperatorConfigError(str(error)) from None
    if checked.meaning is None:
        raise OperatorConfigError(first_error(checked))
    warnings = in_order([p for p in checked.problems if p.warning], checked.sources)
    return Compiled(compile_file(checked.meaning), checked.meaning.plan, checked.meaning.levels), warnings


def load_text(text: str) -> Compiled:
    """For an embedded file. Raises OperatorConfigError."""
    checked = check(read_text(text))
    if checked.meaning is None:
        raise OperatorConfigError(first_error(checked))
    return Compiled(compile_file(checked.meaning), checked.meaning.plan, checked.meaning.levels)


def first_error(checked: Checked) -> str:
    """On one line: where, what and how it is likely meant; and how many more there are."""
    errors = checked.errors
    first = errors[0]
    line, column = checked.sources.files[first.span.file].place(first.span.start)
    fix = f" ({first.fix})" if first.fix else ""
    more = f", and {len(errors) - 1} more" if len(errors) > 1 else ""
    return f"{first.span.file}:{line}:{column}: {first.message}{fix}{more}"


def compile_file(meaning: Meaning) -> OperatorConfig:
    listens = {name: each.get("address") for name, each in meaning.of("listen").items()}
    fleet = meaning.one("fleet")
    machine = meaning.one("machine")
    return OperatorConfig(
        listen=listens.get("chat", ""),
        platform=listens.get("platform", ""),
        discovery=fleet.get("discovery", "") if fleet is not None else "",
        cores=machine.get("cores", 1.0) if machine is not None else 1.0,
        memory_mb=machine.get("memory", 192 * MIB) / MIB if machine is not None else 192.0,
        descriptors=machine.get("descriptors", 1024) if machine is not None else 1024,
        models=[
            ModelConfig(d.name, d.get("class"), d.get("upstream", ""), int(d.get("max_tokens", 500)))
            for d in meaning.of("model").values()
        ],
        keys=[_key(d) for d in meaning.of("key").values()],
        tenants=[TenantConfig(d.name, d.get("class")) for d in meaning.of("tenant").values()],
        hosts=[
            OpenAIHost(
                d.name,
                d.get("address"),
                d.get("bearer", ""),
                d.get("memory", 0.0),
                d.get("weight", 1.0),
                list(d.get("labels", ())),
            )
            for d in meaning.of("host").values()
        ],
        ledger=_ledger(meaning.one("ledger")),
        state=_state(meaning.one("state")),
        duties=_duties(meaning.one("duties")),
        tls=_tls(meaning.one("tls")),
        acme=_acme(meaning.one("acme")),
        settings=_settings(meaning) if meaning.of("class") else None,
    )


def _key(d: Definition) -> ApiKey:
    secret = f"sha256:{d.get('sha256')}" if d.get("sha256") else d.get("secret")
    return ApiKey(secret, d.get("tenant"), d.get("class"), list(d.get("models", ())))


def _ledger(d: Definition | None) -> IdempotencyStoreConfig | None:
    if d is None:
        return None
    return IdempotencyStoreConfig(
        d.get("file"), d.get("keep", 48 * 3_600_000.0) / 3_600_000.0, d.get("lease", 10_000.0) / 1000.0
    )


def _state(d: Definition | None) -> StateConfig | None:
    if d is None:
        return None
    keep_hours = d.get("keep", 48 * 3_600_000.0) / 3_600_000.0
    return StateConfig(
        d.get("folder"), keep_hours, d.get("doubt", 0.0), d.get("doubt_for", 30_000.0) / 1000.0
    )


def _duties(d: Definition | None) -> LeaseConfig | None:
    if d is None:
        return None
    return LeaseConfig(
        d.get("lease", 2_000.0) / 1000.0,
        list(d.get("keys", ())),
        d.get("datagrams", 200.0),
        d.get("trials", False),
        int(d.get("leave", 0)),
        d.get("leave_wait", 0.0) / 1000.0,
    )


def _tls(d: Definition | None) -> TlsFiles | None:
    return None if d is None else TlsFiles(d.get("certificate"), d.get("key"))


def _acme(d: Definition | None) -> AcmeConfig | None:
    if d is None:
        return None
    return AcmeConfig(
        d.get("directory"),
        list(d.get("domains")),
        d.get("account_key"),
        d.get("challenge"),
        d.get("contact", ""),
        d.get("renew_before", 30 * 86_400_000.0) / 86_400_000.0,
        d.get("check_every", 3_600_000.0) / 1000.0,
        d.get("trust", ""),
    )


def _settings(meaning: Meaning) -> SettingsMessage:
    """In the words and units of NODE_CONFIG's settings."""

    def one(kind: str) -> Any:
        return meaning.one(kind) or Definition(kind, "", None)  # type: ignore[arg-type]

    classes = list(meaning.of("class").values())
    kinds = list(meaning.of("kind").values())
    zones = list(meaning.of("zone"))
    fleet = one("fleet")
    limits = one("limits")
    rules = one("rules")
    here = fleet.get("zone")
    return SettingsMessage(
        classes=[
            ClassMessage(
                aim=d.get("aim"),
                give_up=d.get("give_up"),
                idempotency=EFFECTS[d.get("effect")],
                group=d.get("group"),
                window=d.get("window"),
                value=d.get("worth", 1.0),
                late_value=d.get("late_worth", 0.0),
                name=d.name,
            )
            for d in classes
        ],
        fleet_size=fleet.get("dispatchers", 1),
        me=fleet.get("number", 0),
        zone=zones.index(here) if here in zones else 0,
        kinds=[d.name for d in kinds] or None,
        zones=zones or None,
        parties=[
            TenantMessage(fraction=d.get("share"), allowance_per_s=d.get("rate"), name=d.name)
            for d in meaning.of("tenant").values()
        ]
        or None,
        over_share_worth=fleet.get("over_share_worth"),
        family_info=TwoStageMessage(
            ahead=fleet.get("hold_ahead"),
            aim_us_per_1000_prompt_tokens=[1000.0 * d.get("aim_per_ktok", 0.0) for d in classes],
            kv_tokens=[d.get("memory", 0.0) for d in kinds] or None,
            local_read=fleet.get("local_read"),
            release=fleet.get("release"),
            resume=fleet.get("resume"),
            stage_of_kind=[d.get("stage") for d in kinds] or None,
            token_aim=[d.get("token_aim", 0.0) for d in classes],
        ),
        limits=LimitsMessage(
            cancel=limits.get("cancel"),
            connect_timeout=limits.get("connect_timeout"),
            max_attempts=limits.get("attempts"),
            max_retry_after=limits.get("most_retry_after"),
            may_duplicate=limits.get("duplicate"),
            probes=limits.get("probes"),
            retry_after=limits.get("retry_after"),
            idle_close=limits.get("idle_close"),
        ),
        rules=RulesMessage(
            cold=rules.get("cold"),
            cold_share=rules.get("cold_share"),
            fall=rules.get("fall"),
            fall_multiple=rules.get("fall_multiple"),
            grace_to_answer=rules.get("grace"),
            stop_sending_within=rules.get("drain_within"),
        ),
        report=LoadReportMessage(how=fleet.get("reports"), names=list(fleet.get("report_names", ())) or None),
    )
