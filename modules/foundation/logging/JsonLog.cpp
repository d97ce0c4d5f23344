#include "foundation/logging/JsonLog.h"

#include <boost/json/serialize.hpp>
#include <chrono>
#include <glog/logging.h>

namespace papayashelf {

namespace {

boost::json::object& commonFields()
{
    static boost::json::object fields;
    return fields;
}

std::string_view toString(LogLevel level)
{
    switch (level) {
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "unknown";
}

std::int64_t wallClockMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace

void startJsonLog(const char* program, LogLevel lowest)
{
    FLAGS_minloglevel = static_cast<int>(lowest);
    FLAGS_log_prefix = false;
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

void setCommonLogFields(std::initializer_list<LogField> fields)
{
    for (const auto& [name, value] : fields)
        commonFields()[name] = value;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    boost::json::object line;
    line["time_ms"] = wallClockMilliseconds();
    line["level"] = toString(level);
    line["event"] = event;
    for (const auto& field : commonFields())
        line[field.key()] = field.value();
    for (const auto& [name, value] : fields)
        line[name] = value;
    const std::string text = boost::json::serialize(line);
    switch (level) {
    case LogLevel::Info:
        LOG(INFO) << text;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << text;
        break;
    case LogLevel::Error:
        LOG(ERROR) << text;
        break;
    }
}

} // namespace papayashelf
