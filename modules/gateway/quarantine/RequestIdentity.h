#pragma once

#include "foundation/identity/Identifier.h"
#include "gateway/quarantine/PromptParts.h"
#include <optional>
#include <string>

namespace papayashelf {

/**
    What tells a whole request from all others: method, host, target, caller, prompt and body.

    It serves as one more part of the request's prompt, which no other request has and no caller can name. It consists
    of digests that every process of every version computes alike, also one that receives the request from another VM.
    Its beginning tells most requests apart without their bodies.

    Thread safety: none.
*/
class RequestIdentity {
public:
    /**
        The texts must outlive the object.

        @param host    without port
        @param target  path and query
        @param prompt  all parts of the prompt, as the request names them
    */
    RequestIdentity(std::string_view method, std::string_view host, std::string_view target, std::string_view prompt,
        std::string_view body);

    /** Returns the beginning of the identity. @param caller  empty on public routes */
    std::string makeBeginning(const WorkspaceId& caller) const;

    /** Returns the identity. The first call reads the whole body: some milliseconds for the longest ones. */
    PromptPartId make(const WorkspaceId& caller) const;

private:
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view prompt;
    std::string_view body;
    mutable std::optional<std::string> bodyDigest;
};

/** Returns true if the part is the identity of a request. */
bool isRequestIdentity(const PromptPartId& part);

/**
    Returns the parts and the identity, sorted. A prompt that has maximumPromptParts already loses one.

    @param parts  sorted
*/
PromptParts withIdentity(std::span<const PromptPartId> parts, const PromptPartId& identity);

} // namespace papayashelf
