#include "dispatch/claims/ClaimedOperation.h"

#include "foundation/hashing/StableHash.h"
#include <cstdio>

namespace papayashelf {

namespace {

std::string toHexadecimal(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

} // namespace

std::string ClaimedOperation::storeKey() const
{
    // The workspace is part of the key in plain text, so operations of different workspaces never collide.
    const std::string text = this->method + '\n' + this->path + '\n' + this->idempotencyKey;
    return "claims/" + this->workspace.string() + '/' + toHexadecimal(stableHash(text, 1))
        + toHexadecimal(stableHash(text, 2));
}

} // namespace papayashelf
