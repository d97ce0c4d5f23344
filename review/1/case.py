import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
from standins import Client, Runner, configuration, format_message, has_trouble, main, request_bytes, route

FOLDER = pathlib.Path(__file__).resolve().parent
REGIONS = ("north", "south", "west")
EVENTS, GAP_S, DOWN_S = 12, 0.04, 3.0
CONTACT_S, SECONDS = 6.0, 30.0
POISON = "bad0"  # The part that crashes runners.
# What is written before the crash: the first event whole, or for comparison (BEGINNING=partial) eight bytes of it.
BEGINNING = None if os.environ.get("BEGINNING", "event") == "event" else 8


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n".encode()


class Engine(Runner):
    crashes = []

    async def answer(self, request, writer, attempt):
        born = self.born
        await asyncio.sleep(0.03)
        headers = [("Attempt-Id", attempt), ("Response-Seal", "s-" + attempt), ("Server-Load", "1,0,64"),
                   ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        head = format_message("HTTP/1.1 200 OK", headers)
        first = int(request.headers.get("last-event-id", "0")) + 1
        if POISON in request.headers.get("prompt-prefix", ""):
            writer.write(head + self.chunk(event(first)[:BEGINNING]))
            await writer.drain()
            await asyncio.sleep(0.005)
            self.crash(attempt)
            return False
        writer.write(head)
        for number in range(first, EVENTS + 1):
            writer.write(self.chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(GAP_S)
            if self.born != born or writer.transport.is_closing():
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    @staticmethod
    def chunk(data):
        return f"{len(data):x}\r\n".encode() + data + b"\r\n"

    def crash(self, attempt):
        if not self.born:
            return
        self.crashes.append((self.record.now(), self.id, attempt))
        self.record.note(f"{self.id} crashes on {attempt}")
        port = self.port
        self.close()
        self.born = 0
        asyncio.get_running_loop().create_task(self.come_back(port))

    async def come_back(self, port):
        await asyncio.sleep(DOWN_S)
        self.beat.cancel()
        self.sequence = 0
        await self.start(port)
        self.record.note(f"{self.id} is back")


async def ask(world, kind, number, results):
    attempt = f"{kind}-{number}"
    first = random.choice(("a1", "a2"))
    middle = f"{POISON}:200," if kind == "bad" else ""
    more = [("Model", "m"), ("Token-Usage", "900,60"),
            ("Prompt-Prefix", f"{first}:400,{middle}{random.getrandbits(32):08x}:300")]
    client = Client(random.choice(world.gateways).ports["callers"])
    sent = world.record.now()
    status, is_whole = 0, False
    try:
        await client.connect()
        answer = await client.send(request_bytes("POST", "/ask/1", attempt, "key-1", b"q" * 50, 12000, more), 12)
        whole = b"".join(event(each) for each in range(1, EVENTS + 1))
        status, is_whole = answer.status, answer.is_complete and answer.status == 200 and answer.body == whole
    except (OSError, asyncio.TimeoutError):
        pass
    finally:
        client.close()
    world.record.note(f"{attempt} sent at {sent:.3f}: {status}{' whole' if is_whole else ''}")
    results[attempt] = (sent, is_whole)


async def keep_asking(world, kind, gap, begin, end, results):
    tasks = []
    await asyncio.sleep(max(0.0, begin - world.record.now()))
    while world.record.now() < end:
        tasks.append(asyncio.create_task(ask(world, kind, len(tasks), results)))
        await asyncio.sleep(gap)
    await asyncio.gather(*tasks)


async def play(world):
    random.seed(1)
    routes = [route("/ask/", "assistant", "streaming", resumable=True, sticky=True, gap_target_ms=400, timeout_ms=12000)]
    world.store.put("op/config", configuration(4, routes, [{"name": "farm", "api_keys": ["key-1"]}]))
    for region in REGIONS:
        for _ in range(2):
            await world.add_runner("assistant", region, Engine)
    for region in REGIONS:
        for number in (1, 2):
            await world.add_gateway(f"{region}-{number}", region, REGIONS)
    if not await world.all_ready():
        raise RuntimeError("not every gateway was ready")
    await asyncio.sleep(CONTACT_S + 1)
    results = {}
    begin = world.record.now() + 3
    end = begin + SECONDS
    crowds = [keep_asking(world, "good", 0.05, begin - 3, end, results)]
    if has_trouble():
        crowds.append(keep_asking(world, "bad", 0.7, begin, end, results))
    await asyncio.gather(*crowds)
    crashes = Engine.crashes
    since = crashes[4][0] + CONTACT_S if len(crashes) >= 5 else float("inf")
    late = [attempt for at, _, request in world.runs for attempt in [request.headers["attempt-id"]]
            if attempt.startswith("bad") and results[attempt][0] > since]
    good = [is_whole for attempt, (sent, is_whole) in results.items() if attempt.startswith("good")]
    print(f"{len(crashes)} crashes; {len(set(late))} requests with the part reached runners {len(late)} times, sent later "
          f"than {CONTACT_S:g} s after the fifth (3 allowed); {sum(good)} of {len(good)} sound streams came whole")
    if not has_trouble() and sum(good) < len(good):
        raise RuntimeError("sound streams failed without the disruption")
    return len(set(late)) <= 3


main(FOLDER / "record.txt", play)
