#pragma once

#include "foundation/identity/Identifier.h"
#include "model/governance/Governance.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <future>
#include <string>
#include <thread>

namespace papayashelf {

/** An upstream with a thread of its own that reads one request and answers it as a test says. */
class ScriptedUpstream {
public:
    /** Called once with the connection that a request was read from. */
    using Script = std::function<void(boost::asio::ip::tcp::socket& connection)>;

    explicit ScriptedUpstream(Script script);
    ~ScriptedUpstream();
    ScriptedUpstream(const ScriptedUpstream&) = delete;
    ScriptedUpstream& operator=(const ScriptedUpstream&) = delete;

    /** An upstream that sends the first text, and the second one once the promise is kept. */
    ScriptedUpstream(std::string first, std::shared_future<void> mayGoOn, std::string second);

    Endpoint getEndpoint() const { return this->endpoint; }

    /** Waits until a request has been read; false after an implausibly long wait. */
    bool waitForRequest();

    /** Waits until the peer has closed the connection, if the script waits for that; false if it does not. */
    bool waitForEnd();

    /** The head of a stream that ends with the connection. */
    static std::string streamHead();

    /** The events of the tokens from first to last. */
    static std::string tokens(int first, int last);

    static constexpr const char* endMark = "data: [DONE]\n\n";

private:
    void serve(const Script& script);

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor { this->context };
    Endpoint endpoint;
    std::atomic<bool> isStopping = false;
    std::promise<void> requestRead;
    std::promise<void> ended;
    std::thread thread;
};

} // namespace papayashelf
