#pragma once

#include "foundation/outcomes/Outcome.h"
#include "peers/transport/ControlStream.h"
#include "peers/transport/PeerChannels.h"
#include "peers/transport/PeerTransportSettings.h"
#include <functional>
#include <grpcpp/server.h>
#include <map>
#include <memory>
#include <mutex>
#include <peers/peers.grpc.pb.h>

namespace papayashelf {

/**
    Carries control messages between the VMs over gRPC with mutual authentication.

    Delivery is best effort: a message is dropped when its VM cannot be reached or its queue is full. The decisions
    are built for that. Thread safety: any thread may call any method.
*/
class PeerTransport {
public:
    /** Called on one of gRPC's threads with each message whose sender's certificate matches its name. */
    using Receiver = std::function<void(wire::Envelope&&)>;

    PeerTransport(PeerTransportSettings settings, Receiver receiver);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    //==================================================================================================================
    /**
        Starts to listen.

        @param extraService  another service to offer on the same port, such as the relay; may be null
        @returns where it listens, or Unavailable if the port cannot be had
    */
    Outcome<Endpoint> start(grpc::Service* extraService = nullptr);

    /** Ends every stream and stops to listen. Returns when no callback runs any more. */
    void stop();

    //==================================================================================================================
    /** Sends a message to a VM, opening a stream if there is none. Returns false if it was dropped. */
    bool send(const VmId& vm, const Endpoint& endpoint, wire::Envelope&& envelope);

    /** Ends the stream to a VM and drops its connection. */
    void forget(const VmId& vm);

    /** The connections, shared with the relay. */
    PeerChannels& getChannels() { return this->channels; }

private:
    struct Outgoing {
        Endpoint endpoint;
        std::shared_ptr<ControlStream> stream;
        std::chrono::steady_clock::time_point openedAt;
    };

    class ControlService;

    std::shared_ptr<ControlStream> getStream(const VmId& vm, const Endpoint& endpoint);

    PeerTransportSettings settings;
    Receiver receiver;
    PeerChannels channels;
    std::unique_ptr<ControlService> service;
    std::unique_ptr<grpc::Server> server;
    std::mutex mutex;
    std::map<VmId, Outgoing> streams;
    bool isStopped = false;
};

} // namespace papayashelf
