#pragma once

#include "scenario/checks/PromiseBook.h"
#include "scenario/plan/ScenarioPlan.h"
#include "scenario/world/EventQueue.h"
#include "scenario/world/VirtualNetwork.h"
#include "scenario/world/VirtualUpstream.h"
#include "scenario/world/VirtualVm.h"
#include "standins/platform/FakeStore.h"
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace papayashelf {

/** When an operator's change was made, and when it was in force. */
struct PublicationRecord {
    RevisionNumber number = 0;
    Milliseconds at;
    std::set<VmId> waitingFor; /**< Live VMs that do not have it in force yet. */
    Milliseconds lastAt; /**< When the last of them had it. */
};

/** When a key was withdrawn. */
struct WithdrawalRecord {
    KeyDigest key;
    Milliseconds at;
};

/** When the VM list first showed an upstream as leaving, and the last attempt started there. */
struct LeavingRecord {
    Milliseconds listedAt;
    Milliseconds lastStart;
};

/**
    Everything around the decisions, on virtual time: VMs, the links between them, the store, the VM list, upstreams,
    callers and operators. Drives the same Node as the runtime does.

    Thread safety: none.
*/
class World {
public:
    /** @param documents  the published configuration, body by path */
    World(const ScenarioPlan& plan, Sabotage sabotage, std::map<std::string, std::string> documents);

    /** Runs the whole scenario. Call once. */
    void run();

    //==================================================================================================================
    const PromiseBook& getBook() const { return *this->book; }
    const std::vector<PublicationRecord>& getPublications() const { return this->publications; }
    const std::vector<WithdrawalRecord>& getWithdrawals() const { return this->withdrawals; }
    const std::map<UpstreamId, LeavingRecord>& getLeaving() const { return this->leaving; }
    const Governance& getTruth() const { return *this->truth; }

    /** What the running VMs still have of their time lines, merged. */
    std::vector<TimelineEvent> getTimeline() const;

    int countFailedPublications() const { return this->failedPublications; }

private:
    using Vms = std::map<VmId, VirtualVm>;

    // World.cpp
    void makeVms();
    void makeUpstreams();
    void startVm(VirtualVm& vm);
    void endVm(VirtualVm& vm, bool byStop);
    void deliver(VirtualVm& vm, const NodeEvent& event);
    void carryOut(VirtualVm& vm, NodeOutput&& output);
    void schedule(VirtualVm& vm);
    void wake(const VmId& id, std::uint64_t life);
    void observe(VirtualVm& vm);
    void sendMessage(const VirtualVm& from, const Addressed<PeerMessage>& message);
    bool isSabotaged(const PeerMessage& message) const;
    void callStore(const VirtualVm& vm, const StoreCall& call);
    void serveStore();
    void poll(const VmId& id);
    Milliseconds localTime(const VirtualVm& vm) const { return this->queue.now() + vm.clockOffset; }

    // WorldRequests.cpp
    void obey(VirtualVm& vm, const StartAttempt& directive);
    void obey(VirtualVm& vm, const StartRelay& directive);
    void obey(VirtualVm& vm, const CancelAttempt& directive);
    void obey(VirtualVm& vm, const RefuseRequest& directive);
    void obey(VirtualVm& vm, const FinishRequest& directive);
    void obey(VirtualVm& vm, const StoredAnswer& directive);
    void arriveRelayed(
        const StartRelay& directive, std::uint64_t world, const RequestArrival& arrival, const RelayOrigin& origin);
    void noteBegan(const VmId& id, std::uint64_t life, RequestId request, std::uint32_t attempt);
    void noteEnded(const VmId& id, std::uint64_t life, RequestId request, const AttemptEnded& ended);
    void watchSilence(const VmId& id, std::uint64_t life, const StartAttempt& directive);
    void endRelayed(const RelayOrigin& origin, const VirtualVm& from, AttemptResult result, std::int64_t delivered);
    void cutRelays(const RegionId& left, const RegionId& right);
    std::int64_t deliveredNow(const VirtualExchange& exchange) const;
    VirtualVm* findLife(const VmId& id, std::uint64_t life);

    // WorldCallers.cpp
    struct Operation {
        const LoadPlan* load = nullptr;
        std::uint64_t number = 0;
        std::int64_t answerTokens = 0;
        int tries = 0;
    };

    void startLoads();
    void arrive(const LoadPlan& load);
    void send(const Operation& operation);
    void retry(const Operation& operation);
    void finishCaller(std::uint64_t world);
    std::vector<VmId> askForEntries(const LoadPlan& load);
    RequestArrival describe(const WorldRequest& request) const;
    const KeyDigest& keyOf(const WorkspaceId& workspace) const;

    // WorldFaults.cpp
    void startFaults();
    void drawFaults();
    void begin(const FaultPlan& fault);
    void finish(const FaultPlan& fault);
    void changeStore(const FaultPlan& fault, bool isBeginning);
    void publishRate(const std::string& workspace, std::int64_t tokensPerSecond, Milliseconds answerDelay);
    void commit(const Revision& revision, StoreVersion expected);
    void withdraw(const FaultPlan& fault);
    void listVms();
    std::map<std::string, std::string> sabotageDocuments(std::map<std::string, std::string> documents) const;
    VirtualVm& pickVm(const std::string& name);

    const ScenarioPlan plan;
    const Sabotage sabotage;
    std::mt19937_64 random;
    EventQueue queue;
    VirtualNetwork network;
    FakeStore store;
    std::map<std::uint64_t, std::function<void(const FakeStoreAnswer&)>> storeWaiters;
    std::uint64_t lastTicket = 0;
    std::map<std::string, std::string> documents;
    std::shared_ptr<const Governance> truth;
    std::unique_ptr<PromiseBook> book;
    Vms vms;
    std::map<UpstreamId, VirtualUpstream> upstreams;
    std::set<std::string> leavingAddresses;
    std::map<UpstreamId, LeavingRecord> leaving;
    VmList shownList;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastOperation = 0;
    std::map<std::uint64_t, Operation> operations; /**< By world request. */
    std::map<std::pair<RegionId, WorkspaceId>, std::pair<Milliseconds, std::vector<VmId>>> entryCache;
    std::vector<PublicationRecord> publications;
    std::vector<WithdrawalRecord> withdrawals;
    std::set<KeyDigest> withdrawnKeys;
    std::vector<FaultPlan> faults;
    int failedPublications = 0;
};

} // namespace papayashelf
