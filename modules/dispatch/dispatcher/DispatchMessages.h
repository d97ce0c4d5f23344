#pragma once

#include "dispatch/messages/RequestMessages.h"
#include "platform/store/StoreCall.h"
#include <string>
#include <vector>

namespace papayashelf {

/** A request that passed admission: its share is reserved and its route known. */
struct AdmittedRequest {
    RequestArrival arrival;
    WorkspaceId workspace; /**< Empty only on routes open to all. */
    std::int64_t shareWeight = 1; /**< Its workspace's tokens a second. */
    int priority = 0;
    ServiceId service;
    ServiceKind kind = ServiceKind::PlainService;
    std::int64_t costTokens = 1; /**< What was reserved for it. */
    Milliseconds deadline; /**< On this VM's clock. */
    bool isIdempotent = false;
    bool isRelayed = false; /**< Came from another region's VM; then it stays in this region. */
    std::int64_t resumeFromToken = 0; /**< For a relayed resume: tokens that the caller already has. */
};

/** The share that an ended request really used; what was reserved beyond it goes back. */
struct Settlement {
    RequestId request = 0;
    WorkspaceId workspace;
    std::int64_t usedTokens = 0;

    bool operator==(const Settlement&) const = default;
};

enum class DispatchEventKind {
    Queued,
    Started,
    Relayed,
    Retried,
    Resumed,
    Refused,
    Finished,
    Claimed,
    StaleReport,
};

/** One line for the time line. */
struct DispatchEvent {
    DispatchEventKind kind = DispatchEventKind::Queued;
    RequestId request = 0;
    std::uint32_t attempt = 0;
    std::string where; /**< Upstream, VM or refusal. */

    bool operator==(const DispatchEvent&) const = default;
};

/** Everything that follows from one event. */
struct DispatchOutput {
    std::vector<RequestDirective> directives;
    std::vector<StoredAnswer> storedAnswers;
    std::vector<Settlement> settlements;
    std::vector<StoreCall> storeCalls;
    std::vector<DispatchEvent> events;
};

} // namespace papayashelf
