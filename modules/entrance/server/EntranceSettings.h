#pragma once

#include "entrance/server/Sizes.h"
#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <cstddef>
#include <cstdint>
#include <string>

namespace papayashelf {

/** How the entrance listens and what it bounds. */
struct EntranceSettings {
    Endpoint listen { "127.0.0.1", 0 }; /**< Port 0 takes a free one. */
    std::size_t threads = 1; /**< I/O threads, 1 to 64. */
    std::size_t ringCapacity
        = 8192; /**< Reports, and directives, that wait between one I/O thread and the decisions. */
    std::string certificateFile; /**< PEM chain for TLS; empty means plain HTTP. */
    std::string privateKeyFile; /**< PEM; set exactly when certificateFile is. */

    std::size_t maximumConnections = 15'000; /**< Callers' connections over all threads. */
    std::size_t maximumHeaderBytes = 16 * kibibyte;
    std::size_t maximumBodyBytes = 4 * mebibyte;
    std::size_t maximumWholeAnswerBytes = 8 * mebibyte; /**< Of a model answer that is not streamed. */
    std::size_t keptAnswerBytes = 4096; /**< Largest answer that a repeat with the same idempotency key gets again. */
    std::size_t relayWindowBytes
        = 256 * kibibyte; /**< Answer bytes that a relay may have under way to a slow caller. */
    std::int64_t defaultMaximumTokens = 1024; /**< For a model request that names no maximum. */

    Milliseconds headTimeout { 10'000 }; /**< From a request's first byte to the end of its head. */
    Milliseconds bodyTimeout { 60'000 }; /**< From the end of the head to the end of the body. */
    Milliseconds idleTimeout { 75'000 }; /**< Between two requests of one connection. */
    Milliseconds writeTimeout { 30'000 }; /**< For a caller to take one piece of an answer. */
    Milliseconds heartbeatInterval { 15'000 }; /**< Silence in a streamed answer after which a comment line is sent. */

    Milliseconds connectTimeout { 1'000 }; /**< To an upstream. */
    std::size_t maximumIdlePerUpstream = 32; /**< Idle connections kept to one upstream by one thread. */
    Milliseconds maximumUpstreamIdle { 15'000 }; /**< An upstream connection idle for longer is not used again. */
    Milliseconds maximumUpstreamAge { 300'000 }; /**< Nor one that was opened longer ago. */

    bool operator==(const EntranceSettings&) const = default;
};

} // namespace papayashelf
