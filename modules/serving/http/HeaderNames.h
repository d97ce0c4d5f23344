#pragma once

#include <string>
#include <vector>

namespace papayashelf {

/** How the platform's callers and upstreams spell the headers that the gateway reads or writes. */
struct HeaderNames {
    std::string requestId; /**< Names one try of a caller; echoed in answers. */
    std::string deadline; /**< Milliseconds that the sender will wait. */
    std::string promptParts; /**< Parts of the prompt in order, as ID:TOKENS. */
    std::string tokenCounts; /**< Tokens in and most tokens out. */
    std::string lastEventId; /**< Last event of a stream that the caller has. */
    std::string seal; /**< The upstream's signature of its answer. */
    std::string workspace; /**< Tells upstreams whose request it is. */
    std::string expectedUpstream; /**< Another upstream at the address turns the request away. */
    std::string priority; /**< 0 is the most urgent; engines run urgent requests first. */
    std::string load; /**< Running, waiting, slots. */
    std::string notRun; /**< An upstream's promise that the request has not run. */
    std::string retryAfter; /**< Seconds, with a fraction. */
    std::vector<std::string> reserved; /**< Only the gateway may send these to upstreams. */

    bool operator==(const HeaderNames&) const = default;
};

} // namespace papayashelf
