"""What a file may say: every block and setting with its type, range, default and meaning.

The checker reads it, `reference` turns it into the page for operators, and so the two cannot differ.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from violetstack.language.units import DURATION, RATE, SHARE, SIZE, TOKENS, Dimension


class Form(Enum):
    """What stands on the right of a setting, where that is no quantity with a unit."""

    COUNT = "whole number"
    NUMBER = "number"
    TEXT = "text"
    FILE = "file"
    ADDRESS = "address and port"
    SWITCH = "true or false"
    WORD = "word"
    REFERENCE = "name"
    REFERENCES = "list of names"
    TEXTS = "list of texts"
    REQUESTS = "condition on requests"
    HOSTS = "condition on hosts"
    SIGNALS = "condition on signals"


@dataclass(frozen=True, slots=True)
class Field:
    """`low` and `high` are in the dimension's base and belong to the range."""

    name: str
    form: Form | Dimension
    meaning: str
    required: bool = False
    default: str = ""
    low: float | None = None
    high: float | None = None
    words: tuple[str, ...] = ()  # of a WORD
    to: str = ""  # the kind of block that a REFERENCE names

    @property
    def told(self) -> str:
        if isinstance(self.form, Dimension):
            return self.form.name
        if self.form is Form.WORD:
            return ", ".join(f"`{word}`" for word in self.words)
        if self.to:
            return f"{self.to} ({self.form.value})"
        return str(self.form.value)


@dataclass(frozen=True, slots=True)
class BlockSpec:
    """`labelled`: it has a name, and there may be many; else there is one."""

    kind: str
    meaning: str
    fields: tuple[Field, ...]
    labelled: bool = True
    labels: tuple[str, ...] = ()  # the only names there are
    by_name: dict[str, Field] = field(default_factory=dict, compare=False)

    def __post_init__(self) -> None:
        self.by_name.update({each.name: each for each in self.fields})


def _duration(name: str, meaning: str, default: str = "", low: float = 0.0, required: bool = False) -> Field:
    return Field(name, DURATION, meaning, required, default, low, 400 * 86_400_000.0)


ADDRESS = Form.ADDRESS
FILE = Form.FILE
TEXT = Form.TEXT
TEXTS = Form.TEXTS
SWITCH = Form.SWITCH
COUNT = Form.COUNT
NUMBER = Form.NUMBER
WORD = Form.WORD
REFERENCE = Form.REFERENCE
REFERENCES = Form.REFERENCES

BLOCKS: dict[str, BlockSpec] = {
    spec.kind: spec
    for spec in (
        BlockSpec(
            "listen",
            "A front: `chat` speaks OpenAI's API, `platform` the platform's protocol.",
            (Field("address", ADDRESS, "where clients connect", required=True),),
            labels=("chat", "platform"),
        ),
        BlockSpec(
            "tls",
            "Certificate of the chat front.",
            (
                Field("certificate", FILE, "chain in PEM", required=True),
                Field("key", FILE, "its private key in PEM", required=True),
            ),
            labelled=False,
        ),
        BlockSpec(
            "acme",
            "Keeps the two files of `tls` by ACME.",
            (
                Field("directory", TEXT, "URL of the authority's directory", required=True),
                Field("domains", TEXTS, "names in the certificate", required=True),
                Field("account_key", FILE, "made when it is missing", required=True),
                Field("challenge", ADDRESS, "where port 80 of the domains leads", required=True),
                Field("contact", TEXT, "`mailto:` address for the authority"),
                _duration("renew_before", "left of a certificate when it is renewed", "30d", 1.0),
                _duration("check_every", "between looks at the certificate", "1h", 1.0),
                Field("trust", FILE, "the authority's own root, where the system does not know it"),
            ),
            labelled=False,
        ),
        BlockSpec(
            "ledger",
            "The record of orders; without it the chat front refuses them.",
            (
                Field(
                    "file",
                    FILE,
                    "SQLite file, shared by dispatchers that serve the same clients",
                    required=True,
                ),
                _duration("keep", "how long an outcome is kept for retries", "48h", 1000.0),
                _duration(
                    "lease",
                    "silence after which a running order's dispatcher is taken for dead",
                    "10s",
                    100.0,
                ),
            ),
            labelled=False,
        ),
        BlockSpec(
            "state",
            "What a dispatcher knows of hosts, kept over its end; without it, nothing is.",
            (
                Field(
                    "folder",
                    FILE,
                    "of this dispatcher alone, on a disk that outlives it; made when it is missing",
                    required=True,
                ),
                _duration("keep", "age past which what was kept is not used", "48h", 1000.0),
                Field(
                    "doubt",
                    SHARE,
                    "a list that loses this share of the hosts at once is doubted; 0% doubts none",
                    default="0%",
                    low=0,
                    high=1,
                ),
                _duration("doubt_for", "for how long such a list is doubted", "30s", 1000.0),
            ),
            labelled=False,
        ),
        BlockSpec(
            "duties",
            "Leases that one dispatcher of the tier holds at a time; off without it. Needs peers in NODE_CONFIG.",
            (
                _duration("lease", "how long a lease is; its holder renews it earlier", "2s", 500.0),
                Field(
                    "keys",
                    TEXTS,
                    "secrets of the tier: the first authenticates what is sent, any of them what is received",
                ),
                Field(
                    "datagrams",
                    RATE,
                    "how many lease datagrams a dispatcher sends at most",
                    default="200 req/s",
                    low=10,
                    high=100_000,
                ),
                Field(
                    "trials",
                    SWITCH,
                    "one dispatcher at a time checks a failing host; the others avoid it",
                    default="false",
                ),
                Field(
                    "leave",
                    COUNT,
                    "how many dispatchers may restart at a time; 0 is no limit",
                    default="0",
                    low=0,
                    high=1000,
                ),
                _duration(
                    "leave_wait",
                    "how long SIGTERM waits for a restart permit while requests are served; then it shuts down all the same",
                    "0s",
                ),
            ),
            labelled=False,
        ),
        BlockSpec(
            "machine",
            "What the program may use.",
            (
                Field("cores", NUMBER, "share of the machine's processors", default="1", low=0.01, high=1024),
                Field("memory", SIZE, "its limit", default="192MiB", low=16 * 2**20, high=2**40),
                Field("descriptors", COUNT, "files and sockets", default="1024", low=48, high=1_048_576),
            ),
            labelled=False,
        ),
        BlockSpec(
            "fleet",
            "The fleet as a whole. On the platform NODE_CONFIG tells all of this.",
            (
                Field("discovery", ADDRESS, "where the list of hosts comes from"),
                Field("dispatchers", COUNT, "how many share the fleet", default="1", low=1, high=10_000),
                Field("number", COUNT, "which of them this one is, from 0", default="0", low=0, high=9_999),
                Field("zone", REFERENCE, "the zone that this dispatcher is in", to="zone"),
                Field(
                    "over_share_worth",
                    SHARE,
                    "worth of traffic beyond a tenant's share",
                    default="100%",
                    low=0,
                    high=1,
                ),
                Field(
                    "hold_ahead",
                    SWITCH,
                    "a place may be held at a writer while a reader reads",
                    default="false",
                ),
                Field("local_read", SWITCH, "writers can read prompts", default="false"),
                Field("resume", SWITCH, "hosts can take up a broken answer", default="false"),
                _duration("release", "a state nobody takes is freed within this", "0ms"),
                Field(
                    "reports",
                    WORD,
                    "how hosts tell their load",
                    default="never",
                    words=("never", "inline", "on_probe"),
                ),
                Field("report_names", TEXTS, "fields of a load report"),
            ),
            labelled=False,
        ),
        BlockSpec(
            "limits",
            "What the dispatcher may do to hosts.",
            (
                Field("attempts", COUNT, "sends of one request at most", default="1", low=1, high=100),
                Field("cancel", SWITCH, "work that nobody wants any more may be withdrawn", default="false"),
                Field("duplicate", SWITCH, "a second copy may run where the class allows", default="false"),
                Field("probes", SWITCH, "hosts may be probed", default="false"),
                Field("retry_after", SWITCH, "a refusal says when to come back", default="false"),
                _duration("most_retry_after", "the longest such advice", "0ms"),
                _duration("connect_timeout", "for a connection to a host", "0ms"),
                _duration("idle_close", "an idle connection to a host is closed", "30s"),
            ),
            labelled=False,
        ),
        BlockSpec(
            "rules",
            "What must be kept whatever happens.",
            (
                _duration("drain_within", "nothing new to a host that drains", "250ms"),
                _duration("cold", "until a host that has just started is warm", "0ms"),
                Field(
                    "cold_share",
                    SHARE,
                    "of its capacity that it starts with",
                    default="100%",
                    low=0.01,
                    high=1,
                ),
                _duration("fall", "overload of a cold host that pushes it over", "0ms"),
                Field(
                    "fall_multiple",
                    NUMBER,
                    "that overload, in times of what it can do",
                    default="0",
                    low=0,
                    high=100,
                ),
                _duration("grace", "the client's own, to take an answer", "0ms"),
            ),
            labelled=False,
        ),
        BlockSpec("zone", "A place where hosts stand.", ()),
        BlockSpec(
            "kind",
            "A kind of host.",
            (
                Field("stage", WORD, "what it can do", required=True, words=("read", "write", "both")),
                Field(
                    "memory",
                    TOKENS,
                    "for states and answers; learned from reports where it is not told",
                    low=1,
                    high=1e12,
                ),
            ),
        ),
        BlockSpec(
            "class",
            "A class of requests.",
            (
                _duration("aim", "the first token is wanted within this", required=True, low=1.0),
                _duration("aim_per_ktok", "and this more for each 1,000 prompt tokens", "0ms"),
                _duration("give_up", "the client waits no longer for it", required=True, low=1.0),
                Field(
                    "effect", WORD, "may it run twice?", required=True, words=("repeatable", "keyed", "once")
                ),
                Field(
                    "group",
                    WORD,
                    "which hosts know a key; those of this file are in no zone or cell",
                    default="all",
                    words=("all", "zone", "cell"),
                ),
                _duration("window", "how long hosts know a key", "0ms"),
                Field("worth", NUMBER, "of a unit of work in time", default="1", low=0, high=1_000_000),
                Field("late_worth", SHARE, "of it that is left when late", default="0%", low=0, high=1),
                _duration("token_aim", "between tokens", "0ms"),
            ),
        ),
        BlockSpec(
            "tenant",
            "Who pays for traffic.",
            (
                Field("share", SHARE, "of the fleet", low=0, high=1),
                Field("rate", RATE, "allowed before traffic counts as beyond the share", low=0, high=1e9),
                Field("class", REFERENCE, "its requests' class on the chat front", to="class"),
            ),
        ),
        BlockSpec(
            "model",
            "A name that clients of the chat front may ask for.",
            (
                Field("class", REFERENCE, "its requests' class", required=True, to="class"),
                Field("upstream", TEXT, "the model's name at the hosts, where that differs"),
                Field(
                    "max_tokens",
                    TOKENS,
                    "of an answer where the client sets none",
                    default="500tok",
                    low=1,
                    high=1e6,
                ),
            ),
        ),
        BlockSpec(
            "key",
            "A client's key.",
            (
                Field("sha256", TEXT, "hash of the secret in hexadecimal"),
                Field("secret", TEXT, "the secret itself; keep such a file from others' eyes"),
                Field("tenant", REFERENCE, "who asks with it", required=True, to="tenant"),
                Field("class", REFERENCE, "over the tenant's and the model's", to="class"),
                Field("models", REFERENCES, "it may ask for; all by default", to="model"),
            ),
        ),
        BlockSpec(
            "host",
            "A host that speaks OpenAI's API and is in no discovery.",
            (
                Field("address", ADDRESS, "where it listens", required=True),
                Field("bearer", TEXT, "key that it is sent"),
                Field("memory", TOKENS, "for prompts and answers", low=1, high=1e12),
                Field("weight", NUMBER, "beside its equals", default="1", low=0.001, high=1000),
                Field("labels", TEXTS, "for pools to choose by"),
            ),
        ),
        BlockSpec(
            "pool",
            "Hosts that serve a route's requests.",
            (
                Field("members", Form.HOSTS, "which hosts are in it", default="all"),
                Field(
                    "least",
                    COUNT,
                    "fewer healthy members than this, and its fallback serves",
                    default="1",
                    low=1,
                    high=100_000,
                ),
                Field("fallback", REFERENCES, "pools that stand in, in order", to="pool"),
                _duration("return_after", "it must be whole this long before it serves again", "5s"),
            ),
        ),
        BlockSpec(
            "policy",
            "What a route's requests are allowed.",
            (
                _duration("deadline", "no request waits longer for its first token", low=1.0),
                Field("attempts", COUNT, "sends of one request at most", low=1, high=100),
                Field("retries", SHARE, "repeated attempts, in parts of the requests taken", low=0, high=1),
                Field(
                    "retry_floor",
                    RATE,
                    "repeated attempts that are always allowed",
                    default="1 req/s",
                    low=0,
                    high=1e6,
                ),
                Field("body", SIZE, "longest body", low=1, high=256 * 1024),
            ),
        ),
        BlockSpec(
            "levels",
            "What holds for all levels of reduced service.",
            (
                Field(
                    "most_changes",
                    COUNT,
                    "of level in a minute; past it, none goes down",
                    default="6",
                    low=2,
                    high=60,
                ),
                Field("journal", FILE, "where the level is kept for a restart; without it, none is"),
                _duration(
                    "remember",
                    "a restart takes over a level this young; one level lower for each further one",
                    "60s",
                    1000.0,
                ),
                Field("admin", FILE, "Unix socket of `violetstack level`, for the owner only"),
                Field("pin", REFERENCE, "this level whatever the signals say", to="level"),
                _duration("pin_for", "from when the file is read", "1h", 1000.0),
            ),
            labelled=False,
        ),
        BlockSpec(
            "level",
            "A level of reduced service; each is more severe than the ones before it.",
            (
                Field("enter", Form.SIGNALS, "when it is entered", required=True),
                _duration("enter_after", "`enter` has held for this long", "2s", 0.0),
                Field("leave", Form.SIGNALS, "when it may be left, one level down", required=True),
                _duration(
                    "leave_after", "`leave` has held for this long; doubled while it flaps", "10s", 0.0
                ),
                _duration("stay", "in force at least this long", "15s", 0.0),
                Field(
                    "admit",
                    SHARE,
                    "of the work that the fleet has shown it can do; the dearest first; all by default",
                    low=0,
                    high=2,
                ),
                Field(
                    "worth",
                    SHARE,
                    "least worth of a unit of work, beside the dearest class",
                    default="0%",
                    low=0,
                    high=1,
                ),
                Field(
                    "within_share",
                    SWITCH,
                    "no tenant beyond its share, also where others leave theirs",
                    default="false",
                ),
                Field("prompt", TOKENS, "longest prompt", low=1, high=1e9),
                Field("retries", SHARE, "repeated attempts, in parts of the requests taken", low=0, high=1),
                Field(
                    "hold_ahead",
                    SWITCH,
                    "places may be held ahead, where the settings allow it",
                    default="true",
                ),
                _duration("retry_after", "advice to what is dropped, spread to three times this", "1s", 1.0),
            ),
        ),
        BlockSpec(
            "measure",
            "A further bound of one level, for a class, a tenant or both.",
            (
                Field("level", REFERENCE, "under which it holds", required=True, to="level"),
                Field("class", REFERENCE, "whose requests; all by default", to="class"),
                Field("tenant", REFERENCE, "whose requests; all by default", to="tenant"),
                Field("admit", SHARE, "most of their demand that is served", required=True, low=0, high=1),
            ),
        ),
        BlockSpec(
            "route",
            "Which requests go where. The first that matches, from the top, has the request.",
            (
                Field("when", Form.REQUESTS, "which requests", default="all"),
                Field("pool", REFERENCE, "hosts for them; all hosts by default", to="pool"),
                Field("policy", REFERENCE, "what they are allowed", to="policy"),
            ),
        ),
    )
}


def reference() -> str:
    """The tables of `docs/configuration.md`."""
    rows: list[str] = []
    for spec in BLOCKS.values():
        name = f"{spec.kind} {'|'.join(spec.labels) or 'NAME'}" if spec.labelled else spec.kind
        rows += [f"### {name}", "", spec.meaning, ""]
        if not spec.fields:
            rows += ["It has no settings.", ""]
            continue
        rows += ["| setting | value | default | range | meaning |", "| --- | --- | --- | --- | --- |"]
        for each in spec.fields:
            default = "required" if each.required else f"`{each.default}`" if each.default else "-"
            rows.append(f"| `{each.name}` | {each.told} | {default} | {_range(each)} | {each.meaning} |")
        rows.append("")
    return "\n".join(rows)


def _range(each: Field) -> str:
    if each.low is None or each.high is None or each.high == 400 * 86_400_000.0:
        low = f"from {shown(each, each.low)}" if each.low else "-"
        return low if each.low is not None else "-"
    return f"{shown(each, each.low)} to {shown(each, each.high)}"


def shown(each: Field, value: float) -> str:
    """A bound as it would be written."""
    if each.form is SHARE:
        return f"{value * 100:g}%"
    text = f"{value:,.0f}" if value == int(value) else f"{value:g}"
    if isinstance(each.form, Dimension):
        base = {"duration": "ms", "size": "B", "token count": "tok", "rate": " req/s"}[each.form.name]
        return f"{text}{base}"
    return text
