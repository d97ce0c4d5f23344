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
        auto [entry, isNew] = this->holders.try_emplace(prefix);
        if (isNew)
            this->insertionOrder.push_back(prefix);
        auto& prefixHolders = entry->second;
        std::erase(prefixHolders, upstream);
        prefixHolders.insert(prefixHolders.begin(), upstream);
        if (prefixHolders.size() > maximumHoldersPerPrefix)
            prefixHolders.pop_back();
    }
    while (this->insertionOrder.size() > this->capacity) {
        this->holders.erase(this->insertionOrder.front());
        this->insertionOrder.pop_front();
    }
}

void PrefixIndex::remove(const UpstreamId& upstream, const std::vector<std::uint64_t>& prefixes)
{
    // Entries without holders stay until they are the oldest, which avoids a search in the insertion order.
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
