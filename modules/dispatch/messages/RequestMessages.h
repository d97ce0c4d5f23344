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

/** Whether an upstream may have run a refused or failed request. "No" is used only if this is certain. */
enum class Ran {
    No,
    Unknown,
};

/** The reason for a refusal. Callers receive it as a stable code. */
enum class RefusalCode {
    NotAuthenticated, /**< The key is missing, unknown or withdrawn. */
    NoSuchRoute,
    NoSuchModel,
    OutsideResidency, /**< This VM's region may not process the workspace's data. */
    OverShare, /**< The workspace has used up its rate and burst. */
    TooLargeForShare, /**< The request exceeds the workspace's burst, so it can never be admitted. */
    Overloaded, /**< The queue is full, or the estimated wait exceeds the deadline. */
    NoUpstream, /**< No permitted upstream is available. */
    UpstreamFailed, /**< The attempts on upstreams failed. */
    DeadlinePassed,
    Leaving, /**< This VM is stopping. The caller should use another one. */
    NotReady, /**< This VM does not have a complete validated revision yet. */
    LoopDetected, /**< The request has already passed this VM or another region. */
    OutcomeUnknown, /**< A non-idempotent request may have run and is not run again. */
    ClaimUnavailable, /**< A non-idempotent request could not be claimed and did not run. */
    StoppedMidway, /**< The request was stopped while it ran, e.g. because its key was withdrawn. */
};

/** What the entrance knows about a request after reading its headers and body. Never holds the key or the prompt. */
struct RequestArrival {
    RequestId request = 0;
    KeyDigest key; /**< Digest of the API key; empty if the caller sent none. */
    std::string method; /**< HTTP method in upper case. */
    std::string path; /**< URL path without the query. */
    ModelId model; /**< Empty for plain services. */
    std::int64_t promptTokens = 0; /**< Estimate from the body, never below the actual count. */
    std::int64_t maximumTokens = 0; /**< Maximum number of tokens of the answer. */
    bool isStreamed = false;
    std::vector<std::uint64_t> prefixHashes; /**< Hashes of the growing block prefixes of the prompt, shortest first. */
    std::string idempotencyKey; /**< Empty if the caller sent none. */
    std::vector<VmId> passedVms; /**< VMs that the request passed through before this one; at most one. */
    WorkspaceId relayedFor; /**< Workspace of a request that another VM admitted and relays; key is then empty. */
    std::int64_t resumeFromToken = 0; /**< Tokens that the caller already has, if the request is relayed. */

    bool operator==(const RequestArrival&) const = default;
};

/** How an attempt ended. */
enum class AttemptResult {
    Completed, /**< The whole answer arrived. */
    NotSent, /**< No byte of the request was sent, so it certainly did not run. */
    RejectedBusy, /**< The upstream reported that it is busy and did not run the request. */
    NoAnswer, /**< The request was sent, but no complete response headers arrived. */
    Truncated, /**< The answer began but ended before it was complete. */
    TimedOut, /**< The first-byte or between-bytes timeout expired. */
    Cancelled, /**< The gateway cancelled the attempt. */
};

/** A load report of an upstream. It can be several seconds old. */
struct LoadReport {
    UpstreamId upstream;
    std::int64_t running = 0; /**< Requests in the upstream's batch. */
    std::int64_t waiting = 0; /**< Requests in the upstream's queue. */
    double cacheUse = 0; /**< Used fraction of the prefix cache, 0 to 1. */
    std::vector<std::uint64_t>
        prefixesAdded; /**< Hashes of prefixes cached since the last report; may be incomplete. */
    std::vector<std::uint64_t>
        prefixesEvicted; /**< Hashes of prefixes evicted since the last report; may be incomplete. */

    bool operator==(const LoadReport&) const = default;
};

/** Reports that the attempt's answer has begun. The caller receives it from this point on. */
struct AttemptBegan {
    RequestId request = 0;
    std::uint32_t attempt = 0;
    int status = 0;

    bool operator==(const AttemptBegan&) const = default;
};

/** Reports that an attempt has been silent for longer than its limit. It goes on; repeated while the silence lasts. */
struct AttemptSilent {
    RequestId request = 0;
    std::uint32_t attempt = 0;
    std::int64_t answerTokens = 0; /**< Tokens delivered to the caller over all attempts. */

    bool operator==(const AttemptSilent&) const = default;
};

/** Reports the end of an attempt. */
struct AttemptEnded {
    RequestId request = 0;
    std::uint32_t attempt = 0;
    AttemptResult result = AttemptResult::Completed;
    int status = 0; /**< HTTP status; 0 if none was received. */
    std::int64_t answerTokens = 0; /**< Tokens delivered to the caller over all attempts. */
    std::int64_t promptTokens = 0; /**< Prompt tokens as counted by the upstream; 0 if not reported. */
    bool mayHaveRun = false; /**< Despite RejectedBusy: that may be the late answer to an earlier request. */

    bool operator==(const AttemptEnded&) const = default;
};

/** The complete answer to a request with an idempotency key. It is reported before its AttemptEnded. */
struct AnswerToKeep {
    RequestId request = 0;
    std::uint32_t attempt = 0;
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const AnswerToKeep&) const = default;
};

/** Reports that the caller has closed its connection. */
struct CallerDisconnected {
    RequestId request = 0;

    bool operator==(const CallerDisconnected&) const = default;
};

/** A report from the entrance to the decision code. */
using RequestReport = std::variant<RequestArrival, AttemptBegan, AttemptSilent, AttemptEnded, AnswerToKeep,
    CallerDisconnected, LoadReport>;

/** Directs the entrance to send the request to an upstream of this region. */
struct StartAttempt {
    RequestId request = 0;
    std::uint32_t attempt = 0; /**< Attempt number, starting at 1. Reports with an older number are discarded. */
    WorkspaceId workspace;
    UpstreamId upstream;
    Endpoint endpoint;
    ServiceKind kind = ServiceKind::PlainService;
    int priority = 0;
    std::int64_t resumeFromToken = 0; /**< Tokens that the caller already has; the engine continues after them. */
    Milliseconds firstByteLimit;
    Milliseconds betweenBytesLimit;
    Milliseconds remaining; /**< Time until the deadline of the whole request. */
    /** A silent attempt that goes on until the answer of this one begins; 0 if there is none. */
    std::uint32_t keptAttempt = 0;

    bool operator==(const StartAttempt&) const = default;
};

/** Directs the entrance to relay the request to a VM of another region, which only uses upstreams of its own region. */
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
    std::uint32_t keptAttempt = 0; /**< As in StartAttempt. */

    bool operator==(const StartRelay&) const = default;
};

/** Directs the entrance to stop an attempt and to cancel it at the upstream. */
struct CancelAttempt {
    RequestId request = 0;
    std::uint32_t attempt = 0;

    bool operator==(const CancelAttempt&) const = default;
};

/** Refuses the request, or ends an answer that has begun so that it is recognisable as incomplete. Final directive. */
struct RefuseRequest {
    RequestId request = 0;
    RefusalCode code = RefusalCode::NotAuthenticated;
    Ran ran = Ran::No;
    std::optional<Milliseconds> retryAfter;
    std::string detail;

    bool operator==(const RefuseRequest&) const = default;
};

/** Ends a request whose answer was delivered completely. The entrance discards its state. Final directive. */
struct FinishRequest {
    RequestId request = 0;

    bool operator==(const FinishRequest&) const = default;
};

/** Answers a repeated request with the result of its first run. Final directive. */
struct StoredAnswer {
    RequestId request = 0;
    int status = 0;
    bool isBodyHeld
        = false; /**< If false, the request ran and was confirmed, but the body of its answer is not stored. */
    std::string contentType;
    std::string body;

    bool operator==(const StoredAnswer&) const = default;
};

/** A directive from the decision code to the entrance. */
using RequestDirective
    = std::variant<StartAttempt, StartRelay, CancelAttempt, RefuseRequest, FinishRequest, StoredAnswer>;

} // namespace papayashelf
