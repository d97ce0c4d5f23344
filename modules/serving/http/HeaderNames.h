#pragma once

#include <string>
#include <vector>

namespace papayashelf {

/** Names of the headers that the gateway exchanges with the platform's callers and upstreams. */
struct HeaderNames {
    std::string requestId; /**< Identifies one attempt of a caller; echoed in answers. */
    std::string deadline; /**< Milliseconds that the sender waits for the answer. */
    std::string promptParts; /**< Parts of the prompt in order, each as ID:TOKENS, separated by commas. */
    std::string tokenCounts; /**< Number of prompt tokens and maximum number of answer tokens, separated by a comma. */
    std::string lastEventId; /**< Id of the last stream event that the caller received. */
    /** Id of the caller's attempt that brought the first event of the stream that the caller takes up. */
    std::string resumedRequest;
    std::string seal; /**< The upstream's signature of its answer. */
    std::string workspace; /**< Tells upstreams which workspace sent the request. */
    std::string expectedUpstream; /**< Id of the intended upstream; any other upstream refuses the request. */
    std::string priority; /**< 0 is the most urgent; engines run urgent requests first. */
    std::string load; /**< Running requests, waiting requests and slots, separated by commas. */
    std::string limit; /**< Requests per second that the upstream accepts from all VMs together, as a decimal number. */
    /** Rejections for want of room in a second above which the upstream fails, as a decimal number. */
    std::string rejectionLimit;
    std::string leaving; /**< "1" if the upstream is about to end. */
    std::string
        coldFor; /**< Milliseconds for which the upstream accepts only few requests; in answers on its health. */
    std::string notRun; /**< An upstream's guarantee that the request has not run. */
    std::string cacheSource; /**< Address of an upstream from which the receiver fetches cached prompt parts. */
    std::string retryAfter; /**< Seconds, as a decimal fraction; in answers to callers and in upstreams' refusals. */
    std::vector<std::string> reserved; /**< Headers that only the gateway may send to upstreams. */

    bool operator==(const HeaderNames&) const = default;
};

} // namespace papayashelf
