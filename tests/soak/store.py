"""A stand-in for the platform's store: revisions, leases, watches, a history that may be dropped, and faults."""

import asyncio
import base64
import collections
import copy
import enum
import json
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import http1

PAGE_ITEMS = 50  # Small, so that readers meet more than one page.
HISTORY = 5000
LEASE_LOOK_S = 0.1
COPY_EVERY_S = 0.5
COPIES = 24
OUTSIDE_PREFIXES = ("op/", "servers/")  # What the operator and the upstreams write.


class Trouble(enum.Enum):
    NONE = "none"
    OUT = "out"  # 503: nothing was done.
    SILENT = "silent"  # Calls are neither done nor answered.
    LOSES_ANSWERS = "loses_answers"  # Calls are done, and their connections closed.
    BUSY = "busy"  # 429.


@dataclass(frozen=True)
class Item:
    key: str
    value: bytes
    revision: int
    create_rev: int
    lease: int

    def encode(self):
        return {"key": self.key, "value": base64.b64encode(self.value).decode(), "revision": self.revision,
                "create_rev": self.create_rev, "lease": self.lease}


@dataclass
class Lease:
    ttl: float
    ends_at: float


@dataclass(frozen=True)
class Copy:
    """The store as it was at one moment."""

    taken_at: float
    items: dict
    revision: int
    history: list
    history_start: int
    leases: dict
    next_lease: int


class MetadataStore:
    def __init__(self):
        self.items = {}
        self.revision = 7
        self.era = 1
        self.trouble = Trouble.NONE
        self.delay = 0.0
        self.leases_pause = False  # What becomes of leases while the store is out.
        self.hides = lambda key, value: False  # Sabotage: items that no reader sees.
        self.alters_rewritten = lambda key, value: value  # Sabotage: what is written again after a restore.
        self.port = 0
        self._outside = {}  # Newest values of the operator and the upstreams, by key.
        self._history = []
        self._history_start = self.revision
        self._leases = {}
        self._next_lease = 11
        self._copies = collections.deque(maxlen=COPIES)
        self._changed = asyncio.Condition()

    async def start(self):
        self._server, self.port = await http1.listen(self._handle)
        self._sweeper = asyncio.create_task(self._sweep())
        return self

    # ---- Direct calls, for the stand-ins that write without a wire.

    def put(self, key, value, lease=0):
        """Writes an item. Returns its revision."""
        if self.hides(key, value):
            return self.revision
        if key.startswith(OUTSIDE_PREFIXES):
            self._outside[key] = value
        self.revision += 1
        old = self.items.get(key)
        item = Item(key, value, self.revision, old.create_rev if old else self.revision, lease)
        self.items[key] = item
        self._note(item.encode())
        return self.revision

    def remove(self, key):
        self._outside.pop(key, None)
        if key not in self.items:
            return
        del self.items[key]
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "removed": True})

    def drop_history(self):
        self._history.clear()
        self._history_start = self.revision

    def restore(self, age):
        """Goes back to the copy that is nearest to that age: revisions and lease numbers are given out again."""
        now = asyncio.get_running_loop().time()
        kept = min(self._copies, key=lambda each: abs(now - age - each.taken_at))
        self.items, self.revision = dict(kept.items), kept.revision
        self._history, self._history_start = list(kept.history), kept.history_start
        self._leases = {n: Lease(each.ttl, now + each.ends_at - kept.taken_at) for n, each in kept.leases.items()}
        self._next_lease = kept.next_lease
        self._copies = collections.deque((each for each in self._copies if each.taken_at < kept.taken_at), COPIES)
        self._copies.append(self._copy())
        self.era += 1
        asyncio.get_running_loop().create_task(self._wake())
        return now - kept.taken_at

    def outside_keys(self):
        """Keys that the operator and the upstreams have to write again, or to remove, after a restore."""
        return sorted(set(self._outside) | {key for key in self.items if key.startswith(OUTSIDE_PREFIXES)})

    def rewrite(self, key):
        """Writes or removes the item again, as it is by now."""
        if key in self._outside:
            self.put(key, self.alters_rewritten(key, self._outside[key]))
        else:
            self.remove(key)

    def _copy(self):
        return Copy(asyncio.get_running_loop().time(), dict(self.items), self.revision, list(self._history),
                    self._history_start, copy.deepcopy(self._leases), self._next_lease)

    def is_stable(self):
        return self.trouble is Trouble.NONE and self.delay == 0

    def _note(self, event):
        self._history.append(event)
        if len(self._history) > HISTORY:
            self._history_start = self._history.pop(0)["revision"]
        asyncio.get_running_loop().create_task(self._wake())

    async def _wake(self):
        async with self._changed:
            self._changed.notify_all()

    async def _sweep(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LEASE_LOOK_S)
            if not self._copies or loop.time() >= self._copies[-1].taken_at + COPY_EVERY_S:
                self._copies.append(self._copy())
            if self.trouble is not Trouble.NONE and self.leases_pause:
                for lease in self._leases.values():
                    lease.ends_at += LEASE_LOOK_S
            for number in [n for n, lease in self._leases.items() if lease.ends_at < loop.time()]:
                self._end_lease(number)

    def _end_lease(self, number):
        self._leases.pop(number, None)
        for key in [item.key for item in self.items.values() if item.lease == number]:
            self.remove(key)

    # ---- The wire.

    async def _handle(self, request, connection):
        if self.trouble is Trouble.SILENT:
            await connection.peer_gone.wait()
            return
        if self.trouble in (Trouble.OUT, Trouble.BUSY):
            await self._reply(connection, 503 if self.trouble is Trouble.OUT else 429, {}, self.era)
            return
        era = self.era
        status, body = await self._perform(request)
        if self.trouble is Trouble.LOSES_ANSWERS or status is None:
            connection.abort()
            return
        if self.delay:
            await asyncio.sleep(self.delay)
        await self._reply(connection, status, body, era)

    async def _perform(self, request):
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = (request.method, parts.path)
        if call == ("GET", "/-/kv-range"):
            return self._range(query)
        if call == ("GET", "/-/kv-watch"):
            return await self._watch(query)
        body = json.loads(request.body) if request.body else {}
        if call == ("POST", "/-/kv-txn"):
            return self._transact(body)
        if call == ("POST", "/-/kv-lease"):
            return self._grant(body)
        if request.method == "POST" and parts.path.startswith("/-/kv-keep/"):
            return self._keep(int(parts.path.rsplit("/", 1)[1]))
        if request.method == "DELETE" and parts.path.startswith("/-/kv-lease-end/"):
            self._end_lease(int(parts.path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def _range(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key].encode() for key in keys[:PAGE_ITEMS]]
        return 200, {"items": page, "truncated": len(keys) > PAGE_ITEMS, "store_revision": self.revision}

    async def _watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query["wait_ms"]) / 1000
        era = self.era
        while True:
            if self.era != era:
                return None, {}  # A watch that waits while the store is away is cut.
            if after < self._history_start or after > self.revision:
                return 410, {}
            events = [e for e in self._history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass  # The next turn answers with what is there.

    def _transact(self, body):
        rows = [row if isinstance(row, dict) else {"key": row[0], "revision": row[1]} for row in body["expect_rev"]]
        for row in rows:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]].encode() for r in rows if r["key"] in self.items]}
        writes = body["set_keys"]
        if any(write.get("lease", 0) and write["lease"] not in self._leases for write in writes):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key in [w["key"] for w in writes] + body["remove"]):
            return 403, {}
        for write in writes:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    def _grant(self, body):
        number, ttl = self._next_lease, body["ttl_ms"] / 1000
        self._next_lease += 1
        self._leases[number] = Lease(ttl, asyncio.get_running_loop().time() + ttl)
        return 200, {"lease": number, "ttl_ms": body["ttl_ms"]}

    def _keep(self, number):
        lease = self._leases.get(number)
        if not lease:
            return 404, {}
        lease.ends_at = asyncio.get_running_loop().time() + lease.ttl
        return 200, {"ttl_ms": int(lease.ttl * 1000)}

    @staticmethod
    async def _reply(connection, status, body, era):
        headers = [("Content-Type", "application/json"), ("Store-Era", str(era))]
        await connection.answer(status, headers, json.dumps(body).encode())
