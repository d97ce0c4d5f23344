#pragma once

#include "shares/ledger/OwnerViews.h"
#include "shares/ledger/ReturnBatch.h"
#include "shares/ledger/ShareLender.h"
#include "shares/ledger/ShareOutput.h"
#include "shares/ledger/ShareOwnership.h"
#include "shares/owners/OwnerMap.h"
#include "shares/owners/VotedShares.h"
#include "shares/settings/ShareSettings.h"
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace papayashelf {

/**
    The reservations of one VM: takes tokens from its own bucket, borrows from other owners what is missing, lets
    reservations wait in order of arrival, and gives back what was not used.

    Thread safety: none; owned by one thread.
*/
class ShareBorrower {
public:
    /** All references must outlive the borrower. */
    ShareBorrower(ShareHolder self, RegionId region, const ShareSettings& settings, const VotedShares& voted,
        const OwnerMap& owners, ShareOwnership& ownership);

    void reserve(Milliseconds now, const ReservationRequest& reservation, ShareOutput& output);
    void settle(Milliseconds now, RequestId request, std::int64_t usedTokens, ShareOutput& output);

    //==================================================================================================================
    /** What this VM's reservations of a workspace wait for. */
    OwnDemand getDemand(Milliseconds now, const WorkspaceId& workspace) const;

    /** To be called after tokens came back to buckets of this VM. */
    void serveWaiting(Milliseconds now, const std::set<WorkspaceId>& workspaces, ShareOutput& output);

    /** Takes the answer of another owner. */
    void takeGrant(Milliseconds now, const VmId& giver, const ShareGrant& message, ShareOutput& output);

    //==================================================================================================================
    /** Replaces the set of VMs that it makes sense to ask. */
    void setLiveVms(std::set<VmId> vms);

    /** To be called after revisions or epochs changed: who owns what is looked up anew. */
    void forgetOwners(Milliseconds now, ShareOutput& output);

    void tick(Milliseconds now, ShareOutput& output);
    Milliseconds getNextDeadline() const;

private:
    /** Tokens of one owner in a reservation; the VM is empty for this VM's own bucket. */
    struct Part {
        VmId giver;
        std::int64_t tokens = 0;
        Milliseconds chargedAt;
        std::uint64_t epoch = 0;
    };

    struct Reservation {
        WorkspaceId workspace;
        std::vector<Part> parts; // Empty while it waits.
        bool isGranted = false;
    };

    struct Waiting {
        RequestId request = 0;
        std::int64_t tokens = 0;
        Milliseconds since;
        Milliseconds deadline;
    };

    /** Borrowed tokens that no reservation has taken yet. */
    struct Loan {
        Part part;
        Milliseconds lapse;
    };

    struct Account {
        std::deque<Waiting> waiting;
        std::vector<Loan> loans;
        OwnerViews owners;
        bool areOwnersKnown = false;
        Milliseconds nextStock; // No question for stock before.
        Milliseconds timer = Milliseconds::never();
    };

    struct Call {
        WorkspaceId workspace;
        VmId owner;
        Milliseconds sentAt;
        std::int64_t needed = 0;
    };

    void serve(Milliseconds now, const WorkspaceId& workspace, ShareOutput& output);
    void grantWaiting(Milliseconds now, const WorkspaceId& workspace, Account& account, ShareOutput& output);
    void refuseOverdue(Milliseconds now, const WorkspaceId& workspace, Account& account, ShareOutput& output);
    void ask(Milliseconds now, const WorkspaceId& workspace, Account& account, ShareOutput& output);
    void askForStock(Milliseconds now, const WorkspaceId& workspace, Account& account, ShareOutput& output);
    void sendRequest(Milliseconds now, const WorkspaceId& workspace, OwnerView& owner, const ShareRequest& request,
        ShareOutput& output);
    void dropLapsedLoans(Milliseconds now, const WorkspaceId& workspace, Account& account);
    void useLoans(Milliseconds now, Account& account, std::int64_t& missing, std::vector<Part>& parts);
    void depositLoans(Milliseconds now, const WorkspaceId& workspace, Account& account);
    void setTimer(Milliseconds now, const WorkspaceId& workspace, Account& account);
    void refuse(RequestId request, const WorkspaceId& workspace, ShareRefusal reason, std::int64_t missing,
        ShareOutput& output);
    void giveBack(Milliseconds now, const WorkspaceId& workspace, const Part& part, std::int64_t tokens);
    void forgetOldCalls(Milliseconds now);
    Account& getAccount(const WorkspaceId& workspace);
    std::int64_t countLoans(const Account& account) const;
    std::int64_t getOwnTokens(Milliseconds now, const WorkspaceId& workspace);

    ShareHolder self;
    RegionId region;
    ShareSettings settings;
    const VotedShares& voted;
    const OwnerMap& owners;
    ShareOwnership& ownership;

    std::set<VmId> liveVms;
    std::unordered_map<RequestId, Reservation> reservations;
    std::unordered_map<WorkspaceId, Account> accounts;
    std::set<std::pair<Milliseconds, WorkspaceId>> timers;
    std::map<std::uint64_t, Call> calls; // By number, which grows with time.
    std::uint64_t lastCall;
    ReturnBatch returns;
};

} // namespace papayashelf
