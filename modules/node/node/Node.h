#pragma once

#include "configuration/configuration.h"
#include "metrics/metrics.h"
#include "node/admission/Admission.h"
#include "node/adoption/AdoptionTracker.h"
#include "node/messages/NodeMessages.h"
#include "node/node/GovernanceChecker.h"
#include "node/node/NodeSettings.h"
#include "node/snapshot/NodeSnapshot.h"
#include "node/store/StoreCallTracker.h"
#include "routing/routing.h"
#include "timeline/timeline.h"
#include <map>
#include <memory>
#include <random>
#include <set>

namespace papayashelf {

/**
    Makes all decisions of one VM: membership, configuration, withdrawn keys, shares, routing and dispatch.

    Each event is handled completely before the next. The same events at the same times with the same seed result in
    the same actions. Thread safety: none; owned by one thread.
*/
class Node {
public:
    /** Creates the node of a VM that has no configuration yet. */
    explicit Node(const NodeSettings& settings);

    //==================================================================================================================
    /** Handles one event. Precondition: the time is not earlier than in any previous call. */
    NodeOutput handle(Milliseconds now, const NodeEvent& event);

    /** Performs the work that is due. Call it at getNextDeadline() or earlier. */
    NodeOutput tick(Milliseconds now);

    /** Returns the time at which tick() is next due. */
    Milliseconds getNextDeadline() const;

    //==================================================================================================================
    /**
        Returns the state of the VM for operators and callers. Takes time proportional to the number of members and,
        after a change of the revision or the share epoch, to the number of workspaces.
    */
    NodeSnapshot takeSnapshot(Milliseconds now);

    /** Returns the endpoint at which peers reach a VM, or nothing for an unknown VM. */
    std::optional<Endpoint> findPeerEndpoint(const VmId& vm) const;

    /** Returns this VM's own member record, as other VMs see it. */
    const Member& getSelf() const { return this->membership.getSelf(); }

    /** Returns the metrics of this VM's requests by workspace. */
    FiguresByWorkspace getFigures() const { return this->metrics.getFigures(); }

    /** Returns the events of this VM and the logical time to send with each message. */
    const Timeline& getTimeline() const { return this->timeline; }

    /** Returns the configuration in force; null until there is one. */
    const std::shared_ptr<const Governance>& getGovernance() const { return this->governance; }

    /** Returns the progress by region of a withdrawal requested at this VM; empty for a key not withdrawn here. */
    std::vector<RegionCoverage> getWithdrawalReach(const KeyDigest& key) const
    {
        return this->withdrawals.getCoverage(key);
    }

    /** Returns the number of the revision in force; 0 until there is one. */
    RevisionNumber getRevisionNumber() const { return this->revisions.getNumber(); }

    /** Returns whether a stop was requested, every request has ended, and the other VMs had time to be notified. */
    bool isStopped(Milliseconds now) const;

    /** Returns whether every VM is known to have had the current revision in force. */
    bool isAdoptedEverywhere() const { return this->fullyAdoptedRevision == this->revisions.getNumber(); }

    /** Returns whether a later incarnation of this VM is known, in which case this process must stop at once. */
    bool isReplaced() const { return this->membership.isReplaced(); }

private:
    // Request handling, defined in NodeRequests.cpp.
    void handleEvent(Milliseconds now, const RequestReport& report, NodeOutput& output);
    void handleReport(Milliseconds now, const RequestArrival& arrival, NodeOutput& output);
    void handleReport(Milliseconds now, const CallerDisconnected& disconnected, NodeOutput& output);
    void handleReport(Milliseconds now, const AttemptBegan& began, NodeOutput& output);
    void handleReport(Milliseconds now, const LoadReport& report, NodeOutput& output);
    void applyShares(Milliseconds now, ShareOutput&& partOutput, NodeOutput& output);
    void applyDispatch(Milliseconds now, DispatchOutput&& partOutput, NodeOutput& output);
    void recordDirective(Milliseconds now, const RequestDirective& directive);
    WorkspaceId findCallerWorkspace(const RequestArrival& arrival) const;
    void refuse(Milliseconds now, RequestId request, RefusalCode code, Ran ran, std::optional<Milliseconds> retryAfter,
        NodeOutput& output);
    void endRequestsOfKey(Milliseconds now, const KeyDigest& key, NodeOutput& output);

    // Membership, configuration and shares, defined in NodeAgreement.cpp. StopRequested is handled in Node.cpp.
    void handleEvent(Milliseconds now, const PeerMessageArrived& arrived, NodeOutput& output);
    void handleEvent(Milliseconds now, const StoreReplyArrived& arrived, NodeOutput& output);
    void handleEvent(Milliseconds now, const VmListArrived& arrived, NodeOutput& output);
    void handleEvent(Milliseconds now, const WithdrawalRequested& requested, NodeOutput& output);
    void handleEvent(Milliseconds now, const StopRequested& requested, NodeOutput& output);
    void receive(Milliseconds now, const VmId& from, const MembershipMessage& message, NodeOutput& output);
    void receive(Milliseconds now, const VmId& from, const ConfigurationMessage& message, NodeOutput& output);
    void receive(Milliseconds now, const VmId& from, const ShareMessage& message, NodeOutput& output);
    void receive(Milliseconds now, const VmId& from, const RegionSummaries& message, NodeOutput& output);
    void applyMembership(Milliseconds now, MembershipOutput&& partOutput, NodeOutput& output);
    void applyConfiguration(Milliseconds now, StoreCaller caller, ConfigurationOutput&& partOutput, NodeOutput& output);
    void adopt(Milliseconds now, const Adoption& adoption, NodeOutput& output);
    void refreshMembers(Milliseconds now, NodeOutput& output);
    void sendSummaries(Milliseconds now, NodeOutput& output);
    void updateHeartbeatFacts();
    void checkAdoption(Milliseconds now, NodeOutput& output);
    void finishStopping(Milliseconds now, NodeOutput& output);
    std::vector<Member> listSeedMembers(const VmList& list) const;

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
    StoreCallTracker storeCalls;
    AdoptionTracker adoption;
    std::set<VmId> listedVms; /**< VMs of the system in the platform's list, without this VM. */
    RevisionNumber fullyAdoptedRevision = 0; /**< The latest one that all VMs are known to have had in force. */

    std::shared_ptr<const Governance> governance;
    std::map<RequestId, AdmittedRequest> awaitingReservation; /**< Requests whose tokens are not reserved yet. */
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
