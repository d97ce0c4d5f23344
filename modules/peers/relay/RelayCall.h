#pragma once

#include "entrance/relay/RelayTransport.h"
#include "peers/transport/PeerChannels.h"
#include <grpcpp/alarm.h>
#include <memory>
#include <mutex>
#include <peers/peers.grpc.pb.h>

namespace papayashelf {

/** Time limits of one relayed call. */
struct RelayTimeLimits {
    Milliseconds firstByteTimeout; /**< From the start of the call to the first message of the answer. */
    Milliseconds betweenBytesTimeout; /**< Between two messages of the answer. */
    Milliseconds remaining; /**< For the whole call. */
};

/**
    Client side of one relayed request: writes the request to another VM and reads the answer into an exchange.

    The object keeps itself alive until gRPC calls OnDone(). Thread safety: gRPC's threads and the consumer of the
    exchange call into it; one mutex guards its state.
*/
class RelayCall : public grpc::ClientBidiReactor<wire::RelayUp, wire::RelayDown> {
public:
    /**
        Starts a call, which then runs until the answer ends, a time limit passes or the exchange is cancelled.

        @param channels  must outlive the call
        @param body      request body; may be null
        @param answer    receives the answer and always its end
    */
    static void start(PeerChannels& channels, const StartRelay& directive, wire::RelayHead head,
        std::shared_ptr<const std::string> body, std::shared_ptr<RelayExchange> answer);

    /** Writes the next chunk of the body; called by gRPC after each write. */
    void OnWriteDone(bool isOk) override;

    /** Passes an answer event to the exchange; called by gRPC after each read. */
    void OnReadDone(bool isOk) override;

    /** Ends the answer if the other VM has not, and lets the object go; called by gRPC once, as the last callback. */
    void OnDone(const grpc::Status& status) override;

private:
    RelayCall(PeerChannels& channels, std::shared_ptr<const std::string> body, const RelayTimeLimits& limits,
        std::shared_ptr<RelayExchange> answer);

    void begin(const std::shared_ptr<grpc::Channel>& channel, wire::RelayHead head);
    void writeNextBodyChunk();
    void readIfWindowHasCapacity();
    void handleConsumerWake();
    void startInactivityTimer(Milliseconds limit);
    void releaseHold();
    AttemptResult classifyFailure(const grpc::Status& status) const;

    PeerChannels::UsageGuard channelsUsage;
    grpc::ClientContext context;
    std::unique_ptr<wire::PeerRelay::Stub> stub;
    std::shared_ptr<RelayCall> self;
    std::shared_ptr<const std::string> body;
    RelayTimeLimits limits;
    std::shared_ptr<RelayExchange> answer;

    std::mutex mutex;
    wire::RelayUp outgoingMessage;
    wire::RelayDown incomingMessage;
    std::size_t bodyBytesSent = 0;
    std::unique_ptr<grpc::Alarm> inactivityTimer;
    std::uint64_t inactivityTimerGeneration = 0;
    bool hasPendingRead = false; /**< Also true while an event that was read is written to the exchange. */
    bool hasHold = true; /**< False once the hold that lets reads start outside the callbacks is removed. */
    bool hasSentRequestHead = false;
    bool hasReceivedHead = false;
    bool hasReceivedEnd = false;
    bool hasTimedOut = false;
};

} // namespace papayashelf
