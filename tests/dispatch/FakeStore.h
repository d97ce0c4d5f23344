#pragma once

#include "platform/store/StoreCall.h"
#include <map>
#include <random>
#include <string>

namespace papayashelf {

/** A key-value service in memory that can be out, or lose answers before or after a write took effect. */
class FakeStore {
public:
    enum class Fault {
        None,
        Unavailable, /**< Unavailable: no effect. */
        LoseRequest, /**< OutcomeUnknown, and the write did not take effect. */
        LoseAnswer, /**< OutcomeUnknown, and the write took effect. */
    };

    StoreReply apply(const StoreRequest& request, Fault fault = Fault::None)
    {
        ++this->calls;
        if (fault == Fault::Unavailable)
            return Error { ErrorCode::Unavailable, "out" };
        const Error lost { ErrorCode::OutcomeUnknown, "no answer" };
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
            return Error { ErrorCode::Conflict, "another version" };
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
