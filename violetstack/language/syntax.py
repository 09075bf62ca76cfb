"""Text to a tree that keeps every comment and blank line; each syntax error is one problem.

The parser is lark's LALR over `grammar.GRAMMAR`. After an error the rest of the file is read on from the
next line that begins a definition in its first column, so that one slip hides no other.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from functools import cache

from lark import Lark, Token, Transformer, UnexpectedCharacters, UnexpectedInput, UnexpectedToken, v_args
from lark.exceptions import VisitError

from violetstack.language.grammar import GRAMMAR
from violetstack.language.source import Broken, Problem, Source, Span
from violetstack.language.units import PLURALS

MAX_DEPTH = 50  # of brackets and blocks in each other; guards whatever walks the tree
MAX_ERRORS = 20  # of syntax, in one file
MAX_BYTES = 4 * 1024 * 1024  # of one file


@dataclass(slots=True)
class Node:
    """Part of a file: what kind, where, how deep the tree is below it."""

    span: Span
    depth: int = field(default=1, kw_only=True)


@dataclass(slots=True)
class Name(Node):
    text: str


@dataclass(slots=True)
class Constant(Node):
    text: str  # without the dollar sign


@dataclass(slots=True)
class String(Node):
    text: str  # unescaped


@dataclass(slots=True)
class Quantity(Node):
    number: str
    unit: str


@dataclass(slots=True)
class Group(Node):
    inner: Value


@dataclass(slots=True)
class Sequence(Node):
    """A list in brackets, or (`is_set`) a set in braces."""

    parts: list[Value]
    is_set: bool


@dataclass(slots=True)
class Range(Node):
    low: Value
    high: Value


@dataclass(slots=True)
class Comparison(Node):
    """`operator` is one of == != < <= > >= in."""

    left: Value
    operator: str
    right: Value


@dataclass(slots=True)
class Negation(Node):
    part: Value


@dataclass(slots=True)
class Junction(Node):
    """`word` is `and` or `or`."""

    word: str
    parts: list[Value]


Value = Name | Constant | String | Quantity | Group | Sequence | Range | Comparison | Negation | Junction


@dataclass(slots=True)
class Include(Node):
    pattern: String


@dataclass(slots=True)
class Const(Node):
    name: Name
    value: Value


@dataclass(slots=True)
class Setting(Node):
    name: Name
    value: Value


@dataclass(slots=True)
class Block(Node):
    kind: Name
    label: Name | String | None
    items: list[Item]
    body: int = 0  # where the opening brace stands


Item = Include | Const | Setting | Block


@dataclass(slots=True)
class Comment:
    span: Span
    text: str


@dataclass(slots=True)
class Tree:
    source: Source
    items: list[Item]
    comments: list[Comment]
    problems: list[Problem]


WORDS = {
    "NAME": "a name",
    "STRING": "a text in quotes",
    "QUANTITY": "a number",
    "CONSTANT": "a constant",
    "COMPARISON": "a comparison",
    "LBRACE": "'{'",
    "RBRACE": "'}'",
    "EQUAL": "'='",
    "$END": "the end of the file",
    "LPAR": "'('",
    "RPAR": "')'",
    "LSQB": "'['",
    "RSQB": "']'",
    "COMMA": "','",
    "AND": "'and'",
    "OR": "'or'",
    "NOT": "'not'",
    "IN": "'in'",
    "INCLUDE": "'include'",
    "CONST": "'const'",
    "__ANON_0": "'..'",
}
NUMBER = re.compile(r"(-?[0-9][0-9_]*(?:\.[0-9]+)?)[ \t]*(.*)", re.DOTALL)
ESCAPES = {'"': '"', "\\": "\\", "n": "\n", "t": "\t"}


@v_args(inline=True)
class _Build(Transformer[Token, Tree]):
    """Called as the parser reduces, so that no deep tree is ever walked to build another."""

    def __init__(self) -> None:
        super().__init__()
        self.path = ""
        self.comments: list[Comment] = []

    def keep(self, token: Token) -> Token:
        """The lexer drops comments; the tree does not."""
        self.comments.append(Comment(self._token(token), str(token).rstrip()))
        return token

    def _span(self, start: int, end: int) -> Span:
        return Span(self.path, start, end)

    def _token(self, token: Token) -> Span:
        start = token.start_pos or 0
        return self._span(start, start + len(token))

    def _over(self, *parts: Node, span: Span | None = None) -> tuple[Span, int]:
        depth = 1 + max((part.depth for part in parts), default=0)
        where = span or self._span(parts[0].span.start, parts[-1].span.end)
        if depth > MAX_DEPTH:
            raise Broken(Problem(f"nested deeper than {MAX_DEPTH}", where, "split it up"))
        return where, depth

    def name(self, token: Token) -> Name:
        return Name(self._token(token), str(token))

    def constant(self, token: Token) -> Constant:
        return Constant(self._token(token), str(token)[1:])

    def string(self, token: Token) -> String:
        return String(self._token(token), re.sub(r"\\(.)", lambda m: ESCAPES[m[1]], str(token)[1:-1]))

    def quantity(self, token: Token) -> Quantity:
        found = NUMBER.fullmatch(str(token))
        assert found is not None
        return Quantity(self._token(token), found[1], found[2])

    def group(self, opening: Token, inner: Value, closing: Token) -> Group:
        span, depth = self._over(inner, span=self._between(opening, closing))
        return Group(span, inner, depth=depth)

    def _between(self, opening: Token, closing: Token) -> Span:
        return self._span(opening.start_pos or 0, (closing.start_pos or 0) + 1)

    def _sequence(self, parts: tuple[Token | Value | None, ...], is_set: bool) -> Sequence:
        values = [part for part in parts if part is not None and not isinstance(part, Token)]
        opening = parts[0]
        closing = parts[-1]
        assert isinstance(opening, Token) and isinstance(closing, Token)
        span, depth = self._over(*values, span=self._between(opening, closing))
        return Sequence(span, values, is_set, depth=depth)

    def list(self, *parts: Token | Value | None) -> Sequence:
        return self._sequence(parts, False)

    def set(self, *parts: Token | Value | None) -> Sequence:
        return self._sequence(parts, True)

    def range(self, low: Value, _dots: Token, high: Value) -> Range:
        span, depth = self._over(low, high)
        return Range(span, low, high, depth=depth)

    def comparison(self, left: Value, operator: Token, right: Value) -> Comparison:
        span, depth = self._over(left, right)
        return Comparison(span, left, str(operator), right, depth=depth)

    def membership(self, left: Value, _in: Token, right: Value) -> Comparison:
        span, depth = self._over(left, right)
        return Comparison(span, left, "in", right, depth=depth)

    def negated(self, word: Token, part: Value) -> Negation:
        span = self._span(word.start_pos or 0, part.span.end)
        _, depth = self._over(part, span=span)
        return Negation(span, part, depth=depth)

    def _junction(self, word: str, parts: tuple[Token | Value, ...]) -> Junction:
        values = [part for part in parts if not isinstance(part, Token)]
        span, depth = self._over(*values)
        return Junction(span, word, values, depth=depth)

    def conjunction(self, *parts: Token | Value) -> Junction:
        return self._junction("and", parts)

    def disjunction(self, *parts: Token | Value) -> Junction:
        return self._junction("or", parts)

    def include(self, word: Token, pattern: Token) -> Include:
        text = self.string(pattern)
        return Include(self._span(word.start_pos or 0, text.span.end), text)

    def const(self, word: Token, name: Token, _is: Token, value: Value) -> Const:
        span, depth = self._over(value, span=self._span(word.start_pos or 0, value.span.end))
        return Const(span, self.name(name), value, depth=depth)

    def setting(self, name: Token, _is: Token, value: Value) -> Setting:
        span, depth = self._over(value, span=self._span(name.start_pos or 0, value.span.end))
        return Setting(span, self.name(name), value, depth=depth)

    def block(self, kind: Token, label: Token | None, opening: Token, *rest: Item | Token) -> Block:
        items = [item for item in rest if not isinstance(item, Token)]
        closing = rest[-1]
        assert isinstance(closing, Token)
        span = self._span(kind.start_pos or 0, (closing.start_pos or 0) + 1)
        _, depth = self._over(*items, span=span)
        name: Name | String | None = None
        if label is not None:
            name = self.string(label) if label.type == "STRING" else self.name(label)
        return Block(span, self.name(kind), name, items, opening.start_pos or 0, depth=depth)

    def file(self, *items: Item) -> tuple[Item, ...]:
        return items


@cache
def _machine() -> tuple[Lark, _Build]:
    build = _Build()
    machine = Lark(
        GRAMMAR,
        parser="lalr",
        lexer="basic",
        start="file",
        keep_all_tokens=True,
        transformer=build,
        lexer_callbacks={"COMMENT": build.keep},
        maybe_placeholders=True,
    )
    return machine, build


def parse(source: Source) -> Tree:
    """Never raises: what can't be read is a problem in the tree."""
    tree = Tree(source, [], [], [])
    text = source.text
    start = 0
    while start < len(text):
        start = _parse_from(tree, text, start)
        if len(tree.problems) >= MAX_ERRORS:
            break
    return tree


NO_VALUE = re.compile(r"([A-Za-z_][A-Za-z0-9_.-]*)[ \t]*=\s*\n\s*[A-Za-z_][A-Za-z0-9_.-]*\Z")
BARE = re.compile(r"([A-Za-z_][A-Za-z0-9_.-]*)\s+[A-Za-z_][A-Za-z0-9_.-]*\Z")
RESUME = re.compile(r"^[A-Za-z_]", re.MULTILINE)


def _parse_from(tree: Tree, text: str, start: int) -> int:
    """Reads until the end or the first error; returns where to go on."""
    error = _read(tree, text, start)
    if error is None:
        return len(text)
    problem = _problem(tree.source, error)
    tree.problems.append(problem)
    # What stood whole before the broken definition is read again without it. If that can't be read either,
    # an earlier definition has no end, and what follows the error is all that can be told apart.
    at = problem.span.start
    begins = [found.start() for found in RESUME.finditer(text, start) if found.start() <= at]
    broken = begins[-1] if begins else start
    if broken > start:
        _read(tree, text[:broken], start)
    following = RESUME.search(text, max(at + 1, broken + 1))
    return following.start() if following is not None else len(text)


def _read(tree: Tree, text: str, start: int) -> Exception | None:
    """Adds the definitions from `start` on to the tree, or returns what is wrong and adds nothing."""
    machine, build = _machine()
    build.path = tree.source.file
    build.comments = []
    # What was read before is blank, so that positions hold.
    window = re.sub(r"[^\n]", " ", text[:start]) + text[start:] if start else text
    try:
        items: object = machine.parse(window)
    except (UnexpectedInput, VisitError, Broken) as error:
        return error
    assert isinstance(items, tuple)
    tree.items.extend(items)
    tree.comments.extend(build.comments)
    return None


def _problem(source: Source, error: Exception) -> Problem:
    if isinstance(error, VisitError) and isinstance(error.orig_exc, Broken):
        return error.orig_exc.problem
    if isinstance(error, Broken):
        return error.problem
    text = source.text
    if isinstance(error, UnexpectedCharacters):
        at = error.pos_in_stream or 0
        span = Span(source.file, at, at + 1)
        char = text[at]
        if char == '"':
            return Problem("this text has no end on its line", span, "close it with '\"'")
        fixes = {
            "'": 'texts stand in double quotes: "..."',
            ";": "leave it out: a new line is enough",
            ":": "write '=' between a name and its value",
            "&": "write 'and'",
            "|": "write 'or'",
            "!": "write 'not', or '!=' between two values",
            "=": "compare with '=='",
        }
        return Problem(f"{char!r} means nothing here", span, fixes.get(char, ""))
    if isinstance(error, UnexpectedToken):
        token = error.token
        expected = {WORDS.get(name, name) for name in error.accepts or error.expected}
        if token.type == "$END":
            at = len(text.rstrip()) - 1
            opened = _last_open(source)
            also = (("opened here", opened),) if opened is not None else ()
            fix = "add '}'" if "'}'" in expected else ""
            span = Span(source.file, max(0, at), at + 1)
            return Problem("the file ends in the middle of a definition", span, fix, also)
        at = token.start_pos or 0
        span = Span(source.file, at, at + len(token))
        return _unexpected(source, token, expected, span)
    return Problem(str(error).splitlines()[0], Span(source.file, 0, 1))


def _unexpected(source: Source, token: Token, expected: set[str], span: Span) -> Problem:
    before = source.text[: span.start].rstrip()
    if before.endswith("=") and "'('" in expected:
        word = before[:-1].split()[-1] if before[:-1].split() else ""
        return Problem(f"{word!r} has no value", span, f"write a value after '{word} ='")
    if token.type == "EQUAL" and (empty := NO_VALUE.search(before)):
        at = Span(source.file, empty.start(1), empty.end(1))
        return Problem(f"{empty[1]!r} has no value", at, f"write a value after '{empty[1]} ='")
    if token.type == "EQUAL" and expected == {"'{'"} and (bare := BARE.search(before)):
        at = Span(source.file, bare.start(1), bare.end(1))
        return Problem(
            f"{bare[1]!r} needs a value ('= ...') or a block ('{{ ... }}')", at, f"write '{bare[1]} = ...'"
        )
    if expected == {"'{'"}:
        return Problem(f"{_short(token)} is one name too many", span, "a definition is KIND NAME { ... }")
    if token.type == "RBRACE" and "'}'" not in expected and "a name" in expected and "'='" not in expected:
        return Problem("this '}' closes nothing", span, "remove it, or look for a '{' that is missing above")
    if "'='" in expected and token.type in ("QUANTITY", "STRING", "LSQB", "CONSTANT"):
        return Problem(f"a value without '=' before it: {_short(token)}", span, f"write '= {_short(token)}'")
    if "'='" in expected:
        word = before.rsplit(None, 1)[-1] if before else ""
        if word in PLURALS:
            begin = before.rindex(word)
            place = Span(source.file, begin, begin + len(word))
            return Problem(f"{word!r} is not a unit", place, f"write {PLURALS[word]}")
        return Problem(
            f"{word!r} needs a value ('= ...') or a block ('{{ ... }}')", span, f"write '{word} = ...'"
        )
    if token.type == "EQUAL" and "a comparison" in expected:
        return Problem("'=' does not compare", span, "write '=='")
    named = sorted(expected - {"'include'", "'const'"}, key=lambda word: (word.startswith("'"), word))
    told = (
        ", ".join(named[:-1]) + (" or " if len(named) > 1 else "") + named[-1] if named else "something else"
    )
    return Problem(f"{_short(token)} can't stand here; expected {told}", span)


def _short(token: Token) -> str:
    text = str(token)
    return text if len(text) <= 40 else text[:37] + "..."


def _last_open(source: Source) -> Span | None:
    """The innermost bracket that is never closed."""
    opened: list[int] = []
    for found in re.finditer(r'#[^\n]*|"(?:\\.|[^"\\\n])*"|[{}()\[\]]', source.text):
        if found[0] in "{([":
            opened.append(found.start())
        elif found[0] in "})]" and opened:
            opened.pop()
    return Span(source.file, opened[-1], opened[-1] + 1) if opened else None
