#pragma once

#include "foundation/identity/Addressed.h"
#include "foundation/time/Clock.h"
#include "platform/store/StoreCall.h"
#include "shares/messages/ShareMessages.h"
#include <string>
#include <vector>

namespace papayashelf {

/** The reason why a reservation is refused. */
enum class ShareRefusal {
    OverShare, /**< Too few tokens were available before the deadline. */
    TooLarge, /**< The reservation exceeds the workspace's whole burst, so waiting cannot help. */
    UnknownWorkspace, /**< The revision in force does not contain the workspace. */
    TooManyWaiting, /**< The workspace's queue on this VM is full. */
};

/** A request that needs tokens before it may run. */
struct ReservationRequest {
    RequestId request = 0;
    WorkspaceId workspace;
    std::int64_t tokens = 0; /**< Upper bound of the tokens that the request can use. */
    Milliseconds deadline; /**< When the reservation must be granted or refused. */

    bool operator==(const ReservationRequest&) const = default;
};

/** The request may start. Its tokens are charged. */
struct ReservationGranted {
    RequestId request = 0;

    bool operator==(const ReservationGranted&) const = default;
};

/** The request must not start. */
struct ReservationRefused {
    RequestId request = 0;
    ShareRefusal reason = ShareRefusal::OverShare;
    Milliseconds retryAfter; /**< How long the workspace's whole rate takes to add the tokens; 0 for TooLarge and
                                UnknownWorkspace. */

    bool operator==(const ReservationRefused&) const = default;
};

/** An event for the log. */
struct ShareEvent {
    std::string event; /**< Name of the event in lower_snake_case. */
    std::string detail;

    bool operator==(const ShareEvent&) const = default;
};

/** One VM and its state according to membership. */
struct ShareMember {
    VmId vm;
    Incarnation incarnation = 0;
    RegionId region;
    bool isLive = true; /**< False if the VM is leaving, gone or suspected. It is then not asked for tokens and does not
                           become a holder. */

    bool operator==(const ShareMember&) const = default;
};

/** The actions that the shares module requests from its caller. */
struct ShareOutput {
    std::vector<Addressed<ShareMessage>> sends;
    std::vector<ReservationGranted> granted;
    std::vector<ReservationRefused> refused;
    std::vector<StoreCall> storeCalls;
    std::vector<ShareEvent> events;

    bool operator==(const ShareOutput&) const = default;
};

} // namespace papayashelf
