#include "routing/caches/PrefixIndex.h"

#include <algorithm>
#include <cassert>

namespace papayashelf {

PrefixIndex::PrefixIndex(std::size_t capacity)
    : capacity(capacity)
{
    assert(capacity > 0);
}

void PrefixIndex::add(const UpstreamId& upstream, const std::vector<std::uint64_t>& prefixes)
{
    for (const std::uint64_t prefix : prefixes) {
        auto [place, isNew] = this->holders.try_emplace(prefix);
        if (isNew)
            this->order.push_back(prefix);
        auto& known = place->second;
        std::erase(known, upstream);
        known.insert(known.begin(), upstream);
        if (known.size() > holdersPerPrefix)
            known.pop_back();
    }
    while (this->order.size() > this->capacity) {
        this->holders.erase(this->order.front());
        this->order.pop_front();
    }
}

void PrefixIndex::remove(const UpstreamId& upstream, const std::vector<std::uint64_t>& prefixes)
{
    // An entry without holders stays until it is the oldest, so that the order needs no search.
    for (const std::uint64_t prefix : prefixes) {
        const auto found = this->holders.find(prefix);
        if (found != this->holders.end())
            std::erase(found->second, upstream);
    }
}

std::size_t PrefixIndex::matchLength(const UpstreamId& upstream, const std::vector<std::uint64_t>& prefixes) const
{
    for (std::size_t length = prefixes.size(); length > 0; --length) {
        const auto found = this->holders.find(prefixes[length - 1]);
        if (found == this->holders.end())
            continue;
        if (std::find(found->second.begin(), found->second.end(), upstream) != found->second.end())
            return length;
    }
    return 0;
}

} // namespace papayashelf
