"""Generated operator's files, for the property tests: valid, and written in many ways.

Strategies are built once: each new one costs more to validate than a draw from it.
"""

from __future__ import annotations

from functools import cache, partial
from itertools import product

from hypothesis import strategies as st

from violetstack.routing.table import RequestAttributes

CLASSES = ("consulta", "orden")
TENANTS = ("red-kioscos", "mesa-agentes")
MODELS = ("giro-consulta", "giro-orden")
ASKED = [
    RequestAttributes(cls, tenant, model, front, prompt, retry)
    for cls, tenant, model, front, prompt, retry in product(
        (*CLASSES, "other"),
        TENANTS,
        (MODELS[0], ""),
        ("chat", "platform"),
        (0, 999, 3000, 7999, 8000, 99999),
        (False, True),
    )
]


SPACE = st.sampled_from([" ", "  ", "\n  ", "\t", " # a note\n", "\n\n"])
LINES = st.sampled_from(["\n", "\n\n", "\n\n\n", " # behind\n", "\n# before\n", "\n# a note\n\n"])


@cache
def _spelt(name: str) -> st.SearchStrategy[str]:
    return st.sampled_from([name, f'"{name}"'])


@cache
def _any(names: tuple[str, ...]) -> st.SearchStrategy[str]:
    return st.sampled_from(names).flatmap(_spelt)


@cache
def _tokens() -> st.SearchStrategy[str]:
    whole = st.integers(0, 40)
    return st.one_of(
        whole.map(lambda n: f"{n}ktok"),
        whole.map(lambda n: f"{n * 250} tok"),
        whole.map(lambda n: f"{n}_000tok"),
        st.just("$LONG"),
        st.just("0.5ktok"),
    )


def _member(told: tuple[str, list[str]]) -> str:
    return f"{told[0]} in {{{', '.join(told[1])}}}"


@cache
def atoms() -> st.SearchStrategy[str]:
    rows = []
    for attribute, names in (
        ("class", CLASSES),
        ("tenant", TENANTS),
        ("model", MODELS),
        ("front", ("chat", "platform")),
    ):
        one = _any(names)
        sign = st.sampled_from([f"{attribute} ==", f"{attribute} !="])
        rows.append(st.tuples(sign, one).map(" ".join))
        some = st.lists(one, min_size=1, max_size=3)
        rows.append(st.tuples(st.just(attribute), some).map(_member))
    sign = st.sampled_from(["<", "<=", ">", ">=", "==", "!="])
    rows.append(st.tuples(sign, _tokens()).map(lambda pair: f"prompt {pair[0]} {pair[1]}"))
    rows.append(st.integers(1, 20).map(lambda n: f"prompt in {n}ktok .. {n + 3}000tok"))
    rows.append(st.just("retry"))
    return st.one_of(rows)


@cache
def conditions() -> st.SearchStrategy[str]:
    def wider(inner: st.SearchStrategy[str]) -> st.SearchStrategy[str]:
        word = st.sampled_from(["and", "or"])
        return st.one_of(
            inner.map(lambda c: f"not ({c})"),
            inner.map(lambda c: f"(({c}))"),
            st.builds(lambda a, w, s, b: f"({a}) {w}{s}({b})", inner, word, SPACE, inner),
        )

    return st.recursive(atoms(), wider, max_leaves=5)


@cache
def _gaps(count: int) -> st.SearchStrategy[list[str]]:
    return st.lists(SPACE, min_size=count, max_size=count)


def _settings_in_braces(rows: list[str], gaps: list[str]) -> str:
    spaced = "".join(f"{gap}{row}" for gap, row in zip(gaps, rows, strict=False))
    return f"{{{spaced}{gaps[-1]}}}"


@cache
def settings(*pairs: str) -> st.SearchStrategy[str]:
    """In any order, with any space between."""
    return st.permutations(pairs).flatmap(
        lambda rows: _gaps(len(rows) + 1).map(partial(_settings_in_braces, rows))
    )


@st.composite
def programs(draw: st.DrawFn) -> str:
    """A whole file without errors in its values; its routes may cover each other."""
    aim = draw(st.sampled_from(["1.5s", "1500ms", "1_500 ms", "$AIM"]))
    rows = ["const AIM = 1.5s", "const LONG = 8ktok"]
    consulta = settings(f"aim = {aim}", "give_up = 7.5 s", "effect = repeatable", "worth = 3.0")
    rows += [f"class consulta {draw(consulta)}"]
    rows += [f"class orden {draw(settings('aim = 2.5s', 'give_up = 10s', 'effect = once'))}"]
    rows += [f"tenant {name} {draw(settings('share = 34%', 'rate = 30 req/min'))}" for name in TENANTS]
    rows += [f"model {name} {{ class = {CLASSES[n]} }}" for n, name in enumerate(MODELS)]
    rows += ["kind prefill { stage = read } kind decode { stage = write memory = 200ktok }"]
    rows += [f"pool near {draw(settings('members = cell in {0, 1}', 'fallback = [far]', 'least = 2'))}"]
    rows += [f"pool far {draw(settings('return_after = 10_000ms'))}"]
    rows += ["policy strict { deadline = 9s retries = 20% body = 65536B }"]
    for n in range(draw(st.integers(0, 5))):
        pool = draw(st.sampled_from(["near", '"far"']))
        route = settings(f"when = {draw(conditions())}", f"pool = {pool}", "policy = strict")
        rows.append(f"route r{n} {draw(route)}")
    return "".join(f"{row}{draw(LINES)}" for row in rows)
