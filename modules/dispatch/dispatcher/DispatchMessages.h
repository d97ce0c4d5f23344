#pragma once

#include "dispatch/messages/RequestMessages.h"
#include "platform/store/StoreCall.h"
#include <string>
#include <vector>

namespace papayashelf {

/** A request that passed admission. Its tokens are reserved from the share and its route is known. */
struct AdmittedRequest {
    RequestArrival arrival;
    WorkspaceId workspace; /**< Empty only on routes that need no authentication. */
    std::int64_t shareWeight = 1; /**< Token rate of the workspace's share, in tokens per second. */
    int priority = 0;
    ServiceId service;
    ServiceKind kind = ServiceKind::PlainService;
    std::int64_t costTokens = 1; /**< Tokens reserved for the request. */
    Milliseconds deadline; /**< Deadline of the whole request, on this VM's clock. */
    bool isIdempotent = false;
    bool isRelayed = false; /**< The request was relayed by a VM of another region and must stay in this region. */
    std::int64_t resumeFromToken = 0; /**< Tokens that the caller already has, if this is a relayed resume. */
};

/** The tokens that an ended request used. The rest of its reservation is returned to the share. */
struct Settlement {
    RequestId request = 0;
    WorkspaceId workspace;
    std::int64_t usedTokens = 0;

    bool operator==(const Settlement&) const = default;
};

/** The kinds of timeline events. */
enum class DispatchEventKind {
    Queued,
    Started,
    Relayed,
    Retried,
    Resumed,
    Silent, /**< The attempt has been silent for longer than its limit, and goes on. */
    Kept, /**< The attempt beside a silent one has ended; the silent one goes on. */
    Refused,
    Finished,
    Claimed,
    StaleReport, /**< A report for an ended request or an earlier attempt was discarded. */
};

/** An entry for the timeline. */
struct DispatchEvent {
    DispatchEventKind kind = DispatchEventKind::Queued;
    RequestId request = 0;
    std::uint32_t attempt = 0;
    std::string where; /**< The upstream, VM or region, "stored", or details of a refusal; may be empty. */

    bool operator==(const DispatchEvent&) const = default;
};

/** The results of one event. */
struct DispatchOutput {
    std::vector<RequestDirective> directives;
    std::vector<StoredAnswer> storedAnswers;
    std::vector<Settlement> settlements;
    std::vector<StoreCall> storeCalls;
    std::vector<DispatchEvent> events;
};

} // namespace papayashelf
