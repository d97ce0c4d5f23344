#pragma once

#include "serving/ServingHarness.h"
#include <deque>
#include <optional>
#include <thread>

namespace papayashelf {

/** Gateway processes that know each other, each on a thread of the test, with sealed upstreams of several versions. */
class GatewayFleet {
public:
    /** @param regions  region of each VM; each VM has a failure domain of its own */
    explicit GatewayFleet(const std::vector<std::string>& regions);
    ~GatewayFleet();

    /**
        Adds an upstream of the service of all routes. Call before start().

        @param listedFor  time for which the VMs have known it
    */
    SealedUpstream& addUpstream(const std::string& version, const std::string& region = "north", int slots = 8,
        Milliseconds listedFor = Milliseconds(0));

    /** Confirms the view of a VM as a read of the store that is sent now does. */
    void confirm(std::size_t vm);

    /** Starts all processes. */
    void start();

    /** Ends a process as a crash does. */
    void kill(std::size_t vm);

    /** Lets the list of all VMs name another version, or the same, of an upstream that has restarted under its id. */
    void relist(std::size_t upstream, const std::string& version);

    /** Removes an upstream from the list of all VMs. */
    void unlist(std::size_t upstream);

    /** Sends a request with "Connection: close" to a VM and reads until the connection ends. */
    RawAnswer call(std::size_t vm, const std::string& id, const std::string& more = {}) const;

    /** Takes up a stream after its second event. */
    RawAnswer takeUp(std::size_t vm, const std::string& id, const std::string& resumed) const
    {
        return this->call(vm, id, "Last-Event-Id: 2\r\nResumes: " + resumed + "\r\n");
    }

    /** Returns the versions of the upstreams that received a request, in the order of the upstreams. */
    std::vector<std::string> findVersions(const std::string& id) const;

private:
    struct Upstream {
        SealedUpstream server;
        UpstreamRecord record;
    };

    /** Runs a function on the thread of each process and waits until it has. */
    template <typename Function> void runOnAll(const Function& function);

    mutable boost::asio::io_context clients;
    std::deque<Upstream> upstreams;
    std::vector<std::unique_ptr<GatewayProcess>> processes; /**< Null once ended. */
    std::vector<std::thread> threads;
};

} // namespace papayashelf
