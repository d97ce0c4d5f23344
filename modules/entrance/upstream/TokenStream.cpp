#include "entrance/upstream/TokenStream.h"

#include "entrance/upstream/AnswerBounds.h"
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>

namespace papayashelf {

namespace json = boost::json;

namespace {

constexpr std::string_view endMark = "[DONE]";

} // namespace

TokenStream::State TokenStream::read(std::string_view bytes, std::string& forwarded)
{
    this->bytesSinceToken += bytes.size();
    if (this->bytesSinceToken > answerbounds::maximumBytesBetweenEvents)
        return State::Broken;
    this->events.append(bytes);
    while (const auto data = this->events.next()) {
        const bool isEnd = *data == endMark;
        const Verdict verdict = isEnd ? Verdict::Forward : this->judge(*data);
        if (verdict == Verdict::Break)
            return State::Broken;
        if (verdict == Verdict::Forward)
            forwarded += "data: " + *data + "\n\n";
        if (isEnd)
            return State::Complete;
    }
    return this->events.hasFailed() ? State::Broken : State::Running;
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
    this->bytesSinceToken = 0;
    this->hasNewToken = true;
    return Verdict::Forward;
}

} // namespace papayashelf
