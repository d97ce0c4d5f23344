#pragma once

#include "entrance/relay/RelayExchange.h"
#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <string_view>
#include <vector>

namespace papayashelf {

/** The value of the first field of that name, in any case; empty if there is none. */
inline std::string_view findHeader(const std::vector<HeaderField>& headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
        [name](const HeaderField& field) { return boost::beast::iequals(field.first, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

} // namespace papayashelf
