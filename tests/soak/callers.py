"""Callers: they keep connections open, ask for every kind of request, leave early at times, and check what they get."""

import asyncio
import itertools

import http1
from deployment import HOST, KINDS, LIMITED
from http1 import Answer, ClientConnection
from ledger import Outcome, Sent
from upstream import event, seal

CONNECT_LIMIT_S = 1.0
PAUSE_S = (0.05, 0.45)
LEAVING_SHARE = 0.1
PROBE_SHARE = 0.15  # Requests on routes that were just added or removed.
OLD_KEY_SHARE = 0.12
DEADLINE_MS = 9000
NOT_RUN = (408, 421, 429, 503)


class Caller:
    numbers = itertools.count(1)

    def __init__(self, world, random):
        self.world, self.random = world, random
        self.name = f"c{next(self.numbers)}"
        self.serial = 0
        self.connections = {}

    async def run(self):
        while not self.world.is_over:
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            await self._ask()
        for connection in self.connections.values():
            connection.close()

    async def _ask(self):
        vm = self.random.choice(self.world.vms)
        connection = await self._connect(vm)
        kind = self._choose_kind()
        sent = self._compose(vm, kind)
        if not connection:
            self.world.ledger.outcomes.append(Outcome(sent, Answer(failure="not connected")))
            return
        self.world.ledger.sent[sent.attempt] = sent
        outcome = Outcome(sent, Answer())
        headers = [(name, value) for name, value in sent.headers.items() if value]
        leaves_after = self.random.uniform(0.02, 1.2) if self.random.random() < LEAVING_SHARE else None
        exchange = asyncio.create_task(connection.exchange(sent.method, sent.path, headers, sent.body))
        done, _ = await asyncio.wait([exchange], timeout=leaves_after)
        if not done:
            connection.close()
            outcome.left_at = self.world.ledger.now()
            exchange.cancel()
            await asyncio.gather(exchange, return_exceptions=True)
            outcome.answer.failure = "left by the caller"
        else:
            outcome.answer = exchange.result()
            self._check(outcome)
        self.world.ledger.outcomes.append(outcome)

    async def _connect(self, vm):
        connection = self.connections.get(vm.name)
        if connection and connection.is_usable and self.random.random() < 0.9:
            return connection
        if connection:
            connection.close()
        try:
            connection = await ClientConnection.open(vm.ports["callers"], CONNECT_LIMIT_S)
        except (OSError, asyncio.TimeoutError):
            self.connections.pop(vm.name, None)
            return None
        self.connections[vm.name] = connection
        return connection

    def _choose_kind(self):
        governance = self.world.governance
        probes = [kind for kind in [*governance.routes, *self.world.removed_routes] if kind not in KINDS]
        if probes and self.random.random() < PROBE_SHARE:
            return self.random.choice(probes)
        return self.random.choices(KINDS, [kind.weight for kind in KINDS])[0]

    def _choose_key(self):
        keys = self.world.governance.keys
        workspace = LIMITED if self.random.random() < 0.3 else "farm"
        if self.world.withdrawn_keys and self.random.random() < OLD_KEY_SHARE:
            return self.random.choice(self.world.withdrawn_keys[-3:]), "farm"
        return self.random.choice(keys[workspace]), workspace

    def _compose(self, vm, kind):
        self.serial += 1
        attempt = f"{self.name}-{self.serial}"
        key, workspace = self._choose_key()
        body = attempt.encode() * self.random.choice((0, 1, 1, 400))
        path = f"{kind.path}{self.random.randint(1, 99)}?q={self.serial}"
        headers = {"host": HOST, "attempt-id": attempt, "deadline-ms": str(DEADLINE_MS),
                   "authorization": "Bearer " + key, "content-length": str(len(body)), "model": "", "token-usage": "",
                   "prompt-prefix": "", "tenant": "", "kv-from": ""}
        if kind.events:
            prompt, answer = kind.tokens
            shared = prompt * 2 // 3
            headers |= {"model": "m", "token-usage": f"{prompt},{answer}",
                        "prompt-prefix": f"{self.random.randint(1, 5):x}:{shared},{self.random.getrandbits(32):x}:{prompt - shared}"}
        if self.random.random() < 0.1:
            headers |= {"tenant": "forged", "kv-from": "127.0.0.1:1/forged"}
        return Sent(attempt, self.world.ledger.now(), vm.name, vm.incarnation, kind, "POST", path, body, key, workspace, headers)

    # ---- What every answer must be, whatever happens.

    def _check(self, outcome):
        sent, answer, ledger = outcome.sent, outcome.answer, self.world.ledger
        if answer.failure.startswith("protocol"):
            ledger.violate("mixed", f"{sent.attempt}: {answer.failure}")
        if not answer.status:
            return
        if answer.headers.get("attempt-id", sent.attempt) != sent.attempt:
            ledger.violate("mixed", f"{sent.attempt}: answer of {answer.headers['attempt-id']}")
        if 200 <= answer.status < 300:
            self._check_success(sent, answer)
        elif "response-seal" in answer.headers and (answer.status != 500 or bytes(answer.body) != b"failed"):
            ledger.violate("mixed", f"{sent.attempt}: sealed {answer.status} that no upstream gave")
        elif answer.status in (400, 404, 413, 431) and sent.kind in KINDS:
            ledger.violate("denied", f"{sent.attempt}: {answer.status} for a proper request")
        elif answer.status in (401, 403) and sent.key not in ledger.withdrawn and not self.world.is_new_key(sent):
            ledger.violate("denied", f"{sent.attempt}: {answer.status} for a key in force")

    def _check_success(self, sent, answer):
        ledger, body = self.world.ledger, bytes(answer.body)
        if not sent.kind.events:
            if answer.is_complete and answer.headers.get("response-seal") != seal(sent.attempt, body):
                ledger.violate("mixed", f"{sent.attempt}: the seal is not that of the body")
            return
        whole = b"".join(event(sent.attempt, number) for number in range(1, sent.kind.events + 1))
        if answer.headers.get("response-seal") != "stream-" + sent.attempt:
            ledger.violate("mixed", f"{sent.attempt}: a stream without its seal")
        if (answer.is_complete and body != whole) or not whole.startswith(body):
            ledger.violate("order", f"{sent.attempt}: {len(body)} of {len(whole)} bytes, not the stream's own")
