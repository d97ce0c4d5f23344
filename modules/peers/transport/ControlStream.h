#pragma once

#include "peers/transport/PeerChannels.h"
#include <atomic>
#include <boost/circular_buffer.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <peers/peers.grpc.pb.h>

namespace papayashelf {

/**
    Client side of a stream of control messages to one VM, with a bounded queue.

    The object keeps itself alive until gRPC calls OnDone(). Thread safety: any thread may call any method.
*/
class ControlStream : public grpc::ClientWriteReactor<wire::Envelope> {
public:
    /**
        Opens a stream, which ends at the deadline.

        @param channels  must outlive the stream
        @param capacity  maximum number of queued messages
    */
    static std::shared_ptr<ControlStream> open(PeerChannels& channels, const VmId& vm, const Endpoint& endpoint,
        std::size_t capacity, std::chrono::system_clock::time_point deadline);

    /** Queues a message. Returns false and drops it if the stream has ended or its queue is full. */
    bool send(wire::Envelope&& envelope);

    /** Returns true once no further message will be sent. */
    bool hasEnded() const { return this->ended; }

    /** Ends the stream at once; queued messages are dropped. */
    void cancel();

    /** Writes the next queued message; called by gRPC after each write. */
    void OnWriteDone(bool isOk) override;

    /** Marks the stream as ended and lets the object go; called by gRPC once, as the last callback. */
    void OnDone(const grpc::Status& status) override;

private:
    ControlStream(PeerChannels& channels, std::size_t capacity);
    void writeNext();
    void end();

    PeerChannels::UsageGuard channelsUsage;
    grpc::ClientContext context;
    wire::ControlSummary summary;
    std::unique_ptr<wire::PeerControl::Stub> stub;
    std::shared_ptr<ControlStream> self;
    std::atomic<bool> ended = false;
    std::mutex mutex;
    boost::circular_buffer<wire::Envelope> queue;
    bool isWriting = false;
    bool isCancelled = false;
};

} // namespace papayashelf
