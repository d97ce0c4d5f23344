#pragma once

#include "entrance/server/EntranceSettings.h"
#include "entrance/upstream/UpstreamConnection.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayashelf {

/** Hashes an endpoint for one process's tables. */
struct EndpointHash {
    std::size_t operator()(const Endpoint& endpoint) const
    {
        return std::hash<std::string>()(endpoint.address) ^ endpoint.port;
    }
};

/** Why an idle connection was given up. */
enum class IdleEnd {
    Ended, /**< The upstream closed or reset it. */
    UnaskedBytes, /**< The upstream sent something while no request was under way. */
};

/**
    Keeps idle connections to upstreams for one I/O thread.

    Thread safety: none; owned by one I/O thread.
*/
class UpstreamPool {
public:
    /** @param settings  must outlive the pool */
    UpstreamPool(const boost::asio::any_io_executor& executor, const EntranceSettings& settings);

    /** Called with the connection that is given up. */
    using IdleEndHandler = std::function<void(const UpstreamConnection&, IdleEnd)>;

    /** Sets a function that is called when an upstream ends an idle connection or sends something on it; empty for
     * none. */
    void setIdleEndHandler(IdleEndHandler handler) { this->onIdleEnd = std::move(handler); }

    /** Returns true if there is an idle connection to the endpoint that is still open. */
    bool hasIdle(const Endpoint& endpoint) const;

    /**
        Takes the idle connection used last that is young enough, still open, and may carry the request; null if there
        is none.

        @param requestId  the id that the answer is to name; empty if the protocol has none
    */
    std::unique_ptr<UpstreamConnection> takeIdle(const Endpoint& endpoint, std::string_view requestId);

    /** Makes a connection that is not yet open. */
    std::unique_ptr<UpstreamConnection> makeConnection(const Endpoint& endpoint);

    /** Keeps a connection whose last answer was read whole, unless it has ended, it can carry no further request, or
        its endpoint was forgotten since it was opened. */
    void giveBack(std::unique_ptr<UpstreamConnection> connection);

    /** Closes the idle connections to an endpoint and keeps none of those in use: something on the way is dead. */
    void forget(const Endpoint& endpoint);

    /** Closes idle connections that may not be used again. Call now and then. */
    void dropStale();

    /** Closes all. */
    void clear();

private:
    struct Idle {
        std::uint64_t generation = 0;
        std::vector<std::unique_ptr<UpstreamConnection>> connections; /**< The one used last stands last. */
    };

    /** Returns why an idle connection cannot be used, or nothing if it can. */
    static std::optional<IdleEnd> findEnd(UpstreamConnection& connection);
    void watch(UpstreamConnection& connection);
    void dropEnded(UpstreamConnection& connection);
    bool isStale(const UpstreamConnection& connection, TimePoint now) const;

    boost::asio::any_io_executor executor;
    const EntranceSettings& settings;
    std::unordered_map<Endpoint, Idle, EndpointHash> endpoints;
    IdleEndHandler onIdleEnd;
    std::uint64_t connectionsMade = 0;
};

} // namespace papayashelf
