"""What callers sent and saw, what upstreams ran, and what was done to the system meanwhile."""

import asyncio
import collections
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Sent:
    """One attempt of a caller, as it left the caller."""

    attempt: str
    at: float
    vm: str
    incarnation: int
    kind: object  # A deployment.Kind.
    method: str
    path: str
    body: bytes
    key: str
    workspace: str
    headers: dict


@dataclass
class Run:
    """One arrival at an upstream that began to work."""

    attempt: str
    at: float
    upstream: str
    region: str
    service: str
    resumed_after: int
    ended_at: float = 0.0
    is_whole: bool = False


@dataclass(frozen=True)
class Offer:
    """One arrival at an upstream, run or refused."""

    attempt: str
    at: float
    upstream: str
    start: str  # One for each start of an upstream.
    sender: str  # The VM whose process holds the connection.


@dataclass(frozen=True)
class Statement:
    """What an upstream stated of itself in the answer to an offer."""

    what: str  # "leaving", "rejects" or "limit".
    offer: Offer
    at: float
    value: float


@dataclass
class Outcome:
    sent: Sent
    answer: object  # A http1.Answer.
    left_at: float = 0.0


@dataclass(frozen=True)
class Look:
    """What a VM said of itself and of the VMs of its region."""

    vm: str
    region: str
    at: float
    ended_at: float
    is_ready: bool
    listed: object  # Ports that callers may use; None without an answer.


@dataclass
class Span:
    """A time in which something was done to a VM, an upstream or the store."""

    subject: str
    what: str
    begin: float
    end: float = float("inf")


@dataclass
class Ledger:
    sent: dict = field(default_factory=dict)
    runs: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)  # (time, service, attempt), refused ones too.
    offers: list = field(default_factory=list)
    statements: list = field(default_factory=list)
    outcomes: list = field(default_factory=list)
    looks: list = field(default_factory=list)
    spans: list = field(default_factory=list)
    violations: list = field(default_factory=list)
    withdrawn: dict = field(default_factory=dict)  # Key -> when the store had taken the configuration without it.
    leaving: dict = field(default_factory=dict)  # Upstream -> when the store had taken that it leaves.
    cold: dict = field(default_factory=dict)  # Upstream -> its cold times, as (begin, end).
    crashes: list = field(default_factory=list)  # (upstream, when it crashed)
    evacuations: list = field(default_factory=list)  # (domain, begin, end)
    routes_added: dict = field(default_factory=dict)  # Path -> when in force at the store.
    routes_removed: dict = field(default_factory=dict)
    upstream_ends: list = field(default_factory=list)  # (upstream, time)
    stops: list = field(default_factory=list)  # (vm, time of SIGTERM)
    copies: collections.Counter = field(default_factory=collections.Counter)  # Of refusals, by when they were sent.

    def now(self):
        return asyncio.get_running_loop().time()

    def violate(self, promise, detail):
        self.violations.append((promise, detail))

    def begin(self, subject, what):
        span = Span(subject, what, self.now())
        self.spans.append(span)
        return span

    def note(self, subject, what):
        """Something was done to the subject at this moment."""
        self.begin(subject, what).end = self.now()

    def is_calm(self, subjects, since, until, except_for=()):
        """True if nothing was done to any of them in that time, but for what is excepted."""
        return not any(span.subject in subjects and span.begin <= until and span.end >= since and span.what not in except_for
                       for span in self.spans)
