#pragma once

#include "dispatch/messages/RequestMessages.h"
#include <string_view>

namespace papayashelf {

/** The stable lower-case name of a refusal, as callers, logs and metrics show it. */
std::string_view toString(RefusalCode code);

/** "no" or "unknown". */
std::string_view toString(Ran ran);

} // namespace papayashelf
