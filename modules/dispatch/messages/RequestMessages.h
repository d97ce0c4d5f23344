#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include "model/governance/Governance.h"
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace papayashelf {

/** Whether a refused or failed request may have been run by an upstream. "No" is only said when it is certain. */
enum class Ran {
    No,
    Unknown,
};

/** Why a request is refused; the stable code that callers see. */
enum class RefusalCode {
    NotAuthenticated, /**< No key, or one that is not known or was withdrawn. */
    NoSuchRoute,
    NoSuchModel,
    OutsideResidency, /**< This VM's region may not process the workspace's data. */
    OverShare, /**< The workspace has used up its rate and burst. */
    TooLargeForShare, /**< Larger than the workspace's burst: no wait can help. */
    Overloaded, /**< Queues are full or the wait would pass the deadline. */
    NoUpstream, /**< No upstream that may take it is there. */
    UpstreamFailed, /**< It was tried and failed. */
    DeadlinePassed,
    Leaving, /**< This VM is stopping; use another. */
    NotReady, /**< This VM does not hold a whole checked revision yet. */
    LoopDetected, /**< The request has already passed this VM or another region. */
    OutcomeUnknown, /**< A non-idempotent request may have run; it is not run again. */
    ClaimUnavailable, /**< A non-idempotent request could not be claimed, so it was not run. */
    StoppedMidway, /**< The key was withdrawn while the request ran. */
};

/** What the entrance knows of a request once its head and body are read. Never holds the key or the prompt. */
struct RequestArrival {
    RequestId request = 0;
    KeyDigest key; /**< Empty when the caller sent none. */
    std::string method; /**< Upper case. */
    std::string path; /**< Without the query. */
    ModelId model; /**< Empty for plain services. */
    std::int64_t promptTokens = 0; /**< Estimated from the body, never too low. */
    std::int64_t maximumTokens = 0; /**< Most tokens that the answer may have. */
    bool isStreamed = false;
    std::vector<std::uint64_t> prefixHashes; /**< Hash of each growing prefix block of the prompt, shortest first. */
    std::string idempotencyKey; /**< Empty when the caller sent none. */
    std::vector<VmId> passedVms; /**< VMs that it passed before this one; at most one. */
    WorkspaceId relayedFor; /**< Set when another VM admitted it and relays it; then key is empty. */
    std::int64_t resumeFromToken = 0; /**< Of a relayed request: tokens that the caller already has. */

    bool operator==(const RequestArrival&) const = default;
};

/** How far an attempt got before it ended. */
enum class AttemptResult {
    Completed, /**< The whole answer arrived. */
    NotSent, /**< No connection, or refused before a byte of the request was sent: certainly not run. */
    RejectedBusy, /**< The upstream said that it did not run it and is busy. */
    NoAnswer, /**< Sent, but nothing or only part of an answer's head came back. */
    Truncated, /**< The answer began and ended early. */
    TimedOut, /**< A first-byte or between-bytes limit passed. */
    Cancelled, /**< Ended at our own wish. */
};

/** One report of an upstream about itself, as much as some seconds old. */
struct LoadReport {
    UpstreamId upstream;
    std::int64_t running = 0; /**< Requests in its batch. */
    std::int64_t waiting = 0; /**< Requests in its queue. */
    double cacheUse = 0; /**< Share of its prefix cache in use, 0 to 1. */
    std::vector<std::uint64_t> prefixesAdded; /**< Cache events since the last report; may have gaps. */
    std::vector<std::uint64_t> prefixesEvicted;

    bool operator==(const LoadReport&) const = default;
};

/** The attempt's answer has begun: from here on the caller sees it. */
struct AttemptBegan {
    RequestId request = 0;
    std::uint32_t attempt = 0;
    int status = 0;

    bool operator==(const AttemptBegan&) const = default;
};

/** The attempt is over. */
struct AttemptEnded {
    RequestId request = 0;
    std::uint32_t attempt = 0;
    AttemptResult result = AttemptResult::Completed;
    int status = 0; /**< HTTP status, 0 when none came. */
    std::int64_t answerTokens = 0; /**< Tokens delivered to the caller so far, over all attempts. */
    std::int64_t promptTokens = 0; /**< Prompt tokens as the upstream counted them; 0 when it did not say. */

    bool operator==(const AttemptEnded&) const = default;
};

/** The body of a completed answer to a request with an idempotency key; reported before its AttemptEnded. */
struct AnswerToKeep {
    RequestId request = 0;
    std::uint32_t attempt = 0;
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const AnswerToKeep&) const = default;
};

/** The caller has closed its connection. */
struct CallerDisconnected {
    RequestId request = 0;

    bool operator==(const CallerDisconnected&) const = default;
};

/** What the entrance tells the decisions. */
using RequestReport
    = std::variant<RequestArrival, AttemptBegan, AttemptEnded, AnswerToKeep, CallerDisconnected, LoadReport>;

/** Send the request to an upstream of this region. */
struct StartAttempt {
    RequestId request = 0;
    std::uint32_t attempt = 0; /**< Counts from 1; whatever arrives under an older number is discarded. */
    WorkspaceId workspace;
    UpstreamId upstream;
    Endpoint endpoint;
    ServiceKind kind = ServiceKind::PlainService;
    int priority = 0;
    std::int64_t resumeFromToken = 0; /**< Tokens that the caller already has; the engine goes on after them. */
    Milliseconds firstByteLimit;
    Milliseconds betweenBytesLimit;
    Milliseconds remaining; /**< Time left for the whole request. */

    bool operator==(const StartAttempt&) const = default;
};

/** Hand the request to a VM of another region, which may only use upstreams of its own region. */
struct StartRelay {
    RequestId request = 0;
    std::uint32_t attempt = 0;
    WorkspaceId workspace;
    VmId vm;
    Endpoint endpoint;
    std::int64_t resumeFromToken = 0;
    Milliseconds firstByteLimit;
    Milliseconds betweenBytesLimit;
    Milliseconds remaining;

    bool operator==(const StartRelay&) const = default;
};

/** Stop an attempt and tell the upstream so. */
struct CancelAttempt {
    RequestId request = 0;
    std::uint32_t attempt = 0;

    bool operator==(const CancelAttempt&) const = default;
};

/** Answer the caller with a refusal, or end an answer that has begun as visibly incomplete. Final. */
struct RefuseRequest {
    RequestId request = 0;
    RefusalCode code = RefusalCode::NotAuthenticated;
    Ran ran = Ran::No;
    std::optional<Milliseconds> retryAfter;
    std::string detail;

    bool operator==(const RefuseRequest&) const = default;
};

/** The answer has been delivered whole; the entrance forgets the request. Final. */
struct FinishRequest {
    RequestId request = 0;

    bool operator==(const FinishRequest&) const = default;
};

/** Answer a repeated request with what its first run came to. Final, like FinishRequest. */
struct StoredAnswer {
    RequestId request = 0;
    int status = 0;
    bool isBodyHeld = false; /**< False: it was run and confirmed, but its answer is no longer held. */
    std::string contentType;
    std::string body;

    bool operator==(const StoredAnswer&) const = default;
};

/** What the decisions tell the entrance. */
using RequestDirective
    = std::variant<StartAttempt, StartRelay, CancelAttempt, RefuseRequest, FinishRequest, StoredAnswer>;

} // namespace papayashelf
