#pragma once

#include "entrance/upstream/UpstreamPool.h"
#include "foundation/foundation.h"
#include "gateway/gateway.h"
#include "gateway/quarantine/RequestIdentity.h"
#include "serving/caller/CallerAnswer.h"
#include "serving/http/HeaderNames.h"
#include "serving/http/RequestMemory.h"
#include "serving/origins/StreamOriginClient.h"
#include "serving/request/OpenRequests.h"
#include "serving/request/ServingMetrics.h"
#include "serving/upstream/UpstreamAttempt.h"
#include "serving/upstream/UpstreamWatch.h"
#include <variant>

namespace papayashelf {

/** Objects that all requests of one process share; all must outlive every request. */
struct ServingContext {
    GatewayCore& core;
    UpstreamPool& pool;
    UpstreamWatch& upstreamWatch;
    StreamOriginClient& streamOrigins;
    MemoryBudget& answerMemory;
    RequestMemory& requestMemory;
    DecisionLog& log;
    ServingMetrics& metrics;
    OpenRequests& openRequests;
    const HeaderNames& names;
    Clock clock;
};

/**
    Serves one request from admission to the final answer, including retries, resumed streams and refusals.

    Each request has its own object. Thread safety: none; owned by one I/O thread.
*/
class RequestServer {
public:
    /** Time after which a caller that a stopping VM refuses should retry; other VMs accept requests immediately. */
    static constexpr Milliseconds stoppingRetryDelay { 50 };

    /** All references must outlive the object. */
    RequestServer(
        ServingContext& context, const IncomingRequest& request, CallerAnswer& answer, ActiveRequest& activeRequest);

    /** Admits and serves a caller's request. */
    boost::asio::awaitable<void> serveCaller();

    /** Serves a request relayed by another VM, in this region only and without retries. */
    boost::asio::awaitable<void> serveRelayed();

private:
    enum class NextAction {
        Done,
        TryAgain,
    };

    /**
        Finds out what began the stream that the caller takes up, if it does, and sets this->streamVersion and the
        service to it. Returns false after it has refused the request, as the stream cannot be continued.
    */
    boost::asio::awaitable<bool> adoptStreamOrigin();
    /** Waits for a while until this VM's view is confirmed, if the origin of the stream depends on it. */
    boost::asio::awaitable<void> awaitConfirmedView();
    boost::asio::awaitable<void> runAttempts();
    boost::asio::awaitable<NextAction> tryOnce();
    /** An attempt at an upstream or another VM. */
    struct RunningAttempt {
        RunningAttempt(std::variant<UseUpstream, UseRelay> to, ServingContext& context, ActiveRequest& activeRequest)
            : destination(std::move(to))
            , attempt(context.pool, context.answerMemory, context.names, activeRequest)
            , inputs(context.core.getPlacement().getInputs())
        {
        }

        std::variant<UseUpstream, UseRelay> destination;
        UpstreamAttempt attempt;
        PlacementInputs inputs; /**< What the upstream was chosen by. */
        std::function<void()> onFirstEvent; /**< Reports the end of prefill; empty once called. */
        int number = 0;
        Milliseconds sentAt;
    };

    /** Where the events of a stream come from. */
    struct StreamSource {
        std::string destination; /**< Id of the upstream; "relay:" and the id of the VM for a relay. */
        SoftwareVersion version; /**< Empty if it is not known. */
    };

    /** Records the beginning of an attempt. */
    std::unique_ptr<RunningAttempt> begin(std::variant<UseUpstream, UseRelay> destination);
    /** Sends the request. Returns how the attempt ended, or nothing if its answer has begun. */
    boost::asio::awaitable<std::optional<AttemptOutcome>> open(RunningAttempt& running);
    /** Reads the rest of the answer, unless the attempt has ended, and acts on the outcome. */
    boost::asio::awaitable<NextAction> complete(
        std::unique_ptr<RunningAttempt> running, std::optional<AttemptOutcome> outcome);
    /** Returns the software version of what answers an attempt, or an empty one if it is uncertain. */
    SoftwareVersion findVersion(const RunningAttempt& running) const;
    /** Returns false if what answers may be of another version than what began the stream. */
    bool mayBringEvents(const RunningAttempt& running) const;
    /** Returns true if the caller has had events of the stream, in this answer or in an earlier one. */
    bool isStreamContinued() const;
    /** Returns true if another upstream can continue the answer. Precondition: the answer has begun. */
    bool mayContinueStream() const;
    /** Returns the headers by which a relayed stream tells the relaying VM what it comes from. */
    HeaderFields makeRelayedHeaders() const;
    /** Records which attempt brings the next events of the stream. */
    void noteStreamSource(const RunningAttempt& running);
    /** Records the end of an attempt. */
    boost::asio::awaitable<void> noteEnd(RunningAttempt& running, const AttemptOutcome& outcome);
    boost::asio::awaitable<void> noteUpstreamEnd(RunningAttempt& running, const AttemptOutcome& outcome);
    void noteRelayEnd(const RunningAttempt& running, const AttemptOutcome& outcome);
    /** @param destination  name of what sent the answer */
    void noteDroppedAnswer(const std::string& destination, const DroppedAnswer& dropped);
    /**
        Makes another attempt while the upstream of the current one is silent. Returns true, and sets this->successor,
       once the answer to the other attempt has begun; false to go on with the current one.
    */
    boost::asio::awaitable<bool> tryElsewhere(UpstreamAttempt& silent);
    /** May move the answer out of the outcome. */
    boost::asio::awaitable<NextAction> handleOutcome(AttemptOutcome& outcome);
    boost::asio::awaitable<NextAction> retryOrGiveUp(const AttemptOutcome& outcome);
    boost::asio::awaitable<void> forwardAnswer(const AttemptOutcome& outcome);
    boost::asio::awaitable<void> finishStream(const AttemptOutcome& outcome);
    /** Takes a retry for another attempt beside one at a silent upstream. Returns its destination, or nothing. */
    std::optional<std::variant<UseUpstream, UseRelay>> reserveNextAttempt(Milliseconds silentFor);
    /** Remembers what an attempt without a complete answer ended by. */
    void noteFailure(const AttemptOutcome& outcome);
    /** @param obstacle  stable name of the reason why no other attempt follows, for the log */
    boost::asio::awaitable<void> giveUp(const AttemptOutcome& outcome, std::string_view obstacle);
    /** Takes a retry for another attempt. Returns the stable name of what forbids it, or an empty text. */
    std::string_view takeRetry(const AttemptOutcome& outcome);
    boost::asio::awaitable<void> refuse(const Refusal& refusal);
    boost::asio::awaitable<void> sendGatewayAnswer(
        int status, std::string_view code, Milliseconds retryAfter, bool isNotRun);

    /** Returns the time until which the request waits for an upstream with free capacity. */
    Milliseconds getCapacityDeadline() const;
    PlacementQuery makePlacementQuery();
    AttemptTimeouts makeTimeouts() const;
    std::string formatUpstreamHead(const UseUpstream& choice) const;
    std::string formatRelayHead(const UseRelay& relay) const;
    std::string formatCommonHead(bool isRelay) const;
    /** Checks whether an upstream that ended the connection has crashed, and reports it if so. */
    boost::asio::awaitable<void> investigateLostConnection(
        const UpstreamRecord& upstream, const AttemptOutcome& outcome);
    /** Records a complete answer, as it shows which parts are harmless. */
    void noteHarmless(const AttemptOutcome& outcome);
    void noteStatement(const UpstreamRecord& upstream, const UpstreamStatement& statement);
    void reportAttemptEnd(const RunningAttempt& running, const AttemptOutcome& outcome);
    bool mayForward(const AttemptOutcome& outcome) const;
    Milliseconds getRemaining() const;
    /** Whether the time of a planned stop, and not that of the request, is over. */
    bool isEndedByStop() const;
    /** Whether a request that has not run would probably not end in the grace of a planned stop. */
    bool isTooLateForStop() const;
    Milliseconds now() const { return this->context.clock.now(); }
    std::optional<std::uint64_t> parseNumberHeader(std::string_view header) const;
    void logRequestEnd(std::string_view event, LogWeight weight, std::string_view cause, int status);
    void logBrokenAnswer(std::string_view obstacle);

    ServingContext& context;
    const IncomingRequest& request;
    CallerAnswer& answer;
    ActiveRequest& activeRequest;
    std::string requestId;
    std::optional<Admitted> admitted;
    Milliseconds configurationAgeAtStart; /**< Time since the configuration was confirmed when the request arrived. */
    std::optional<EventSplitter> splitter;
    Milliseconds arrivedAt;
    Milliseconds callerDeadline; /**< Time until which the caller waits. */
    Milliseconds answerDeadline; /**< Time by which the final answer must be sent, unless the VM stops earlier. */
    std::int64_t promptTokens = 0;
    std::int64_t sharedTokens = 0;
    std::optional<std::int64_t> totalTokens; /**< Prompt tokens and maximum answer tokens, if stated. */
    PromptParts promptParts; /**< Shared parts of the prompt. */
    RequestIdentity identity;
    PromptParts partsWithIdentity; /**< For the last query of a placement. */
    std::uint64_t cacheKey = 0;
    std::unique_ptr<RunningAttempt> successor; /**< Whose answer has begun while the current attempt was silent. */
    std::set<UpstreamId> tried;
    std::set<RegionId> triedRegions;
    std::set<VmId> triedVms; /**< VMs that reached no upstream, and those of this region that got the request. */
    Milliseconds relayedWait; /**< Time that a relayed request may wait for an upstream with free capacity. */
    int attempts = 0; /**< Attempts at upstreams or other VMs. */
    /** The same without those that came to nothing because this or the other VM reached no upstream. */
    int countedAttempts = 0;
    int possibleRuns = 0; /**< Attempts whose request may have run. */
    bool isRelayed = false;
    bool hasQueriedPlacement = false; /**< Whether placement was queried at least once. */
    std::optional<AttemptOutcome> keptFailure; /**< Error answer of an upstream, sent if all retries fail. */
    /** Version that began the stream, empty if it is uncertain; no value if any version may begin it. */
    std::optional<SoftwareVersion> streamVersion;
    /** Id of the request that brought the first event of a stream that the caller takes up; empty for none. */
    std::string resumedRequest;
    std::optional<StreamSource> streamSource; /**< Of the last events sent to the caller; empty before the first. */
    std::string lastUpstream; /**< For the log; "relay:" and the id of the VM for a relay. */
    AttemptEndedBy lastEndedBy = AttemptEndedBy::Upstream; /**< Of the last attempt without a complete answer. */
    Milliseconds lastSilentFor; /**< The same. */
    Milliseconds lastEventsAt; /**< Time of the last events of an answer that has begun. */
    bool hasReachedUpstream = false; /**< Whether this VM has sent the request to an upstream. */
    bool hasCrashedUpstream = false; /**< Whether an upstream crashed while it had this request. */
    bool isCrashSuspect = false; /**< Whether upstreams probably crashed because of this request. */
    bool wasLastAttemptRelayed = false; /**< Whether the last attempt went to another VM. */
};

} // namespace papayashelf
