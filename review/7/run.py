"""Streams that end with their connection: two of eight runners stall and are reset, and a part of a stream passes for all of it."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import kit  # noqa: E402

ZONES = {"north-a": "north", "south-a": "south"}
RUNNERS = 8
LOST = 2  # A share of 0.25.
STREAMS = 48
EVENTS = 48
GAP_S = 0.05
SILENCE_S = 3.2  # From the stall to the reset.
DOWN_S = 1.3  # 4.5 s in all.
ROUNDS = 6


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n".encode()


async def stream(runner, request, reader, writer):
    """An answer without length and chunks. A runner that has stalled sends nothing more."""
    attempt, after = request.get("attempt-id"), int(request.get("last-event-id") or 0)
    head = [("Content-Type", "text/event-stream"), ("Connection", "close"), *runner.head(attempt)]
    for number in range(after + 1, EVENTS + 1):
        await asyncio.sleep(GAP_S)
        if runner.is_stalled:
            await asyncio.sleep(60)
        if number == after + 1:
            writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in head) + "\r\n").encode())
        writer.write(event(number))
        await writer.drain()
    return False


async def play(case):
    store = await kit.Store().open()
    routes = [kit.make_route("report", "/report/", "streaming", "hall", resumable=True, sticky=True, goal_ms=1200,
                             gap_target_ms=400, timeout_ms=12000, max_attempts=2)]
    services = [{"name": "hall", "health_path": "/health", "engine": {"slots": 64, "kv_capacity": 402263}}]
    store.put("op/config", kit.make_configuration(3, routes, services, [{"name": "farm", "api_keys": ["farm-key"]}]))
    runners = [await kit.Runner(case, store, "hall", "north-a", slots=64).open() for _ in range(RUNNERS)]
    for runner in runners:
        runner.answer_with, runner.is_stalled = stream, False
    front = kit.Gateway(case, "front-1", "north", "north-a", store.port, ZONES)
    await front.start()
    await front.wait_until_ready()
    broken, ends = [], []

    async def send():
        parts = f"5c1e07a2:512,{os.urandom(4).hex()}:4870,{os.urandom(4).hex()}:610"
        prompt = [("Model", "m"), ("Token-Usage", "5992,384"), ("Prompt-Prefix", parts)]
        attempt, data = kit.make_request("/report/1", "farm-key", deadline=12000, headers=prompt)
        case.note("sent", attempt=attempt)
        answer = await kit.exchange(front.address(), data, 14)
        ids = [int(line[4:]) for line in answer.body.decode().split("\n") if line.startswith("id: ")]
        case.note("answered", attempt=attempt, status=answer.status, events=len(ids), whole=answer.is_whole,
                  failure=answer.failure)
        ends.append("whole" if answer.is_whole and len(ids) == EVENTS else "visibly broken or refused")
        if answer.status == 200 and answer.is_whole and ids != list(range(1, EVENTS + 1)):
            ends[-1] = "part passed for the whole"
            broken.append(f"{attempt}: the stream ended as complete after {len(ids)} of {EVENTS} events")

    for number in range(ROUNDS):
        sending = []
        for _ in range(STREAMS):
            sending.append(asyncio.create_task(send()))
            await asyncio.sleep(0.03)
        if kit.TROUBLE:
            lost = [runners[(LOST * number + k) % RUNNERS] for k in range(LOST)]
            for runner in lost:
                runner.is_stalled = True
                case.note("runner_stalled", runner=runner.id)
            await asyncio.sleep(SILENCE_S)
            for runner in lost:
                runner.crash()
            await asyncio.sleep(DOWN_S)
            for runner in lost:
                runner.is_stalled = False
                await runner.open(runner.port)
        await asyncio.gather(*sending)
        await asyncio.sleep(2)
        if broken:
            break
    for end in sorted(set(ends)):
        case.note("streams", end=end.replace(" ", "_"), count=ends.count(end))
    return broken


kit.main(pathlib.Path(__file__).resolve().with_name("record.txt"), play)
