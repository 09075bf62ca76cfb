"""`violetstack config check|fmt|diff|explain|convert`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

if TYPE_CHECKING:
    from violetstack.language.checker import Checked, Known
    from violetstack.language.meaning import Meaning

CLEAN = 0
FOUND = 1
BROKEN = 2
FILE = click.Path(dir_okay=False)
SETTINGS = click.option(
    "--settings", type=FILE, help="A NODE_CONFIG file; its classes, tenants, kinds and zones are known."
)


@click.group()
def config() -> None:
    """Check, lay out, compare and explain the operator's file."""


def _known(settings: str | None) -> Known | None:
    if settings is None:
        return None
    from violetstack.config import ConfigError, known_names, read_node_config  # noqa: PLC0415

    try:
        return known_names(read_node_config(settings))
    except ConfigError as error:
        _stop(str(error))


def _stop(text: str) -> NoReturn:
    click.echo(text, err=True)
    sys.exit(BROKEN)


def _checked(file: str, known: Known | None) -> Checked:
    from violetstack.language.checker import check as check_reading  # noqa: PLC0415
    from violetstack.language.files import Unreadable, read  # noqa: PLC0415

    try:
        return check_reading(read(file), known)
    except Unreadable as error:
        _stop(str(error))


def _meaning(file: str, known: Known | None) -> Meaning:
    """Or the errors, and an end."""
    checked = _checked(file, known)
    if checked.meaning is None:
        _stop("\n".join(checked.sources.render(problem) for problem in checked.errors))
    return checked.meaning


@config.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@click.option(
    "--format", "form", type=click.Choice(["text", "json"]), default="text", help="json is for editors."
)
@SETTINGS
def check(files: tuple[str, ...], form: str, settings: str | None) -> None:
    """Tell every problem of FILES, with its place and a likely fix.

    Exit status: 0 none, 1 warnings only, 2 errors.

    \b
    Examples:
      violetstack config check deploy/operator.violet
      violetstack config check --settings /run/balancer/config.json deploy/operator.violet
    """
    known = _known(settings)
    errors = warnings = 0
    rows = []
    for file in files:
        checked = _checked(file, known)
        errors += len(checked.errors)
        warnings += len(checked.problems) - len(checked.errors)
        for problem in checked.problems:
            if form == "json":
                rows.append(checked.sources.plain(problem))
            else:
                click.echo(checked.sources.render(problem))
    if form == "json":
        click.echo(json.dumps(rows, indent=1))
    else:
        click.echo(f"{len(files)} file(s): {errors} error(s), {warnings} warning(s)")
    sys.exit(BROKEN if errors else FOUND if warnings else CLEAN)


@config.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False, allow_dash=True))
@click.option(
    "--check", "only_check", is_flag=True, help="Change nothing; exit with 1 if a file would change."
)
def fmt(files: tuple[str, ...], only_check: bool) -> None:
    """Write FILES in the one canonical form; - reads standard input and writes standard output.

    \b
    Examples:
      violetstack config fmt deploy/operator.violet
      violetstack config fmt --check deploy/*.violet
    """
    from violetstack.language.layout import CantLayOut, layout  # noqa: PLC0415
    from violetstack.language.source import Sources  # noqa: PLC0415

    changed = 0
    for file in files:
        try:
            text = sys.stdin.read() if file == "-" else Path(file).read_bytes().decode()
            laid = layout(text, file)
        except (OSError, UnicodeDecodeError) as error:
            _stop(f"{file}: {error}")
        except CantLayOut as error:
            sources = Sources({file: error.source})
            _stop("\n".join(sources.render(problem) for problem in error.problems))
        if file == "-":
            click.echo(laid, nl=False)
        elif laid != text:
            changed += 1
            click.echo(f"{file}: {'would change' if only_check else 'changed'}")
            if not only_check:
                replace_file(Path(file), laid)
    sys.exit(FOUND if only_check and changed else CLEAN)


def replace_file(path: Path, text: str) -> None:
    """Whole or not at all: a full disk leaves the old file."""
    path = path.resolve()
    beside = path.with_name(f".{path.name}.new")
    try:
        beside.write_text(text)
        beside.chmod(path.stat().st_mode)
        beside.replace(path)
    except OSError as error:
        beside.unlink(missing_ok=True)
        _stop(f"{path}: {error}")


@config.command()
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@click.option("--traffic", type=FILE, help="Our own log; its requests are counted by where they would go.")
@SETTINGS
def diff(old: str, new: str, traffic: str | None, settings: str | None) -> None:
    """Tell what OLD and NEW differ in by their meaning. Exit status: 0 nothing, 1 something, 2 errors.

    \b
    Examples:
      violetstack config diff deploy/operator.violet /tmp/new.violet
      violetstack config diff --traffic log.jsonl deploy/operator.violet /tmp/new.violet
    """
    from violetstack.language.difference import difference, replayed, tables  # noqa: PLC0415

    known = _known(settings)
    before = _meaning(old, known)
    after = _meaning(new, known)
    found = difference(before, after, known)
    for each in found:
        click.echo(str(each))
    if traffic is not None:
        try:
            with Path(traffic).open("rb") as lines:
                counts, total, skipped = replayed(lines, *tables(before, after, known))
        except OSError as error:
            _stop(f"{traffic}: {error}")
        click.echo(f"of {total} requests in {traffic}, {counts.total()} go elsewhere ({skipped} other lines)")
        for (a, b), count in counts.most_common():
            click.echo(f"{count:8} {a} -> {b}")
    sys.exit(FOUND if found else CLEAN)


@config.command()
@click.argument("file", type=FILE)
@click.option("--class", "cls", required=True, help="The request's class.")
@click.option("--tenant", default="", help="Whose request it is.")
@click.option("--model", default="", help="The model asked for, on the chat front.")
@click.option("--front", type=click.Choice(["platform", "chat"]), default="chat", show_default=True)
@click.option("--prompt", default="0", help="Its length in tokens, such as 9000 or 9ktok.")
@click.option("--retry", is_flag=True, help="A client's repeat.")
@SETTINGS
def explain(  # noqa: PLR0917 - one argument for each option
    file: str, cls: str, tenant: str, model: str, front: str, prompt: str, retry: bool, settings: str | None
) -> None:
    """Tell which route, pool and policy a request gets, and why the routes before it did not match.

    \b
    Example:
      violetstack config explain FILE --class CLASS --tenant TENANT --prompt 9ktok
    """
    from violetstack.language.checker import universe  # noqa: PLC0415
    from violetstack.language.difference import tables  # noqa: PLC0415
    from violetstack.language.explaining import UnknownName, explained, tokens  # noqa: PLC0415
    from violetstack.routing.table import RequestAttributes  # noqa: PLC0415

    known = _known(settings)
    meaning = _meaning(file, known)
    try:
        length = tokens(prompt)
        attributes = RequestAttributes(cls, tenant, model, front, length, retry)
        table = tables(meaning, meaning, known)[0]
        for line in explained(meaning, table, attributes, universe(meaning.definitions, known or {})):
            click.echo(line)
    except UnknownName as error:
        raise click.UsageError(str(error)) from None
    sys.exit(CLEAN if table.find(attributes) is not None or not meaning.plan.routes else FOUND)


@config.command()
@click.argument("file", type=FILE)
@click.option("--out", type=FILE, help="Written there; standard output by default. Never over a file.")
def convert(file: str, out: str | None) -> None:
    """Write the TOML form of earlier versions in this language. Its comments are not carried over.

    \b
    Example:
      violetstack config convert chat.toml --out operator.violet
    """
    from violetstack.language.converting import CantConvert  # noqa: PLC0415
    from violetstack.language.converting import convert as converted  # noqa: PLC0415

    try:
        text = converted(Path(file).read_bytes())
    except (OSError, CantConvert) as error:
        _stop(f"{file}: {error}")
    if out is None:
        click.echo(text, nl=False)
        return
    try:
        with Path(out).open("x") as target:
            target.write(text)
    except OSError as error:
        _stop(f"{out}: {error.strerror}")
