#include "entrance/server/IoThread.h"

#include "entrance/answer/ErrorAnswer.h"
#include "entrance/answer/RelayWriter.h"
#include "entrance/caller/CallerConnection.h"
#include "entrance/exchange/Exchange.h"
#include "foundation/logging/JsonLog.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <cassert>
#include <sys/socket.h>

namespace papayashelf {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr unsigned threadIndexShift = 56;
constexpr std::chrono::milliseconds flushRetry { 1 };
constexpr std::chrono::seconds housekeepingPeriod { 5 };
constexpr std::chrono::milliseconds acceptRetry { 50 };

/** Opens a listener; one that shares its port leaves it to the system to spread new connections over all such. */
boost::system::error_code openListener(tcp::acceptor& acceptor, const tcp::endpoint& endpoint, bool sharesPort)
{
    boost::system::error_code error;
    const int enabled = 1;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error && sharesPort
        && ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled) != 0)
        error = asio::error::no_protocol_option;
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    return error;
}

void logProblem(LogLevel level, std::string_view event, std::string_view detail)
{
    logEvent(level, event, { { "detail", boost::json::value(detail) } });
}

} // namespace

void spawnLogged(const asio::any_io_executor& executor, asio::awaitable<void> coroutine)
{
    asio::co_spawn(executor, std::move(coroutine), [](const std::exception_ptr& thrown) {
        if (!thrown)
            return;
        try {
            std::rethrow_exception(thrown);
        } catch (const std::exception& error) {
            logProblem(LogLevel::Error, "entrance_exception", error.what());
        }
    });
}

IoThread::IoThread(std::size_t index, EntranceShared& shared)
    : index(index)
    , shared(shared)
    , reports(shared.settings.ringCapacity)
    , directives(shared.settings.ringCapacity)
    , acceptor(this->context)
    , pool(this->context.get_executor(), shared.settings)
    , flushTimer(this->context)
{
}

IoThread::~IoThread()
{
    this->stop();
}

Outcome<Endpoint> IoThread::listen(const Endpoint& endpoint)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error)
        return Error { ErrorCode::InvalidArgument, "not an IP number: " + endpoint.address };
    const tcp::endpoint wanted(address, endpoint.port);
    if (this->index == 0) {
        // Another process must not share the port by mistake, so the first listener makes sure that it is free.
        tcp::acceptor probe(this->context);
        error = openListener(probe, wanted, false);
    }
    if (!error)
        error = openListener(this->acceptor, wanted, true);
    if (error)
        return Error { ErrorCode::Unavailable, "cannot listen on " + endpoint.string() + ": " + error.message() };
    return Endpoint { endpoint.address, this->acceptor.local_endpoint().port() };
}

void IoThread::start()
{
    spawnLogged(this->getExecutor(), this->acceptLoop());
    spawnLogged(this->getExecutor(), this->housekeepingLoop());
    this->thread = std::thread([this] { this->context.run(); });
}

void IoThread::stop()
{
    if (!this->thread.joinable())
        return;
    this->context.stop();
    this->thread.join();
}

void IoThread::post(std::function<void()> function)
{
    asio::post(this->context, std::move(function));
}

std::optional<RequestReport> IoThread::takeReport()
{
    return this->reports.pop();
}

bool IoThread::pushDirective(RequestDirective&& directive)
{
    if (!this->directives.push(std::move(directive)))
        return false;
    if (!this->isDrainPending.exchange(true))
        asio::post(this->context, [this] { this->drainDirectives(); });
    return true;
}

RequestId IoThread::makeRequestId()
{
    return (static_cast<RequestId>(this->index) << threadIndexShift) | ++this->requestCount;
}

std::size_t EntranceServer::threadOf(RequestId request)
{
    return request >> threadIndexShift;
}

bool IoThread::submit(RequestArrival&& arrival)
{
    if (!this->overflow.empty() || !this->reports.push(std::move(arrival)))
        return false;
    this->shared.onReports();
    return true;
}

void IoThread::report(RequestReport&& report)
{
    this->overflow.push_back(std::move(report));
    this->flushReports();
}

void IoThread::flushReports()
{
    bool hasPushed = false;
    while (!this->overflow.empty() && this->reports.push(std::move(this->overflow.front()))) {
        this->overflow.pop_front();
        hasPushed = true;
    }
    if (hasPushed)
        this->shared.onReports();
    if (this->overflow.empty() || this->isFlushPending)
        return;
    this->isFlushPending = true;
    this->flushTimer.expires_after(flushRetry);
    this->flushTimer.async_wait([this](const boost::system::error_code& error) {
        this->isFlushPending = false;
        if (!error)
            this->flushReports();
    });
}

void IoThread::addInbox(RequestId request, DirectiveInbox& inbox)
{
    this->inboxes.emplace(request, &inbox);
}

void IoThread::removeInbox(RequestId request)
{
    this->inboxes.erase(request);
}

void IoThread::drainDirectives()
{
    this->isDrainPending.store(false);
    while (auto directive = this->directives.pop())
        this->deliver(std::move(*directive));
}

void IoThread::deliver(RequestDirective&& directive)
{
    const RequestId request = std::visit([](const auto& one) { return one.request; }, directive);
    const auto found = this->inboxes.find(request);
    if (found == this->inboxes.end())
        return this->answerUnknown(directive);
    found->second->waiting.push_back(std::move(directive));
    found->second->signal.notify();
}

void IoThread::answerUnknown(const RequestDirective& directive)
{
    // The caller went away while the directive was under way: nothing of it was sent.
    const auto reportNotSent = [this](const auto& start) {
        this->report(AttemptEnded { start.request, start.attempt, AttemptResult::NotSent, 0, 0, 0 });
    };
    if (const auto* const attempt = std::get_if<StartAttempt>(&directive))
        reportNotSent(*attempt);
    else if (const auto* const relay = std::get_if<StartRelay>(&directive))
        reportNotSent(*relay);
}

void IoThread::serveRelayed(RelayedRequest request, const std::shared_ptr<RelayExchange>& answer)
{
    using RelayedExchange = Exchange<RelayWriter>;
    ExchangeRequest made;
    made.arrival = std::move(request.arrival);
    made.arrival.request = this->makeRequestId();
    made.head = std::move(request.head);
    made.body = request.body ? std::move(request.body) : std::make_shared<const std::string>();
    made.isChat = !made.arrival.model.isEmpty();
    made.deliveredTokens = request.resumeFromToken;
    const auto writer = std::make_shared<RelayWriter>(this->getExecutor(), answer);
    const auto exchange = std::make_shared<RelayedExchange>(*this, std::move(made), *writer);
    const auto wake = [weakExchange = std::weak_ptr(exchange), weakWriter = std::weak_ptr(writer)] {
        const auto target = weakWriter.lock();
        const auto running = weakExchange.lock();
        if (target)
            target->wake();
        if (target && running && target->isCancelled())
            running->leave();
    };
    answer->setProducerWake([executor = this->getExecutor(), wake] { asio::post(executor, wake); });
    const auto run
        = [](std::shared_ptr<RelayedExchange> one, std::shared_ptr<RelayWriter> kept) -> asio::awaitable<void> {
        co_await one->run();
        kept.reset();
    };
    spawnLogged(this->getExecutor(), run(exchange, writer));
}

asio::awaitable<void> IoThread::acceptLoop()
{
    asio::steady_timer pause(this->context);
    while (true) {
        auto [error, socket] = co_await this->acceptor.async_accept(useResult);
        if (!error) {
            this->accept(std::move(socket));
            continue;
        }
        if (error == asio::error::operation_aborted)
            co_return;
        logProblem(LogLevel::Warning, "accept_failed", error.message());
        pause.expires_after(acceptRetry);
        co_await pause.async_wait(useResult);
    }
}

void IoThread::accept(tcp::socket socket)
{
    if (this->shared.connections.fetch_add(1) >= this->shared.settings.maximumConnections) {
        spawnLogged(this->getExecutor(), this->turnAway(std::move(socket)));
        return;
    }
    std::make_shared<CallerConnection>(*this, std::move(socket))->start();
}

asio::awaitable<void> IoThread::turnAway(tcp::socket socket)
{
    CallerStream stream(std::move(socket), nullptr);
    if (!this->shared.tls) {
        AnswerWriter writer(stream, this->shared.settings, this->shared.isLeaving);
        writer.reset(0, false, false);
        const ErrorAnswer error = toErrorAnswer(EntranceFault::TooManyConnections);
        co_await writer.refuse(error);
    }
    stream.finishSending();
    this->shared.connections.fetch_sub(1);
}

asio::awaitable<void> IoThread::housekeepingLoop()
{
    asio::steady_timer timer(this->context);
    while (true) {
        timer.expires_after(housekeepingPeriod);
        const auto [error] = co_await timer.async_wait(useResult);
        if (error)
            co_return;
        this->pool.dropStale();
    }
}

} // namespace papayashelf
