"""The deployment that a soak plays on: regions, services, kinds of request, bounds, and the operator's documents."""

import json
from dataclasses import dataclass, field

REGIONS = ("north", "south", "west")
HOST = "club.example"


@dataclass(frozen=True)
class Bounds:
    """In seconds; they go into the VMs' settings and into the checks."""

    contact: float = 6.0
    key_withdrawal: float = 5.0
    configuration: float = 4.0
    leaving: float = 4.0
    evacuation: float = 5.0
    stop_grace: float = 8.0
    stop_slack: float = 0.2
    rollback: float = 0.25
    recovery: float = 12.0
    retry_ratio: float = 0.2
    extra_retries: float = 20
    retry_window: float = 10.0
    token_slack: float = 3000
    limit_overshoot: float = 0.1
    limit_window: float = 8.0
    cold_overshoot: float = 1.5
    cold_slack: float = 3
    caller_left: float = 0.5
    heard: float = 0.5  # From an answer on, a VM acts on what it states.
    most_rejected: int = 2  # Requests that reach an upstream while it has asked for none.
    stated_window: float = 4.0
    stated_overshoot: float = 1.5
    stated_slack: float = 5


@dataclass(frozen=True)
class Kind:
    """A kind of request, and the route that it takes."""

    path: str
    service: str
    kind: str
    may_run_again: bool = False
    events: int = 0  # Of a stream.
    tokens: tuple = (0, 0)
    homes: tuple = ()
    attempts: int = 2
    timeout: float = 8.0
    weight: int = 1  # How often callers ask for it.


KINDS = (
    Kind("/ask/", "assistant", "streaming", True, 12, (900, 60), weight=4),
    Kind("/batch/", "assistant", "streaming", False, 8, (400, 40), weight=2),
    Kind("/long/", "assistant", "streaming", True, 60, (200, 300), weight=2),
    Kind("/pay/", "desk", "non_idempotent", False, weight=4),
    Kind("/look/", "desk", "idempotent", True, weight=3),
    Kind("/local/", "desk", "idempotent", True, homes=("north",), weight=2),
)

COLD_PER_SECOND = 4
SERVICES = ("assistant", "desk")
LIMITED = "limited"  # The workspace that asks for more than its limit.


@dataclass
class Governance:
    """The newest document, and how the operator changes it."""

    version: int = 3
    routes: list = field(default_factory=lambda: list(KINDS))
    keys: dict = field(default_factory=lambda: {"farm": ["farm-key-0"], LIMITED: ["limited-key-0"]})
    rate: float = 4000  # Tokens a second of the limited workspace.
    burst: float = 2000
    serial: int = 0
    rate_factor: float = 1  # Sabotage: the document names another limit than the checks believe.

    def encode(self, kinds=None):
        """The next version, with the newest routes or with others."""
        self.version += 1 + self.version % 3
        routes = [self._route(kind) for kind in kinds or self.routes]
        services = [{"name": name, "health_path": "/health", "cold_per_s": COLD_PER_SECOND,
                     "engine": {"slots": 32, "kv_capacity": 400000}} for name in SERVICES]
        tenants = [{"name": "farm", "api_keys": self.keys["farm"]},
                   {"name": LIMITED, "api_keys": self.keys[LIMITED], "unit": "token_count", "plain_tokens": 50,
                    "rate_per_s": self.rate * self.rate_factor, "burst": self.burst * self.rate_factor}]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 10000,
                  "idle_timeout_ms": 30000}
        return json.dumps({"version": self.version, "routes": routes, "services": services, "tenants": tenants,
                           "limits": limits}).encode()

    @staticmethod
    def _route(kind):
        route = {"name": "r" + kind.path.replace("/", "-"), "host": HOST, "path_prefix": kind.path, "kind": kind.kind,
                 "service": kind.service, "timeout_ms": int(kind.timeout * 1000), "goal_ms": 1200,
                 "max_attempts": kind.attempts, "priority": 5}
        if kind.kind == "streaming":
            route |= {"resumable": kind.may_run_again, "sticky": True, "gap_target_ms": 600}
        if kind.homes:
            route["home_regions"] = list(kind.homes)
        return route


def settings_text(vm, region, store_port, ports, bounds, region_of_domain):
    """The settings file of one gateway process."""
    listen = "\n".join(f'{name} = "127.0.0.1:{port}"' for name, port in ports.items())
    domains = "\n".join(f'"{domain}" = "{region}"' for domain, region in region_of_domain.items())
    return f"""vm = "{vm}"
region = "{region}"
failure_domain = "{region}-a"
store = "127.0.0.1:{store_port}"

[region_of_domain]
{domains}

[listen]
{listen}

[bounds]
key_withdrawal_ms = {int(bounds.key_withdrawal * 1000)}
stop_grace_s = {bounds.stop_grace}
retry_ratio = {bounds.retry_ratio}
extra_retries = {bounds.extra_retries}
token_slack = {bounds.token_slack}
"""
