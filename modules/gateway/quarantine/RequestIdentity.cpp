#include "gateway/quarantine/RequestIdentity.h"

#include "foundation/hashing/Sha256.h"
#include <algorithm>

namespace papayashelf {

namespace {

constexpr std::string_view identityPrefix = "request:"; /**< The ids that callers send contain no colon. */
constexpr std::size_t headDigits = 20;
constexpr std::size_t bodyDigits = 32;
static_assert(identityPrefix.size() + headDigits + bodyDigits <= maximumPartIdBytes);

} // namespace

RequestIdentity::RequestIdentity(std::string_view method, std::string_view host, std::string_view target,
    std::string_view prompt, std::string_view body)
    : method(method)
    , host(host)
    , target(target)
    , prompt(prompt)
    , body(body)
{
}

std::string RequestIdentity::makeBeginning(const WorkspaceId& caller) const
{
    std::string head;
    for (const std::string_view field : { this->method, this->host, this->target, this->prompt })
        head.append(field).append("\n");
    head.append(std::to_string(this->body.size())).append("\n").append(caller.string());
    return std::string(identityPrefix) + sha256Hex(head).substr(0, headDigits);
}

PromptPartId RequestIdentity::make(const WorkspaceId& caller) const
{
    if (!this->bodyDigest)
        this->bodyDigest = sha256Hex(this->body).substr(0, bodyDigits);
    return PromptPartId(this->makeBeginning(caller) + *this->bodyDigest);
}

bool isRequestIdentity(const PromptPartId& part)
{
    return part.string().starts_with(identityPrefix);
}

PromptParts withIdentity(std::span<const PromptPartId> parts, const PromptPartId& identity)
{
    PromptParts all(parts.begin(), parts.end());
    if (all.size() >= maximumPromptParts)
        all.resize(maximumPromptParts - 1);
    all.insert(std::upper_bound(all.begin(), all.end(), identity), identity);
    return all;
}

} // namespace papayashelf
