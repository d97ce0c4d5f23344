#pragma once

#include "entrance/relay/RelayTransport.h"
#include <functional>
#include <peers/peers.grpc.pb.h>

namespace papayashelf {

/**
    Receives requests that VMs of other regions relay to this VM and streams the answers back.

    Thread safety: gRPC calls it on any of its threads.
*/
class RelayService : public wire::PeerRelay::WithCallbackMethod_Relay<wire::PeerRelay::Service> {
public:
    /** Serves one request and writes its answer into the exchange. Called on one of gRPC's threads; must not block. */
    using RequestHandler = std::function<void(RelayedRequest, std::shared_ptr<RelayExchange>)>;

    /**
        @param windowBytes       maximum number of answer bytes that are queued for the connection
        @param maximumBodyBytes  maximum size of a request body; a call with a larger one fails
    */
    RelayService(RequestHandler requestHandler, std::size_t windowBytes, std::size_t maximumBodyBytes);

    /** Starts to receive one relayed request; called by gRPC. */
    grpc::ServerBidiReactor<wire::RelayUp, wire::RelayDown>* Relay(grpc::CallbackServerContext* context) override;

private:
    RequestHandler requestHandler;
    std::size_t windowBytes;
    std::size_t maximumBodyBytes;
};

} // namespace papayashelf
