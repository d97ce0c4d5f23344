#pragma once

#include "membership/messages/MembershipMessages.h"
#include <string_view>

namespace papayashelf {

/** The stable lower-case name of a state, as operators see it. */
std::string_view toString(MemberState state);

} // namespace papayashelf
