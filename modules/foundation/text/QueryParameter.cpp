#include "foundation/text/QueryParameter.h"

#include <algorithm>

namespace papayashelf {

std::string findParameter(const std::string& query, const std::string& name)
{
    std::size_t start = 0;
    while (start < query.size()) {
        const std::size_t end = std::min(query.find('&', start), query.size());
        const std::string pair = query.substr(start, end - start);
        if (pair.compare(0, name.size() + 1, name + "=") == 0)
            return pair.substr(name.size() + 1);
        start = end + 1;
    }
    return {};
}

} // namespace papayashelf
