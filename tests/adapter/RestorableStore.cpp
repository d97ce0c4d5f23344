#include "adapter/RestorableStore.h"

#include "adapter/Decoding.h"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace papayashelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds watchPollInterval { 10 };
constexpr int maximumWatchPolls = 3'000; /**< The store's longest watch. */

std::int64_t findNumber(const std::string& target, const std::string& name)
{
    const std::size_t begin = target.find(name + "=");
    return begin == std::string::npos ? 0 : std::stoll(target.substr(begin + name.size() + 1));
}

} // namespace

RestorableStore::RestorableStore()
    : http(Endpoint { "127.0.0.1", 0 })
{
    this->endpoint = this->http.start([this](const StandinHttp::Request& request, StandinHttp::Stream& stream) {
        return this->answer(request, stream);
    });
}

std::int64_t RestorableStore::write(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(this->mutex);
    return this->put(key, encodeBase64(value), 0);
}

std::int64_t RestorableStore::put(const std::string& key, const std::string& base64, std::int64_t lease)
{
    const std::int64_t revision = ++this->state.revision;
    this->state.items[key] = { base64, revision, lease };
    this->state.changes[revision] = { key, this->state.items[key] };
    return revision;
}

void RestorableStore::remove(const std::string& key)
{
    const std::lock_guard lock(this->mutex);
    this->state.items.erase(key);
    this->state.changes[++this->state.revision] = { key, std::nullopt };
}

std::int64_t RestorableStore::grantLease()
{
    const std::lock_guard lock(this->mutex);
    this->state.leases.insert(++this->state.lastLease);
    return this->state.lastLease;
}

void RestorableStore::saveCopy()
{
    const std::lock_guard lock(this->mutex);
    this->copy = this->state;
}

void RestorableStore::restoreCopy()
{
    const std::lock_guard lock(this->mutex);
    this->state = this->copy;
    ++this->era;
}

void RestorableStore::scriptReply(const std::string& target, ScriptedReply reply)
{
    const std::lock_guard lock(this->mutex);
    this->script.emplace_back(target, std::move(reply));
}

void RestorableStore::setMaximumChanges(std::size_t count)
{
    const std::lock_guard lock(this->mutex);
    this->maximumChanges = count;
}

void RestorableStore::setAway(bool away)
{
    const std::lock_guard lock(this->mutex);
    this->isAway = away;
}

std::optional<std::string> RestorableStore::getValue(const std::string& key) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->state.items.find(key);
    return found == this->state.items.end() ? std::nullopt : std::optional(found->second.value);
}

std::int64_t RestorableStore::getLease(const std::string& key) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->state.items.find(key);
    return found == this->state.items.end() ? 0 : found->second.lease;
}

std::vector<std::string> RestorableStore::getTargets() const
{
    std::vector<std::string> targets;
    for (const StandinRequest& request : this->http.getRequests())
        targets.push_back(request.target);
    return targets;
}

int RestorableStore::countTargets(const std::string& part) const
{
    const std::vector<std::string> targets = this->getTargets();
    return static_cast<int>(std::count_if(
        targets.begin(), targets.end(), [&](const std::string& target) { return contains(target, part); }));
}

std::optional<ScriptedReply> RestorableStore::takeScripted(const std::string& target)
{
    const std::lock_guard lock(this->mutex);
    const auto found = std::find_if(
        this->script.begin(), this->script.end(), [&](const auto& entry) { return contains(target, entry.first); });
    if (found == this->script.end())
        return std::nullopt;
    ScriptedReply reply = found->second;
    this->script.erase(found);
    return reply;
}

asio::awaitable<void> RestorableStore::wait(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(this->http.getExecutor(), duration);
    co_await timer.async_wait(standinResult);
}

asio::awaitable<bool> RestorableStore::answer(const StandinHttp::Request& request, StandinHttp::Stream& stream)
{
    const std::string target(request.target());
    ScriptedReply reply;
    if (const std::optional<ScriptedReply> scripted = this->takeScripted(target)) {
        reply = *scripted;
        co_await this->wait(reply.delay);
    } else {
        std::optional<Reply> own;
        const bool isWatch = contains(target, "kv-watch");
        const auto polls = isWatch
            ? std::min<std::int64_t>(findNumber(target, "wait_ms") / watchPollInterval.count(), maximumWatchPolls)
            : 0;
        for (std::int64_t poll = 0; isWatch && !own && poll < polls; ++poll) {
            {
                const std::lock_guard lock(this->mutex);
                own = this->handleWatch(findNumber(target, "after"));
                reply.era = this->era;
            }
            if (!own)
                co_await this->wait(watchPollInterval);
        }
        const std::lock_guard lock(this->mutex);
        if (!own)
            own = this->handle(target, request.body());
        reply.era = this->era;
        reply.status = own->status;
        reply.body = json::serialize(own->body);
    }
    http::response<http::string_body> response(http::int_to_status(static_cast<unsigned>(reply.status)), 11);
    response.set(http::field::content_type, "application/json");
    if (reply.era > 0)
        response.set("Store-Era", std::to_string(reply.era));
    response.keep_alive(request.keep_alive());
    response.body() = reply.body;
    response.prepare_payload();
    const auto [error, written] = co_await http::async_write(stream, response, standinResult);
    co_return !error && request.keep_alive();
}

json::object RestorableStore::describe(const std::string& key, const Item& item)
{
    return { { "key", key }, { "revision", item.revision }, { "value", item.value }, { "lease", item.lease } };
}

std::optional<RestorableStore::Reply> RestorableStore::handleWatch(std::int64_t after) const
{
    if (this->isAway)
        return Reply { 503, {} };
    if (after > this->state.revision)
        return Reply { 410, {} };
    json::array events;
    std::int64_t revision = this->state.revision;
    for (auto change = this->state.changes.upper_bound(after); change != this->state.changes.end(); ++change) {
        const auto& [key, item] = change->second;
        events.push_back(item ? describe(key, *item)
                              : json::object { { "key", key }, { "revision", change->first }, { "removed", true } });
        if (events.size() < this->maximumChanges)
            continue;
        revision = change->first;
        break;
    }
    if (events.empty())
        return std::nullopt;
    return Reply { 200, { { "events", events }, { "store_revision", revision } } };
}

RestorableStore::Reply RestorableStore::handleRange() const
{
    json::array items;
    for (const auto& [key, item] : this->state.items)
        items.push_back(describe(key, item));
    return { 200, { { "items", items }, { "truncated", false }, { "store_revision", this->state.revision } } };
}

RestorableStore::Reply RestorableStore::handleTransaction(const std::string& body)
{
    const json::value value = json::parse(body);
    for (const json::value& condition : value.at("expect_rev").as_array()) {
        const auto found = this->state.items.find(json::value_to<std::string>(condition.at("key")));
        const std::int64_t revision = found == this->state.items.end() ? 0 : found->second.revision;
        if (revision != condition.at("revision").to_number<std::int64_t>())
            return { 412, { { "items", json::array() } } };
    }
    for (const json::value& entry : value.at("set_keys").as_array()) {
        const auto lease = entry.at("lease").to_number<std::int64_t>();
        if (lease != 0 && !this->state.leases.contains(lease))
            return { 404, {} };
        this->put(json::value_to<std::string>(entry.at("key")), json::value_to<std::string>(entry.at("value")), lease);
    }
    return { 200, { { "revision", this->state.revision } } };
}

RestorableStore::Reply RestorableStore::handle(const std::string& target, const std::string& body)
{
    if (this->isAway)
        return { 503, {} };
    if (contains(target, "kv-watch"))
        return { 200, { { "events", json::array() }, { "store_revision", this->state.revision } } };
    if (contains(target, "kv-range"))
        return this->handleRange();
    if (contains(target, "kv-txn"))
        return this->handleTransaction(body);
    if (const std::size_t keep = target.find("kv-keep/"); keep != std::string::npos) {
        const std::int64_t lease = std::stoll(target.substr(keep + std::string_view("kv-keep/").size()));
        return { this->state.leases.contains(lease) ? 200 : 404, {} };
    }
    this->state.leases.insert(++this->state.lastLease);
    return { 200, { { "lease", this->state.lastLease }, { "ttl_ms", 5'000 } } };
}

} // namespace papayashelf
