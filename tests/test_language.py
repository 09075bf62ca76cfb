"""The operator's language by its properties: layout never changes meaning, and no bytes get a traceback."""

from __future__ import annotations

import json
import os
import time
import tracemalloc
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.programs import ASKED, programs
from violetstack.language import schema
from violetstack.language.checker import Checked, check, universe
from violetstack.language.compiling import compile_file, load
from violetstack.language.converting import CantConvert, convert
from violetstack.language.difference import attributes_of, difference, replayed, rerouted, same_hosts, tables
from violetstack.language.files import Unreadable, read, read_text
from violetstack.language.grammar import GRAMMAR
from violetstack.language.layout import CantLayOut, layout
from violetstack.language.meaning import Meaning
from violetstack.language.units import UNITS, base, canonical
from violetstack.operator_config import OperatorConfigError
from violetstack.routing.conditions import AnyOf, Not, OneOf
from violetstack.routing.table import Table

MANY = settings(max_examples=60, suppress_health_check=[HealthCheck.too_slow])
DOCS = Path(__file__).parent.parent / "docs" / "configuration.md"


def checked(text: str) -> Checked:
    return check(read_text(text))


def values(meaning: Meaning) -> object:
    return {k: {n: d.values for n, d in rows.items()} for k, rows in meaning.definitions.items()}


def plan_of(result: Checked) -> Table | None:
    """The routes of a file that may have covered routes."""
    return None if result.meaning is None else Table(result.meaning.plan.routes)


@MANY
@given(programs())
def test_layout_keeps_the_meaning_and_all_comments_and_is_its_own_fixed_point(text: str) -> None:
    laid = layout(text)
    assert layout(laid) == laid
    assert sorted(line.split("#", 1)[1] for line in text.split("\n") if "#" in line) == sorted(
        line.split("#", 1)[1] for line in laid.split("\n") if "#" in line
    )
    before = checked(text)
    after = checked(laid)
    assert [p.message for p in before.problems] == [p.message for p in after.problems]
    if before.meaning is not None and after.meaning is not None:
        assert difference(before.meaning, after.meaning) == []
        assert compile_file(before.meaning) == compile_file(after.meaning)


@MANY
@given(programs(), programs())
def test_files_of_one_meaning_look_the_same(one: str, other: str) -> None:
    """Whatever the spelling, the order of settings and the space: the definitions without routes agree."""

    def bare(text: str) -> str:
        rows = [line for line in layout(text).split("\n") if not line.lstrip().startswith("#")]
        rows = [line.split("  #")[0] for line in rows if line]
        rows = rows[: next((n for n, line in enumerate(rows) if line.startswith("route")), len(rows))]
        return "\n".join(rows).replace("aim = $AIM", "aim = 1.5s")

    assert bare(one) == bare(other)


def test_what_layout_settles() -> None:
    laid = layout('route  "r"{when=not(not(class in{"orden"}and prompt<=99tok))and not front==chat pool="p"}')
    assert laid == "route r {\n  when = class == orden and prompt < 100tok and front != chat\n  pool = p\n}\n"
    quantities = {"1500ms": "1.5s", "65536B": "64KiB", "0.5 req/s": "30 req/min"}
    for one, other in quantities.items():
        assert layout(f"x = {one}") == layout(f"x = {other}")


@MANY
@given(st.integers(0, 10**9), st.integers(0, 3), st.sampled_from(sorted(UNITS)))
def test_a_canonical_quantity_is_the_same_quantity(digits: int, places: int, unit: str) -> None:
    from decimal import Decimal  # noqa: PLC0415

    value = Decimal(digits).scaleb(-places)
    laid = canonical(value, unit)
    number = laid.rstrip("%abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ/ ")
    other = laid[len(number) :].strip()
    assert base(Decimal(number), other) == base(value, unit)
    assert canonical(Decimal(number), other) == laid


PIECES = st.sampled_from(
    [
        "route r {",
        "}",
        "{",
        "(",
        ")",
        "[",
        "]",
        "when = ",
        "class",
        "==",
        "in",
        "and",
        "or",
        "not",
        "..",
        '"',
        "$a",
        "#x\n",
        "const a = $a\n",
        "pool p ",
        'include "*"',
        "5 GB",
        "1e9",
        "-3s",
        "\n",
        "=",
        ",",
        "\\",
        "é",
        "%",
        "prompt",
        " ",
    ]
)


@MANY
@given(st.one_of(st.binary(max_size=300), st.lists(PIECES, max_size=30).map(lambda p: " ".join(p).encode())))
def test_any_bytes_end_with_a_message(tmp_path_factory: pytest.TempPathFactory, raw: bytes) -> None:
    path = tmp_path_factory.mktemp("bytes") / "a.violet"
    path.write_bytes(raw)
    result = check(read(path))
    for problem in result.problems:
        assert result.sources.render(problem) and result.sources.plain(problem)
    try:
        text = raw.decode()
        laid = layout(text)
        assert layout(laid) == laid
    except (UnicodeDecodeError, CantLayOut):
        assert result.meaning is None


@pytest.mark.parametrize(
    "raw",
    [
        b"x" * 1_000_000,
        b'a = "' + b"y" * 1_000_000,
        b"a = " + b"(" * 10_000,
        b"a = " + b"(" * 10_000 + b"b" + b")" * 10_000,
        b"a = " + b"not " * 10_000 + b"b",
        b"a{" * 10_000,
        b"#" * 1_000_000,
        b"a = 1\n" * 10_000,
        b"}" * 100_000,
        b"\x00" * 5_000_000,
        b"a = " + b" and ".join([b"b"] * 20_000),
        b"a = 1" + b"0" * 100_000,
        b"a {\n" * 500,
    ],
)
def test_a_hostile_file_takes_bounded_time_and_memory(tmp_path: Path, raw: bytes) -> None:
    path = tmp_path / "a.violet"
    path.write_bytes(raw)
    started = time.process_time()
    tracemalloc.start()
    result = check(read(path))
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert result.meaning is None or raw.startswith(b"#")
    assert all(len(result.sources.render(p)) < 3_000 for p in result.problems)
    assert time.process_time() - started < 20 and peak < 200 * 2**20


def test_ten_thousand_includes_and_a_link_to_itself_end(tmp_path: Path) -> None:
    (tmp_path / "parts").mkdir()
    for n in range(10_000):
        (tmp_path / "parts" / f"{n}.violet").touch()
    (tmp_path / "main.violet").write_text('include "parts/*.violet"\n')
    result = check(read(tmp_path / "main.violet"))
    assert [p.message for p in result.errors] == ["more than 1000 files are included"]
    os.symlink(tmp_path / "loop.violet", tmp_path / "link.violet")
    (tmp_path / "loop.violet").write_text('include "link.violet"\n')
    result = check(read(tmp_path / "loop.violet"))
    assert "includes itself" in result.errors[0].message
    with pytest.raises(Unreadable, match="no such file"):
        read(tmp_path / "nothing")


def test_the_docs_show_the_grammar_and_every_setting() -> None:
    text = DOCS.read_text()
    assert GRAMMAR.strip() in text
    assert schema.reference().strip() in text


# --- meaning ---


BASE = """
class consulta { aim = 1.5s give_up = 7.5s effect = repeatable }
class orden { aim = 2.5s give_up = 10s effect = once }
pool near { members = zone in {a, b} and not label == old }
pool far {}
route short { when = class == consulta and prompt < 8ktok pool = near }
route rest { pool = far }
"""


def meaning(text: str) -> Meaning:
    result = checked(text)
    assert result.meaning is not None, result.problems
    return result.meaning


def test_diff_tells_of_meaning_and_not_of_spelling() -> None:
    same = BASE.replace("prompt < 8ktok", "not (prompt > 7_999 tok)").replace("aim = 1.5s", "aim = $A")
    same = same.replace(
        "zone in {a, b} and not label == old", "not (label == old or not (zone == b or zone == a))"
    )
    assert difference(meaning(BASE), meaning("const A = 1500ms\n" + same)) == []
    new = (
        BASE.replace("8ktok", "6ktok")
        .replace("give_up = 10s", "give_up = 12s")
        .replace("pool far {}", "pool far { least = 3 }")
    )
    assert [str(each) for each in difference(meaning(BASE), meaning(new))] == [
        "class orden, give_up: 10s -> 12s",
        "pool far, least: 1 -> 3",
        "requests: class == consulta and prompt >= 6000 tok and prompt < 8000 tok: "
        "route short (pool near) -> route rest (pool far)",
    ]


@MANY
@given(programs(), programs())
def test_diff_and_the_plain_walk_agree_on_where_requests_go(one: str, other: str) -> None:
    a = checked(one)
    b = checked(other)
    if a.meaning is None or b.meaning is None:
        return
    old, new = tables(a.meaning, b.meaning)
    changed = any(old.find_linear(asked) != new.find_linear(asked) for asked in ASKED)
    if changed:
        assert rerouted(a.meaning, b.meaning)
    if not rerouted(a.meaning, b.meaning):
        assert not changed


def test_traffic_is_replayed_from_our_own_log() -> None:
    line = {
        "event": "request",
        "class": "consulta",
        "tenant": "",
        "model": "",
        "front": "chat",
        "prompt": 7000,
        "retry": False,
    }
    log = [
        json.dumps(line).encode(),
        b"noise",
        b'{"event":"started"}',
        json.dumps({**line, "prompt": 10}).encode(),
    ]
    old, new = tables(meaning(BASE), meaning(BASE.replace("8ktok", "6ktok")))
    counts, total, skipped = replayed(log, old, new)
    assert (counts.total(), total, skipped) == (1, 2, 2)
    assert attributes_of(b'{"event":"request","class":[1]}') is None


def test_host_conditions_compare_by_the_hosts_they_choose() -> None:
    a = OneOf("zone", frozenset({"x"}))
    b = OneOf("label", frozenset({"gpu"}))
    assert same_hosts(Not(AnyOf((a, b))), Not(AnyOf((b, a))))
    assert not same_hosts(a, b)


def test_names_of_the_settings_are_known(tmp_path: Path) -> None:
    path = tmp_path / "a.violet"
    path.write_text("route r { when = class == ordne }\nroute all {}\n")
    compiled, _ = load(path)
    assert len(compiled.plan.routes) == 2
    with pytest.raises(
        OperatorConfigError, match=r"a.violet:1:27: there is no class 'ordne' \(did you mean 'orden'\?\)"
    ):
        load(path, {"class": frozenset({"orden", "consulta"})})
    assert universe({}, {"class": frozenset({"orden"})}) == {"class": frozenset({"orden"})}


def test_the_toml_form_converts_without_loss(tmp_path: Path) -> None:
    told = """
    listen = "127.0.0.1:8443"
    [[models]]
    name = "m"
    class = "c"
    [[keys]]
    key = "sha256:%s"
    tenant = "t"
    [[hosts]]
    id = "h"
    address = "127.0.0.1:9"
    memory_tokens = 5000.0
    [settings]
    kinds = ["prefill"]
    zones = ["z"]
    [[settings.classes]]
    name = "c"
    aim = 1500.0
    give_up = 7500.0
    idempotency = "non_idempotent"
    late_value = 0.2
    [settings.family_info]
    stage_of_kind = ["read"]
    kv_tokens = [1000.0]
    token_aim = [60.0]
    """ % ("a" * 64)
    path = tmp_path / "a.violet"
    path.write_text(convert(told.encode()))
    file = load(path)[0].file
    assert (file.listen, file.models[0].class_name, file.keys[0].key, file.hosts[0].memory_tokens) == (
        "127.0.0.1:8443",
        "c",
        "sha256:" + "a" * 64,
        5000.0,
    )
    message = file.settings
    assert message is not None and message.family_info is not None and message.zones == ["z"]
    assert (message.classes[0].aim, message.classes[0].late_value, message.classes[0].idempotency) == (
        1500.0,
        0.2,
        "non_idempotent",
    )
    assert (message.family_info.kv_tokens, message.family_info.token_aim) == ([1000.0], [60.0])
    with pytest.raises(CantConvert, match="settings: membership_mode can't be carried over"):
        convert(b"[settings]\nmembership_mode = 'x'\n")
    with pytest.raises(CantConvert, match="not TOML"):
        convert(b"listen = ")
