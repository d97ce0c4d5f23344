#pragma once

#include "platform/store/StoreCall.h"
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace papayashelf {

/** The decision parts that call the store. */
enum class StoreCaller {
    Configuration,
    Withdrawals,
    Shares,
    Dispatch,
};

/**
    Gives each part's store calls numbers that are unique on this VM, and finds the part again for a reply.

    Thread safety: none; owned by one thread.
*/
class StoreCallBook {
public:
    /** A call as its part numbered it. */
    struct Origin {
        StoreCaller caller = StoreCaller::Configuration;
        std::uint64_t call = 0;
    };

    /** Appends the calls to a list, renumbered. */
    void add(StoreCaller caller, const std::vector<StoreCall>& calls, std::vector<StoreCall>& list)
    {
        for (const StoreCall& call : calls) {
            ++this->lastCall;
            this->origins.emplace(this->lastCall, Origin { caller, call.call });
            list.push_back(StoreCall { this->lastCall, call.request });
        }
    }

    /** Whose call it was; nothing if it was answered already. */
    std::optional<Origin> take(std::uint64_t call)
    {
        const auto found = this->origins.find(call);
        if (found == this->origins.end())
            return std::nullopt;
        const Origin origin = found->second;
        this->origins.erase(found);
        return origin;
    }

    /** Calls without an answer yet. */
    std::size_t countOpen() const { return this->origins.size(); }

private:
    std::uint64_t lastCall = 0;
    std::map<std::uint64_t, Origin> origins;
};

} // namespace papayashelf
