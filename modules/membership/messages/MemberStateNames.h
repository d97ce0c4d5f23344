#pragma once

#include "membership/messages/MembershipMessages.h"
#include <string_view>

namespace papayashelf {

/** Returns the stable lower-case name of a state, as shown to operators. */
std::string_view toString(MemberState state);

} // namespace papayashelf
