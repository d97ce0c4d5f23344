#include "entrance/server/IoThread.h"

#include "entrance/upstream/UpstreamSource.h"
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace papayashelf {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t maximumReportBytes = 256 * kibibyte;
constexpr Milliseconds pollLimit { 2'000 };

std::int64_t readCount(const json::object& fields, std::string_view name)
{
    const json::value* const value = fields.if_contains(name);
    return value && value->is_int64() ? value->get_int64() : 0;
}

/** Hashes travel as decimal strings, since numbers in JSON hold no more than 53 bits for certain. */
std::vector<std::uint64_t> readHashes(const json::object& fields, std::string_view name)
{
    std::vector<std::uint64_t> hashes;
    const json::value* const value = fields.if_contains(name);
    if (!value || !value->is_array())
        return hashes;
    for (const json::value& one : value->get_array()) {
        if (one.is_string())
            hashes.push_back(std::strtoull(one.get_string().c_str(), nullptr, 10));
    }
    return hashes;
}

std::optional<LoadReport> parseLoadReport(const UpstreamId& upstream, const std::string& text)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(text, error);
    if (error || !parsed.is_object())
        return std::nullopt;
    const json::object& fields = parsed.get_object();
    LoadReport report;
    report.upstream = upstream;
    report.running = readCount(fields, "running");
    report.waiting = readCount(fields, "waiting");
    if (const json::value* const use = fields.if_contains("cache_use"))
        report.cacheUse = use->is_number() ? use->to_number<double>() : 0;
    report.prefixesAdded = readHashes(fields, "prefixes_added");
    report.prefixesEvicted = readHashes(fields, "prefixes_evicted");
    return report;
}

} // namespace

void IoThread::setLoadSources(std::vector<LoadSource> sources, Milliseconds period)
{
    spawnLogged(this->getExecutor(), this->pollLoop(++this->pollRound, std::move(sources), period));
}

asio::awaitable<void> IoThread::pollLoop(std::uint64_t round, std::vector<LoadSource> sources, Milliseconds period)
{
    asio::steady_timer timer(this->context);
    while (round == this->pollRound && !sources.empty()) {
        for (const LoadSource& source : sources)
            spawnLogged(this->getExecutor(), this->pollOne(source));
        timer.expires_after(std::chrono::milliseconds(period.count()));
        const auto [error] = co_await timer.async_wait(useResult);
        if (error)
            co_return;
    }
}

asio::awaitable<void> IoThread::pollOne(LoadSource source)
{
    const RequestHead head { "GET", "/load", {} };
    UpstreamRequest request;
    request.endpoint = source.endpoint;
    request.head = &head;
    request.body = std::make_shared<const std::string>();
    UpstreamSource exchange(
        this->pool, this->shared.settings, std::move(request), AttemptLimits { pollLimit, pollLimit, pollLimit });
    const SourceHead answer = co_await exchange.open();
    std::string text;
    while (answer.result == AttemptResult::Completed && answer.status == 200 && text.size() <= maximumReportBytes) {
        const SourcePiece piece = co_await exchange.read(pollLimit);
        if (piece.result != AttemptResult::Completed)
            break;
        text += piece.bytes;
        if (!piece.isEnd)
            continue;
        if (auto report = parseLoadReport(source.upstream, text))
            this->report(std::move(*report));
        break;
    }
    exchange.release();
}

} // namespace papayashelf
