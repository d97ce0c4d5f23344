#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <string>
#include <vector>

namespace papayashelf {

/** What brought the first event of a stream. Only an upstream of the same software version can continue it. */
struct StreamOrigin {
    ServiceId service;
    SoftwareVersion version; /**< Empty if it is uncertain, so that no upstream can continue the stream. */

    bool operator==(const StreamOrigin&) const = default;
};

/** The origin of the stream of one caller's request, for other VMs. */
struct StreamOriginNotice {
    std::string request; /**< The id of the request that brought the first event. */
    StreamOrigin origin;
    Milliseconds lifetime; /**< Time in which its caller may take up the stream. */

    bool operator==(const StreamOriginNotice&) const = default;
};

/** A message about the origins of streams. The answer to questions is a message without questions. */
struct StreamOriginMessage {
    VmId from;
    std::vector<StreamOriginNotice> known;
    std::vector<std::string> unknown; /**< Requests that the sender was asked for and does not know. */
    std::vector<std::string> questions; /**< Requests whose origins the sender wants to know. */

    bool operator==(const StreamOriginMessage&) const = default;
};

} // namespace papayashelf
