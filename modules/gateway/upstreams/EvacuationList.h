#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <map>
#include <set>
#include <vector>

namespace papayashelf {

/**
    The evacuated failure domains. Thread safety: none; owned by one thread.
*/
class EvacuationList {
public:
    /** Begins the evacuation of a failure domain, or confirms one that was to end. */
    void begin(const FailureDomainId& domain) { this->endsAt[domain] = Milliseconds::never(); }

    /** Ends an evacuation at the given time, unless begin() is called before. */
    void endLater(const FailureDomainId& domain, Milliseconds time)
    {
        const auto found = this->endsAt.find(domain);
        if (found != this->endsAt.end())
            found->second = time;
    }

    /** Ends the evacuations whose time has come. Returns their failure domains. */
    std::vector<FailureDomainId> expire(Milliseconds now)
    {
        std::vector<FailureDomainId> ended;
        for (const auto& [domain, time] : this->endsAt) {
            if (time <= now)
                ended.push_back(domain);
        }
        for (const FailureDomainId& domain : ended)
            this->endsAt.erase(domain);
        return ended;
    }

    /** Returns the evacuated failure domains. */
    std::set<FailureDomainId> getAll() const
    {
        std::set<FailureDomainId> domains;
        for (const auto& [domain, time] : this->endsAt)
            domains.insert(domain);
        return domains;
    }

private:
    std::map<FailureDomainId, Milliseconds> endsAt;
};

} // namespace papayashelf
