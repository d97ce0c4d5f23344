#include "serving/upstream/UpstreamWatch.h"

#include "serving/upstream/UpstreamAttempt.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <tuple>
#include <utility>

namespace papayashelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr Milliseconds checkLimit { 400 }; /**< Within a region; allows for many round trips and one lost packet. */
/** Between the bytes of all answers together of an upstream that runs some. */
constexpr Milliseconds longestSoundGap { 300 };
/** The links of many VMs heal at once, and each upstream is to be asked by all of them. */
constexpr Milliseconds longestQuestionDelay { 500 };
constexpr Milliseconds questionLimit { 1'000 }; /**< An upstream answers as soon as it has a free slot. */
constexpr std::size_t maximumHealthBytes = 64 * kibibyte; /**< Of the body, which is not used. */

} // namespace

UpstreamWatch::UpstreamWatch(asio::any_io_executor executor, UpstreamPool& pool, GatewayCore& core, DecisionLog& log,
    const HeaderNames& names, ReachCheck& reach)
    : executor(std::move(executor))
    , pool(pool)
    , core(core)
    , log(log)
    , names(names)
    , reach(reach)
{
}

asio::awaitable<bool> UpstreamWatch::refusesConnections(UpstreamRecord upstream, Milliseconds limit)
{
    Connection connection = this->pool.makeConnection(upstream.endpoint);
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(upstream.endpoint.address, failure);
    connection->deadline.setAfter(limit);
    std::tie(failure) = co_await connection->socket.async_connect({ address, upstream.endpoint.port }, useResult);
    const bool isRefused = failure == asio::error::connection_refused;
    if (isRefused)
        this->noteRefusal(upstream);
    else if (!failure && connection->socket.is_open())
        this->askSoon(upstream, std::move(connection));
    co_return isRefused;
}

void UpstreamWatch::checkSoon(const UpstreamRecord& upstream)
{
    if (!this->endpointsInCheck.insert(upstream.endpoint).second)
        return;
    const auto check = [](UpstreamWatch& watch, UpstreamRecord checked) -> asio::awaitable<void> {
        co_await watch.refusesConnections(checked, checkLimit);
        watch.endpointsInCheck.erase(checked.endpoint);
    };
    asio::co_spawn(this->executor, check(*this, upstream), asio::detached);
}

void UpstreamWatch::askSoon(const UpstreamRecord& upstream, Connection connection)
{
    const auto& configuration = this->core.getConfiguration();
    if (!configuration)
        return;
    const ServingService& service = configuration->getService(upstream.service);
    const bool maySay = service.coldRequestsPerSecond > 0 && !service.healthPath.empty();
    if (!maySay || !this->endpointsInQuestion.insert(upstream.endpoint).second)
        return;
    asio::co_spawn(this->executor, this->ask(upstream, service, std::move(connection)), asio::detached);
}

asio::awaitable<void> UpstreamWatch::ask(UpstreamRecord upstream, ServingService service, Connection connection)
{
    prepareUpstreamSocket(connection->socket);
    const std::optional<Milliseconds> coldFor = co_await this->readColdTime(service.healthPath, *connection);
    this->endpointsInQuestion.erase(upstream.endpoint);
    const KnownUpstream* known = this->core.getUpstreams().find(upstream.id);
    const Milliseconds now = this->clock.now();
    if (known && coldFor && *coldFor <= Milliseconds(0))
        this->core.getUpstreams().refuteEnd(upstream.id);
    if (!known || !coldFor || *coldFor <= Milliseconds(0) || (known->isCold(now) && !known->isEndUncertain))
        co_return;
    if (this->core.noteProcessEnded(now, upstream))
        this->logEnd(now, upstream, "its_health");
    this->core.noteReturned(now, upstream, std::min(*coldFor, service.coldDuration));
}

asio::awaitable<std::optional<Milliseconds>> UpstreamWatch::readColdTime(
    const std::string& healthPath, UpstreamConnection& connection)
{
    const std::string question
        = "GET " + healthPath + " HTTP/1.1\r\nHost: " + connection.endpoint.string() + "\r\nConnection: close\r\n\r\n";
    connection.deadline.setAfter(questionLimit);
    const auto [unsent, written] = co_await asio::async_write(connection.socket, asio::buffer(question), useResult);
    if (unsent)
        co_return std::nullopt;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maximumHealthBytes);
    const auto [unread, read] = co_await http::async_read(connection.socket, connection.buffer, parser, useResult);
    if (unread)
        co_return std::nullopt;
    const auto text = parser.get()[this->names.coldFor];
    std::int64_t coldFor = 0;
    std::from_chars(text.data(), text.data() + text.size(), coldFor);
    // An upstream that is just starting may answer without the time.
    if (coldFor <= 0 && parser.get().result() != http::status::ok)
        co_return std::nullopt;
    co_return Milliseconds(coldFor);
}

void UpstreamWatch::noteRefusal(const UpstreamRecord& upstream)
{
    const KnownUpstream* known = this->core.getUpstreams().find(upstream.id);
    if (!known)
        return;
    const Milliseconds now = this->clock.now();
    const bool hasIdle = this->pool.hasIdle(upstream.endpoint);
    if (known->running == 0 && !hasIdle)
        return this->noteProbableEnd(now, upstream, "connection_refused");
    // The connections of a process that has ended may stay open for as long as nothing is sent on them. A process at
    // its maximum of connections refuses more of them, too, but goes on with its answers.
    const Milliseconds silentFor = now - known->lastBytesAt;
    if (known->running > 0 && known->lastBytesAt > Milliseconds(0) && silentFor >= longestSoundGap)
        return this->noteProbableEnd(now, upstream, "refused_and_silent");
    this->log.write(now, LogWeight::Notable, "upstream_refused_connection",
        { { "upstream", upstream.id.string() }, { "running", boost::json::value(known->running) },
            { "idle", boost::json::value(hasIdle) }, { "silent_ms", boost::json::value(silentFor.count()) } });
}

void UpstreamWatch::noteProbableEnd(Milliseconds now, const UpstreamRecord& upstream, std::string_view evidence)
{
    if (this->core.noteProbableEnd(now, upstream))
        this->logEnd(now, upstream, evidence);
    asio::co_spawn(this->executor, this->confirmEnd(upstream.id), asio::detached);
}

void UpstreamWatch::logEnd(Milliseconds now, const UpstreamRecord& upstream, std::string_view evidence)
{
    this->log.write(now, LogWeight::Notable, "upstream_ended",
        { { "upstream", upstream.id.string() }, { "service", upstream.service.string() },
            { "started_at", boost::json::value(upstream.startedAt) }, { "evidence", evidence } });
}

asio::awaitable<void> UpstreamWatch::confirmEnd(UpstreamId upstream)
{
    const bool hasEnded = co_await this->reachesOthers(upstream);
    if (hasEnded)
        this->core.getUpstreams().confirmEnd(upstream);
}

void UpstreamWatch::askUncertain()
{
    std::uniform_int_distribution<std::int64_t> spread(0, longestQuestionDelay.count());
    for (const auto& [id, upstream] : this->core.getUpstreams().getAll()) {
        if (upstream.isEndUncertain)
            asio::co_spawn(
                this->executor, this->askLater(upstream.record, Milliseconds(spread(this->random))), asio::detached);
    }
}

asio::awaitable<void> UpstreamWatch::askLater(UpstreamRecord upstream, Milliseconds delay)
{
    asio::steady_timer timer(this->executor, std::chrono::milliseconds(delay.count()));
    co_await timer.async_wait(useResult);
    co_await this->refusesConnections(upstream, checkLimit);
}

void UpstreamWatch::noteIdleConnectionEnded(const Endpoint& endpoint)
{
    for (const auto& [id, upstream] : this->core.getUpstreams().getAll()) {
        if (upstream.record.endpoint == endpoint && !upstream.hasEnded())
            return this->checkSoon(upstream.record);
    }
}

} // namespace papayashelf
