#pragma once

#include "entrance/relay/RelayTransport.h"
#include "peers/transport/PeerChannels.h"

namespace papayashelf {

/**
    Sends requests to VMs of other regions and streams their answers back, with flow control from end to end.

    Thread safety: any thread may call start(). Must outlive every exchange that it was given.
*/
class RelayCaller {
public:
    /** @param channels  must outlive the caller */
    RelayCaller(VmId self, PeerChannels& channels);

    /** Starts one relay, as RelayTransport asks. */
    void start(const StartRelay& directive, const RelayedRequest& request, std::shared_ptr<RelayExchange> answer);

private:
    VmId self;
    PeerChannels& channels;
};

} // namespace papayashelf
