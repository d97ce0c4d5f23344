"""A machine that was cut off from the store serves a withdrawn key: it takes a part of what it missed for all of it."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import kit  # noqa: E402

ZONES = {"north-a": "north", "south-a": "south"}
ADDED_ROUTES = 491
CUT_S = 7.3  # The longest core_cut of the site file.
STORM_GAP_S = 0.33
REVOKE_AT_S = 2.7
REVOKE_S = 5.0  # strict_revoke, revoke_ms 5,000


def configuration(version, farm_keys):
    routes = [kit.make_route("fee", "/fee/", "non_idempotent", "desk")]
    routes += [kit.make_route(f"added-{n}", f"/added-{n}-{version % 2}/", "idempotent", "desk", timeout_ms=5000 + version)
               for n in range(ADDED_ROUTES)]
    return kit.make_configuration(version, routes, [{"name": "desk", "health_path": "/health"}],
                                  [{"name": "farm", "api_keys": farm_keys}, {"name": "club", "api_keys": ["club-key"]}])


async def play(case):
    store = await kit.Store().open()
    store.most_bytes = 1_000_000  # As the pages bound a read, and as the users' bench was seen to answer a watch.
    for zone in ZONES:
        await kit.Runner(case, store, "desk", zone).open()
    version, keys = 3, ["farm-key", "lost-key"]
    store.put("op/config", configuration(version, keys))
    link = await kit.Link(("127.0.0.1", store.port)).open()
    fronts = [kit.Gateway(case, "front-1", "north", "north-a", link.port, ZONES),
              kit.Gateway(case, "front-2", "north", "north-a", store.port, ZONES),
              kit.Gateway(case, "front-3", "south", "south-a", store.port, ZONES)]
    for front in fronts:
        await front.start()
    for front in fronts:
        await front.wait_until_ready()
    await asyncio.sleep(3)
    case.note("configuration_bytes", size=len(configuration(version, keys)))

    cut_at, revoked_at = case.now(), None
    if kit.TROUBLE:
        link.cut()
        case.note("cut_began", machine="front-1")
    # Planned work: configurations in quick succession, one of which takes a key away.
    while case.now() < cut_at + CUT_S - STORM_GAP_S:
        version += 1
        is_revoking = not revoked_at and case.now() > cut_at + REVOKE_AT_S
        if is_revoking:
            keys = ["farm-key"]
        store.put("op/config", configuration(version, keys))
        if is_revoking:
            revoked_at = case.note("key_taken_away_acknowledged", version=version, key="lost-key")
        await asyncio.sleep(STORM_GAP_S)
    await asyncio.sleep(cut_at + CUT_S - case.now())
    if kit.TROUBLE:
        link.heal()
        case.note("cut_ended", machine="front-1")
    healed_at, broken = case.now(), []
    while case.now() < healed_at + 10:
        for front in fronts:
            attempt, data = kit.make_request("/fee/1", "lost-key")
            sent_at = case.now()
            answer = await kit.exchange(front.address(), data, 5)
            has_run = bool(case.find("runs", attempt=attempt))
            case.note("answered", attempt=attempt, front=front.name, status=answer.status, run=has_run,
                      error="" if has_run else answer.body.decode(), ready=await front.is_ready())
            if has_run and sent_at > revoked_at + REVOKE_S:
                broken.append(f"request {attempt}, sent to {front.name} {sent_at - revoked_at:.2f} s after the acknowledgement of the "
                              "configuration that took its key away, ran")
        await asyncio.sleep(0.1)
    return broken


kit.main(pathlib.Path(__file__).resolve().with_name("record.txt"), play)
