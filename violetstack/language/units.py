"""Quantities: a number and a unit of one dimension, as a value in that dimension's base."""

from __future__ import annotations

from dataclasses import dataclass
from decimal import Decimal, InvalidOperation


@dataclass(frozen=True, slots=True, eq=False)
class Dimension:
    """`units`: how much of the base one of each is; `shown`: the ladder that the layout writes in."""

    name: str
    units: dict[str, Decimal]
    shown: tuple[str, ...]
    example: str


def _scale(**units: str) -> dict[str, Decimal]:
    return {name: Decimal(value) for name, value in units.items()}


DURATION = Dimension(
    "duration",
    _scale(us="0.001", ms="1", s="1000", min="60000", h="3600000", d="86400000"),
    ("us", "ms", "s", "min", "h", "d"),
    "250ms",
)
SIZE = Dimension(
    "size",
    _scale(B="1", KB="1000", MB="1000000", GB="1000000000", KiB="1024", MiB="1048576", GiB="1073741824"),
    ("B", "KB", "KiB", "MB", "MiB", "GB", "GiB"),
    "256KiB",
)
TOKENS = Dimension(
    "token count", _scale(tok="1", ktok="1000", Mtok="1000000"), ("tok", "ktok", "Mtok"), "8ktok"
)
RATE = Dimension(
    "rate",
    {"req/s": Decimal(1), "req/min": 1 / Decimal(60), "req/h": 1 / Decimal(3600)},
    ("req/h", "req/min", "req/s"),
    "30 req/min",
)
SHARE = Dimension("share", _scale(**{"%": "0.01"}), ("%",), "34%")
DIMENSIONS = (DURATION, SIZE, TOKENS, RATE, SHARE)
UNITS = {unit: dimension for dimension in DIMENSIONS for unit in dimension.units}
MAX_NUMBER = Decimal(10) ** 15
PLURALS = {
    "tokens": "tok",
    "token": "tok",
    "sec": "s",
    "secs": "s",
    "seconds": "s",
    "minutes": "min",
    "m": "min",
    "hours": "h",
    "days": "d",
    "k": "ktok",
    "rps": "req/s",
    "rpm": "req/min",
    "msec": "ms",
    "percent": "%",
    "kb": "KB",
    "mb": "MB",
    "gb": "GB",
    "kib": "KiB",
    "mib": "MiB",
    "gib": "GiB",
    "b": "B",
}


def number(text: str) -> Decimal | None:
    """None if it has more digits than anything here can mean."""
    try:
        value = Decimal(text.replace("_", ""))
    except InvalidOperation:
        return None
    return value if abs(value) <= MAX_NUMBER else None


def base(value: Decimal, unit: str) -> Decimal:
    """In the unit's base. 30 req/min and 0.5 req/s are the same."""
    return value / PER[unit] if unit in PER else value * UNITS[unit].units[unit]


def plain(value: Decimal) -> str:
    """Without exponent or needless zeros."""
    text = format(value, "f")
    return (text.rstrip("0").rstrip(".") if "." in text else text) or "0"


PER = {"req/min": Decimal(60), "req/h": Decimal(3600)}


def canonical(value: Decimal, unit: str) -> str:
    """The one way to write it: the shortest exact one, whole numbers and larger units first among equals."""
    dimension = UNITS[unit]
    space = " " if dimension is RATE else ""
    if value == 0:
        return f"0{space}{'ms' if dimension is DURATION else dimension.shown[-1 if dimension is RATE else 0]}"
    written: list[tuple[int, bool, int, str]] = []
    for n, name in enumerate(dimension.shown):
        here = (
            value
            * PER.get(name, Decimal(1))
            / PER.get(unit, Decimal(1))
            * (1 if dimension is RATE else dimension.units[unit] / dimension.units[name])
        )
        back = (
            here
            * PER.get(unit, Decimal(1))
            / PER.get(name, Decimal(1))
            * (1 if dimension is RATE else dimension.units[name] / dimension.units[unit])
        )
        text = f"{plain(here)}{space}{name}"
        if back == value and base(here, name) == base(value, unit):
            written.append((len(text), here != here.to_integral_value(), -n, text))
    return min(written)[3] if written else f"{plain(value)}{space}{unit}"


def unit_fix(unit: str, wanted: Dimension) -> str:
    """The likely unit behind one that is not known."""
    meant = PLURALS.get(unit) or PLURALS.get(unit.lower())
    if meant is None or meant not in wanted.units:
        meant = next((u for u in wanted.units if u.lower() == unit.lower()), None)
    return meant or ""
