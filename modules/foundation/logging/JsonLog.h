#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <initializer_list>
#include <string_view>
#include <utility>

namespace papayashelf {

enum class LogLevel {
    Info,
    Warning,
    Error,
};

/** One named value of a log line. */
using LogField = std::pair<std::string_view, boost::json::value>;

/**
    Starts the process's log: one JSON object a line on standard error, through glog.

    @param program  the program's name; must outlive the process
    Precondition: called once, before any thread starts. Lines logged before the call are plain text.
*/
void startJsonLog(const char* program);

/** Sets fields that every later line carries, such as the VM's id. Call before threads start. */
void setCommonLogFields(std::initializer_list<LogField> fields);

/**
    Writes one line: time, level, event and the given fields.

    Never pass a key, a prompt or an answer. Thread safety: any thread.

    @param event  what happened, in lower_snake_case, so that lines can be searched by it
*/
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace papayashelf
