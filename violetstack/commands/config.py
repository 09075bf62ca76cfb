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

EXIT_CLEAN = 0
EXIT_FINDINGS = 1
EXIT_ERRORS = 2
FILE_PATH = click.Path(dir_okay=False)
SETTINGS_OPTION = click.option(
    "--settings",
    type=FILE_PATH,
    help="A NODE_CONFIG file whose classes, tenants, kinds and zones may be referred to.",
)


@click.group()
def config() -> None:
    """Check, format, compare and explain the operator's file."""


def _load_known_names(settings: str | None) -> Known | None:
    if settings is None:
        return None
    from violetstack.config import ConfigError, known_names, read_node_config  # noqa: PLC0415

    try:
        return known_names(read_node_config(settings))
    except ConfigError as error:
        _exit_with_error(str(error))


def _exit_with_error(text: str) -> NoReturn:
    click.echo(text, err=True)
    sys.exit(EXIT_ERRORS)


def _check_file(file: str, known: Known | None) -> Checked:
    from violetstack.language.checker import check as check_files  # noqa: PLC0415
    from violetstack.language.files import Unreadable, read  # noqa: PLC0415

    try:
        return check_files(read(file), known)
    except Unreadable as error:
        _exit_with_error(str(error))


def _load_meaning(file: str, known: Known | None) -> Meaning:
    """Return what the file means; if it has errors, print them and exit."""
    checked = _check_file(file, known)
    if checked.meaning is None:
        _exit_with_error("\n".join(checked.sources.render(problem) for problem in checked.errors))
    return checked.meaning


@config.command()
@click.argument("files", nargs=-1, required=True, type=FILE_PATH)
@click.option(
    "--format", "form", type=click.Choice(["text", "json"]), default="text", help="Use json for editors."
)
@SETTINGS_OPTION
def check(files: tuple[str, ...], form: str, settings: str | None) -> None:
    """Report every problem in FILES, with its position and a likely fix.

    Exit status: 0 no problems, 1 warnings only, 2 errors.

    \b
    Examples:
      violetstack config check deploy/operator.violet
      violetstack config check --settings /run/balancer/config.json deploy/operator.violet
    """
    known = _load_known_names(settings)
    errors = warnings = 0
    rows = []
    for file in files:
        checked = _check_file(file, known)
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
    sys.exit(EXIT_ERRORS if errors else EXIT_FINDINGS if warnings else EXIT_CLEAN)


@config.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False, allow_dash=True))
@click.option(
    "--check", "only_check", is_flag=True, help="Change nothing; exit with 1 if a file would change."
)
def fmt(files: tuple[str, ...], only_check: bool) -> None:
    """Rewrite FILES in the canonical format; - reads standard input and writes standard output.

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
            formatted = layout(text, file)
        except (OSError, UnicodeDecodeError) as error:
            _exit_with_error(f"{file}: {error}")
        except CantLayOut as error:
            sources = Sources({file: error.source})
            _exit_with_error("\n".join(sources.render(problem) for problem in error.problems))
        if file == "-":
            click.echo(formatted, nl=False)
        elif formatted != text:
            changed += 1
            click.echo(f"{file}: {'would change' if only_check else 'changed'}")
            if not only_check:
                replace_file(Path(file), formatted)
    sys.exit(EXIT_FINDINGS if only_check and changed else EXIT_CLEAN)


def replace_file(path: Path, text: str) -> None:
    """Replace the file atomically, so that a full disk leaves the old contents in place."""
    path = path.resolve()
    temporary = path.with_name(f".{path.name}.new")
    try:
        temporary.write_text(text)
        temporary.chmod(path.stat().st_mode)
        temporary.replace(path)
    except OSError as error:
        temporary.unlink(missing_ok=True)
        _exit_with_error(f"{path}: {error}")


@config.command()
@click.argument("old", type=FILE_PATH)
@click.argument("new", type=FILE_PATH)
@click.option(
    "--traffic",
    type=FILE_PATH,
    help="A log of the dispatcher; counts its requests that would be routed differently.",
)
@SETTINGS_OPTION
def diff(old: str, new: str, traffic: str | None, settings: str | None) -> None:
    """Report how OLD and NEW differ in meaning.

    Exit status: 0 no differences, 1 differences, 2 errors.

    \b
    Examples:
      violetstack config diff deploy/operator.violet /tmp/new.violet
      violetstack config diff --traffic log.jsonl deploy/operator.violet /tmp/new.violet
    """
    from violetstack.language.difference import difference, replayed, tables  # noqa: PLC0415

    known = _load_known_names(settings)
    before = _load_meaning(old, known)
    after = _load_meaning(new, known)
    differences = difference(before, after, known)
    for row in differences:
        click.echo(str(row))
    if traffic is not None:
        try:
            with Path(traffic).open("rb") as lines:
                counts, total, skipped = replayed(lines, *tables(before, after, known))
        except OSError as error:
            _exit_with_error(f"{traffic}: {error}")
        click.echo(f"of {total} requests in {traffic}, {counts.total()} go elsewhere ({skipped} other lines)")
        for (old_target, new_target), count in counts.most_common():
            click.echo(f"{count:8} {old_target} -> {new_target}")
    sys.exit(EXIT_FINDINGS if differences else EXIT_CLEAN)


@config.command()
@click.argument("file", type=FILE_PATH)
@click.option("--class", "cls", required=True, help="The request's class.")
@click.option("--tenant", default="", help="The tenant that sends the request.")
@click.option("--model", default="", help="The requested model, on the chat front.")
@click.option("--front", type=click.Choice(["platform", "chat"]), default="chat", show_default=True)
@click.option("--prompt", default="0", help="The prompt's length in tokens, such as 9000 or 9ktok.")
@click.option("--retry", is_flag=True, help="The request is a client's retry.")
@SETTINGS_OPTION
def explain(  # noqa: PLR0917 - one argument for each option
    file: str, cls: str, tenant: str, model: str, front: str, prompt: str, retry: bool, settings: str | None
) -> None:
    """Show which route, pool and policy a request gets, and why the routes before it did not match.

    \b
    Example:
      violetstack config explain FILE --class CLASS --tenant TENANT --prompt 9ktok
    """
    from violetstack.language.checker import universe  # noqa: PLC0415
    from violetstack.language.difference import tables  # noqa: PLC0415
    from violetstack.language.explaining import UnknownName, explained, tokens  # noqa: PLC0415
    from violetstack.routing.table import RequestAttributes  # noqa: PLC0415

    known = _load_known_names(settings)
    meaning = _load_meaning(file, known)
    try:
        length = tokens(prompt)
        attributes = RequestAttributes(cls, tenant, model, front, length, retry)
        table = tables(meaning, meaning, known)[0]
        for line in explained(meaning, table, attributes, universe(meaning.definitions, known or {})):
            click.echo(line)
    except UnknownName as error:
        raise click.UsageError(str(error)) from None
    sys.exit(EXIT_CLEAN if table.find(attributes) is not None or not meaning.plan.routes else EXIT_FINDINGS)


@config.command()
@click.argument("file", type=FILE_PATH)
@click.option(
    "--out", type=FILE_PATH, help="The file to create; standard output by default. Never overwrites a file."
)
def convert(file: str, out: str | None) -> None:
    """Convert the TOML configuration of earlier versions to the operator's file, without its comments.

    \b
    Example:
      violetstack config convert chat.toml --out operator.violet
    """
    from violetstack.language.converting import CantConvert  # noqa: PLC0415
    from violetstack.language.converting import convert as converted  # noqa: PLC0415

    try:
        text = converted(Path(file).read_bytes())
    except (OSError, CantConvert) as error:
        _exit_with_error(f"{file}: {error}")
    if out is None:
        click.echo(text, nl=False)
        return
    try:
        with Path(out).open("x") as target:
            target.write(text)
    except OSError as error:
        _exit_with_error(f"{out}: {error.strerror}")
