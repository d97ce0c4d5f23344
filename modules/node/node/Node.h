#pragma once

#include "configuration/configuration.h"
#include "metrics/metrics.h"
#include "node/admission/Admission.h"
#include "node/adoption/AdoptionTracker.h"
#include "node/messages/NodeMessages.h"
#include "node/node/GovernanceChecker.h"
#include "node/node/NodeSettings.h"
#include "node/snapshot/NodeSnapshot.h"
#include "node/store/StoreCallBook.h"
#include "routing/routing.h"
#include "timeline/timeline.h"
#include <map>
#include <memory>
#include <random>
#include <set>

namespace papayashelf {

/**
    All decisions of one VM: membership, configuration, withdrawn keys, shares, routing and dispatch, joined.

    Every event is handled to its end before the next. The same events at the same times with the same seed give the
    same actions. Thread safety: none; owned by one thread.
*/
class Node {
public:
    explicit Node(const NodeSettings& settings);

    //==================================================================================================================
    /** Handles one event. The time must not go back from call to call. */
    NodeOutput handle(Milliseconds now, const NodeEvent& event);

    /** Does what is due. Call at getNextDeadline() or sooner. */
    NodeOutput tick(Milliseconds now);

    /** When tick() is due next. */
    Milliseconds getNextDeadline() const;

    //==================================================================================================================
    /** What the VM shows of itself; costs time in proportion to members and, after a change, to workspaces. */
    NodeSnapshot takeSnapshot(Milliseconds now);

    /** Where a VM's process is reached by its peers; nothing for a VM never heard of. */
    std::optional<Endpoint> findPeerEndpoint(const VmId& vm) const;

    /** This VM as the others see it. */
    const Member& getSelf() const { return this->membership.getSelf(); }

    /** The figures of this VM's requests by workspace. */
    FiguresByWorkspace getFigures() const { return this->metrics.getFigures(); }

    /** The events of this VM, and the logical time that goes out with each message. */
    const Timeline& getTimeline() const { return this->timeline; }

    /** The configuration in force; null until there is one. */
    const std::shared_ptr<const Governance>& getGovernance() const { return this->governance; }

    /** How far a withdrawal that entered here has come; empty for a key that was not withdrawn here. */
    std::vector<RegionCoverage> getWithdrawalReach(const KeyDigest& key) const
    {
        return this->withdrawals.getCoverage(key);
    }

    /** The revision in force; 0 until there is one. */
    RevisionNumber getRevisionNumber() const { return this->revisions.getNumber(); }

    /** True once a stop was asked for, every request has ended, and the others were told. */
    bool isStopped(Milliseconds now) const;

    /** Whether every VM is known to have had the revision in force. */
    bool isAdoptedEverywhere() const { return this->announcedEverywhere == this->revisions.getNumber(); }

    /** Whether this VM takes part as of a later life elsewhere, and so must end at once. */
    bool isReplaced() const { return this->membership.isReplaced(); }

private:
    // Requests: NodeRequests.cpp
    void on(Milliseconds now, const RequestReport& report, NodeOutput& output);
    void take(Milliseconds now, const RequestArrival& arrival, NodeOutput& output);
    void take(Milliseconds now, const CallerDisconnected& gone, NodeOutput& output);
    void take(Milliseconds now, const AttemptBegan& began, NodeOutput& output);
    void take(Milliseconds now, const LoadReport& report, NodeOutput& output);
    void applyShares(Milliseconds now, ShareOutput&& from, NodeOutput& output);
    void applyDispatch(Milliseconds now, DispatchOutput&& from, NodeOutput& output);
    void recordDirective(Milliseconds now, const RequestDirective& directive);
    WorkspaceId findCaller(const RequestArrival& arrival) const;
    void refuse(Milliseconds now, RequestId request, RefusalCode code, Ran ran, std::optional<Milliseconds> retryAfter,
        NodeOutput& output);
    void endKey(Milliseconds now, const KeyDigest& key, NodeOutput& output);

    // What all VMs agree on: NodeAgreement.cpp
    void on(Milliseconds now, const PeerMessageArrived& arrived, NodeOutput& output);
    void on(Milliseconds now, const StoreReplyArrived& arrived, NodeOutput& output);
    void on(Milliseconds now, const VmListArrived& arrived, NodeOutput& output);
    void on(Milliseconds now, const WithdrawalRequested& requested, NodeOutput& output);
    void on(Milliseconds now, const StopRequested& requested, NodeOutput& output);
    void receive(Milliseconds now, const VmId& from, const MembershipMessage& message, NodeOutput& output);
    void receive(Milliseconds now, const VmId& from, const ConfigurationMessage& message, NodeOutput& output);
    void receive(Milliseconds now, const VmId& from, const ShareMessage& message, NodeOutput& output);
    void receive(Milliseconds now, const VmId& from, const RegionSummaries& message, NodeOutput& output);
    void applyMembership(Milliseconds now, MembershipOutput&& from, NodeOutput& output);
    void applyConfiguration(Milliseconds now, StoreCaller caller, ConfigurationOutput&& from, NodeOutput& output);
    void adopt(Milliseconds now, const Adoption& adoption, NodeOutput& output);
    void refreshMembers(Milliseconds now, NodeOutput& output);
    void sendSummaries(Milliseconds now, NodeOutput& output);
    void updateFacts();
    void checkAdoption(Milliseconds now, NodeOutput& output);
    void finishStopping(Milliseconds now, NodeOutput& output);
    std::vector<Member> seedsFrom(const VmList& list) const;

    template <typename Message> void send(const std::vector<Addressed<Message>>& messages, NodeOutput& output)
    {
        for (const Addressed<Message>& addressed : messages) {
            ++this->counters.peerMessagesOut;
            output.sends.push_back(Addressed<PeerMessage> { addressed.to, PeerMessage(addressed.message) });
        }
    }

    NodeSettings settings;
    std::mt19937_64 random;
    Timeline timeline;
    Membership membership;
    RevisionReplicator<GovernanceChecker> revisions;
    WithdrawalSet withdrawals;
    ShareLedger shares;
    Router router;
    Dispatcher dispatcher;
    StoreCallBook storeCalls;
    AdoptionTracker adoption;
    std::set<VmId> listedVms; /**< VMs of the system in the platform's list. */
    RevisionNumber announcedEverywhere = 0;

    std::shared_ptr<const Governance> governance;
    std::map<RequestId, AdmittedRequest> pending; /**< Wait for their tokens. */
    std::shared_ptr<const OwnersByWorkspace> owners;
    RevisionNumber ownersRevision = 0;
    std::uint64_t ownersEpoch = 0;
    std::string revisionSource;
    Milliseconds nextSummary;
    std::optional<Milliseconds> departedAt;
    bool isLeaving = false;
    NodeCounters counters;
    RequestMetrics metrics;
};

} // namespace papayashelf
