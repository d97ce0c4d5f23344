#pragma once

#include "foundation/identity/Identifier.h"
#include "platform/store/StoreCall.h"

namespace papayashelf {

/**
    Calls the key-value service and waits for each answer; for the command line.

    Thread safety: none.
*/
class BlockingKeyValueClient {
public:
    /** @param timeout  longest wait for one answer */
    BlockingKeyValueClient(Endpoint service, Milliseconds timeout);

    /** Makes one call and returns its reply, with the errors of HttpKeyValueClient. */
    StoreReply call(const StoreRequest& request);

private:
    Endpoint service;
    Milliseconds timeout;
};

} // namespace papayashelf
