"""The `violetstack` command."""

from __future__ import annotations

import os
import sys
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

import click
import msgspec

from violetstack.commands.config import config
from violetstack.commands.fleet import fleet
from violetstack.commands.level import level
from violetstack.commands.state import state

CONTEXT = {"help_option_names": ["-h", "--help"], "max_content_width": 100}


def _version() -> str:
    try:
        return version("violetstack")
    except PackageNotFoundError:
        return "from the source tree"


@click.group(context_settings=CONTEXT, epilog="Exit status: 0 well, 1 something found, 2 errors.")
@click.version_option(_version(), prog_name="violetstack")
def main() -> None:
    """A dispatcher for two-stage LLM serving.

    \b
    Examples:
      violetstack demo                              see it work, with stand-in hosts
      violetstack config check deploy/operator.violet
      violetstack serve examples/operator.violet
      violetstack rehearse cut order

    Shell completion: eval "$(_VIOLETSTACK_COMPLETE=bash_source violetstack)"; zsh and fish alike.
    """


main.add_command(config)
main.add_command(fleet)
main.add_command(level)
main.add_command(state)


@main.command()
@click.argument("file", required=False, type=click.Path(dir_okay=False))
@click.option(
    "--log",
    "form",
    type=click.Choice(["auto", "json", "text"]),
    default="auto",
    help="Form of the log; auto is text on a terminal.",
)
def serve(file: str | None, form: str) -> None:
    """Serve what FILE, NODE_CONFIG or both tell.

    NODE_CONFIG's settings, where it is set, count over the file's classes, kinds and limits. SIGHUP reads
    both again; SIGTERM finishes what was taken, then ends.

    \b
    Examples:
      violetstack serve examples/operator.violet
      NODE_CONFIG=/run/balancer/config.json violetstack serve deploy/operator.violet
    """
    from violetstack import log  # noqa: PLC0415 - only what a command needs is loaded
    from violetstack.daemon.process import serve as run  # noqa: PLC0415

    if form == "text" or (form == "auto" and sys.stdout.isatty()):
        log.use_console_format()
    sys.exit(run(os.environ.get("NODE_CONFIG", ""), file))


@main.command()
@click.argument("stories", nargs=-1)
@click.option("--quiet", is_flag=True, help="Without the dispatcher's log lines.")
@click.option("--json", "as_json", is_flag=True, help="Of a fleet's plan or a case of faults: a JSON object.")
@click.option("--seeds", default="1", show_default=True, help="Cases of faults: 7, 1-200 or 1,5-9.")
@click.option("--jobs", default=1, show_default=True, help="Cases of faults at the same time.")
@click.option("--processes", default=24, show_default=True, help="Dispatchers of a soak.")
@click.option("--minutes", default=1.0, show_default=True, help="Load of each seed of a soak.")
@click.option("--shrink", "shrinks", is_flag=True, help="Of a soak: which troubles a broken seed needs.")
@click.option("--duration", "duration_s", default=4.0, show_default=True, help="Seconds of a case's load.")
def rehearse(
    stories: tuple[str, ...],
    *,
    quiet: bool,
    as_json: bool,
    seeds: str,
    jobs: int,
    processes: int,
    minutes: float,
    shrinks: bool,
    duration_s: float,
) -> None:
    """Play STORIES (all by default) with scripted peers, and tell what came; or a fleet's PLAN.

    A plan starts a fleet of dispatcher processes on loopback addresses and strikes it with troubles. It
    tells a line each half second, the time to whole service, and the rules that were broken.

    FAULTS starts dispatchers with settings and faults that are drawn from each seed, and judges what clients
    and hosts saw: a line a case, the requests for which a rule was broken, and the pairs of faults that met.

    SOAK does the same with more dispatchers and for longer; troubles overlap, system calls fail, clocks step
    and logs stall. The dispatchers' own invariants count beside what was seen from outside.

    \b
    Examples:
      violetstack rehearse --quiet
      violetstack rehearse cut order drain
      violetstack rehearse fleet benchmarks/fleet/herd.toml
      violetstack rehearse faults --seeds 1-200 --jobs 2
      violetstack rehearse soak --seeds 1-20 --processes 24 --minutes 1
    """
    if stories[:1] == ("fleet",):
        sys.exit(_fleet(stories[1:], as_json))
    if stories[:1] == ("faults",):
        from violetstack.commands.faults import parse_seeds, run_faults  # noqa: PLC0415

        sys.exit(run_faults(parse_seeds(seeds), jobs, duration_s, as_json))
    if stories[:1] == ("soak",):
        from violetstack.commands.faults import parse_seeds  # noqa: PLC0415
        from violetstack.commands.soak import run_soak  # noqa: PLC0415

        sys.exit(run_soak(parse_seeds(seeds), processes, minutes, shrinks=shrinks))
    sys.exit(_stories(stories, quiet))


def _stories(stories: tuple[str, ...], quiet: bool) -> int:
    """1 if a story came out otherwise than it should."""
    from violetstack.rehearsal import scenarios as played  # noqa: PLC0415

    unknown = [name for name in stories if name not in played.STORIES]
    if unknown:
        raise click.UsageError(f"no story named {', '.join(unknown)}; there are {', '.join(played.STORIES)}")
    return played.rehearse(stories or tuple(played.STORIES), quiet)


def _fleet(plans: tuple[str, ...], as_json: bool) -> int:
    """1 if a rule was broken, a dispatcher crashed or the stand-ins fell behind."""
    from violetstack.rehearsal.fleet import plan, report  # noqa: PLC0415
    from violetstack.rehearsal.fleet.runner import play  # noqa: PLC0415

    if not plans:
        raise click.UsageError("rehearse fleet needs the file of a plan; benchmarks/fleet/ has some")
    good = True
    for name in plans:
        try:
            result = play(plan.read(Path(name).read_text()))
        except (OSError, plan.BadPlan) as error:
            raise click.ClickException(f"{name}: {error}") from None
        click.echo(msgspec.json.encode(result).decode() if as_json else report.told(result))
        good = good and not (result.breaches or result.crashed or result.void)
    return 0 if good else 1


@main.command()
@click.option("--port", default=8080, show_default=True, help="Where the chat front listens; 0 is any.")
@click.option("--once", is_flag=True, help="Ask one question and end, instead of staying for curl.")
def demo(port: int, once: bool) -> None:
    """Start a dispatcher with stand-in readers and writers, and ask it a streamed question.

    It shows which route, pool and hosts served the answer, and stays until Ctrl-C.
    """
    from violetstack.rehearsal.demo import run  # noqa: PLC0415

    sys.exit(run(port, once))


if __name__ == "__main__":
    main()
