#pragma once

#include "entrance/relay/RelayTransport.h"
#include "entrance/request/CallerKey.h"
#include <string>
#include <string_view>
#include <vector>

namespace papayashelf {

/** True for a field that concerns one connection only and is never passed on. The name may have any case. */
bool isHopByHop(std::string_view name);

/** Removes hop-by-hop fields, also those that Connection fields name, and the message's length. */
std::vector<HeaderField> withoutHopByHop(const std::vector<HeaderField>& headers);

/**
    Makes a caller's head fit for an upstream: without the key, other credentials for this gateway, hop-by-hop fields,
    and fields that only the gateway may set.
*/
RequestHead makeForwardedHead(const RequestHead& received, const CallerKey& key);

/**
    True for a path that every server reads alike: absolute, without dot segments in any encoding, encoded slashes,
    backslashes, fragments or control characters. Anything else could pass a route's rules as one path and reach
    the upstream as another.
*/
bool isPlainPath(std::string_view path);

} // namespace papayashelf
