#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include "standins/platform/FakeStore.h"
#include "standins/platform/FakeVmList.h"
#include <boost/asio/io_context.hpp>
#include <memory>

namespace papayashelf {

/**
    Serves a FakeStore and a FakeVmList over HTTP on loopback, on real time, with a control path for faults.

    Thread safety: none; used on the thread that runs the context.
*/
class StandinPlatform {
public:
    StandinPlatform(boost::asio::io_context& context, FakeStoreLimits limits = {});
    ~StandinPlatform();
    StandinPlatform(const StandinPlatform&) = delete;
    StandinPlatform& operator=(const StandinPlatform&) = delete;

    /** Starts to listen; with port 0 on a free one. Returns where. Error: Unavailable. */
    Outcome<Endpoint> listen(const Endpoint& endpoint);

    /** Stops listening and closes every connection. */
    void close();

    FakeStore& store();
    FakeVmList& vms();

private:
    class Server;
    std::shared_ptr<Server> server;
};

} // namespace papayashelf
