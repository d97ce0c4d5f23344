#pragma once

#include "foundation/identity/Identifier.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <thread>

namespace papayashelf {

/** What becomes of the connections of a link that is cut. */
enum class LinkCut {
    Hang, /**< Open connections and attempts to open new ones bring nothing. */
    Reset, /**< Open connections are reset and new ones are refused. */
    RefuseNew, /**< Open connections live on and new ones are refused. */
};

/**
    The network path from one VM to one upstream: forwards bytes between the two until it is cut.

    Thread safety: only the owner calls it; it forwards on a thread of its own.
*/
class CuttableLink {
public:
    explicit CuttableLink(Endpoint to);
    ~CuttableLink();

    /** Returns the endpoint that stands for the upstream. */
    const Endpoint& getEndpoint() const { return this->endpoint; }

    /** Cuts the link and returns once it is cut. Precondition: it is not cut. */
    void cut(LinkCut kind);

    /** Ends the cut. Connections that hung stay useless. */
    void heal();

    /** Returns the number of connections that were opened over it. */
    std::size_t countConnections() const { return this->connections; }

private:
    using Socket = boost::asio::ip::tcp::socket;
    struct Pair;

    void listen(int backlog);
    void accept();
    void forward(const std::shared_ptr<Pair>& pair, Socket& from, Socket& to);
    void fillBacklog();
    template <typename Function> void runOnThread(const Function& function);

    Endpoint target;
    Endpoint endpoint;
    bool isHanging = false;
    std::atomic<std::size_t> connections = 0;
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor; /**< Null while new connections are refused. */
    std::vector<Socket> fillers;
    std::set<std::shared_ptr<Pair>> pairs;
    std::thread thread;
};

} // namespace papayashelf
