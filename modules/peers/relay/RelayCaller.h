#pragma once

#include "entrance/relay/RelayTransport.h"
#include "peers/transport/PeerChannels.h"

namespace papayashelf {

/**
    Relays requests to VMs of other regions and streams their answers back with end-to-end flow control.

    Must outlive every exchange that is passed to start(). Thread safety: any thread may call start().
*/
class RelayCaller {
public:
    /**
        @param ownVm     the VM that the requests come from
        @param channels  must outlive the caller
    */
    RelayCaller(VmId ownVm, PeerChannels& channels);

    /** Starts to relay a request and returns at once; fulfils the contract of RelayTransport. */
    void start(const StartRelay& directive, const RelayedRequest& request, std::shared_ptr<RelayExchange> answer);

private:
    VmId ownVm;
    PeerChannels& channels;
};

} // namespace papayashelf
