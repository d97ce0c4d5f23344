"""Stand-ins for the platform's store, runners and clients, and the gateway processes. Standard library only."""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BINARY = ROOT / "target" / "papayashelf"
READ_SIZE = 65536
HOST = "club.example"


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, in a file of the case."""

    def __init__(self, path):
        self.file = pathlib.Path(path).open("w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


# ---- HTTP/1.1, as far as the stand-ins need it.


async def read_head(reader):
    """Returns the first line and the header fields (lower case) of a message, or None at the end of the input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body and whether it is complete."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            try:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                return body, False
            if size == 0:
                return body, True
            body += piece[:-2]
    try:
        return await reader.readexactly(int(headers.get("content-length", "0"))), True
    except asyncio.IncompleteReadError as failure:
        return failure.partial, False
    except ConnectionError:
        return b"", False


def format_message(first_line, headers, body=b""):
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body


class HttpServer:
    """Accepts connections and gives each request to handle(request, writer); the handler returns False to close."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Ends the listener and resets every connection."""
        self.server.close()
        self.reset()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ", 2)
                body, is_complete = await read_body(reader, message[1])
                if not is_complete or not await self.handle(Request(method, target, message[1], body), writer):
                    return
        except ConnectionError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()


# ---- The platform's store.


class Store(HttpServer):
    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items = {}  # Key -> (value, revision, create_rev, lease).
        self.revision, self.era = 7, 1
        self.history, self.history_start = [], 7
        self.leases, self.next_lease = {}, 11  # Number -> [ttl, end].
        self.is_away = False
        self.calls = {}
        self.changed = asyncio.Condition()

    async def start(self):
        await self.listen()
        self.sweeper = asyncio.create_task(self._sweep())

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self._note(self._encode(key))
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "removed": True})

    def copy(self):
        leases = {number: list(lease) for number, lease in self.leases.items()}
        return (dict(self.items), self.revision, list(self.history), self.history_start, leases, self.next_lease,
                time.monotonic())

    def restore(self, copy):
        """Comes back from an older copy: revisions and leases are given out again, and the era rises by one."""
        items, self.revision, history, self.history_start, leases, self.next_lease, taken_at = copy
        self.items, self.history = dict(items), list(history)
        age = time.monotonic() - taken_at
        self.leases = {number: [ttl, end + age] for number, (ttl, end) in leases.items()}
        self.era += 1
        self.reset()
        asyncio.get_running_loop().create_task(self._wake())

    def _encode(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "create_rev": created,
                "lease": lease}

    def _note(self, event):
        self.history.append(event)
        asyncio.get_running_loop().create_task(self._wake())

    async def _wake(self):
        async with self.changed:
            self.changed.notify_all()

    async def _sweep(self):
        while True:
            await asyncio.sleep(0.1)
            if self.is_away:
                continue
            for number in [n for n, lease in self.leases.items() if lease[1] < time.monotonic()]:
                self._end_lease(number)

    def _end_lease(self, number):
        self.leases.pop(number, None)
        for key in [key for key, item in self.items.items() if item[3] == number]:
            self.remove(key)

    async def handle(self, request, writer):
        if self.is_away:
            status, body = 503, {}
        else:
            status, body = await self._perform(request)
        if status is None:
            return False
        data = json.dumps(body).encode()
        headers = [("Content-Type", "application/json"), ("Store-Era", self.era), ("Content-Length", len(data))]
        writer.write(format_message(f"HTTP/1.1 {status} X", headers, data))
        await writer.drain()
        return True

    async def _perform(self, request):
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = parts.path
        if call == "/-/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return 200, {"items": [self._encode(key) for key in keys[:400]], "truncated": len(keys) > 400,
                         "store_revision": self.revision}
        if call == "/-/kv-watch":
            return await self._watch(query.get("path_prefix", ""), int(query["after"]), int(query["wait_ms"]) / 1000)
        body = json.loads(request.body) if request.body else {}
        if call == "/-/kv-txn":
            return self._transact(body)
        if call == "/-/kv-lease":
            number = self.next_lease
            self.next_lease += 1
            self.leases[number] = [body["ttl_ms"] / 1000, time.monotonic() + body["ttl_ms"] / 1000]
            return 200, {"lease": number, "ttl_ms": body["ttl_ms"]}
        number = int(call.rsplit("/", 1)[1]) if call.startswith(("/-/kv-keep/", "/-/kv-lease-end/")) else -1
        if call.startswith("/-/kv-keep/") and number in self.leases:
            self.leases[number][1] = time.monotonic() + self.leases[number][0]
            return 200, {"ttl_ms": int(self.leases[number][0] * 1000)}
        if call.startswith("/-/kv-lease-end/"):
            self._end_lease(number)
            return 200, {}
        return 404, {}

    async def _watch(self, prefix, after, wait):
        end, era = time.monotonic() + wait, self.era
        while True:
            if self.era != era or self.is_away:
                return None, {}
            if after < self.history_start or after > self.revision:
                return 410, {}
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        rows = body["expect_rev"]
        if any((self.items[r["key"]][1] if r["key"] in self.items else 0) != r["revision"] for r in rows):
            return 412, {"items": [self._encode(r["key"]) for r in rows if r["key"] in self.items]}
        keys = [write["key"] for write in body["set_keys"]] + body["remove"]
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        if any(write.get("lease", 0) and write["lease"] not in self.leases for write in body["set_keys"]):
            return 404, {}
        for write in body["set_keys"]:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}


# ---- Runners.


class Runner(HttpServer):
    """Registers in the store and runs requests; answer() may be replaced."""

    serials = itertools.count(1)

    def __init__(self, service, region, store, record, runs):
        super().__init__()
        self.service, self.region, self.store, self.record, self.runs = service, region, store, record, runs
        self.id = f"i-{service}-{next(self.serials)}"
        self.sequence, self.state = 0, "ready"
        self.extra_headers = []

    async def start(self, port=0):
        await self.listen(port)
        self.born = int(time.time() * 1000)
        self.register()
        self.beat = asyncio.create_task(self._heartbeat())

    def entry(self):
        return json.dumps({"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.region + "-a",
                           "version": "v1", "slots": 64, "state": self.state, "cold_left_ms": 0, "seq": self.sequence,
                           "born": self.born}).encode()

    def register(self):
        self.sequence += 1
        self.store.put("servers/" + self.id, self.entry())

    async def _heartbeat(self):
        """The entry stays as it is while nothing but its number would change."""
        while True:
            await asyncio.sleep(1.2)
            if not self.store.is_away and "servers/" + self.id not in self.store.items:
                self.register()

    async def handle(self, request, writer):
        attempt = request.headers.get("attempt-id", "")
        if request.headers.get("expect-instance", self.id) != self.id:
            writer.write(format_message("HTTP/1.1 421 Misdirected", [("Attempt-Id", attempt), ("Not-Executed", "1"),
                                                                   ("Content-Length", 0)]))
            return True
        self.runs.append((self.record.now(), self.id, request))
        self.record.note(f"run {request.method} {request.target} attempt={attempt} at {self.id} "
                         f"tenant={request.headers.get('tenant', '')} body={len(request.body)}")
        return await self.answer(request, writer, attempt)

    async def answer(self, request, writer, attempt):
        await asyncio.sleep(0.02)
        body = f"{attempt} done".encode()
        headers = [("Attempt-Id", attempt), ("Response-Seal", "s-" + attempt), ("Server-Load", "1,0,64"),
                   *self.extra_headers, ("Content-Length", len(body))]
        writer.write(format_message("HTTP/1.1 200 OK", headers, body))
        await writer.drain()
        return True


# ---- The operator's configuration.


def route(path, service, kind, **more):
    fields = {"name": "r" + path.strip("/"), "host": HOST, "path_prefix": path, "kind": kind, "service": service,
              "timeout_ms": 8000, "goal_ms": 1200, "max_attempts": 2, "priority": 2}
    return fields | more


def configuration(version, routes, tenants, services=("assistant", "desk"), limits=None):
    default = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 10000,
               "idle_timeout_ms": 30000}
    return json.dumps({"version": version, "routes": routes,
                       "services": [{"name": name, "health_path": "/health"} for name in services],
                       "tenants": tenants, "limits": limits or default}).encode()


# ---- Gateway processes.


def hold_port():
    """Returns a socket that keeps its port from everyone but servers that bind with SO_REUSEADDR, as the gateway does."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    return held


class Gateway:
    """One machine: its process is started with the command of the deploy file and a file like deploy/boot.toml."""

    names = ("callers", "readiness", "entries", "relays", "metrics")

    def __init__(self, name, region, regions, store_port, folder, record):
        self.name, self.region, self.record = name, region, record
        self.held = {each: hold_port() for each in self.names}
        self.ports = {each: held.getsockname()[1] for each, held in self.held.items()}
        domains = "\n".join(f'"{each}-a" = "{each}"' for each in regions)
        listen = "\n".join(f'{each} = "127.0.0.1:{port}"' for each, port in self.ports.items())
        self.settings = pathlib.Path(folder) / f"{name}.toml"
        self.settings.write_text(
            f'vm = "{name}"\nregion = "{region}"\nfailure_domain = "{region}-a"\nstore = "127.0.0.1:{store_port}"\n\n'
            f"[region_of_domain]\n{domains}\n\n[listen]\n{listen}\n\n[bounds]\nkey_withdrawal_ms = 5000\n"
            "stop_grace_s = 8\nretry_ratio = 0.2\nextra_retries = 52\nretry_window_s = 10\ntoken_slack = 140000\n")
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.process = None

    async def start(self):
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(BINARY), "gateway", f"--settings={self.settings}", stdout=log, stderr=log, cwd=ROOT)
        self.record.note(f"start {self.name}")

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running():
            self.record.note(f"signal {number} to {self.name}")
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["readiness"])
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return message is not None and message[0].split()[1] == "200"

    async def wait_until_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


# ---- Clients.


class Answer:
    def __init__(self, status=0, headers=None, body=b"", is_complete=False):
        self.status, self.headers, self.body, self.is_complete = status, headers or {}, body, is_complete


def request_bytes(method, target, attempt, key=None, body=b"", deadline_ms=9000, more=()):
    headers = [("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Ms", deadline_ms), *more]
    if key:
        headers.append(("Authorization", "Bearer " + key))
    if body or method == "POST":
        headers.append(("Content-Length", len(body)))
    return format_message(f"{method} {target} HTTP/1.1", headers, body)


class Client:
    """One kept connection of a client."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    async def connect(self, limit=1):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20), limit)

    async def send(self, data, limit=12):
        if not self.writer:
            await self.connect()
        self.writer.write(data)
        return await self.read_answer(limit)

    async def read_answer(self, limit=12):
        try:
            return await asyncio.wait_for(self._read(), limit)
        except (asyncio.TimeoutError, ConnectionError):
            self.close()
            return Answer()

    async def _read(self):
        message = await read_head(self.reader)
        if message is None:
            self.close()
            return Answer()
        status = int(message[0].split()[1])
        body, is_complete = await read_body(self.reader, message[1])
        if not is_complete or message[1].get("connection", "") == "close":
            self.close()
        return Answer(status, message[1], body, is_complete)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


# ---- A case.


class World:
    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="papayashelf-review-"))
        self.runs, self.runners, self.gateways = [], [], []
        self.store = Store(self.record)

    async def add_runner(self, service, region, kind=Runner):
        runner = kind(service, region, self.store, self.record, self.runs)
        await runner.start()
        self.runners.append(runner)
        return runner

    async def add_gateway(self, name, region, regions):
        gateway = Gateway(name, region, regions, self.store.port, self.folder, self.record)
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    async def all_ready(self):
        return all(await asyncio.gather(*(gateway.wait_until_ready() for gateway in self.gateways)))

    async def end(self):
        for gateway in self.gateways:
            if gateway.is_running():
                gateway.process.kill()
                await gateway.process.wait()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(record_path, play, limit=110):
    """Runs play(world), which returns true if the rule held. Exits with 0, 1 or 2."""

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        world = World(record_path)
        try:
            await world.store.start()
            held = await asyncio.wait_for(play(world), limit)
            world.record.note("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (Exception, asyncio.CancelledError) as failure:
            world.record.note(f"the case could not run: {failure!r}")
            print(f"could not run: {failure!r}", file=sys.stderr)
            return 2
        finally:
            await world.end()

    if not BINARY.exists():
        print("target/papayashelf is missing", file=sys.stderr)
        sys.exit(2)
    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)
