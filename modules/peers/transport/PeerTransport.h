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
    Sends and receives control messages between VMs over gRPC with mutual TLS authentication.

    Delivery is best effort: a message is dropped if its VM is unreachable or its queue is full. The protocols that use
    it tolerate lost messages. Thread safety: any thread may call any method.
*/
class PeerTransport {
public:
    /** Called on one of gRPC's threads with each message whose sender is named by the peer's certificate. */
    using Receiver = std::function<void(wire::Envelope&&)>;

    /** Creates a transport that can send; it receives once start() succeeds. */
    PeerTransport(PeerTransportSettings settings, Receiver receiver);

    /** Stops the transport. */
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    //==================================================================================================================
    /**
        Starts to listen for peers.

        @param additionalService  another service to offer on the same port, such as the relay; may be null
        @returns the endpoint that it listens on, or Unavailable if the port cannot be bound
    */
    Outcome<Endpoint> start(grpc::Service* additionalService = nullptr);

    /** Ends every stream and stops listening. Returns once the server has no callback running. */
    void stop();

    //==================================================================================================================
    /** Queues a message to a VM and opens a stream if there is none. Returns false if the message was dropped. */
    bool send(const VmId& vm, const Endpoint& endpoint, wire::Envelope&& envelope);

    /** Ends the stream to a VM and removes its channel. */
    void disconnect(const VmId& vm);

    /** Returns the channels to the other VMs, which the relay uses too. */
    PeerChannels& getChannels() { return this->channels; }

private:
    struct OutgoingStream {
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
    std::map<VmId, OutgoingStream> streams;
    bool isStopped = false;
};

} // namespace papayashelf
