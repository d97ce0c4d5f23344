#pragma once

#include "standins/engine/StandinHttp.h"
#include <map>
#include <mutex>
#include <string>

namespace papayashelf {

/**
    A plain service: each POST counts as one execution of the id in its body ("id" in JSON, or else the whole body);
    every answer repeats method, target and headers. Faults come by setFault() or POST /fault; GET /records answers
    the executions by id.

    Thread safety: start() and stop() belong to the owner, everything else to any thread.
*/
class StandinService {
public:
    /** @param listen  where to listen; port 0 takes a free one */
    explicit StandinService(const Endpoint& listen = { "127.0.0.1", 0 });

    Endpoint start();
    void stop();

    /** The HTTP side: faults, requests received, counts of events ("executed"). */
    StandinHttp& getHttp() { return this->http; }

    /** How often an id was executed. */
    int getExecutions(const std::string& id) const;

private:
    boost::asio::awaitable<bool> handle(const StandinHttp::Request& request, StandinHttp::Stream& stream);
    boost::asio::awaitable<bool> answerHalf(StandinHttp::Stream& stream);
    void execute(const StandinHttp::Request& request);
    std::string describe(const StandinHttp::Request& request) const;
    std::string describeRecords() const;

    mutable std::mutex mutex;
    std::map<std::string, int> executions;
    StandinHttp http;
};

} // namespace papayashelf
