#include "entrance/server/EntranceServer.h"

#include "entrance/server/IoThread.h"
#include <cassert>

namespace papayashelf {

namespace ssl = boost::asio::ssl;

namespace {

constexpr std::size_t maximumThreads = 64;

Outcome<std::unique_ptr<ssl::context>> loadTls(const EntranceSettings& settings)
{
    if (settings.certificateFile.empty() != settings.privateKeyFile.empty())
        return Error { ErrorCode::InvalidArgument, "a certificate and a private key are only of use together" };
    if (settings.certificateFile.empty())
        return std::unique_ptr<ssl::context>();
    auto context = std::make_unique<ssl::context>(ssl::context::tls_server);
    boost::system::error_code error;
    context->set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1, error);
    context->use_certificate_chain_file(settings.certificateFile, error);
    if (error)
        return Error { ErrorCode::InvalidArgument, settings.certificateFile + ": " + error.message() };
    context->use_private_key_file(settings.privateKeyFile, ssl::context::pem, error);
    if (error)
        return Error { ErrorCode::InvalidArgument, settings.privateKeyFile + ": " + error.message() };
    return context;
}

} // namespace

struct EntranceServer::State {
    EntranceShared shared;
    std::vector<std::unique_ptr<IoThread>> threads;
    std::atomic<std::size_t> nextRelayThread = 0;
    bool isRunning = false;
};

EntranceServer::EntranceServer(EntranceSettings settings, std::function<void()> onReports)
    : state(std::make_unique<State>())
{
    this->state->shared.settings = std::move(settings);
    this->state->shared.onReports = std::move(onReports);
}

EntranceServer::~EntranceServer()
{
    this->stop();
}

void EntranceServer::setEntryProvider(EntryProvider provider)
{
    assert(!this->state->isRunning);
    this->state->shared.entryProvider = std::move(provider);
}

void EntranceServer::setHeadCheck(HeadCheck check)
{
    assert(!this->state->isRunning);
    this->state->shared.headCheck = std::move(check);
}

void EntranceServer::setRelayTransport(RelayTransport transport)
{
    assert(!this->state->isRunning);
    this->state->shared.relayTransport = std::move(transport);
}

Outcome<Endpoint> EntranceServer::start()
{
    assert(!this->state->isRunning);
    const EntranceSettings& settings = this->state->shared.settings;
    if (settings.threads < 1 || settings.threads > maximumThreads)
        return Error { ErrorCode::InvalidArgument, "there must be 1 to 64 I/O threads" };
    BOOST_OUTCOME_TRY(this->state->shared.tls, loadTls(settings));
    std::vector<std::unique_ptr<IoThread>> threads;
    Endpoint endpoint = settings.listen;
    for (std::size_t index = 0; index < settings.threads; ++index) {
        threads.push_back(std::make_unique<IoThread>(index, this->state->shared));
        BOOST_OUTCOME_TRY(endpoint, threads.back()->listen(endpoint));
    }
    this->state->threads = std::move(threads);
    for (const auto& thread : this->state->threads)
        thread->start();
    this->state->isRunning = true;
    return endpoint;
}

void EntranceServer::beginLeaving()
{
    this->state->shared.isLeaving = true;
}

void EntranceServer::stop()
{
    // The threads stay until the end, so that the rings may still be read.
    for (const auto& thread : this->state->threads)
        thread->stop();
}

std::size_t EntranceServer::getThreadCount() const
{
    return this->state->threads.size();
}

std::size_t EntranceServer::getConnectionCount() const
{
    return this->state->shared.connections;
}

std::optional<RequestReport> EntranceServer::takeReport(std::size_t thread)
{
    return this->state->threads[thread]->takeReport();
}

bool EntranceServer::pushDirective(std::size_t thread, RequestDirective&& directive)
{
    return this->state->threads[thread]->pushDirective(std::move(directive));
}

void EntranceServer::serveRelayed(RelayedRequest request, std::shared_ptr<RelayExchange> answer)
{
    IoThread& thread = *this->state->threads[this->state->nextRelayThread++ % this->state->threads.size()];
    thread.post([&thread, request = std::move(request), answer = std::move(answer)]() mutable {
        thread.serveRelayed(std::move(request), answer);
    });
}

void EntranceServer::setLoadSources(std::vector<LoadSource> sources, Milliseconds period)
{
    IoThread& thread = *this->state->threads.front();
    thread.post([&thread, sources = std::move(sources), period]() mutable {
        thread.setLoadSources(std::move(sources), period);
    });
}

} // namespace papayashelf
