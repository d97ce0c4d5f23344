#pragma once

#include "adapter/WireNames.h"
#include "serving/SealedUpstream.h"
#include "serving/serving.h"
#include <memory>
#include <thread>

namespace papayashelf {

/** A whole answer as the caller's socket saw it. */
struct RawAnswer {
    std::string text; /**< Head and body up to the end of the connection. */

    int getStatus() const;
    bool has(std::string_view part) const { return this->text.find(part) != std::string::npos; }

    /** True if a chunked body came to its last chunk, or a body to its length. */
    bool isComplete() const;
};

/** A gateway process on threads of this test, with two sealed upstreams of one service and a plain one. */
class ServingHarness {
public:
    ServingHarness();
    ~ServingHarness();

    /** Sends a request with "Connection: close" and reads until the connection ends. */
    RawAnswer call(const std::string& head, const std::string& body = {}) const;

    /** A head for the path with the usual headers. */
    static std::string makeHead(
        const std::string& method, const std::string& path, const std::string& id, const std::string& more = {});

    /** Opens a connection to the process. */
    boost::asio::ip::tcp::socket connect(const Endpoint& to) const;

    SealedUpstream& first() { return this->upstreams[0]; }
    SealedUpstream& second() { return this->upstreams[1]; }
    GatewayProcess& getProcess() { return *this->process; }

    /** Requests that reached any upstream, in no order. */
    std::vector<StandinRequest> getArrivals() const;

private:
    static ServingDocument makeDocument();
    void list(const std::string& id, const Endpoint& endpoint);

    mutable boost::asio::io_context clients;
    std::array<SealedUpstream, 2> upstreams;
    std::unique_ptr<GatewayProcess> process;
    std::thread thread;
};

} // namespace papayashelf
