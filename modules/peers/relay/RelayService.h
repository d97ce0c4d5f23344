#pragma once

#include "entrance/relay/RelayTransport.h"
#include <functional>
#include <peers/peers.grpc.pb.h>

namespace papayashelf {

/**
    Takes requests that VMs of other regions relay here, and streams the answers back.

    Thread safety: called by gRPC's threads.
*/
class RelayService : public wire::PeerRelay::WithCallbackMethod_Relay<wire::PeerRelay::Service> {
public:
    /** Serves one request; called on one of gRPC's threads, must not block. */
    using Server = std::function<void(RelayedRequest, std::shared_ptr<RelayExchange>)>;

    /**
        @param windowBytes       answer bytes that may wait for the link
        @param maximumBodyBytes  largest body that is accepted
    */
    RelayService(Server server, std::size_t windowBytes, std::size_t maximumBodyBytes);

    grpc::ServerBidiReactor<wire::RelayUp, wire::RelayDown>* Relay(grpc::CallbackServerContext* context) override;

private:
    Server server;
    std::size_t windowBytes;
    std::size_t maximumBodyBytes;
};

} // namespace papayashelf
