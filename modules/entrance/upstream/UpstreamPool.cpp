#include "entrance/upstream/UpstreamPool.h"

#include <algorithm>
#include <iterator>

namespace papayashelf {

namespace asio = boost::asio;

UpstreamPool::UpstreamPool(const asio::any_io_executor& executor, const EntranceSettings& settings)
    : executor(executor)
    , settings(settings)
{
}

std::unique_ptr<UpstreamConnection> UpstreamPool::takeIdle(const Endpoint& endpoint, std::string_view requestId)
{
    auto& idle = this->endpoints[endpoint].connections;
    while (true) {
        const auto suitable = std::find_if(
            idle.rbegin(), idle.rend(), [&](const auto& connection) { return connection->mayCarry(requestId); });
        if (suitable == idle.rend())
            return nullptr;
        const auto position = std::prev(suitable.base());
        std::unique_ptr<UpstreamConnection> connection = std::move(*position);
        idle.erase(position);
        if (connection->idleWatch) {
            connection->idleWatch.reset();
            boost::system::error_code ignored;
            connection->socket.cancel(ignored);
        }
        if (this->isStale(*connection, std::chrono::steady_clock::now()))
            continue;
        const std::optional<IdleEnd> end = findEnd(*connection);
        if (!end)
            return connection;
        if (this->onIdleEnd)
            this->onIdleEnd(*connection, *end);
    }
}

std::unique_ptr<UpstreamConnection> UpstreamPool::makeConnection(const Endpoint& endpoint)
{
    auto connection = std::make_unique<UpstreamConnection>(this->executor);
    connection->endpoint = endpoint;
    connection->number = ++this->connectionsMade;
    connection->idleLimit = this->settings.maximumUpstreamIdle;
    connection->openedAt = std::chrono::steady_clock::now();
    connection->generation = this->endpoints[endpoint].generation;
    return connection;
}

void UpstreamPool::giveBack(std::unique_ptr<UpstreamConnection> connection)
{
    Idle& idle = this->endpoints[connection->endpoint];
    const bool isTrusted = idle.generation == connection->generation && connection->buffer.size() == 0
        && !connection->end.isKnown() && connection->mayCarry({});
    if (!isTrusted || idle.connections.size() >= this->settings.maximumIdlePerUpstream)
        return;
    connection->buffer.shrink_to_fit();
    connection->deadline.clear();
    connection->idleSince = std::chrono::steady_clock::now();
    idle.connections.push_back(std::move(connection));
    if (this->onIdleEnd)
        this->watch(*idle.connections.back());
}

bool UpstreamPool::hasIdle(const Endpoint& endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    return found != this->endpoints.end()
        && std::any_of(found->second.connections.begin(), found->second.connections.end(),
            [](const auto& connection) { return !findEnd(*connection); });
}

void UpstreamPool::watch(UpstreamConnection& connection)
{
    connection.idleWatch = std::make_shared<int>();
    connection.socket.async_wait(asio::socket_base::wait_read,
        [this, &connection, weak = std::weak_ptr<void>(connection.idleWatch)](const boost::system::error_code&) {
            // Without the watch, the connection is in use or no longer exists.
            if (!weak.expired())
                this->dropEnded(connection);
        });
}

void UpstreamPool::dropEnded(UpstreamConnection& connection)
{
    auto& idle = this->endpoints[connection.endpoint].connections;
    const auto position
        = std::find_if(idle.begin(), idle.end(), [&](const auto& other) { return other.get() == &connection; });
    const std::unique_ptr<UpstreamConnection> ended = std::move(*position);
    idle.erase(position);
    this->onIdleEnd(*ended, findEnd(*ended).value_or(IdleEnd::Ended));
}

void UpstreamPool::forget(const Endpoint& endpoint)
{
    Idle& idle = this->endpoints[endpoint];
    ++idle.generation;
    idle.connections.clear();
}

void UpstreamPool::dropStale()
{
    const TimePoint now = std::chrono::steady_clock::now();
    for (auto& [endpoint, idle] : this->endpoints)
        std::erase_if(idle.connections, [&](const auto& connection) { return this->isStale(*connection, now); });
}

void UpstreamPool::clear()
{
    for (auto& [endpoint, idle] : this->endpoints)
        idle.connections.clear();
}

std::optional<IdleEnd> UpstreamPool::findEnd(UpstreamConnection& connection)
{
    const boost::system::error_code error = connection.peek();
    if (error == asio::error::would_block || error == asio::error::try_again)
        return std::nullopt;
    return error ? IdleEnd::Ended : IdleEnd::UnaskedBytes;
}

bool UpstreamPool::isStale(const UpstreamConnection& connection, TimePoint now) const
{
    return now - connection.idleSince > std::chrono::milliseconds(connection.idleLimit.count())
        || now - connection.openedAt > std::chrono::milliseconds(this->settings.maximumUpstreamAge.count());
}

} // namespace papayashelf
