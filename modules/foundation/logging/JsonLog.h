#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace papayashelf {

enum class LogLevel {
    Info,
    Warning,
    Error,
};

/** One named value of a log line. */
struct LogField {
    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {
    }

    LogField(std::string_view fieldName, const std::string& text)
        : LogField(fieldName, std::string_view(text))
    {
    }

    LogField(std::string_view fieldName, const char* text)
        : LogField(fieldName, std::string_view(text))
    {
    }

    LogField(std::string_view fieldName, boost::json::value fieldValue)
        : name(fieldName)
        , value(std::move(fieldValue))
    {
    }

    std::string_view name;
    boost::json::value value;
};

/**
    Starts the process's log: one JSON object a line on standard error, through glog.

    @param program  the program's name; must outlive the process
    @param lowest   lines below this level are left out
    Precondition: called once, before any thread starts. Lines logged before the call are plain text.
*/
void startJsonLog(const char* program, LogLevel lowest = LogLevel::Info);

/** Sets fields that every later line carries, such as the VM's id. Call before threads start. */
void setCommonLogFields(std::initializer_list<LogField> fields);

/**
    Writes one line: time, level, event and the given fields.

    Never pass a key, a prompt or an answer. Thread safety: any thread.

    @param event  what happened, in lower_snake_case, so that lines can be searched by it
*/
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace papayashelf
