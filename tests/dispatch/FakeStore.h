#pragma once

#include "platform/store/StoreCall.h"
#include <map>
#include <random>
#include <string>

namespace papayashelf {

/** An in-memory key-value store that can be unavailable, or lose a request or the reply to it. */
class FakeStore {
public:
    /** How a call fails. */
    enum class Fault {
        None,
        Unavailable, /**< The call fails with Unavailable and has no effect. */
        LoseRequest, /**< The call fails with OutcomeUnknown and has no effect. */
        LoseAnswer, /**< The call takes effect but fails with OutcomeUnknown. */
    };

    /** Performs a store call, subject to a fault. */
    StoreReply apply(const StoreRequest& request, Fault fault = Fault::None)
    {
        ++this->calls;
        if (fault == Fault::Unavailable)
            return Error { ErrorCode::Unavailable, "store unavailable" };
        const Error lost { ErrorCode::OutcomeUnknown, "no reply from the store" };
        if (fault == Fault::LoseRequest)
            return lost;
        StoreReply reply = this->applyWithoutFault(request);
        if (fault == Fault::LoseAnswer)
            return lost;
        return reply;
    }

    std::map<std::string, StoreEntry> entries;
    int calls = 0;

private:
    StoreReply applyWithoutFault(const StoreRequest& request)
    {
        const auto found = this->entries.find(request.key);
        const StoreVersion version = found == this->entries.end() ? 0 : found->second.version;
        if (request.operation == StoreOperation::Get) {
            if (found == this->entries.end())
                return std::vector<StoreEntry> { { request.key, "", 0 } };
            return std::vector<StoreEntry> { found->second };
        }
        if (request.expectedVersion != version)
            return Error { ErrorCode::Conflict, "key has another version" };
        if (request.operation == StoreOperation::Remove) {
            this->entries.erase(request.key);
            return std::vector<StoreEntry> {};
        }
        const StoreEntry written { request.key, request.value, ++this->lastVersion };
        this->entries[request.key] = written;
        return std::vector<StoreEntry> { written };
    }

    StoreVersion lastVersion = 0;
};

} // namespace papayashelf
