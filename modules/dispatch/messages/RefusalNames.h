#pragma once

#include "dispatch/messages/RequestMessages.h"
#include <string_view>

namespace papayashelf {

/** The stable lower_snake_case name of a refusal code, used in answers to callers, logs and metrics. */
std::string_view toString(RefusalCode code);

/** The stable name of the value: "no" or "unknown". */
std::string_view toString(Ran ran);

} // namespace papayashelf
