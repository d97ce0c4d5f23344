"""Stand-ins and helpers of the cases: a store, runners, a link that can be cut, gateway processes and clients.

Everything listens on loopback addresses and free ports. Python's standard library only.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = ROOT / "target" / "papayashelf"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "club.example"
HISTORY_S = 20  # As on all sheets.


class CannotRun(Exception):
    """The case cannot tell whether the rule holds."""


# ---- HTTP/1.1


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def get(self, name):
        return next((value for key, value in self.headers if key.lower() == name.lower()), "")


async def read_head(reader):
    """Returns the first line and the headers, or nothing at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = text.decode("latin-1")[:-4].split("\r\n")
    return first, [tuple(part.strip() for part in line.split(":", 1)) for line in lines]


async def read_chunk(reader):
    """Returns one chunk of a body; empty for the last one."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readuntil(b"\r\n")
    return data


async def read_request(reader):
    head = await read_head(reader)
    if not head:
        return None
    method, target, _ = head[0].split(" ")
    request = Request(method, target, head[1], b"")
    if request.get("transfer-encoding").lower() == "chunked":
        while chunk := await read_chunk(reader):
            request.body += chunk
    elif request.get("content-length"):
        request.body = await reader.readexactly(int(request.get("content-length")))
    return request


def reset(writer):
    """Closes a connection with a reset, as a crash or the loss of a machine does."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def format_answer(status, headers, body):
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.is_whole, self.failure = 0, [], b"", False, ""

    def get(self, name):
        return next((value for key, value in self.headers if key.lower() == name.lower()), "")


async def exchange(address, data, limit, on_body=None):
    """Sends the bytes over a new connection and reads one answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            await read_answer(reader, answer, on_body)
    except TimeoutError:
        answer.failure = "no end of the answer in time"
    except (ConnectionError, asyncio.IncompleteReadError, OSError) as failure:
        answer.failure = f"connection: {type(failure).__name__}"
    finally:
        if writer:
            writer.transport.abort()
    return answer


async def read_answer(reader, answer, on_body=None):
    head = await read_head(reader)
    if not head:
        answer.failure = "closed before the answer"
        return
    answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
    if answer.get("transfer-encoding").lower() == "chunked":
        while chunk := await read_chunk(reader):
            answer.body += chunk
            if on_body:
                on_body(answer)
    else:
        answer.body = await reader.readexactly(int(answer.get("content-length") or 0))
    answer.is_whole = True


# ---- The store


class Store:
    """Keys, leases, watches and a history. It can go away, and come back from an older copy."""

    def __init__(self):
        self.items, self.leases, self.history = {}, {}, []
        self.revision, self.start, self.era, self.next_lease = 7, 7, 1, 11
        self.is_away = False
        self.most_bytes = None  # Of the events that one reply to a watch brings; the rest follows with the next one.
        self.changed = asyncio.Event()
        self.connections = set()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.sweeper = asyncio.create_task(self._sweep())
        return self

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["create_rev"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "create_rev": created,
                "lease": lease}
        self.items[key] = item
        self._note(item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "removed": True})

    def copy(self):
        return dict(self.items), self.revision, list(self.history), dict(self.leases), self.next_lease

    def go_away(self):
        """Nobody reaches the store from now on; what waits there is cut."""
        self.is_away = True
        for writer in list(self.connections):
            writer.transport.abort()

    def come_back(self, copy=None):
        """With a copy, the store has lost all that came after it, and its era rises."""
        if copy:
            items, self.revision, history, leases, self.next_lease = copy
            self.items, self.history = dict(items), list(history)
            self.leases = {number: (ttl, time.monotonic() + ttl) for number, (ttl, _) in leases.items()}
            self.era += 1
        self.is_away = False
        self._wake()

    def _note(self, event):
        self.history.append((time.monotonic(), event))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _sweep(self):
        while True:
            await asyncio.sleep(0.05)
            if self.is_away:
                continue
            while self.history and self.history[0][0] < time.monotonic() - HISTORY_S:
                self.start = self.history.pop(0)[1]["revision"]
            for number in [n for n, (_, end) in self.leases.items() if end < time.monotonic()]:
                del self.leases[number]
                for key in [k for k, item in self.items.items() if item["lease"] == number]:
                    self.remove(key)

    async def _serve(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            while request := await read_request(reader):
                status, body = await self._perform(request)
                headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                writer.write(format_answer(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def _perform(self, request):
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        body = json.loads(request.body) if request.body else {}
        if parts.path == "/-/kv-range":
            return self._range(query.get("path_prefix", ""), query.get("after", ""))
        if parts.path == "/-/kv-watch":
            return await self._watch(query.get("path_prefix", ""), int(query["after"]), int(query["wait_ms"]) / 1000)
        if parts.path == "/-/kv-txn":
            return self._transact(body)
        if parts.path == "/-/kv-lease":
            number, ttl = self.next_lease, body["ttl_ms"] / 1000
            self.next_lease += 1
            self.leases[number] = ttl, time.monotonic() + ttl
            return 200, {"lease": number, "ttl_ms": body["ttl_ms"]}
        if parts.path.startswith("/-/kv-keep/"):
            number = int(parts.path.rsplit("/", 1)[1])
            if number not in self.leases:
                return 404, {}
            ttl = self.leases[number][0]
            self.leases[number] = ttl, time.monotonic() + ttl
            return 200, {"ttl_ms": int(ttl * 1000)}
        return 404, {}

    def _range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return 200, {"items": [self.items[key] for key in keys[:500]], "truncated": len(keys) > 500,
                     "store_revision": self.revision}

    async def _watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            if after < self.start or after > self.revision:
                return 410, {}
            events = [e for _, e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, self._shorten(events)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()

    def _shorten(self, events):
        size, revision = 0, self.revision
        for number, event in enumerate(events):
            size += len(event.get("value", "")) + 100
            if self.most_bytes and size > self.most_bytes and number > 0:
                events, revision = events[:number], events[number - 1]["revision"]
                break
        return {"events": events, "store_revision": revision}

    def _transact(self, body):
        for row in body["expect_rev"]:
            if (self.items[row["key"]]["revision"] if row["key"] in self.items else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in body["expect_rev"] if r["key"] in self.items]}
        if any(w.get("lease") and w["lease"] not in self.leases for w in body["set_keys"]):
            return 404, {}
        for write in body["set_keys"]:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}


# ---- Links


class Link:
    """A proxy. Cut, it neither passes bytes on nor accepts, and nobody is told; healed, what was held up is lost."""

    def __init__(self, target):
        self.target, self.is_cut, self.pairs = target, False, set()
        self.healed = asyncio.Event()
        self.healed.set()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def cut(self):
        self.is_cut = True
        self.healed.clear()

    def heal(self):
        """Connections from before the cut are dead: what was sent on them meanwhile is lost."""
        self.is_cut = False
        self.healed.set()
        for writer in list(self.pairs):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.is_cut:
            self.pairs.add(writer)  # Held open; nothing is read or answered.
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.pairs |= {writer, far_writer}
        await asyncio.gather(self._pass_on(reader, far_writer, writer), self._pass_on(far_reader, writer, far_writer))
        self.pairs -= {writer, far_writer}

    async def _pass_on(self, reader, writer, own):
        try:
            while data := await reader.read(65536):
                if not self.is_cut:
                    writer.write(data)
                    await writer.drain()
            await self.healed.wait()  # Nobody is told of an end during a cut.
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError):
            await self.healed.wait()
            writer.transport.abort()
            own.transport.abort()


# ---- Runners


class Runner:
    """Serves with seals, one request at a time on a connection, and registers in the store as the pages say."""

    def __init__(self, case, store, service, zone, slots=32, version="v1"):
        self.case, self.store, self.service, self.zone = case, store, service, zone
        self.slots, self.version = slots, version
        self.id = f"i-{service}-{os.urandom(3).hex()}"
        self.is_up, self.state, self.sequence, self.running = False, "ready", 0, 0
        self.extra = []
        self.writers = set()
        self.answer_with = None

    async def open(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.born = int(time.time() * 1000)
        self.is_up = True
        self.register()
        self.beat = asyncio.create_task(self._beat())
        return self

    def entry(self):
        return json.dumps({"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                           "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.sequence,
                           "born": self.born}).encode()

    def register(self):
        self.sequence += 1
        self.store.put("servers/" + self.id, self.entry())

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.sequence += 1

    def crash(self):
        """Ends at once: its connections are reset, and nothing listens at its address."""
        self.is_up = False
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.case.note("runner_crashed", runner=self.id)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                if not await self._handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, request, reader, writer):
        attempt = request.get("attempt-id")
        if request.target == "/health":
            writer.write(format_answer(200, [("Instance-Id", self.id)], b""))
            return True
        if request.get("expect-instance") not in ("", self.id):
            writer.write(format_answer(421, [("Attempt-Id", attempt), ("Not-Executed", "1")], b""))
            return True
        self.case.note("runs", attempt=attempt, runner=self.id, service=self.service,
                       resumed=request.get("last-event-id"), tenant=request.get("tenant"))
        self.running += 1
        try:
            if self.answer_with:
                return await self.answer_with(self, request, reader, writer)
            return await self.answer_plainly(request, writer)
        finally:
            self.running -= 1

    def head(self, attempt):
        return [("Attempt-Id", attempt), ("Response-Seal", f"seal-{attempt}"),
                ("Server-Load", f"{self.running},0,{self.slots}"), *self.extra]

    async def answer_plainly(self, request, writer):
        attempt = request.get("attempt-id")
        await asyncio.sleep(0.02)
        writer.write(format_answer(200, self.head(attempt), f"{attempt} done".encode()))
        await writer.drain()
        return True


# ---- Gateway processes


def hold_ports(count):
    """Keeps ports from everybody but servers that bind with SO_REUSEADDR, as the program does."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        each.bind(("127.0.0.1", 0))
    return sockets


class Gateway:
    NAMES = ("callers", "readiness", "entries", "relays", "metrics")

    def __init__(self, case, name, region, zone, store_port, zones, bounds=""):
        self.case, self.name = case, name
        self.held = hold_ports(len(self.NAMES))
        self.ports = {n: held.getsockname()[1] for n, held in zip(self.NAMES, self.held)}
        listen = "\n".join(f'{n} = "127.0.0.1:{port}"' for n, port in self.ports.items())
        domains = "\n".join(f'"{z}" = "{r}"' for z, r in zones.items())
        self.settings = case.folder / f"{name}.toml"
        self.settings.write_text(
            f'vm = "{name}"\nregion = "{region}"\nfailure_domain = "{zone}"\nstore = "127.0.0.1:{store_port}"\n\n'
            f"[region_of_domain]\n{domains}\n\n[listen]\n{listen}\n\n"
            "[bounds]\nkey_withdrawal_ms = 5000\nstop_grace_s = 8\nretry_ratio = 0.2\nextra_retries = 52\n"
            f"retry_window_s = 10\ntoken_slack = 140000\n{bounds}")
        self.log = case.folder / f"{name}.log"
        self.process = None

    async def start(self):
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(BINARY), "gateway", f"--settings={self.settings}", stdout=log, stderr=log, cwd=ROOT)
        self.case.processes.append(self.process)
        self.case.note("gateway_started", name=self.name, pid=self.process.pid)

    def send_signal(self, number):
        self.process.send_signal(number)
        self.case.note("signal", name=self.name, signal=signal.Signals(number).name)

    async def kill(self):
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    def address(self, name="callers"):
        return "127.0.0.1", self.ports[name]

    async def is_ready(self):
        answer = await exchange(self.address("readiness"), b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1)
        return answer.status == 200

    async def wait_until_ready(self, limit=15):
        end = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f"{self.name} does not get ready")
            await asyncio.sleep(0.05)


def make_request(path, key="", method="POST", body=b"hello", deadline=5000, attempt=None, headers=()):
    attempt = attempt or os.urandom(8).hex()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}", f"Deadline-Ms: {deadline}",
             f"Content-Length: {len(body)}", *(f"{name}: {value}" for name, value in headers)]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    return attempt, ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def make_configuration(version, routes, services, tenants):
    return json.dumps({"version": version, "routes": routes, "services": services, "tenants": tenants,
                       "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 10000,
                                  "idle_timeout_ms": 30000}}).encode()


def make_route(name, prefix, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 5000,
            "goal_ms": 500, "max_attempts": 1, "priority": 2, **more}


# ---- A case


class Case:
    """Runs one script: its folder, its record, its processes and its exit code."""

    def __init__(self, record):
        self.begun = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="papayashelf-case-"))
        self.record = record.open("w")
        self.processes = []
        self.notes = []

    def now(self):
        return time.monotonic() - self.begun

    def note(self, event, **fields):
        at = self.now()
        self.notes.append((at, event, fields))
        self.record.write(f"{at:8.3f} {event} " + " ".join(f"{k}={v}" for k, v in fields.items() if v != "") + "\n")
        self.record.flush()
        return at

    def find(self, event, **fields):
        return [(at, found) for at, name, found in self.notes
                if name == event and all(found.get(k) == v for k, v in fields.items())]

    async def end_processes(self):
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()

    def end(self):
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(record, play, limit=110):
    """Plays a case and writes its record: play(case) returns the list of what broke the rule."""
    case = Case(record)

    async def run():
        loop = asyncio.get_running_loop()
        current = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, current.cancel)
        try:
            async with asyncio.timeout(limit):
                return await play(case)
        finally:
            await case.end_processes()
            others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

    code = 2
    try:
        if not BINARY.exists():
            raise CannotRun("target/papayashelf is not built")
        broken = asyncio.run(run())
        for line in broken:
            case.note("BROKEN", what=line)
            print("BROKEN", line)
        code = 1 if broken else 0
        print(f"{'the rule was broken' if broken else 'the rule held'} ({'with' if TROUBLE else 'without'} trouble)")
    except (CannotRun, TimeoutError, asyncio.CancelledError) as failure:
        case.note("COULD_NOT_RUN", why=str(failure) or type(failure).__name__)
        print("could not run:", failure or type(failure).__name__)
    except Exception:  # A fault of the script says nothing of the rule.
        traceback.print_exc()
    finally:
        case.end()
    sys.exit(code)
