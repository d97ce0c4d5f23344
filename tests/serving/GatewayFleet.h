#pragma once

#include "serving/CuttableLink.h"
#include "serving/ServingHarness.h"
#include <boost/asio/post.hpp>
#include <deque>
#include <future>
#include <optional>
#include <thread>

namespace papayashelf {

/** Gateway processes that know each other, each on a thread of the test, with sealed upstreams of several versions. */
class GatewayFleet {
public:
    /** How VMs reach upstreams. */
    enum class Links {
        Direct,
        Cuttable, /**< Each VM over a link of its own to each upstream; see cutOff(). */
    };

    /** @param regions  region of each VM; each VM has a failure domain of its own */
    explicit GatewayFleet(const std::vector<std::string>& regions, Links links = Links::Direct);
    ~GatewayFleet();

    /**
        Adds an upstream of the service of all routes. Call before start().

        @param listedFor  time for which the VMs have known it
    */
    SealedUpstream& addUpstream(const std::string& version, const std::string& region = "north", int slots = 8,
        Milliseconds listedFor = Milliseconds(0));

    /** Adds an upstream that another object serves. Call before start(). */
    void addUpstreamAt(const Endpoint& endpoint, const std::string& region = "north");

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

    /** Cuts all links of a VM to upstreams. Precondition: the links are cuttable. */
    void cutOff(std::size_t vm, LinkCut kind);

    /** Restores all links of a VM to upstreams. */
    void heal(std::size_t vm);

    /** Sends a VM requests until it knows that it has lost its links; false if that takes implausibly long. */
    bool makeKnowCut(std::size_t vm) const;

    /** Waits until a VM knows that it reaches upstreams; false if that takes implausibly long. */
    bool awaitRegained(std::size_t vm) const;

    /** Publishes the present status of a VM to all VMs. */
    void announce(std::size_t vm);

    /** Runs a function on the core of a VM, on its thread, and returns the result. */
    template <typename Function> auto ask(std::size_t vm, const Function& function) const
    {
        std::promise<decltype(function(std::declval<GatewayCore&>()))> answer;
        boost::asio::post(
            this->processes[vm]->getContext(), [&] { answer.set_value(function(this->processes[vm]->getCore())); });
        return answer.get_future().get();
    }

    /** Sends a request with "Connection: close" to a VM and reads until the connection ends. */
    RawAnswer call(std::size_t vm, const std::string& id, const std::string& more = {}) const;

    /** Sends a VM a request with a body and "Connection: close" and reads until the connection ends. */
    RawAnswer upload(std::size_t vm, const std::string& path, const std::string& id, const std::string& body) const;

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
        std::vector<std::unique_ptr<CuttableLink>> links; /**< By VM; empty for direct links. */
    };

    /** Runs a function on the thread of each process and waits until it has. */
    template <typename Function> void runOnAll(const Function& function);

    Links linkKind;
    mutable boost::asio::io_context clients;
    std::deque<Upstream> upstreams;
    std::vector<std::unique_ptr<GatewayProcess>> processes; /**< Null once ended. */
    std::vector<std::thread> threads;
    std::int64_t announced = 1; /**< Sequence of the last status. */
};

} // namespace papayashelf
