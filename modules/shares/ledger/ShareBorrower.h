#pragma once

#include "shares/ledger/OwnerViews.h"
#include "shares/ledger/ReturnBatch.h"
#include "shares/ledger/ShareLender.h"
#include "shares/ledger/ShareOutput.h"
#include "shares/ledger/ShareOwnership.h"
#include "shares/owners/OwnerMap.h"
#include "shares/owners/WorkspaceShares.h"
#include "shares/settings/ShareSettings.h"
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace papayashelf {

/**
    Handles the reservations of one VM.

    It takes tokens from the VM's own bucket, borrows missing tokens from other owners, queues waiting reservations in
    order of arrival, and returns unused tokens.

    Thread safety: none; owned by one thread.
*/
class ShareBorrower {
public:
    /** All references must outlive the borrower. */
    ShareBorrower(ShareHolder self, RegionId region, const ShareSettings& settings,
        const WorkspaceShares& workspaceShares, const OwnerMap& owners, ShareOwnership& ownership);

    /** Grants or refuses a reservation, or queues it. Precondition: its request is not reserved already. */
    void reserve(Milliseconds now, const ReservationRequest& reservation, ShareOutput& output);

    /** Ends a reservation and returns its unused tokens; withdraws it if it still waits. Unknown ones are ignored. */
    void settle(Milliseconds now, RequestId request, std::int64_t usedTokens, ShareOutput& output);

    //==================================================================================================================
    /** Returns the demand of this VM's waiting reservations of a workspace. */
    OwnDemand getDemand(Milliseconds now, const WorkspaceId& workspace) const;

    /** Serves waiting reservations after tokens were returned to this VM's buckets of these workspaces. */
    void serveWaiting(Milliseconds now, const std::set<WorkspaceId>& workspaces, ShareOutput& output);

    /** Handles another owner's answer to a request for tokens. */
    void handleGrant(Milliseconds now, const VmId& lender, const ShareGrant& message, ShareOutput& output);

    //==================================================================================================================
    /** Replaces the set of VMs that may be asked for tokens. */
    void setLiveVms(std::set<VmId> vms);

    /** Discards the cached owners of every workspace; to be called after a change of revision or epoch. */
    void invalidateOwners(Milliseconds now, ShareOutput& output);

    /** Serves workspaces whose timer is due, and sends due returns. */
    void tick(Milliseconds now, ShareOutput& output);

    /** Returns when tick must be called next; never() if nothing is pending. */
    Milliseconds getNextDeadline() const;

private:
    /** Tokens from one owner's bucket; the lender is empty for this VM's own bucket. */
    struct Part {
        VmId lender;
        std::int64_t tokens = 0;
        Milliseconds chargedAt;
        std::uint64_t epoch = 0;
    };

    struct Reservation {
        WorkspaceId workspace;
        std::vector<Part> parts; // Empty while the reservation waits.
        bool isGranted = false;
    };

    struct WaitingReservation {
        RequestId request = 0;
        std::int64_t tokens = 0;
        Milliseconds since;
        Milliseconds deadline;
    };

    /** Borrowed tokens that no reservation has used yet. */
    struct Loan {
        Part part;
        Milliseconds expiry;
    };

    /** The waiting reservations, loans and owners of one workspace. */
    struct Account {
        std::deque<WaitingReservation> waiting;
        std::vector<Loan> loans;
        OwnerViews owners;
        bool areOwnersCurrent = false;
        Milliseconds nextStockRequest; // Earliest time of the next stock request.
        Milliseconds timer = Milliseconds::never();
    };

    struct PendingCall {
        WorkspaceId workspace;
        VmId owner;
        Milliseconds sentAt;
        std::int64_t needed = 0;
    };

    void serve(Milliseconds now, const WorkspaceId& workspace, ShareOutput& output);
    void grantWaiting(Milliseconds now, const WorkspaceId& workspace, Account& account, ShareOutput& output);
    void refuseOverdue(Milliseconds now, const WorkspaceId& workspace, Account& account, ShareOutput& output);
    void askOwners(Milliseconds now, const WorkspaceId& workspace, Account& account, ShareOutput& output);
    void askForStock(Milliseconds now, const WorkspaceId& workspace, Account& account, ShareOutput& output);
    void sendRequest(Milliseconds now, const WorkspaceId& workspace, OwnerView& owner, const ShareRequest& request,
        ShareOutput& output);
    void returnExpiredLoans(Milliseconds now, const WorkspaceId& workspace, Account& account);
    void consumeLoans(Milliseconds now, Account& account, std::int64_t& missing, std::vector<Part>& parts);
    void depositLoans(Milliseconds now, const WorkspaceId& workspace, Account& account);
    void setTimer(Milliseconds now, const WorkspaceId& workspace, Account& account);
    void refuse(RequestId request, const WorkspaceId& workspace, ShareRefusal reason, std::int64_t missing,
        ShareOutput& output);
    void returnTokens(Milliseconds now, const WorkspaceId& workspace, const Part& part, std::int64_t tokens);
    void discardOldCalls(Milliseconds now);
    Account& getAccount(const WorkspaceId& workspace);
    std::int64_t sumLoans(const Account& account) const;
    std::int64_t getOwnTokens(Milliseconds now, const WorkspaceId& workspace);

    ShareHolder self;
    RegionId region;
    ShareSettings settings;
    const WorkspaceShares& workspaceShares;
    const OwnerMap& owners;
    ShareOwnership& ownership;

    std::set<VmId> liveVms;
    std::unordered_map<RequestId, Reservation> reservations;
    std::unordered_map<WorkspaceId, Account> accounts;
    std::set<std::pair<Milliseconds, WorkspaceId>> timers;
    std::map<std::uint64_t, PendingCall> calls; // Keyed by call number, which increases with time.
    std::uint64_t lastCall;
    ReturnBatch returns;
};

} // namespace papayashelf
