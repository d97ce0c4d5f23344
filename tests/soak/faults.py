"""What is done to the system. A plan is drawn from the seed; faults come in series and overlap."""

import asyncio
import json
from dataclasses import dataclass

from deployment import KINDS, SERVICES, Kind
from proxy import Mode
from store import Trouble
from upstream import Fault

MEAN_GAP_S = 0.9
SERIES_GAP_S = 4.0
REWRITE_S = 1.8  # The operator and the upstreams write again within that time after a restore.


@dataclass(frozen=True)
class PlannedFault:
    at: float
    name: str
    seed: int


def draw_plan(random, begin, end, names=None, mean_gap=MEAN_GAP_S):
    plan, at = [], begin
    choices = names or list(FAULTS)
    while True:
        at += random.expovariate(1 / mean_gap)
        if at >= end:
            return plan
        plan.append(PlannedFault(round(at, 3), random.choice(choices), random.getrandbits(32)))


# ---- Processes.


async def stop_vm(world, random):
    await random.choice(world.vms).stop()


async def kill_vm(world, random):
    await random.choice(world.vms).kill(random.choice((0, 0, 6)))


async def freeze_vm(world, random):
    await random.choice(world.vms).freeze(random.uniform(0.3, 5))


async def reload_vm(world, random):
    vm = random.choice(world.vms)
    for _ in range(random.randint(1, 3)):
        await vm.reload()
        await asyncio.sleep(random.uniform(0, 0.3))


async def roll_vms(world, random):
    for vm in random.sample(world.vms, min(3, len(world.vms))):
        asyncio.get_running_loop().create_task(vm.stop())
        await asyncio.sleep(random.uniform(0.2, 2))


async def kill_region(world, random):
    region = random.choice(world.vms).region
    await asyncio.gather(*(vm.kill(random.uniform(0, 2)) for vm in world.vms if vm.region == region))


async def kill_all(world, random):
    if random.random() < 0.5:
        await change_routes(world, random)
    await asyncio.gather(*(vm.kill() for vm in world.vms))


# ---- The store.


async def trouble_store(world, random):
    trouble = random.choice([each for each in Trouble if each is not Trouble.NONE])
    span = world.ledger.begin("store", trouble.value)
    world.store.leases_pause = random.random() < 0.5
    world.store.trouble = trouble
    await asyncio.sleep(random.uniform(0.5, 7))
    world.store.trouble = Trouble.NONE
    span.end = world.ledger.now()


async def slow_store(world, random):
    span = world.ledger.begin("store", "slow")
    world.store.delay = random.uniform(0.1, 1.5)
    await asyncio.sleep(random.uniform(1, 5))
    world.store.delay = 0
    span.end = world.ledger.now()


async def drop_history(world, random):
    for _ in range(random.randint(1, 4)):
        world.store.drop_history()
        await asyncio.sleep(random.uniform(0, 0.5))


async def restore_store(world, random):
    """The store is away and comes back as an older copy, after changes that the copy lacks; then VMs start on it."""
    if world.ledger.now() < world.next_restore_at:
        return
    world.next_restore_at = float("inf")
    changes = random.sample((withdraw_key, change_routes, replace_upstream), 2)
    others = [asyncio.create_task(change(world, random)) for change in changes]
    await asyncio.sleep(random.uniform(0.2, 5))
    span = world.ledger.begin("store", "restored")
    world.store.trouble = Trouble.OUT
    await asyncio.sleep(random.uniform(0.2, 2))
    if random.random() < 0.6:
        others.append(asyncio.create_task(random.choice((kill_vm, kill_region, roll_vms))(world, random)))
    world.note_restore(world.store.restore(random.uniform(3, 10)))
    world.store.trouble = Trouble.NONE
    keys = world.store.outside_keys()
    await asyncio.gather(*(rewrite(world, key, random.uniform(0.1, REWRITE_S)) for key in keys))
    span.end = world.ledger.now()
    world.next_restore_at = span.end + random.uniform(4, 12)
    await asyncio.sleep(random.uniform(0, 4))
    await change_routes(world, random)
    await asyncio.gather(*others)


async def rewrite(world, key, after):
    await asyncio.sleep(after)
    await world.wait_for_store()
    world.store.rewrite(key)


async def cut_from_store(world, random):
    vm = random.choice(world.vms)
    span = world.ledger.begin(vm.name, "cut_from_store")
    vm.store.set(random.choice((Mode.REFUSE, Mode.SILENT, Mode.NO_ANSWERS, Mode.DELAY)), random.uniform(0.2, 2))
    await asyncio.sleep(random.uniform(1, 9))
    vm.store.set(Mode.PASS)
    span.end = world.ledger.now()


async def silence_store_connections(world, random):
    for vm in world.vms:
        if random.random() < 0.5:
            world.ledger.note(vm.name, "silenced")
            vm.store.silence_open()


async def forge_entries(world, random):
    forged = (b"\xff\xfe", b"{}", b"[]", json.dumps({"service": "desk", "address": "nowhere", "state": "ready"}).encode())
    key = f"servers/forged-{random.randint(1, 9)}"
    world.store.put(key, random.choice(forged))
    await asyncio.sleep(random.uniform(0.5, 4))
    world.store.remove(key)


def odd_values(upstream):
    """Entries of an upstream that another writer spoils."""
    entry = json.loads(upstream.entry()) | {"address": "127.0.0.1:9"}
    numbers = (2**63, 2**64, 2**70, 1e30, -1e300, "7", None, [7])
    odd = [entry | {field: number} for field in ("slots", "seq", "born", "cold_left_ms", "remaining_ms") for number in numbers]
    odd += [entry | {"address": address} for address in ("127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999999999999",
                                                         "127.0.0.1:-1", "127.0.0.1:", "", 7, None)]
    odd += [entry | {"zone": zone} for zone in ("", "nowhere", 7)] + [entry | {"state": "odd"}, entry | {"service": "odd\r\n"}]
    texts = [json.dumps(each).encode() for each in odd]
    texts += [b"[" * 100000, b'{"a":' * 50000, b'{"service":' + b"[" * 40 + b"]" * 40 + b"}", json.dumps(entry).encode()[:-9],
              b'{"slots":1e400}', b"[1,2]", b"7", b"null", b'"ready"', b"", b"not JSON", b"\x00\xff", b'{"state":"\\ud800"}']
    return texts


async def leave_odd_entries(world, random):
    """Another writer leaves odd entries beside those of the upstreams: some for a moment, some for good."""
    values = odd_values(random.choice(world.upstreams))
    keys = [f"servers/{name}{world.next_odd()}" for name in random.choices(("a-odd-", "u-odd ", "zz-odd\r\n", "zzz-odd-\u00e9"),
                                                                         k=random.choice((1, 4, 60)))]
    for key in keys:
        world.store.put(key, random.choice(values))
    await asyncio.sleep(random.uniform(0.5, 6))
    for key in keys:
        if random.random() < 0.7:
            world.store.remove(key)


# ---- Upstreams and their links.


async def crash_upstream(world, random):
    upstream = random.choice(world.upstreams)
    if not upstream.is_up or upstream.is_leaving:
        return
    gone = asyncio.get_running_loop().create_task(upstream.crash())
    await asyncio.sleep(random.uniform(0.5, 5))
    await upstream.start(is_new=random.random() < 0.5)
    await gone


async def reborn_upstream(world, random):
    """An upstream crashes and is back at its address at once under another id, while its old entry still stands."""
    upstream = random.choice(world.upstreams)
    if not upstream.is_up or upstream.is_leaving:
        return
    gone = asyncio.get_running_loop().create_task(upstream.crash())
    await asyncio.sleep(random.uniform(0, 0.1))
    await upstream.start(is_new=True, is_cold=random.random() < 0.5)
    await gone


async def replace(upstream, world, random, is_listed):
    others = [each for each in world.upstreams if each is not upstream and each.service == upstream.service
              and each.region == upstream.region and each.is_up and not each.is_leaving]
    if not upstream.is_up or upstream.is_leaving or not others:
        return
    await upstream.leave(random.uniform(6, 12), is_listed)
    await asyncio.sleep(random.uniform(0.1, 2))
    upstream.proxy = None  # Another address: the old one must not be used any more.
    await upstream.start()


async def replace_upstream(world, random):
    await replace(random.choice(world.upstreams), world, random, is_listed=True)


async def state_leaving(world, random):
    """An upstream tells of its leaving in its answers only."""
    await replace(random.choice(world.upstreams), world, random, is_listed=False)


async def reject_for_a_time(world, random):
    struck = random.sample(world.upstreams, random.randint(1, 3))
    for upstream in struck:
        upstream.retry_after = random.choice((1, 1.5, 2, 3))
    await asyncio.sleep(random.uniform(2, 7))
    for upstream in struck:
        upstream.retry_after = 0.0


async def name_limits(world, random):
    """Some upstreams name the requests a second that they take from all VMs together."""
    struck = [upstream for upstream in random.sample(world.upstreams, random.randint(1, 4)) if not upstream.limit]
    for upstream in struck:
        upstream.limit = round(random.uniform(0.2, 1.5), 2)
    await asyncio.sleep(random.uniform(9, 14))
    for upstream in struck:
        upstream.limit = 0.0


async def break_upstreams(world, random):
    fault = random.choice([each for each in Fault if each is not Fault.NONE])
    struck = random.sample(world.upstreams, random.randint(1, 3))
    spans = [world.ledger.begin(upstream.id, fault.value) for upstream in struck]
    for upstream in struck:
        upstream.fault, upstream.fault_share = fault, random.uniform(0.2, 1)
    await asyncio.sleep(random.uniform(0.5, 4))
    for upstream in struck:
        upstream.fault_share = 0
    for span in spans:
        span.end = world.ledger.now()


async def silence_upstreams(world, random):
    """Sound upstreams say nothing for a moment and go on."""
    struck = random.sample(world.upstreams, random.randint(1, 3))
    spans = [world.ledger.begin(upstream.id, "silent") for upstream in struck]
    until = world.ledger.now() + random.uniform(0.8, 1.8)
    for upstream in struck:
        upstream.silent_until = until
    await asyncio.sleep(until - world.ledger.now())
    for span in spans:
        span.end = world.ledger.now()


async def fail_service(world, random):
    """Every upstream of a service fails every request: nothing but the retry budget bounds what they get."""
    service = random.choice(SERVICES)
    struck = [upstream for upstream in world.upstreams if upstream.service == service]
    fault = random.choice((Fault.FAILS, Fault.LOSES_ANSWER, Fault.REFUSES))
    spans = [world.ledger.begin(upstream.id, fault.value) for upstream in struck]
    for upstream in struck:
        upstream.fault, upstream.fault_share = fault, 1
    await asyncio.sleep(random.uniform(1, 5))
    for upstream in struck:
        upstream.fault_share = 0
    for span in spans:
        span.end = world.ledger.now()


async def harm_upstream_links(world, random):
    struck = random.sample(world.upstreams, random.randint(1, 3))
    mode = random.choice((Mode.REFUSE, Mode.SILENT, Mode.NO_ANSWERS, Mode.DELAY))
    spans = [world.ledger.begin(upstream.id, mode.value) for upstream in struck]
    for upstream in struck:
        upstream.proxy.set(mode, random.uniform(0.05, 0.8))
    proxies = [upstream.proxy for upstream in struck]
    await asyncio.sleep(random.uniform(0.3, 4))
    for proxy in proxies:
        proxy.set(Mode.PASS)
    for span in spans:
        span.end = world.ledger.now()


async def reset_connections(world, random):
    for upstream in world.upstreams:
        if random.random() < 0.5:
            world.ledger.note(upstream.id, "reset")
            if random.random() < 0.5:
                upstream.proxy.reset()
            else:
                upstream.proxy.silence_open()


# ---- The operator.


async def withdraw_key(world, random):
    await world.withdraw_key()


async def change_routes(world, random):
    for _ in range(random.choice((1, 1, 1, 5))):
        world.route_serial += 1
        path = f"/new-{world.route_serial}/"
        added = Kind(path, random.choice(SERVICES[1:]), "idempotent", True)
        routes = world.governance.routes
        removable = [kind for kind in routes if kind not in KINDS]
        removed = removable[0] if len(removable) > 2 else None
        if removed:
            routes.remove(removed)
        routes.insert(random.randint(0, 2), added)
        await world.publish(added, removed)
        await asyncio.sleep(random.uniform(0, 0.3))


async def evacuate(world, random):
    domain = random.choice(world.upstreams).domain
    await world.wait_for_store()
    if any(known == domain and end == float("inf") for known, _, end in world.ledger.evacuations):
        return
    world.store.put(f"op/evacuate/{domain}", b"{}")
    index = len(world.ledger.evacuations)
    world.ledger.evacuations.append((domain, world.ledger.now(), float("inf")))
    await asyncio.sleep(random.uniform(3, 9))
    await world.wait_for_store()
    begin = world.ledger.evacuations[index][1]
    world.ledger.evacuations[index] = (domain, begin, world.ledger.now())
    world.store.remove(f"op/evacuate/{domain}")


# Not among those that a plan draws from by default, so that the plans of seeds stay as they are.
SERIES = {each.__name__: each for each in (reborn_upstream,)}
FAULTS = {each.__name__: each for each in (
    stop_vm, kill_vm, freeze_vm, reload_vm, roll_vms, kill_region, kill_all, trouble_store, slow_store, drop_history,
    restore_store, cut_from_store, silence_store_connections, forge_entries, leave_odd_entries, crash_upstream,
    replace_upstream, break_upstreams, silence_upstreams, state_leaving, reject_for_a_time, name_limits, fail_service,
    harm_upstream_links, reset_connections, withdraw_key, change_routes, evacuate)}
