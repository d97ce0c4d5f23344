#include "serving/upstream/UpstreamWatch.h"

#include "serving/upstream/UpstreamAttempt.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds checkLimit { 400 }; /**< Within a region; allows for many round trips and one lost packet. */

} // namespace

UpstreamWatch::UpstreamWatch(asio::any_io_executor executor, UpstreamPool& pool, GatewayCore& core, DecisionLog& log)
    : executor(std::move(executor))
    , pool(pool)
    , core(core)
    , log(log)
{
}

asio::awaitable<bool> UpstreamWatch::refusesConnections(UpstreamRecord upstream, Milliseconds limit)
{
    std::unique_ptr<UpstreamConnection> connection = this->pool.makeConnection(upstream.endpoint);
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(upstream.endpoint.address, failure);
    connection->deadline.setAfter(limit);
    std::tie(failure) = co_await connection->socket.async_connect({ address, upstream.endpoint.port }, useResult);
    if (!failure) {
        prepareUpstreamSocket(connection->socket);
        this->pool.giveBack(std::move(connection));
    }
    const bool isRefused = failure == asio::error::connection_refused;
    if (isRefused)
        this->noteRefusal(upstream);
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

void UpstreamWatch::noteRefusal(const UpstreamRecord& upstream)
{
    const KnownUpstream* known = this->core.getUpstreams().find(upstream.id);
    if (!known || known->running > 0 || this->pool.hasIdle(upstream.endpoint))
        return;
    const Milliseconds now = this->clock.now();
    if (!this->core.noteProcessEnded(now, upstream))
        return;
    this->log.write(now, LogWeight::Notable, "upstream_ended",
        { { "upstream", upstream.id.string() }, { "service", upstream.service.string() },
            { "started_at", boost::json::value(upstream.startedAt) } });
}

void UpstreamWatch::noteIdleConnectionEnded(const Endpoint& endpoint)
{
    for (const auto& [id, upstream] : this->core.getUpstreams().getAll()) {
        if (upstream.record.endpoint == endpoint && !upstream.hasEnded())
            return this->checkSoon(upstream.record);
    }
}

} // namespace papayashelf
