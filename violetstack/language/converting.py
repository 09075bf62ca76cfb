"""The earlier form of the operator's file, TOML, written anew in this language.

The only place that still reads that form. What it can't carry over is an error with the table's name, so
that nothing is lost without a word.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from typing import Any

from violetstack.language.layout import layout

EFFECTS = {"read_like": "repeatable", "idempotency_key": "keyed", "non_idempotent": "once"}
# (name there, name here, unit there; "" is text, "n" a number, "w" a word, "b" a switch, "%" a part of one)
Names = tuple[tuple[str, str, str], ...]
TABLES: dict[str, tuple[str, Names]] = {
    "tls": ("tls", (("certificate", "certificate", ""), ("key", "key", ""))),
    "acme": (
        "acme",
        (
            ("directory", "directory", ""),
            ("domains", "domains", "l"),
            ("account_key", "account_key", ""),
            ("challenge_listen", "challenge", ""),
            ("contact", "contact", ""),
            ("renew_before_days", "renew_before", "d"),
            ("check_every_s", "check_every", "s"),
            ("trust", "trust", ""),
        ),
    ),
    "ledger": ("ledger", (("file", "file", ""), ("keep_hours", "keep", "h"), ("lease_s", "lease", "s"))),
}
LIMITS: Names = (
    ("max_attempts", "attempts", "n"),
    ("cancel", "cancel", "b"),
    ("may_duplicate", "duplicate", "b"),
    ("probes", "probes", "b"),
    ("retry_after", "retry_after", "b"),
    ("max_retry_after", "most_retry_after", "ms"),
    ("connect_timeout", "connect_timeout", "ms"),
    ("idle_close", "idle_close", "ms"),
)
RULES: Names = (
    ("stop_sending_within", "drain_within", "ms"),
    ("cold", "cold", "ms"),
    ("cold_share", "cold_share", "%"),
    ("fall", "fall", "ms"),
    ("fall_multiple", "fall_multiple", "n"),
    ("grace_to_answer", "grace", "ms"),
)
CLASS: Names = (
    ("aim", "aim", "ms"),
    ("give_up", "give_up", "ms"),
    ("idempotency", "effect", "effect"),
    ("group", "group", "w"),
    ("window", "window", "ms"),
    ("value", "worth", "n"),
    ("late_value", "late_worth", "%"),
)
TENANT: Names = (("fraction", "share", "%"), ("allowance_per_s", "rate", " req/s"))
MODEL: Names = (("class", "class", "w"), ("upstream", "upstream", ""), ("max_tokens", "max_tokens", "tok"))
HOST: Names = (
    ("address", "address", ""),
    ("key", "bearer", ""),
    ("memory_tokens", "memory", "tok"),
    ("weight", "weight", "n"),
)
FAMILY: Names = (
    ("ahead", "hold_ahead", "b"),
    ("local_read", "local_read", "b"),
    ("resume", "resume", "b"),
    ("release", "release", "ms"),
)
FLEET: Names = (
    ("fleet_size", "dispatchers", "n"),
    ("me", "number", "n"),
    ("over_share_worth", "over_share_worth", "%"),
)
KNOWN = {"listen", "models", "keys", "tenants", "hosts", "ledger", "tls", "acme", "settings"}


class CantConvert(Exception):
    """The file is no TOML, or has something that this language does not say."""


def convert(raw: bytes) -> str:
    try:
        told = tomllib.loads(raw.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise CantConvert(f"not TOML: {error}") from None
    _only(told, KNOWN, "the file")
    rows: list[str] = []
    if "listen" in told:
        rows += ["listen chat {", f"address = {_text(told['listen'])}", "}"]
    for name, (kind, names) in TABLES.items():
        if name in told:
            rows += _block(kind, told[name], names, name)
    settings = told.get("settings", {})
    rows += _settings(settings)
    classes = {row.get("name"): row.get("class") for row in told.get("tenants", ())}
    parties = {row.get("name"): row for row in settings.get("parties", ())}
    for name in dict.fromkeys([*parties, *classes]):
        row = parties.get(name, {})
        more = [f"class = {_word(classes[name])}"] if classes.get(name) else []
        if row or more:
            rows += _block(
                f"tenant {_word(name)}",
                {k: v for k, v in row.items() if k != "name"},
                TENANT,
                "parties",
                more,
            )
    for row in told.get("models", ()):
        rows += _named("model", row, "name", MODEL)
    for n, row in enumerate(told.get("keys", ()), 1):
        rows += _key(n, row)
    for row in told.get("hosts", ()):
        rows += _named("host", row, "id", HOST)
    return layout("\n".join(rows) + "\n")


def _settings(told: Mapping[str, Any]) -> list[str]:
    if not told:
        return []
    known = {
        "classes",
        "parties",
        "fleet_size",
        "me",
        "zone",
        "zones",
        "kinds",
        "over_share_worth",
        "family_info",
        "limits",
        "rules",
        "report",
    }
    _only(told, known, "settings")
    family = dict(told.get("family_info", {}))
    report = told.get("report", {})
    zones = told.get("zones", [])
    stages = family.pop("stage_of_kind", [])
    memory = family.pop("kv_tokens", [])
    token_aims = family.pop("token_aim", [])
    aims = family.pop("aim_us_per_1000_prompt_tokens", [])
    fleet = _values({k: told[k] for k, _, _ in FLEET if k in told}, FLEET, "settings")
    fleet += _values(family, FAMILY, "settings.family_info")
    if zones:
        fleet.append(f"zone = {_word(zones[told.get('zone', 0)])}")
    if report.get("how"):
        fleet.append(f"reports = {report['how']}")
        fleet.append(f"report_names = [{', '.join(_text(name) for name in report.get('names', ()))}]")
    rows = [f"fleet {{ {' '.join(fleet)} }}"] if fleet else []
    if "limits" in told:
        rows += _block("limits", told["limits"], LIMITS, "settings.limits")
    if "rules" in told:
        rows += _block("rules", told["rules"], RULES, "settings.rules")
    rows += [f"zone {_word(name)} {{}}" for name in zones]
    for n, name in enumerate(told.get("kinds", ())):
        stage = stages[n] if n < len(stages) else "both"
        size = f" memory = {memory[n]:.0f}tok" if n < len(memory) and memory[n] else ""
        rows.append(f"kind {_word(name)} {{ stage = {stage}{size} }}")
    for n, row in enumerate(told.get("classes", ())):
        more = [f"token_aim = {_number(token_aims[n])}ms"] if n < len(token_aims) else []
        more += [f"aim_per_ktok = {_number(aims[n] / 1000)}ms"] if n < len(aims) else []
        rest = {k: v for k, v in row.items() if k != "name"}
        rows += _block(f"class {_word(row.get('name'))}", rest, CLASS, "settings.classes", more)
    return rows


def _key(n: int, row: Mapping[str, Any]) -> list[str]:
    _only(row, {"key", "tenant", "class", "models"}, "keys")
    secret = str(row.get("key", ""))
    hashed = secret.startswith("sha256:")
    told = [f"sha256 = {_text(secret[7:])}" if hashed else f"secret = {_text(secret)}"]
    told.append(f"tenant = {_word(row.get('tenant'))}")
    told += [f"class = {_word(row['class'])}"] if "class" in row else []
    told += [f"models = [{', '.join(_word(m) for m in row['models'])}]"] if row.get("models") else []
    return [f"key {_word(str(row.get('tenant', 'key')) + f'-{n}')} {{ {' '.join(told)} }}"]


def _named(kind: str, row: Mapping[str, Any], label: str, names: Names) -> list[str]:
    rest = {k: v for k, v in row.items() if k != label}
    return _block(f"{kind} {_word(row.get(label))}", rest, names, kind)


def _block(
    head: str, told: Mapping[str, Any], names: Names, where: str, more: list[str] | None = None
) -> list[str]:
    return [f"{head} {{", *_values(told, names, where), *(more or ()), "}"]


def _values(told: Mapping[str, Any], names: Names, where: str) -> list[str]:
    _only(told, {name for name, _, _ in names}, where)
    return [f"{here} = {_value(told[there], unit)}" for there, here, unit in names if there in told]


def _value(value: Any, unit: str) -> str:
    match unit:
        case "":
            return _text(value)
        case "l":
            return f"[{', '.join(_text(each) for each in value)}]"
        case "w":
            return _word(value)
        case "b":
            return "true" if value else "false"
        case "effect":
            return EFFECTS.get(value, _word(value))
        case "n":
            return _number(value)
        case "%":
            return f"{_number(value * 100)}%"
        case _:
            return f"{_number(value)}{unit}"


def _number(value: float) -> str:
    return f"{value:.6f}".rstrip("0").rstrip(".")


def _text(value: Any) -> str:
    text = str(value).replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\t", "\\t")
    return f'"{text}"'


def _word(value: Any) -> str:
    return _text(value)  # the layout takes the quotes off where a name may stand


def _only(told: Mapping[str, Any], known: set[str], where: str) -> None:
    strange = sorted(set(told) - known)
    if strange:
        raise CantConvert(f"{where}: {', '.join(strange)} can't be carried over")
