#include "serving/CuttableLink.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <future>

namespace papayashelf {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int usualBacklog = 128;
constexpr std::size_t bufferBytes = 16'384;

} // namespace

struct CuttableLink::Pair {
    explicit Pair(Socket accepted)
        : near(std::move(accepted))
        , far(near.get_executor())
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        this->near.close(ignored);
        this->far.close(ignored);
    }

    Socket near; /**< To the VM. */
    Socket far; /**< To the upstream. */
};

CuttableLink::CuttableLink(Endpoint to)
    : target(std::move(to))
    , endpoint { "127.0.0.1", 0 }
    , work(this->context.get_executor())
{
    this->listen(usualBacklog);
    this->accept();
    this->thread = std::thread([this] { this->context.run(); });
}

CuttableLink::~CuttableLink()
{
    this->context.stop();
    this->thread.join();
}

template <typename Function> void CuttableLink::runOnThread(const Function& function)
{
    std::promise<void> done;
    asio::post(this->context, [&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

void CuttableLink::listen(int backlog)
{
    const tcp::endpoint at(asio::ip::make_address(this->endpoint.address), this->endpoint.port);
    this->acceptor = std::make_unique<tcp::acceptor>(this->context);
    this->acceptor->open(at.protocol());
    this->acceptor->set_option(tcp::acceptor::reuse_address(true));
    this->acceptor->bind(at);
    this->acceptor->listen(backlog);
    this->endpoint.port = this->acceptor->local_endpoint().port();
}

void CuttableLink::accept()
{
    this->acceptor->async_accept([this](const boost::system::error_code& failure, Socket accepted) {
        if (failure)
            return;
        ++this->connections;
        const auto pair = std::make_shared<Pair>(std::move(accepted));
        boost::system::error_code unreachable;
        pair->far.connect({ asio::ip::make_address(this->target.address), this->target.port }, unreachable);
        if (unreachable) {
            pair->close();
        } else {
            this->pairs.insert(pair);
            this->forward(pair, pair->near, pair->far);
            this->forward(pair, pair->far, pair->near);
        }
        this->accept();
    });
}

void CuttableLink::forward(const std::shared_ptr<Pair>& pair, Socket& from, Socket& to)
{
    auto bytes = std::make_shared<std::array<char, bufferBytes>>();
    from.async_read_some(asio::buffer(*bytes),
        [this, pair, &from, &to, bytes](const boost::system::error_code& failure, std::size_t count) {
            if (this->isHanging)
                return;
            boost::system::error_code broken = failure;
            if (!broken)
                asio::write(to, asio::buffer(*bytes, count), broken);
            if (!broken)
                return this->forward(pair, from, to);
            pair->close();
            this->pairs.erase(pair);
        });
}

void CuttableLink::cut(LinkCut kind)
{
    this->runOnThread([&] {
        this->acceptor.reset();
        this->isHanging = kind == LinkCut::Hang;
        if (this->isHanging)
            this->fillBacklog();
        if (kind != LinkCut::Reset)
            return;
        for (const std::shared_ptr<Pair>& pair : this->pairs) {
            boost::system::error_code ignored;
            pair->near.set_option(Socket::linger(true, 0), ignored);
            pair->close();
        }
        this->pairs.clear();
    });
}

void CuttableLink::fillBacklog()
{
    // With its queue of connections full, the kernel answers no further attempts to connect.
    this->listen(0);
    for (int filler = 0; filler < 2; ++filler) {
        Socket& socket = this->fillers.emplace_back(this->context);
        socket.async_connect(this->acceptor->local_endpoint(), [](const boost::system::error_code&) {});
    }
}

void CuttableLink::heal()
{
    this->runOnThread([&] {
        this->fillers.clear();
        if (this->isHanging) {
            for (const std::shared_ptr<Pair>& pair : this->pairs)
                pair->close();
            this->pairs.clear();
        }
        this->isHanging = false;
        this->acceptor.reset();
        this->listen(usualBacklog);
        this->accept();
    });
}

} // namespace papayashelf
