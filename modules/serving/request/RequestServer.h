#pragma once

#include "entrance/upstream/UpstreamPool.h"
#include "foundation/foundation.h"
#include "gateway/gateway.h"
#include "serving/caller/CallerAnswer.h"
#include "serving/http/HeaderNames.h"
#include "serving/request/ServingFigures.h"
#include "serving/upstream/UpstreamAttempt.h"

namespace papayashelf {

/** What serves requests in one process; all of it outlives every request. */
struct ServingContext {
    GatewayCore& core;
    UpstreamPool& pool;
    DecisionLog& log;
    ServingFigures& figures;
    const HeaderNames& names;
    Clock clock;
};

/**
    Serves one request from its admission to its final answer: attempts, retries, resumed streams, refusals.

    Thread safety: none; owned by one I/O thread, one object a request.
*/
class RequestServer {
public:
    RequestServer(ServingContext& context, const IncomingRequest& request, CallerAnswer& answer, ActiveRequest& active);

    /** Serves a caller's request. */
    boost::asio::awaitable<void> serveCaller();

    /** Serves a request that another VM handed over: one attempt, in this region. */
    boost::asio::awaitable<void> serveRelayed();

private:
    enum class Next {
        Done,
        TryAgain,
    };

    boost::asio::awaitable<void> runAttempts();
    boost::asio::awaitable<Next> tryOnce();
    boost::asio::awaitable<Next> tryUpstream(const UseUpstream& choice);
    boost::asio::awaitable<Next> tryRelay(const UseRelay& choice);
    boost::asio::awaitable<AttemptOutcome> attempt(const Endpoint& endpoint, const std::string& bytes);
    boost::asio::awaitable<Next> conclude(AttemptOutcome& outcome); /**< Takes the answer's body if it is kept. */
    boost::asio::awaitable<Next> retryOrGiveUp(const AttemptOutcome& outcome);
    boost::asio::awaitable<void> passWhole(const AttemptOutcome& outcome);
    boost::asio::awaitable<void> finishStream(const AttemptOutcome& outcome);
    boost::asio::awaitable<void> giveUp(const AttemptOutcome& outcome);
    boost::asio::awaitable<void> refuse(const Refusal& refusal);
    boost::asio::awaitable<void> answerOwn(int status, std::string_view code, Milliseconds retryAfter, bool isNotRun);

    Milliseconds waitsUntil() const;
    PlacementQuery makeQuery();
    AttemptTimes makeTimes() const;
    std::string formatForUpstream(const UpstreamRecord& upstream) const;
    std::string formatForRelay(const UseRelay& relay) const;
    std::string formatCommon(bool isRelay) const;
    void noteEnd(const UpstreamId& upstream, const AttemptOutcome& outcome);
    bool isPassable(const AttemptOutcome& outcome) const;
    Milliseconds getRemaining() const;
    Milliseconds now() const { return this->context.clock.now(); }
    std::optional<std::uint64_t> readNumber(std::string_view header) const;
    void logEnd(std::string_view event, LogWeight weight, std::string_view cause, int status);

    ServingContext& context;
    const IncomingRequest& request;
    CallerAnswer& answer;
    ActiveRequest& active;
    std::string requestId;
    std::optional<Admitted> admitted;
    std::optional<EventSplitter> splitter;
    Milliseconds arrivedAt;
    Milliseconds endsAt; /**< When the final answer is due. */
    std::int64_t promptTokens = 0;
    std::int64_t sharedTokens = 0;
    std::optional<std::int64_t> allTokens; /**< That it may use, if it says so. */
    std::uint64_t cacheKey = 0;
    std::function<void()> onFirstEvent; /**< What is to be told when the prompt under way is read. */
    std::set<UpstreamId> tried;
    std::set<RegionId> triedRegions;
    int attempts = 0; /**< Sent to an upstream or another VM. */
    int runs = 0; /**< Attempts that may have run. */
    bool isRelayed = false;
    bool hasLooked = false; /**< For a place, at least once. */
    std::optional<AttemptOutcome> kept; /**< An upstream's failure, for the caller if a retry brings nothing better. */
    std::string lastUpstream; /**< For the log; a VM after "relay:". */
    bool wasHandedOver = false; /**< The last attempt went to another VM. */
};

} // namespace papayashelf
