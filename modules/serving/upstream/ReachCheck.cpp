#include "serving/upstream/ReachCheck.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds connectLimit { 400 }; /**< Within a region; allows for many round trips and one lost packet. */

} // namespace

struct ReachCheck::Round {
    explicit Round(const asio::any_io_executor& executor)
        : ended(executor, asio::steady_timer::time_point::max())
    {
    }

    std::size_t tried = 0;
    std::size_t failed = 0;
    std::size_t reached = 0;
    bool isOver = false;
    asio::steady_timer ended; /**< Cancelled at the end. */
};

ReachCheck::ReachCheck(asio::any_io_executor executor, UpstreamPool& pool, GatewayCore& core, DecisionLog& log)
    : executor(std::move(executor))
    , pool(pool)
    , core(core)
    , log(log)
{
}

void ReachCheck::runIfDue()
{
    const Milliseconds now = this->clock.now();
    if (!this->current && this->core.getUpstreamReach().isCheckDue(now))
        this->begin(this->core.chooseCheckedUpstreams(now));
}

asio::awaitable<bool> ReachCheck::reachesOthers(UpstreamId ended)
{
    if (!this->current && !this->core.getUpstreamReach().isLost())
        this->begin(this->core.chooseOtherUpstreams(this->clock.now(), ended));
    if (this->current) {
        auto running = this->current;
        co_await running->ended.async_wait(useResult);
    }
    co_return !this->core.getUpstreamReach().isLost();
}

void ReachCheck::begin(const std::vector<UpstreamRecord>& upstreams)
{
    if (upstreams.empty())
        return;
    this->core.getUpstreamReach().noteCheckStarted(this->clock.now());
    this->current = std::make_shared<Round>(this->executor);
    this->current->tried = upstreams.size();
    for (const UpstreamRecord& upstream : upstreams)
        asio::co_spawn(this->executor, this->connect(this->current, upstream.endpoint), asio::detached);
}

asio::awaitable<void> ReachCheck::connect(std::shared_ptr<Round> round, Endpoint endpoint)
{
    const std::unique_ptr<UpstreamConnection> connection = this->pool.makeConnection(endpoint);
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(endpoint.address, failure);
    connection->deadline.setAfter(connectLimit);
    std::tie(failure) = co_await connection->socket.async_connect({ address, endpoint.port }, useResult);
    const bool isOpen = !failure && connection->socket.is_open();
    ++(isOpen ? round->reached : round->failed);
    // While the links are lost, the number that is reached counts; otherwise the first one is proof enough.
    const bool isProven = round->reached > 0 && !this->core.getUpstreamReach().isLost();
    if (isProven || round->reached + round->failed == round->tried)
        this->finish(round);
}

void ReachCheck::finish(const std::shared_ptr<Round>& round)
{
    if (std::exchange(round->isOver, true))
        return;
    this->current.reset();
    const Milliseconds now = this->clock.now();
    const Milliseconds lastContact = this->core.getUpstreamReach().getLastContact();
    const bool hasChanged = this->core.noteReachCheck(now, round->tried, round->reached);
    const bool isLost = this->core.getUpstreamReach().isLost();
    if (hasChanged) {
        this->log.write(now, LogWeight::Notable, isLost ? "upstreams_lost" : "upstreams_regained",
            { { "tried", boost::json::value(round->tried) }, { "reached", boost::json::value(round->reached) },
                { "last_contact_ms", boost::json::value((now - lastContact).count()) } });
    }
    round->ended.cancel();
    if (hasChanged && !isLost && this->onRegained)
        this->onRegained();
}

} // namespace papayashelf
