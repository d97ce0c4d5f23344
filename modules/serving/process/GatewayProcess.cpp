#include "serving/process/GatewayProcess.h"

#include "foundation/hashing/Sha256.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <random>
#include <unistd.h>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

/** Interval for expiring state, flushing the log and closing idle connections. */
constexpr std::chrono::milliseconds tickInterval { 100 };
/** Interval of checks whether the last request has ended. */
constexpr std::chrono::milliseconds stopPollInterval { 50 };
constexpr Milliseconds upstreamIdleTimeout { 4'000 }; /**< Shorter than the idle timeouts that upstreams announce. */
/** Per upstream; the number of requests that an engine runs at once. */
constexpr std::size_t maximumIdleConnections = 64;

// Two thirds of the smallest VM's memory together; the rest is for connections and state.
constexpr std::size_t answerMemoryBytes = 32 * mebibyte;
constexpr std::size_t smallRequestMemoryBytes = 8 * mebibyte;
constexpr std::size_t largeRequestMemoryBytes = 64 * mebibyte;

std::string makeRelayKey()
{
    std::random_device random;
    std::string bytes;
    for (int word = 0; word < 8; ++word)
        bytes += std::to_string(random()) + '/';
    return sha256Hex(bytes);
}

EntranceSettings makePoolSettings()
{
    EntranceSettings settings;
    settings.maximumIdlePerUpstream = maximumIdleConnections;
    settings.maximumUpstreamIdle = upstreamIdleTimeout;
    return settings;
}

} // namespace

GatewayProcess::GatewayProcess(const GatewaySettings& settings, HeaderNames names)
    : settings(settings)
    , names(std::move(names))
    , answerMemory(answerMemoryBytes)
    , requestMemory(smallRequestMemoryBytes, largeRequestMemoryBytes)
    , log(STDOUT_FILENO)
    , core(settings, makeRelayKey(), std::random_device {}())
    , poolSettings(makePoolSettings())
    , pool(this->context.get_executor(), this->poolSettings)
    , reachCheck(this->context.get_executor(), this->pool, this->core, this->log)
    , upstreamWatch(this->context.get_executor(), this->pool, this->core, this->log, this->names, this->reachCheck)
    , digests(this->context.get_executor(), this->core, this->log)
    , streamOrigins(this->context.get_executor(), this->core, this->digests)
    , serving { this->core, this->pool, this->upstreamWatch, this->streamOrigins, this->answerMemory,
        this->requestMemory, this->log, this->metrics, this->openRequests, this->names, Clock() }
    , signals(this->context, SIGTERM, SIGHUP, SIGINT)
{
    std::signal(SIGPIPE, SIG_IGN);
    this->pool.setIdleEndHandler([this](const UpstreamConnection& connection, IdleEnd end) {
        if (end == IdleEnd::Ended)
            this->upstreamWatch.noteIdleConnectionEnded(connection.endpoint);
        else
            this->metrics.noteDroppedAnswer("unasked");
    });
    this->reachCheck.setRegainedHandler([this] { this->upstreamWatch.askUncertain(); });
    this->log.setCommon({ { "vm", settings.vm.string() } });
}

Outcome<void> GatewayProcess::open(ProcessHooks newHooks)
{
    this->hooks = std::move(newHooks);
    const GatewayListeners& at = this->settings.listeners;
    BOOST_OUTCOME_TRY(this->callersEndpoint, this->listenForRequests(at.callers, SenderKind::Caller));
    BOOST_OUTCOME_TRY(this->relaysEndpoint, this->listenForRequests(at.relays, SenderKind::Vm));
    BOOST_OUTCOME_TRY(this->digests.open(this->relaysEndpoint));
    BOOST_OUTCOME_TRY(this->listenForSimpleRequests(at.readiness, this->hooks.readiness));
    BOOST_OUTCOME_TRY(this->listenForSimpleRequests(at.entries, this->hooks.entries));
    return this->listenForSimpleRequests(at.metrics, [this](std::string_view) {
        return SimpleHttpResponse { 200, "text/plain", this->formatMetrics() };
    });
}

Outcome<void> GatewayProcess::listenForSimpleRequests(const Endpoint& at, const SimpleHttpHandler& handler)
{
    BOOST_OUTCOME_TRY(auto acceptor, openAcceptor(this->context.get_executor(), at));
    auto sharedAcceptor = std::make_shared<asio::ip::tcp::acceptor>(std::move(acceptor));
    auto serveConnection = [handler](asio::ip::tcp::socket socket) {
        const auto executor = socket.get_executor();
        asio::co_spawn(executor, serveSimpleRequests(std::move(socket), handler), asio::detached);
    };
    asio::co_spawn(this->context, acceptConnections(sharedAcceptor, serveConnection), asio::detached);
    return boost::outcome_v2::success();
}

Outcome<Endpoint> GatewayProcess::listenForRequests(const Endpoint& at, SenderKind sender)
{
    BOOST_OUTCOME_TRY(auto acceptor, openAcceptor(this->context.get_executor(), at));
    const std::uint16_t port = acceptor.local_endpoint().port();
    auto sharedAcceptor = std::make_shared<asio::ip::tcp::acceptor>(std::move(acceptor));
    auto serveConnection = [this, sender](asio::ip::tcp::socket socket) {
        std::make_shared<CallerSession>(std::move(socket), sender, this->serving)->start();
    };
    asio::co_spawn(this->context, acceptConnections(sharedAcceptor, serveConnection), asio::detached);
    return Endpoint { at.address, port };
}

void GatewayProcess::run()
{
    asio::co_spawn(this->context, this->watchSignals(), asio::detached);
    asio::co_spawn(this->context, this->runPeriodicTasks(), asio::detached);
    asio::co_spawn(this->context, this->digests.sendPeriodically(), asio::detached);
    asio::co_spawn(this->context, this->digests.receive(), asio::detached);
    this->log.write(this->serving.clock.now(), LogWeight::Notable, "started",
        { { "region", this->settings.region.string() }, { "callers", this->settings.listeners.callers.string() } });
    this->context.run();
    this->log.write(this->serving.clock.now(), LogWeight::Notable, "stopped",
        { { "open_requests", boost::json::value(this->metrics.countOpenRequests()) } });
    this->log.flush();
}

asio::awaitable<void> GatewayProcess::watchSignals()
{
    while (true) {
        const auto [failure, signal] = co_await this->signals.async_wait(useResult);
        if (failure)
            co_return;
        this->log.write(this->serving.clock.now(), LogWeight::Notable, signal == SIGHUP ? "reload" : "stopping",
            { { "signal", boost::json::value(signal) } });
        if (signal == SIGHUP) {
            this->hooks.onReload();
            continue;
        }
        this->beginStopping();
    }
}

void GatewayProcess::beginStopping()
{
    if (this->core.isStopping())
        return;
    this->core.beginStopping(this->serving.clock.now());
    this->hooks.onStopping();
    asio::co_spawn(this->context, this->stopGracefully(), asio::detached);
}

asio::awaitable<void> GatewayProcess::stopGracefully()
{
    const StopSchedule stop = *this->core.getStop();
    asio::steady_timer timer(this->context);
    Milliseconds now = this->serving.clock.now();
    while (now < stop.getProcessEnd() && (stop.takesRequests(now) || !this->openRequests.isEmpty())) {
        if (now >= stop.getRequestsEnd())
            this->openRequests.noteStopped();
        const Milliseconds nextEnd = now < stop.getRequestsEnd() ? stop.getRequestsEnd() : stop.getProcessEnd();
        timer.expires_after(std::min(stopPollInterval, std::chrono::milliseconds((nextEnd - now).count())));
        co_await timer.async_wait(useResult);
        now = this->serving.clock.now();
    }
    this->context.stop();
}

asio::awaitable<void> GatewayProcess::runPeriodicTasks()
{
    asio::steady_timer timer(this->context);
    while (true) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(useResult);
        this->core.tick(this->serving.clock.now());
        this->reachCheck.runIfDue();
        this->reportQuarantineChanges();
        this->pool.dropStale();
        this->log.flush();
    }
}

std::string_view GatewayProcess::nameQuarantineStep(QuarantineStep step)
{
    switch (step) {
    case QuarantineStep::Began:
        return "quarantine_began";
    case QuarantineStep::Confirmed:
        return "quarantine_confirmed";
    case QuarantineStep::Ended:
        return "quarantine_ended";
    }
    return "unknown";
}

void GatewayProcess::reportQuarantineChanges()
{
    for (const QuarantineChange& change : this->core.getQuarantine().takeChanges()) {
        boost::json::array parts;
        for (const PromptPartId& part : change.prompt.parts)
            parts.emplace_back(part.string());
        this->log.write(this->serving.clock.now(), LogWeight::Notable, nameQuarantineStep(change.step),
            { { "service", change.prompt.service.string() }, { "prompt_parts", parts }, { "cause", change.cause } });
        this->hooks.onQuarantineChange(change);
    }
}

std::string GatewayProcess::formatMetrics() const
{
    const Milliseconds now = this->serving.clock.now();
    std::string text = this->metrics.formatText();
    const auto gauge = [&text](std::string_view name, std::int64_t value) {
        text.append("# TYPE ").append(name).append(" gauge\n");
        text.append(name).append(" ").append(std::to_string(value)).append("\n");
    };
    const auto& configuration = this->core.getConfiguration();
    gauge("papayashelf_configuration_version",
        configuration ? static_cast<std::int64_t>(configuration->getVersion()) : 0);
    gauge("papayashelf_configuration_age_milliseconds", this->core.getConfigurationAge(now).count());
    text.append("# TYPE papayashelf_unread_tokens gauge\n");
    for (const auto& [service, load] : this->core.getUpstreams().measureLoad(this->settings.region)) {
        text.append("papayashelf_unread_tokens{service=\"").append(service.string()).append("\"} ");
        text.append(std::to_string(load.pendingPrefillTokens)).append("\n");
    }
    gauge("papayashelf_reaches_upstreams", this->core.getUpstreamReach().isLost() ? 0 : 1);
    gauge("papayashelf_upstreams", static_cast<std::int64_t>(this->core.getUpstreams().getAll().size()));
    const auto& upstreams = this->core.getUpstreams().getAll();
    gauge("papayashelf_limited_upstreams", std::count_if(upstreams.begin(), upstreams.end(), [](const auto& entry) {
        return entry.second.requestsPerSecond.has_value();
    }));
    gauge("papayashelf_upstreams_that_limit_rejections",
        std::count_if(upstreams.begin(), upstreams.end(),
            [](const auto& entry) { return entry.second.rejectionLimit.has_value(); }));
    gauge("papayashelf_leaving_upstreams", std::count_if(upstreams.begin(), upstreams.end(), [](const auto& entry) {
        return entry.second.record.isLeaving || entry.second.leavingSince;
    }));
    gauge("papayashelf_rejecting_upstreams",
        std::count_if(
            upstreams.begin(), upstreams.end(), [now](const auto& entry) { return entry.second.isRejecting(now); }));
    gauge("papayashelf_quarantined_prompts", static_cast<std::int64_t>(this->core.getQuarantine().getAll(now).size()));
    gauge("papayashelf_stream_origins", static_cast<std::int64_t>(this->core.getStreamOrigins().count()));
    gauge("papayashelf_vms", static_cast<std::int64_t>(this->core.getVms().getAll().size()));
    gauge("papayashelf_log_lines_left_out", static_cast<std::int64_t>(this->log.countDropped()));
    return text;
}

} // namespace papayashelf
