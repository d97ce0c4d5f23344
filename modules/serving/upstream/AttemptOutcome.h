#pragma once

#include "foundation/time/Clock.h"
#include "gateway/upstreams/UpstreamRecord.h"
#include "serving/http/MemoryBudget.h"
#include "serving/http/Message.h"
#include <optional>
#include <string>
#include <string_view>

namespace papayashelf {

/** How an attempt ended. */
enum class AttemptEnd {
    Complete, /**< The complete answer was read, or its stream was forwarded to the caller. */
    NotSent, /**< Nothing was sent to the upstream. */
    NotRun, /**< The upstream guarantees that the request has not run. */
    Unanswered, /**< The request was sent and may have run, but no usable answer arrived. */
    Broken, /**< A stream ended early after its beginning was forwarded to the caller. */
    CallerDisconnected, /**< The caller disconnected during the attempt. */
};

/** Returns the stable name of an end, for logs and metrics. */
std::string_view toString(AttemptEnd end);

/** How much of the answer had arrived when an attempt ended. */
enum class AnswerProgress {
    Nothing, /**< No head of an answer to this request. */
    Head, /**< The head, but no complete event or body. */
    Events, /**< At least one complete event of a stream, or a complete body. */
};

/** Returns the stable name of a progress, for logs and metrics. */
std::string_view toString(AnswerProgress progress);

/** Who or what ended an attempt before its answer was complete. */
enum class AttemptEndedBy {
    Upstream, /**< It closed or reset the connection, or sent what is not an answer to this request. */
    Silence, /**< This VM, as nothing arrived for the time that it waits for the next bytes. */
    Deadline, /**< This VM, as the time of the request was over. */
    Bound, /**< This VM, as the answer exceeded a bound on its size. */
    Caller, /**< The caller disconnected. */
    Stop, /**< This VM, as the grace of its planned stop was over. */
    OtherAttempt, /**< This VM, as an earlier attempt at the same request went on. */
    OtherVersion, /**< This VM, as the upstream may be of another version than the one that began the stream. */
};

/** Returns the stable name of an AttemptEndedBy, for logs. */
std::string_view toString(AttemptEndedBy endedBy);

/** Result of an attempt. */
struct AttemptOutcome {
    AttemptEnd end = AttemptEnd::NotSent;
    ResponseHead head; /**< Head of a complete answer or of a refusal. */
    std::string body;
    std::string detail; /**< Description of the failure, for the log. */
    AttemptEndedBy endedBy = AttemptEndedBy::Upstream; /**< Meaningless for a complete answer. */
    Milliseconds silentFor; /**< Time between the last bytes of the upstream and the end of the attempt. */
    std::optional<ReportedLoad> load;
    bool isNotSentGuaranteed = false; /**< Whether a relaying VM stated that no upstream has received the request. */
    bool isVmCutOff = false; /**< Whether a relaying VM stated that it reaches no upstream. */
    bool isCrashSuspect = false; /**< Whether a relaying VM stated that an upstream crashed as it began to answer. */
    bool isOverLimit = false; /**< Whether the answer exceeded a bound on its size. */
    MemoryBudget::Reservation memory; /**< For the body. */
    std::uint64_t connection = 0; /**< Number of the connection; 0 without one. */
    std::size_t earlierRequests = 0; /**< That the connection had carried before this one. */
    bool isRefused = false; /**< Whether nothing accepts connections at the endpoint. */
    AnswerProgress progress = AnswerProgress::Nothing;
    bool isConnectionLost = false; /**< Whether the upstream closed or reset the connection before the answer's end. */
};

/** An answer that was read and not used, as it did not belong to the request under way. */
struct DroppedAnswer {
    int status = 0; /**< 0 for bytes behind a complete answer, which are not read. */
    std::string namedRequest; /**< Id of the request that it names; empty for none. */
    bool isRefusal = false; /**< Whether it guarantees that the request that it belongs to has not run. */
    std::uint64_t connection = 0; /**< Number of its connection. */
    std::size_t earlierRequests = 0; /**< That the connection had carried before the one under way. */

    bool operator==(const DroppedAnswer&) const = default;
};

} // namespace papayashelf
