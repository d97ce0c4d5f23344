#pragma once

#include "foundation/outcomes/Outcome.h"
#include "gateway/streams/StreamOrigin.h"
#include <boost/json/object.hpp>
#include <string_view>

namespace papayashelf {

/** Appends a message to the members of a datagram. Any thread. */
void encodeStreamOrigins(boost::json::object& datagram, const StreamOriginMessage& message);

/** Reads a message from the members of a datagram. Throws what Boost.JSON throws for one that is damaged. Any thread.
 */
StreamOriginMessage decodeStreamOrigins(const boost::json::object& datagram);

} // namespace papayashelf
