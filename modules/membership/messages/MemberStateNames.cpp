#include "membership/messages/MemberStateNames.h"

namespace papayashelf {

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Gone:
        return "gone";
    }
    return "unknown";
}

} // namespace papayashelf
