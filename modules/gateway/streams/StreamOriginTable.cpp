#include "gateway/streams/StreamOriginTable.h"

#include <algorithm>

namespace papayashelf {

void StreamOriginTable::put(Milliseconds now, const StreamOriginNotice& notice)
{
    if (notice.request.empty() || notice.request.size() > maximumIdBytes || notice.lifetime <= Milliseconds(0))
        return;
    const Milliseconds until = now + std::min(notice.lifetime, longestLifetime);
    const auto [found, isNew] = this->origins.try_emplace(notice.request, Entry { notice.origin, until });
    Entry& entry = found->second;
    if (!isNew) {
        if (entry.origin != notice.origin)
            entry.origin.version = {};
        if (until <= entry.until)
            return;
        this->byEnd.erase({ entry.until, notice.request });
        entry.until = until;
    }
    this->byEnd.emplace(until, notice.request);
    while (this->origins.size() > maximumOrigins) {
        this->origins.erase(this->byEnd.begin()->second);
        this->byEnd.erase(this->byEnd.begin());
    }
}

std::optional<StreamOriginNotice> StreamOriginTable::find(Milliseconds now, const std::string& request) const
{
    const auto found = this->origins.find(request);
    if (found == this->origins.end() || found->second.until <= now)
        return std::nullopt;
    return StreamOriginNotice { request, found->second.origin, found->second.until - now };
}

void StreamOriginTable::expire(Milliseconds now)
{
    while (!this->byEnd.empty() && this->byEnd.begin()->first <= now) {
        this->origins.erase(this->byEnd.begin()->second);
        this->byEnd.erase(this->byEnd.begin());
    }
}

} // namespace papayashelf
