"""The `violetstack` command and its subcommands `serve`, `rehearse` and `demo`."""

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

CONTEXT_SETTINGS = {"help_option_names": ["-h", "--help"], "max_content_width": 100}


def _version() -> str:
    try:
        return version("violetstack")
    except PackageNotFoundError:
        return "from the source tree"


@click.group(context_settings=CONTEXT_SETTINGS, epilog="Exit status: 0 success, 1 findings, 2 errors.")
@click.version_option(_version(), prog_name="violetstack")
def main() -> None:
    """A dispatcher for two-stage LLM serving.

    \b
    Examples:
      violetstack demo                              try it with simulated hosts
      violetstack config check deploy/operator.violet
      violetstack serve examples/operator.violet
      violetstack rehearse cut order

    Shell completion: eval "$(_VIOLETSTACK_COMPLETE=bash_source violetstack)"; likewise for zsh and fish.
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
    help="Log format; auto is text on a terminal, else json.",
)
def serve(file: str | None, form: str) -> None:
    """Run the dispatcher as configured by FILE, NODE_CONFIG or both.

    If NODE_CONFIG is set, its settings override the classes, kinds and limits of FILE. SIGHUP reloads both;
    SIGTERM finishes the accepted requests and then exits.

    \b
    Examples:
      violetstack serve examples/operator.violet
      NODE_CONFIG=/run/balancer/config.json violetstack serve deploy/operator.violet
    """
    from violetstack import log  # noqa: PLC0415 - each command loads only what it needs
    from violetstack.daemon.process import serve as run  # noqa: PLC0415

    if form == "text" or (form == "auto" and sys.stdout.isatty()):
        log.use_console_format()
    sys.exit(run(os.environ.get("NODE_CONFIG", ""), file))


@main.command()
@click.argument("stories", nargs=-1)
@click.option("--quiet", is_flag=True, help="Omit the dispatcher's log lines.")
@click.option(
    "--json", "as_json", is_flag=True, help="Print a fleet plan's or a fault case's result as a JSON object."
)
@click.option(
    "--seeds", default="1", show_default=True, help="Seeds of fault cases and soaks: 7, 1-200 or 1,5-9."
)
@click.option("--jobs", default=1, show_default=True, help="Fault cases to run at the same time.")
@click.option("--processes", default=24, show_default=True, help="Dispatcher processes of a soak.")
@click.option("--minutes", default=1.0, show_default=True, help="Minutes of load for each seed of a soak.")
@click.option(
    "--shrink", "shrinks", is_flag=True, help="For a failing seed of a soak, find the faults that it needs."
)
@click.option(
    "--duration", "duration_s", default=4.0, show_default=True, help="Seconds of load in a fault case."
)
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
    """Run the scenarios STORIES (all by default) with scripted peers; or a fleet plan, fault cases or soaks.

    `fleet PLAN` starts a fleet of dispatcher processes on loopback addresses and injects the plan's faults.
    It reports one line each half second, the time to full service, and the rules that were violated.

    `faults` starts dispatchers with settings and faults drawn from each seed, and checks what clients and
    hosts observed. It reports one line for each case, the requests for which a rule was violated, and
    the pairs of faults that overlapped.

    `soak` does the same with more dispatchers and for longer; faults overlap, system calls fail, clocks step
    and log output stalls. It checks the dispatchers' own invariants as well as what clients
    and hosts observed.

    `responses` plays malformed responses of model hosts through one dispatcher, in some 1,000 forms, and
    checks that each client gets its final answer or the end of its connection in time.

    `chat` plays sound and spoilt events of model hosts for clients of both fronts, in some 3,000 cells, and
    checks that no incomplete answer looks complete. It loses answers to requests that dispatchers and
    clients send again, in some 300 cells, and checks that no order runs twice.

    \b
    Examples:
      violetstack rehearse --quiet
      violetstack rehearse cut order drain
      violetstack rehearse fleet benchmarks/fleet/herd.toml
      violetstack rehearse faults --seeds 1-200 --jobs 2
      violetstack rehearse soak --seeds 1-20 --processes 24 --minutes 1
    """
    if stories[:1] == ("fleet",):
        sys.exit(_run_plans(stories[1:], as_json))
    if stories[:1] == ("faults",):
        from violetstack.commands.faults import parse_seeds, run_faults  # noqa: PLC0415

        sys.exit(run_faults(parse_seeds(seeds), jobs, duration_s, as_json))
    if stories[:1] == ("soak",):
        from violetstack.commands.faults import parse_seeds  # noqa: PLC0415
        from violetstack.commands.soak import run_soak  # noqa: PLC0415

        sys.exit(run_soak(parse_seeds(seeds), processes, minutes, shrinks=shrinks))
    if stories[:1] == ("responses",):
        from violetstack.commands.responses import run_responses  # noqa: PLC0415

        sys.exit(run_responses())
    if stories[:1] == ("chat",):
        from violetstack.commands.chat import run_chat  # noqa: PLC0415

        sys.exit(run_chat())
    sys.exit(_run_scenarios(stories, quiet))


def _run_scenarios(stories: tuple[str, ...], quiet: bool) -> int:
    """Run scenarios; return 1 if a check failed."""
    from violetstack.rehearsal import scenarios  # noqa: PLC0415

    unknown = [name for name in stories if name not in scenarios.STORIES]
    if unknown:
        raise click.UsageError(
            f"no scenario named {', '.join(unknown)}; known: {', '.join(scenarios.STORIES)}"
        )
    return scenarios.rehearse(stories or tuple(scenarios.STORIES), quiet)


def _run_plans(plans: tuple[str, ...], as_json: bool) -> int:
    """Run fleet plans.

    Returns 1 if a rule was violated, a dispatcher crashed or the simulated hosts fell behind, else 0.
    """
    from violetstack.rehearsal.fleet import plan, report  # noqa: PLC0415
    from violetstack.rehearsal.fleet.runner import play  # noqa: PLC0415

    if not plans:
        raise click.UsageError("rehearse fleet requires a plan file, for example one in benchmarks/fleet/")
    succeeded = True
    for name in plans:
        try:
            result = play(plan.read(Path(name).read_text()))
        except (OSError, plan.PlanError) as error:
            raise click.ClickException(f"{name}: {error}") from None
        click.echo(msgspec.json.encode(result).decode() if as_json else report.format_result(result))
        succeeded = succeeded and not (result.violations or result.crashed or result.void)
    return 0 if succeeded else 1


@main.command()
@click.option("--port", default=8080, show_default=True, help="Port of the chat front; 0 picks a free one.")
@click.option(
    "--once", is_flag=True, help="Send one question, then exit instead of serving further requests."
)
def demo(port: int, once: bool) -> None:
    """Start a dispatcher with simulated prefill and decode hosts, and stream the answer to a question.

    Shows which route, pool and hosts served the answer, and runs until Ctrl-C.
    """
    from violetstack.rehearsal.demo import run  # noqa: PLC0415

    sys.exit(run(port, once))


if __name__ == "__main__":
    main()
