#include "entrance/upstream/SentRequests.h"

#include "foundation/hashing/StableHash.h"
#include <algorithm>
#include <cassert>

namespace papayashelf {

bool SentRequests::contains(std::string_view requestId) const
{
    return !requestId.empty()
        && std::find(this->digests.begin(), this->digests.end(), stableHash(requestId)) != this->digests.end();
}

void SentRequests::add(std::string_view requestId)
{
    assert(!this->isFull());
    this->digests.push_back(stableHash(requestId));
}

} // namespace papayashelf
