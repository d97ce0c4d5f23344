"""The promises, checked from what callers and upstreams saw. A violation names the promise and the request."""

from collections import defaultdict

from callers import NOT_RUN
from deployment import COLD_PER_SECOND, KINDS, LIMITED


def check_all(world):
    ledger, bounds = world.ledger, world.bounds
    runs_of = defaultdict(list)
    for run in ledger.runs:
        runs_of[run.attempt].append(run)
    check_runs(ledger, runs_of)
    check_refusals(ledger, runs_of)
    check_withdrawn_keys(ledger, bounds)
    check_leaving(ledger, bounds, world)
    check_evacuation(ledger, bounds, world)
    check_cold(ledger, bounds)
    check_limit(ledger, bounds, world, runs_of)
    check_retries(ledger, bounds)
    check_routes(ledger, bounds)
    check_stops(ledger, bounds, runs_of)
    check_stated(ledger, bounds)
    check_rejecting(ledger, bounds)
    check_stated_limits(ledger, bounds)
    check_silence(ledger, bounds, world, runs_of)
    check_looks(ledger, bounds, world)
    check_left(ledger, bounds, world)
    check_used(ledger, bounds, world)
    check_recovery(ledger, bounds, world)


def check_runs(ledger, runs_of):
    for attempt, runs in runs_of.items():
        sent = ledger.sent.get(attempt)
        if not sent:
            continue  # Reported on arrival.
        most = sent.kind.attempts if sent.kind.may_run_again else 1
        if len(runs) > most:
            ledger.violate("twice", f"{attempt}: ran {len(runs)} times, {sent.kind.path} allows {most}")
        for run in runs:
            if sent.kind.homes and run.region not in sent.kind.homes:
                ledger.violate("homes", f"{attempt}: ran in {run.region}")


def check_refusals(ledger, runs_of):
    for outcome in ledger.outcomes:
        attempt = outcome.sent.attempt
        if outcome.answer.status in NOT_RUN and runs_of.get(attempt):
            ledger.violate("refused", f"{attempt}: answered {outcome.answer.status} and ran at {runs_of[attempt][0].upstream}")


def check_withdrawn_keys(ledger, bounds):
    for run in ledger.runs:
        sent = ledger.sent.get(run.attempt)
        since = ledger.withdrawn.get(sent.key) if sent else None
        if since and sent.at > since + bounds.key_withdrawal:
            ledger.violate("withdrawn", f"{run.attempt}: sent {sent.at - since:.2f} s after its key was withdrawn")


def is_held_up(ledger, bounds, world, run, sent):
    """True if the run may be late: something was done to the store, the link or a VM that may have sent it."""
    vms = {vm.name for vm in world.vms if vm.region == run.region} | {sent.vm, "store", run.upstream}
    return not ledger.is_calm(vms, run.at - bounds.contact, run.at)


def had_heard(ledger, bounds, world, run, sent, since):
    """True if the VMs that may have sent the run have heard of the leaving in time, and nothing was done to them since."""
    vms = {vm.name for vm in world.vms if vm.region == run.region} | {sent.vm, run.upstream}
    is_undisturbed = ledger.is_calm(vms, since - bounds.contact, run.at)
    return is_undisturbed and ledger.is_calm({"store"}, since - bounds.contact, since + bounds.leaving)


def check_leaving(ledger, bounds, world):
    """What happens to the store later excuses no VM that has heard that an upstream leaves."""
    for run in ledger.runs:
        since = ledger.leaving.get(run.upstream)
        sent = ledger.sent.get(run.attempt)
        if not sent or not since or run.at <= since + bounds.leaving:
            continue
        if had_heard(ledger, bounds, world, run, sent, since) or not is_held_up(ledger, bounds, world, run, sent):
            ledger.violate("leaving", f"{run.attempt}: reached {run.upstream} {run.at - since:.2f} s after it said that it leaves")


def check_evacuation(ledger, bounds, world):
    for run in ledger.runs:
        sent = ledger.sent.get(run.attempt)
        for domain, begin, end in ledger.evacuations:
            is_late = domain == run.region + "-a" and begin + bounds.evacuation < run.at < end
            if sent and is_late and not is_held_up(ledger, bounds, world, run, sent):
                ledger.violate("evacuated", f"{run.attempt}: reached {domain} {run.at - begin:.2f} s after it was evacuated")


def check_cold(ledger, bounds):
    most = COLD_PER_SECOND * bounds.cold_overshoot + bounds.cold_slack
    times = defaultdict(list)
    for run in ledger.runs:
        sent = ledger.sent.get(run.attempt)
        if sent and any(begin <= run.at < end for begin, end in ledger.cold[run.upstream]):
            times[run.upstream].append((run.at, sent.at))
    for upstream, runs in times.items():
        runs.sort()
        for begin, _ in runs:
            count = sum(1 for at, sent_at in runs if begin <= at < begin + 1 and sent_at >= begin - 0.001)
            if count > most:
                ledger.violate("cold", f"{upstream}: {count} requests in a second while cold, {most} allowed")
                break


def check_limit(ledger, bounds, world, runs_of):
    governance = world.governance
    most = (governance.rate * bounds.limit_window + governance.burst) * (1 + bounds.limit_overshoot) + bounds.token_slack
    used = []
    for attempt, runs in runs_of.items():
        sent = ledger.sent.get(attempt)
        if sent and sent.workspace == LIMITED:
            used.append((sent.at, runs[0].at, sum(sent.kind.tokens) or 50))
    for begin, _, _ in used:
        tokens = sum(count for at, run_at, count in used if at >= begin and run_at <= begin + bounds.limit_window)
        if tokens > most:
            ledger.violate("limit", f"{tokens} tokens in {bounds.limit_window} s, {most:.0f} allowed")
            return
    world.figures["limited_tokens"] = sum(count for _, _, count in used)


def check_retries(ledger, bounds):
    requests = defaultdict(list)
    for sent in ledger.sent.values():
        requests[sent.kind.service].append(sent.at)
    beyond, seen = defaultdict(list), set()
    for at, service, attempt in ledger.arrivals:
        if attempt in seen:
            beyond[service].append(at)
        seen.add(attempt)
    for service, times in beyond.items():
        for begin in times:
            end = begin + bounds.retry_window
            count = sum(1 for at in times if begin <= at < end)
            windows = (begin, begin - bounds.retry_window / 2, begin - bounds.retry_window)
            asked = max(sum(1 for at in requests[service] if w <= at < w + bounds.retry_window) for w in windows)
            if count > asked * bounds.retry_ratio + bounds.extra_retries:
                ledger.violate("retries", f"{service}: {count} arrivals beyond the first for {asked} requests")
                break


def check_routes(ledger, bounds):
    served, gone = {}, {}
    for outcome in sorted(ledger.outcomes, key=lambda each: each.sent.at):
        sent, status = outcome.sent, outcome.answer.status
        path = sent.kind.path
        added, removed = ledger.routes_added.get(path), ledger.routes_removed.get(path)
        if removed is not None and sent.at > removed and status == 404:
            gone.setdefault((sent.vm, sent.incarnation, path), outcome.answer.ended_at)
        if added is None or removed is not None and sent.at > removed - 0.001:
            continue
        place = (sent.vm, sent.incarnation, path)
        if status == 200:
            served.setdefault(place, outcome.answer.ended_at)
        is_calm = ledger.is_calm({sent.vm, "store"}, sent.at - bounds.contact, sent.at + 0.1)
        if status == 404 and not removed and sent.at > added + bounds.configuration and is_calm:
            ledger.violate("configuration", f"{sent.attempt}: {path} unknown {sent.at - added:.2f} s after it was in force")
        if status == 404 and not removed and place in served and sent.at > served[place] + bounds.rollback:
            ledger.violate("configuration", f"{sent.attempt}: {sent.vm} went back to before {path}")
    for run in ledger.runs:
        sent = ledger.sent.get(run.attempt)
        removed = ledger.routes_removed.get(sent.kind.path) if sent else None
        gone_at = gone.get((sent.vm, sent.incarnation, sent.kind.path)) if sent else None
        if gone_at and sent.at > gone_at + bounds.rollback:
            ledger.violate("configuration", f"{run.attempt}: {sent.vm} went back to before the removal of {sent.kind.path}")
        if removed and sent.at > removed + bounds.configuration:
            if ledger.is_calm({sent.vm, "store"}, sent.at - bounds.contact, sent.at + 0.1):
                ledger.violate("configuration", f"{run.attempt}: ran on {sent.kind.path} after its removal")


def check_stops(ledger, bounds, runs_of):
    """Around a planned stop of its VM alone, no request that was read goes without a whole answer."""
    for outcome in ledger.outcomes:
        sent, answer = outcome.sent, outcome.answer
        stop = next((at for vm, incarnation, at in ledger.stops
                     if vm == sent.vm and incarnation == sent.incarnation and answer.ended_at >= at >= sent.at - bounds.stop_grace), None)
        if stop is None or outcome.left_at or answer.is_complete or not answer.sent_whole_at:
            continue
        others = {sent.vm, *(run.upstream for run in runs_of.get(sent.attempt, ()))}
        if not ledger.is_calm(others, sent.at - bounds.contact, answer.ended_at, except_for=("stop", "reload", "end")):
            continue
        last_run = max(runs_of.get(sent.attempt, ()), key=lambda run: run.at, default=None)
        if last_run and any(upstream == last_run.upstream and last_run.at <= at <= answer.ended_at
                            for upstream, at in ledger.crashes):
            continue  # The upstream broke the answer off.
        was_held = answer.ended_at > answer.sent_whole_at + bounds.stop_slack
        is_long = answer.ended_at > stop + bounds.stop_grace * 5 / 6 and sent.at < stop + 3
        if (runs_of.get(sent.attempt) or was_held) and not is_long:
            ledger.violate("stops", f"{sent.attempt}: cut by the stop of {sent.vm}: {answer.failure}")


CUTS = ("cut_from_store", "silenced")
RESTARTS = ("start", "end", "kill", "freeze")


def was_struck(ledger, vm, since, until, kinds):
    return any(span.subject == vm and span.what in kinds and span.begin <= until and span.end >= since for span in ledger.spans)


def passed_on(ledger, what):
    """When each VM first passed an answer on in which a start of an upstream stated that, by VM, start and value."""
    ended = {each.sent.attempt: each.answer.ended_at for each in ledger.outcomes
             if each.answer.status == 200 and each.answer.is_complete}
    first = {}
    for statement in ledger.statements:
        offer = statement.offer
        if statement.what == what and offer.attempt in ended and offer.sender:
            place = (offer.sender, offer.start, statement.value)
            first[place] = min(first.get(place, float("inf")), ended[offer.attempt])
    return first


def check_stated(ledger, bounds):
    """In touch or not, a VM that passed on that an upstream leaves sends it nothing more."""
    first = passed_on(ledger, "leaving")
    for offer in ledger.offers:
        since = first.get((offer.sender, offer.start, 1.0))
        sent = ledger.sent.get(offer.attempt)
        if since is None or not sent or sent.at <= since + bounds.leaving:
            continue
        if not was_struck(ledger, offer.sender, since, offer.at, RESTARTS):
            ledger.violate("stated_leaving", f"{offer.attempt}: reached {offer.upstream} from {offer.sender} "
                           f"{sent.at - since:.2f} s after it had passed on that it leaves")


def check_rejecting(ledger, bounds):
    """A VM leaves an upstream alone for as long as that has asked for."""
    offers = defaultdict(list)
    for offer in ledger.offers:
        if offer.attempt in ledger.sent:
            offers[offer.sender, offer.start].append(offer.at)
    for statement in ledger.statements:
        offer, end = statement.offer, statement.at + statement.value
        if statement.what != "rejects" or not offer.sender:
            continue
        if was_struck(ledger, offer.sender, statement.at, end, (*RESTARTS, *CUTS)):
            continue
        count = sum(1 for at in offers[offer.sender, offer.start] if statement.at + bounds.heard < at < end)
        if count > bounds.most_rejected:
            ledger.violate("rejecting", f"{offer.upstream} got {count} requests of {offer.sender} within the {statement.value} s "
                           f"from {statement.at:.3f} on, {bounds.most_rejected} allowed")


def check_stated_limits(ledger, bounds):
    """An upstream that names a limit gets no more than that of all VMs that know it."""
    first_named, last_named = {}, {}
    for statement in ledger.statements:
        if statement.what == "limit":
            place = (statement.offer.start, statement.value)
            first_named.setdefault(place, statement.at)
            last_named[place] = statement.at
    known = passed_on(ledger, "limit")
    for (start, limit), begin in first_named.items():
        times = [offer.at for offer in ledger.offers
                 if offer.start == start and begin + bounds.contact <= offer.at <= last_named[start, limit]
                 and known.get((offer.sender, start, limit), float("inf")) + bounds.heard <= offer.at
                 and not was_struck(ledger, offer.sender, offer.at - bounds.contact, offer.at, (*RESTARTS, *CUTS))]
        most = limit * bounds.stated_window * bounds.stated_overshoot + bounds.stated_slack
        for at in times:
            count = sum(1 for other in times if at <= other < at + bounds.stated_window)
            if count > most:
                ledger.violate("limited", f"{start}: {count} requests in {bounds.stated_window} s, {most:.1f} allowed by {limit}")
                break


def check_silence(ledger, bounds, world, runs_of):
    """An upstream that is silent for a moment, and to which nothing else was done, costs no answer."""
    struck = 0
    for outcome in ledger.outcomes:
        sent, answer = outcome.sent, outcome.answer
        used = {run.upstream: run.region for run in runs_of.get(sent.attempt, ())}
        if outcome.left_at or ledger.is_calm(used, sent.at, answer.ended_at):
            continue
        vms = {vm.name for vm in world.vms if vm.region in used.values()} | {sent.vm}
        if not ledger.is_calm({*used, *vms}, sent.at - bounds.contact, answer.ended_at, except_for=("silent", "reload")):
            continue
        if any(upstream in used and sent.at <= at <= answer.ended_at for upstream, at in ledger.upstream_ends):
            continue
        struck += 1
        is_broken = not answer.is_complete or answer.status in (502, 504)
        if is_broken and answer.ended_at < sent.at + sent.kind.timeout:
            ledger.violate("unbroken", f"{sent.attempt}: {answer.status} {answer.failure} beside a silence of {sorted(used)}")
    world.figures["beside_silence"] = struck


def check_looks(ledger, bounds, world):
    """A VM to which nothing was done is ready and lists its like, also while the store is restored."""
    callers = {vm.name: vm.ports["callers"] for vm in world.vms}
    calm_looks = 0
    for look in ledger.looks:
        since = look.at - bounds.contact
        if look.at < world.begun_at + bounds.contact or not ledger.is_calm({look.vm}, since, look.ended_at):
            continue
        if not ledger.is_calm({"store"}, since, look.ended_at, except_for=("restored",)):
            continue
        calm_looks += 1
        if not look.is_ready:
            ledger.violate("ready", f"{look.vm} at {look.at:.3f}")
        if look.listed is None:
            ledger.violate("listed", f"{look.vm} at {look.at:.3f}: no list")
            continue
        for vm in world.vms:
            is_like = vm.region == look.region and ledger.is_calm({vm.name}, since, look.ended_at)
            if is_like and callers[vm.name] not in look.listed:
                ledger.violate("listed", f"{look.vm} at {look.at:.3f}: {vm.name} is missing")
    world.figures["calm_looks"] = calm_looks


def check_left(ledger, bounds, world):
    """Upstreams stop work that its caller has left."""
    left_at = {each.sent.attempt: each for each in ledger.outcomes if each.left_at}
    late, counted = [], 0
    for run in ledger.runs:
        outcome = left_at.get(run.attempt)
        if not outcome or not outcome.sent.kind.may_run_again or not outcome.sent.kind.events:
            continue
        if is_held_up(ledger, bounds, world, run, outcome.sent) or not run.ended_at:
            continue
        would_last = run.at + outcome.sent.kind.events * 0.04
        if would_last < outcome.left_at + bounds.caller_left * 1.5:
            continue
        counted += 1
        if run.ended_at > outcome.left_at + bounds.caller_left:
            late.append(run.attempt)
    world.figures["left_while_running"] = counted
    if len(late) > max(1, counted / 4):
        ledger.violate("left", f"upstreams worked on after {len(late)} of {counted} callers had left: {late[:5]}")


def check_used(ledger, bounds, world):
    """Whatever stands beside their entries, all upstreams are used once the faults are over."""
    begin = world.healed_at + bounds.contact
    used = {upstream.id: 0 for upstream in world.upstreams}
    for run in ledger.runs:
        if run.at >= begin and run.upstream in used:
            used[run.upstream] += 1
    world.figures["fewest_runs_of_an_upstream"] = min(used.values())
    for upstream, count in used.items():
        if not count:
            ledger.violate("used", f"{upstream}: no run from {bounds.contact} s after the faults on")


def check_recovery(ledger, bounds, world):
    """All is served again once the faults are over."""
    since = world.healed_at + bounds.recovery
    late = [each for each in ledger.outcomes
            if each.sent.at > since and not each.left_at and each.sent.kind in KINDS and each.sent.workspace != LIMITED
            and each.sent.key not in ledger.withdrawn]
    served = sum(1 for each in late if each.answer.status == 200 and each.answer.is_complete)
    world.figures["asked_after_recovery"], world.figures["served_after_recovery"] = len(late), served
    if not late or served < len(late) * 0.98:
        unserved = [(each.sent.attempt, each.answer.status, each.answer.failure) for each in late
                    if not (each.answer.status == 200 and each.answer.is_complete)]
        ledger.violate("recovery", f"{served} of {len(late)} served after the recovery; {unserved[:5]}")
