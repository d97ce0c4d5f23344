#pragma once

#include "dispatch/dispatcher/DispatchMessages.h"
#include <string_view>

namespace papayashelf {

/** The stable lower_snake_case name of an event in the timeline. */
std::string_view toString(DispatchEventKind kind);

} // namespace papayashelf
