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
    One stream of control messages to one VM, with a bounded queue.

    The object keeps itself alive until gRPC has finished with it. Thread safety: any thread may call any method.
*/
class ControlStream : public grpc::ClientWriteReactor<wire::Envelope> {
public:
    /** Opens the stream; it ends by itself at the deadline. */
    static std::shared_ptr<ControlStream> open(PeerChannels& channels, const VmId& vm, const Endpoint& endpoint,
        std::size_t capacity, std::chrono::system_clock::time_point deadline);

    /** Queues a message; false if the stream has ended or its queue is full. */
    bool send(wire::Envelope&& envelope);

    /** True once no further message will be sent. */
    bool hasEnded() const { return this->ended; }

    /** Ends the stream at once. */
    void cancel();

    void OnWriteDone(bool isOk) override;
    void OnDone(const grpc::Status& status) override;

private:
    ControlStream(PeerChannels& channels, std::size_t capacity);
    void writeNext();
    void end();

    PeerChannels::Use use;
    grpc::ClientContext context;
    wire::ControlSummary summary;
    std::unique_ptr<wire::PeerControl::Stub> stub;
    std::shared_ptr<ControlStream> self;
    std::atomic<bool> ended = false;
    std::mutex mutex;
    boost::circular_buffer<wire::Envelope> queue;
    bool isWriting = false;
};

} // namespace papayashelf
