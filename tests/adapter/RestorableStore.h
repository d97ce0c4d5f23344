#pragma once

#include "standins/engine/StandinHttp.h"
#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayashelf {

inline bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

/** A reply that a RestorableStore gives instead of its own. */
struct ScriptedReply {
    std::int64_t era = 0; /**< 0 for no header. */
    int status = 200;
    std::string body;
    std::chrono::milliseconds delay {};
};

/**
    The platform's store over HTTP, with items, revisions, leases and watches, that can go back to an earlier copy.

    Thread safety: all public functions may be called from any thread.
*/
class RestorableStore {
public:
    RestorableStore();
    ~RestorableStore() { this->http.stop(); }

    const Endpoint& getEndpoint() const { return this->endpoint; }

    /** Writes an item as the operator or an upstream does. Returns its revision. */
    std::int64_t write(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /** Grants a lease to another VM. Returns its id. */
    std::int64_t grantLease();

    /** Keeps the present state for restoreCopy(). */
    void saveCopy();

    /** Goes back to the saved state in a new era. */
    void restoreCopy();

    /** Gives this reply to the next call whose target contains the text. */
    void scriptReply(const std::string& target, ScriptedReply reply);

    /** Lets replies to watches hold no more than so many changes from now on; the rest follows with the next one. */
    void setMaximumChanges(std::size_t count);

    /** Rejects all calls, or answers them again. */
    void setAway(bool isAway);

    std::optional<std::string> getValue(const std::string& key) const;
    std::int64_t getLease(const std::string& key) const;

    /** The targets of the calls so far. */
    std::vector<std::string> getTargets() const;
    int countTargets(const std::string& part) const;

private:
    struct Item {
        std::string value; /**< Base64. */
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };

    struct Change {
        std::string key;
        std::optional<Item> item; /**< As it was written; empty if it was removed. */
    };

    struct State {
        std::map<std::string, Item> items;
        std::map<std::int64_t, Change> changes; /**< By revision. */
        std::set<std::int64_t> leases;
        std::int64_t revision = 30;
        std::int64_t lastLease = 0;
    };

    struct Reply {
        int status = 200;
        boost::json::object body;
    };

    boost::asio::awaitable<bool> answer(const StandinHttp::Request& request, StandinHttp::Stream& stream);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds duration);
    std::optional<ScriptedReply> takeScripted(const std::string& target);
    Reply handle(const std::string& target, const std::string& body);
    Reply handleRange() const;
    Reply handleTransaction(const std::string& body);
    /** Returns nothing while the watch has to wait. */
    std::optional<Reply> handleWatch(std::int64_t after) const;
    std::int64_t put(const std::string& key, const std::string& base64, std::int64_t lease);
    static boost::json::object describe(const std::string& key, const Item& item);

    StandinHttp http;
    Endpoint endpoint;
    mutable std::mutex mutex;
    State state;
    State copy;
    std::int64_t era = 1;
    std::size_t maximumChanges = std::numeric_limits<std::size_t>::max();
    bool isAway = false;
    std::deque<std::pair<std::string, ScriptedReply>> script;
};

} // namespace papayashelf
