#include "scenario/world/World.h"

#include "configuration/configuration.h"
#include "publication/publication.h"
#include <boost/json.hpp>
#include <cassert>

namespace papayashelf {

namespace {

constexpr int lostAnswersInARow = 3;

boost::json::object parseBody(const std::string& body)
{
    return boost::json::parse(body).as_object();
}

/** Changes the fields of every document that has the named top-level table. */
template <typename Change>
void changeTables(std::map<std::string, std::string>& documents, std::string_view table, const Change& change)
{
    for (auto& [path, body] : documents) {
        boost::json::object object = parseBody(body);
        boost::json::value* found = object.if_contains(table);
        if (!found)
            continue;
        if (found->is_array()) {
            for (boost::json::value& element : found->as_array())
                change(element.as_object());
        } else {
            change(found->as_object());
        }
        body = boost::json::serialize(object);
    }
}

} // namespace

void World::startFaults()
{
    this->faults = this->plan.faults;
    this->drawFaults();
    for (const FaultPlan& fault : this->faults) {
        this->queue.at(warmUp + fault.at, [this, fault] { this->begin(fault); });
        if (fault.until < this->plan.duration || fault.kind != FaultKind::PauseVm)
            this->queue.at(warmUp + fault.until, [this, fault] { this->finish(fault); });
    }
}

void World::drawFaults()
{
    static const std::vector<FaultKind> drawable { FaultKind::CutRegions, FaultKind::LoseMessages, FaultKind::KillVm,
        FaultKind::ReplaceVm, FaultKind::PauseVm, FaultKind::StopVm, FaultKind::StoreOut, FaultKind::StoreSlow,
        FaultKind::StoreLosesAnswers, FaultKind::StoreOlder, FaultKind::KillUpstream, FaultKind::SilenceUpstream,
        FaultKind::LeaveUpstream, FaultKind::PublishRate, FaultKind::RacePublish };
    const auto draw = [this](std::size_t bound) { return static_cast<std::size_t>(this->random() % bound); };
    std::vector<VmId> vmNames;
    for (const auto& [id, vm] : this->vms)
        vmNames.push_back(id);
    std::vector<RegionId> regionNames;
    for (const auto& [region, count] : this->plan.vms)
        regionNames.push_back(region);
    std::vector<UpstreamId> upstreamNames;
    for (const auto& [id, upstream] : this->upstreams)
        upstreamNames.push_back(id);
    for (std::int64_t count = 0; count < this->plan.randomFaults; ++count) {
        FaultPlan fault;
        fault.kind = drawable[draw(drawable.size())];
        fault.at = Milliseconds(static_cast<std::int64_t>(draw(static_cast<std::size_t>(this->plan.duration.count()))));
        fault.until
            = std::min(this->plan.duration, fault.at + Milliseconds(static_cast<std::int64_t>(1000 + draw(30'000))));
        fault.target = vmNames[draw(vmNames.size())].string();
        fault.amount = static_cast<std::int64_t>(100 + draw(2000));
        if (fault.kind == FaultKind::CutRegions) {
            const std::size_t first = draw(regionNames.size());
            fault.target = regionNames[first].string();
            fault.other = regionNames[(first + 1 + draw(regionNames.size() - 1)) % regionNames.size()].string();
        }
        const bool isAboutUpstream = fault.kind == FaultKind::KillUpstream || fault.kind == FaultKind::SilenceUpstream
            || fault.kind == FaultKind::LeaveUpstream;
        if (isAboutUpstream)
            fault.target = upstreamNames[draw(upstreamNames.size())].string();
        if (fault.kind == FaultKind::PublishRate || fault.kind == FaultKind::RacePublish)
            fault.target = this->truth->workspaces.begin()->first.string();
        if (fault.kind == FaultKind::LoseMessages)
            fault.amount = static_cast<std::int64_t>(1 + draw(20));
        this->faults.push_back(fault);
    }
}

void World::begin(const FaultPlan& fault)
{
    switch (fault.kind) {
    case FaultKind::CutRegions:
        this->network.cut(RegionId(fault.target), RegionId(fault.other));
        return this->cutRelays(RegionId(fault.target), RegionId(fault.other));
    case FaultKind::LoseMessages:
        return this->network.setLossPercent(fault.amount);
    case FaultKind::KillVm:
    case FaultKind::ReplaceVm:
        if (this->pickVm(fault.target).isRunning())
            this->endVm(this->pickVm(fault.target), false);
        return this->listVms();
    case FaultKind::PauseVm:
        this->pickVm(fault.target).isPaused = this->pickVm(fault.target).isRunning();
        return;
    case FaultKind::StopVm: {
        VirtualVm& vm = this->pickVm(fault.target);
        if (!vm.isRunning())
            return;
        vm.isStopping = true;
        if (this->sabotage == Sabotage::StopAtOnce)
            return this->endVm(vm, true);
        return this->deliver(vm, StopRequested {});
    }
    case FaultKind::StoreOut:
    case FaultKind::StoreSlow:
    case FaultKind::StoreLosesAnswers:
    case FaultKind::StoreOlder:
        return this->changeStore(fault, true);
    case FaultKind::KillUpstream:
        return this->upstreams.at(UpstreamId(fault.target)).kill();
    case FaultKind::SilenceUpstream:
        return this->upstreams.at(UpstreamId(fault.target)).silence();
    case FaultKind::LeaveUpstream:
        if (this->sabotage != Sabotage::ForgetLeaving)
            this->leavingAddresses.insert(this->upstreams.at(UpstreamId(fault.target)).getUpstream().endpoint.address);
        this->leaving[UpstreamId(fault.target)] = LeavingRecord { this->queue.now() + this->plan.listLag, {} };
        return this->listVms();
    case FaultKind::WithdrawKey:
        return this->withdraw(fault);
    case FaultKind::PublishRate:
        return this->publishRate(fault.target, fault.amount, Milliseconds(0));
    case FaultKind::RacePublish:
        this->publishRate(fault.target, fault.amount, Milliseconds(100));
        return this->publishRate(fault.target, fault.amount + 1, Milliseconds(100));
    }
}

void World::finish(const FaultPlan& fault)
{
    switch (fault.kind) {
    case FaultKind::CutRegions:
        return this->network.heal(RegionId(fault.target), RegionId(fault.other));
    case FaultKind::LoseMessages:
        return this->network.setLossPercent(0);
    case FaultKind::ReplaceVm:
    case FaultKind::StopVm:
        if (!this->pickVm(fault.target).isRunning())
            this->startVm(this->pickVm(fault.target));
        return this->listVms();
    case FaultKind::PauseVm: {
        VirtualVm& vm = this->pickVm(fault.target);
        if (!vm.isRunning() || !vm.isPaused)
            return;
        vm.isPaused = false;
        const std::uint64_t life = vm.life;
        std::deque<NodeEvent> held = std::move(vm.heldEvents);
        vm.heldEvents.clear();
        // A process that wakes finds its timers due and its sockets full.
        vm.wakeAt = Milliseconds::never();
        this->schedule(vm);
        for (const NodeEvent& event : held) {
            if (this->findLife(vm.record.vm, life))
                this->deliver(vm, event);
        }
        return;
    }
    case FaultKind::StoreOut:
    case FaultKind::StoreSlow:
    case FaultKind::StoreLosesAnswers:
        return this->changeStore(fault, false);
    default:
        return;
    }
}

void World::changeStore(const FaultPlan& fault, bool isBeginning)
{
    this->serveStore();
    FakeStoreFaults now = this->store.faults();
    if (fault.kind == FaultKind::StoreOut)
        now.isOut = isBeginning;
    if (fault.kind == FaultKind::StoreSlow)
        now.delay = isBeginning ? Milliseconds(fault.amount) : Milliseconds(0);
    if (fault.kind == FaultKind::StoreLosesAnswers)
        now.lostAnswers = isBeginning ? lostAnswersInARow : 0;
    this->store.setFaults(now);
    if (fault.kind == FaultKind::StoreOlder)
        this->store.restoreState();
    this->serveStore();
}

void World::publishRate(const std::string& workspace, std::int64_t tokensPerSecond, Milliseconds answerDelay)
{
    const StoreReply manifest
        = this->store.apply(StoreRequest { StoreOperation::Get, std::string(manifestKey), {}, 0, {} });
    if (!manifest || manifest.value().empty() || manifest.value().front().version == 0) {
        ++this->failedPublications;
        return;
    }
    Revision next;
    next.number = decodeManifest(manifest.value().front().value).value().number + 1;
    next.documents = this->documents;
    changeTables(next.documents, "workspace", [&](boost::json::object& table) {
        if (table.at("id").as_string() == workspace)
            table["tokens_per_second"] = tokensPerSecond;
    });
    next.digest = digestOf(next.documents);
    const StoreVersion expected = manifest.value().front().version;
    this->queue.after(answerDelay, [this, next, expected] { this->commit(next, expected); });
}

void World::commit(const Revision& revision, StoreVersion expected)
{
    this->serveStore();
    const StoredRevision stored = encodeRevision(revision).value();
    for (const StoredPart& part : stored.parts)
        (void)this->store.apply(StoreRequest { StoreOperation::CompareAndSwap, part.key, part.value, 0, {} });
    const StoreReply swapped = this->store.apply(
        StoreRequest { StoreOperation::CompareAndSwap, std::string(manifestKey), stored.manifest, expected, {} });
    this->serveStore();
    if (!swapped) {
        ++this->failedPublications;
        return;
    }
    if (revision.number == 1)
        return;
    this->documents = revision.documents;
    Outcome<Governance> built = buildGovernance(revision);
    assert(built.has_value());
    this->truth = std::make_shared<const Governance>(std::move(built).value());
    this->book->setTruth(this->truth);
    PublicationRecord record;
    record.number = revision.number;
    record.at = this->queue.now();
    record.lastAt = record.at;
    for (const auto& [id, vm] : this->vms) {
        if (vm.isRunning() && !vm.isPaused && !vm.isStopping
            && !this->network.isCut(vm.record.region, this->plan.storeRegion))
            record.waitingFor.insert(id);
    }
    this->publications.push_back(std::move(record));
}

void World::withdraw(const FaultPlan& fault)
{
    const KeyDigest key = this->keyOf(WorkspaceId(fault.target));
    for (auto& [id, vm] : this->vms) {
        if (!vm.isRunning() || vm.record.region != RegionId(fault.other))
            continue;
        this->withdrawals.push_back(WithdrawalRecord { key, this->queue.now() });
        return this->deliver(vm, WithdrawalRequested { key });
    }
}

void World::listVms()
{
    VmList list;
    for (const auto& [id, vm] : this->vms) {
        if (vm.isRunning() || vm.life == 0)
            list.push_back(vm.record);
    }
    for (const auto& [id, upstream] : this->upstreams) {
        const Upstream& known = upstream.getUpstream();
        const bool isLeaving = this->leavingAddresses.count(known.endpoint.address) > 0;
        list.push_back(VmRecord { VmId(id.string()), known.region, known.domain, known.endpoint.address, isLeaving });
    }
    if (this->queue.now() == Milliseconds(0))
        this->shownList = list;
    else
        this->queue.after(this->plan.listLag, [this, list] { this->shownList = list; });
}

std::map<std::string, std::string> World::sabotageDocuments(std::map<std::string, std::string> changed) const
{
    if (this->sabotage == Sabotage::DoubleRates) {
        changeTables(changed, "workspace", [](boost::json::object& table) {
            table["tokens_per_second"] = table.at("tokens_per_second").as_int64() * 2;
            table["burst_tokens"] = table.at("burst_tokens").as_int64() * 2;
        });
        changeTables(changed, "fleet", [](boost::json::object& table) {
            table["tokens_per_second"] = table.at("tokens_per_second").as_int64() * 2;
            table["burst_tokens"] = table.at("burst_tokens").as_int64() * 2;
        });
    }
    if (this->sabotage == Sabotage::ForgetResidency)
        changeTables(changed, "workspace", [](boost::json::object& table) { table.erase("residency"); });
    if (this->sabotage == Sabotage::RepeatAnything) {
        changeTables(changed, "route", [](boost::json::object& table) {
            table["idempotent_methods"] = boost::json::array { "GET", "POST" };
        });
    }
    if (this->sabotage == Sabotage::OpenEverything)
        changeTables(changed, "route", [](boost::json::object& table) { table["open_to_all"] = true; });
    if (this->sabotage == Sabotage::SwapKeys) {
        const std::string thief = this->truth->workspaces.begin()->first.string();
        changeTables(changed, "keys", [&](boost::json::object& table) { table["workspace"] = thief; });
    }
    return changed;
}

VirtualVm& World::pickVm(const std::string& name)
{
    const auto found = this->vms.find(VmId(name));
    assert(found != this->vms.end());
    return found->second;
}

} // namespace papayashelf
