#include "foundation/logging/DecisionLog.h"

#include <boost/json/serialize.hpp>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace papayashelf {

namespace {

constexpr std::size_t mostWaitingBytes = std::size_t { 256 } * 1024; /**< About a second of lines at the worst load. */
constexpr int routineLinesPerSecond = 50; /**< Enough to follow a VM by eye; more costs as much as serving. */

std::int64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace

DecisionLog::DecisionLog(int descriptor)
    : descriptor(descriptor)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void DecisionLog::setCommon(std::initializer_list<LogField> fields)
{
    for (const auto& [name, value] : fields)
        this->common += ",\"" + std::string(name) + "\":" + boost::json::serialize(value);
}

bool DecisionLog::mayWriteRoutine(Milliseconds now)
{
    if (now - this->secondBegan >= Milliseconds(1000)) {
        this->secondBegan = now;
        this->routineThisSecond = 0;
    }
    return ++this->routineThisSecond <= routineLinesPerSecond;
}

void DecisionLog::write(
    Milliseconds now, LogWeight weight, std::string_view event, std::initializer_list<LogField> fields)
{
    if (weight == LogWeight::Routine && !this->mayWriteRoutine(now)) {
        ++this->dropped;
        return;
    }
    std::string line
        = "{\"time_ms\":" + std::to_string(unixMilliseconds()) + ",\"event\":\"" + std::string(event) + '"';
    line += this->common;
    for (const auto& [name, value] : fields)
        line += ",\"" + std::string(name) + "\":" + boost::json::serialize(value);
    line += "}\n";
    if (this->waiting.size() + line.size() > mostWaitingBytes) {
        ++this->dropped;
        return;
    }
    this->waiting += line;
}

void DecisionLog::flush()
{
    if (this->dropped > this->told) {
        this->waiting += "{\"time_ms\":" + std::to_string(unixMilliseconds()) + ",\"event\":\"log_lines_left_out\""
            + this->common + ",\"count\":" + std::to_string(this->dropped - this->told) + "}\n";
        this->told = this->dropped;
    }
    std::size_t written = 0;
    while (written < this->waiting.size()) {
        const ssize_t count = ::write(this->descriptor, this->waiting.data() + written, this->waiting.size() - written);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    this->waiting.erase(0, written);
}

} // namespace papayashelf
