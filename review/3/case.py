import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
from standins import HOST, Client, configuration, format_message, has_trouble, main, request_bytes, route

FOLDER = pathlib.Path(__file__).resolve().parent
# None ends in "chunked", so the length of such a body is not known, and the request has to be refused.
CODINGS = ("identity", "gzip", "chunked, identity", "xchunked", "chunked, chunked")


async def play(world):
    routes = [route("/pay/", "desk", "non_idempotent"), route("/look/", "desk", "idempotent")]
    world.store.put("op/config", configuration(4, routes, [{"name": "farm", "api_keys": ["key-1"]}]))
    await world.add_runner("desk", "north")
    await world.add_gateway("north-1", "north", ["north"])
    if not await world.all_ready():
        raise RuntimeError("the gateway was not ready")
    await asyncio.sleep(7)
    sent, foreign, answered = set(), [], 0
    for number, coding in enumerate(CODINGS):
        client = Client(world.gateways[0].ports["callers"])
        inner = request_bytes("POST", "/pay/inner", f"inner-{number}", "key-1", b"x")
        framing = ("Transfer-Encoding", coding) if has_trouble() else ("Content-Length", len(inner))
        headers = [("Host", HOST), ("Attempt-Id", f"outer-{number}"), ("Deadline-Ms", 5000),
                   ("Authorization", "Bearer key-1"), framing]
        for attempt, data in ((f"outer-{number}", format_message("POST /pay/outer HTTP/1.1", headers, inner)),
                              (f"next-{number}", request_bytes("GET", "/look/1", f"next-{number}", "key-1"))):
            sent.add(attempt)
            world.record.note(f"sent {attempt}, {framing[0]}: {framing[1]}")
            answer = await client.send(data, 4)
            named = answer.headers.get("attempt-id", attempt)
            world.record.note(f"answer to {attempt}: {answer.status}, Attempt-Id {named}")
            answered += answer.status == 200 and named == attempt
            if named != attempt:
                foreign.append((attempt, named))
        client.close()
    unasked = [request.headers["attempt-id"] for _, _, request in world.runs
               if request.headers["attempt-id"] not in sent]
    for attempt in unasked:
        world.record.note(f"ran, though no client sent it: {attempt}")
    print(f"{len(unasked)} requests ran that no client sent; {len(foreign)} answers were those of another request; "
          f"{answered} answered")
    return not unasked and not foreign


main(FOLDER / "record.txt", play)
