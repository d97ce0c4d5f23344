#include "entrance/upstream/TokenStream.h"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <utility>

namespace papayashelf {

namespace json = boost::json;

namespace {

constexpr std::string_view endMark = "[DONE]";

} // namespace

TokenStream::State TokenStream::read(std::string_view bytes, std::string& forwarded)
{
    this->gap.addBytes(bytes.size());
    this->events.append(bytes);
    std::size_t eventsBefore = this->events.countEvents();
    while (const auto data = this->events.next()) {
        this->gap.addEvents(this->events.countEvents() - std::exchange(eventsBefore, this->events.countEvents()));
        if (!this->gap.findExceededBound().empty())
            return State::Broken;
        const bool isEnd = *data == endMark;
        const Verdict verdict = isEnd ? Verdict::Forward : this->judge(*data);
        if (verdict == Verdict::Break)
            return State::Broken;
        if (verdict == Verdict::Forward)
            forwarded += "data: " + *data + "\n\n";
        if (isEnd)
            return State::Complete;
    }
    this->gap.addEvents(this->events.countEvents() - eventsBefore);
    return this->events.hasFailed() || !this->gap.findExceededBound().empty() ? State::Broken : State::Running;
}

TokenStream::Verdict TokenStream::judge(std::string_view data)
{
    unsigned char space[2048];
    json::monotonic_resource resource(space);
    boost::system::error_code error;
    const json::value event = json::parse(data, error, &resource);
    if (error || !event.is_object() || event.get_object().contains("error"))
        return Verdict::Break;
    const json::object& fields = event.get_object();
    if (const json::value* const usage = fields.if_contains("usage"); usage && usage->is_object()) {
        const json::value* const count = usage->get_object().if_contains("prompt_tokens");
        if (count && count->is_int64())
            this->promptTokens = count->get_int64();
    }
    const json::value* const token = fields.if_contains("token");
    // What an engine sends before a resumed attempt's first token, the caller has had from the first attempt.
    if (!token)
        return this->isResumed && !this->hasNewToken && !fields.contains("usage") ? Verdict::Drop : Verdict::Forward;
    if (!token->is_int64())
        return Verdict::Break;
    if (token->get_int64() <= this->delivered)
        return Verdict::Drop;
    if (token->get_int64() != this->delivered + 1)
        return Verdict::Break;
    ++this->delivered;
    this->gap.reset();
    this->hasNewToken = true;
    return Verdict::Forward;
}

} // namespace papayashelf
