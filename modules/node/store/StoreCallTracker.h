#pragma once

#include "platform/store/StoreCall.h"
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace papayashelf {

/** The components that call the store. */
enum class StoreCaller {
    Configuration,
    Withdrawals,
    Shares,
    Dispatch,
};

/**
    Assigns store calls numbers that are unique on this VM and maps each reply to the component that made the call.

    Thread safety: none; owned by one thread.
*/
class StoreCallTracker {
public:
    /** The component that made a call, and the component's own number for it. */
    struct Origin {
        StoreCaller caller = StoreCaller::Configuration;
        std::uint64_t call = 0;
    };

    /** Renumbers the calls of a component and appends them to numberedCalls. */
    void add(StoreCaller caller, const std::vector<StoreCall>& calls, std::vector<StoreCall>& numberedCalls)
    {
        for (const StoreCall& call : calls) {
            ++this->lastCallNumber;
            this->origins.emplace(this->lastCallNumber, Origin { caller, call.call });
            numberedCalls.push_back(StoreCall { this->lastCallNumber, call.request });
        }
    }

    /** Removes a call and returns its origin; returns nothing if it is unknown or already answered. */
    std::optional<Origin> takeOrigin(std::uint64_t call)
    {
        const auto found = this->origins.find(call);
        if (found == this->origins.end())
            return std::nullopt;
        const Origin origin = found->second;
        this->origins.erase(found);
        return origin;
    }

    /** Returns the number of calls that are not answered yet. */
    std::size_t countUnanswered() const { return this->origins.size(); }

private:
    std::uint64_t lastCallNumber = 0;
    std::map<std::uint64_t, Origin> origins;
};

} // namespace papayashelf
