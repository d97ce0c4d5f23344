#pragma once

#include "foundation/identity/Addressed.h"
#include "foundation/time/Clock.h"
#include "platform/store/StoreCall.h"
#include "shares/messages/ShareMessages.h"
#include <string>
#include <vector>

namespace papayashelf {

/** Why a reservation is refused. */
enum class ShareRefusal {
    OverShare, /**< The tokens did not come together before the deadline. */
    TooLarge, /**< More than the workspace's whole burst: no wait can help. */
    UnknownWorkspace, /**< The configuration in force does not have it. */
    TooManyWaiting, /**< Too many reservations of the workspace wait on this VM already. */
};

/** A request that wants tokens before it may run. */
struct ReservationRequest {
    RequestId request = 0;
    WorkspaceId workspace;
    std::int64_t tokens = 0; /**< Upper bound of what it can use. */
    Milliseconds deadline; /**< When it must be granted or refused. */

    bool operator==(const ReservationRequest&) const = default;
};

/** The request may start: its tokens are charged. */
struct ReservationGranted {
    RequestId request = 0;

    bool operator==(const ReservationGranted&) const = default;
};

/** The request must not start. */
struct ReservationRefused {
    RequestId request = 0;
    ShareRefusal reason = ShareRefusal::OverShare;
    Milliseconds retryAfter; /**< When the workspace's rate will have brought in what is missing; 0 for TooLarge. */

    bool operator==(const ReservationRefused&) const = default;
};

/** Something for the time line. */
struct ShareEvent {
    std::string event; /**< In lower_snake_case. */
    std::string detail;

    bool operator==(const ShareEvent&) const = default;
};

/** One VM that takes part, as membership sees it. */
struct ShareMember {
    VmId vm;
    Incarnation incarnation = 0;
    RegionId region;
    bool isLive = true; /**< False once it is leaving, gone or suspected: it is not asked and becomes no holder. */

    bool operator==(const ShareMember&) const = default;
};

/** What the decisions on shares want done. */
struct ShareOutput {
    std::vector<Addressed<ShareMessage>> sends;
    std::vector<ReservationGranted> granted;
    std::vector<ReservationRefused> refused;
    std::vector<StoreCall> storeCalls;
    std::vector<ShareEvent> events;

    bool operator==(const ShareOutput&) const = default;
};

} // namespace papayashelf
