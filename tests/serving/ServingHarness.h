#pragma once

#include "adapter/WireNames.h"
#include "serving/SealedUpstream.h"
#include "serving/serving.h"
#include <memory>
#include <mutex>
#include <thread>

namespace papayashelf {

/** The raw bytes of an answer as the caller received them. */
struct RawAnswer {
    std::string text; /**< Head and body up to the end of the connection. */

    /** Returns the HTTP status, or 0 if there is no complete status. */
    int getStatus() const;

    /** Whether the head or body contains the text. */
    bool has(std::string_view part) const { return this->text.find(part) != std::string::npos; }

    /** Whether a chunked body has its last chunk, or any other body has its announced length. */
    bool isComplete() const;
};

/** Runs a gateway process on a thread of the test, with sealed upstreams of one service. */
class ServingHarness {
public:
    /** Requests per second that an upstream accepts just after its start. */
    static constexpr double coldRequestsPerSecond = 3;

    /** Time after its start for which an upstream accepts no more. */
    static constexpr Milliseconds coldDuration { 3'000 };

    /** Retries per request that no test uses up. */
    static constexpr double ampleRetryRatio = 10;

    /**
        Starts the upstreams and the process.

        @param upstreamCount  number of upstreams of the service; two or more
        @param stopGrace      time from beginStopping() until the process would be killed
    */
    explicit ServingHarness(
        double retryRatio = ampleRetryRatio, int upstreamCount = 2, Milliseconds stopGrace = GatewayBounds().stopGrace);
    ~ServingHarness();

    /** Sends a request with "Connection: close" and reads until the connection ends. */
    RawAnswer call(const std::string& head, const std::string& body = {}) const;

    /** Sends a request as another VM would relay it and reads until the connection ends. */
    RawAnswer relay(const std::string& key, const std::string& forService) const;

    /** Puts a configuration with other limits in force and returns once it is. */
    void setLimits(const CallerLimits& limits);

    /** Begins a planned stop and returns once it has begun. */
    void beginStopping();

    /** Returns true if the process knows that an upstream's process has ended. */
    bool hasEnded(const UpstreamId& upstream);

    /** Returns the metrics of the process as text. */
    std::string readMetrics();

    /** Waits until the process has ended by itself. */
    void awaitEnd();

    /** Formats a request head with the usual headers, followed by the given header lines. */
    static std::string makeHead(
        const std::string& method, const std::string& path, const std::string& id, const std::string& more = {});

    /** Returns the settings of a process in the region "north" that listens on free ports. */
    static GatewaySettings makeSettings(double retryRatio, Milliseconds stopGrace);

    /** Returns the configuration that the process starts with. */
    static ServingDocument makeDocument();

    /** Reads until the connection ends. */
    static RawAnswer readAnswer(boost::asio::ip::tcp::socket& socket);

    /** Opens a connection to the endpoint. */
    boost::asio::ip::tcp::socket connect(const Endpoint& to) const;

    /** Returns the first upstream. */
    SealedUpstream& first() { return this->upstreams[0]; }

    /** Returns the second upstream. */
    SealedUpstream& second() { return this->upstreams[1]; }

    /** Calls SealedUpstream::setEventsBeforeCrash() of all upstreams. */
    void setEventsBeforeCrash(int events);

    /** Returns the gateway process under test. Precondition: it has not ended. */
    GatewayProcess& getProcess() { return *this->process; }

    /** Returns the requests that reached any upstream, grouped by upstream. */
    std::vector<StandinRequest> getArrivals() const;

private:
    void addUpstream(const std::string& id, const Endpoint& endpoint);
    void addVmOfOtherRegion(const std::string& otherRegion, const Endpoint& relays);

    mutable boost::asio::io_context clients;
    std::deque<SealedUpstream> upstreams;
    std::uint64_t configurationVersion = 1;
    std::mutex mutex; /**< For the end of the process. */
    std::unique_ptr<GatewayProcess> process; /**< Null once it has ended. */
    std::thread thread;
};

} // namespace papayashelf
