#pragma once

#include "entrance/relay/RelayTransport.h"
#include "peers/transport/PeerChannels.h"
#include <grpcpp/alarm.h>
#include <memory>
#include <mutex>
#include <peers/peers.grpc.pb.h>

namespace papayashelf {

/** What bounds one relayed call in time. */
struct RelayLimits {
    Milliseconds firstByte;
    Milliseconds betweenBytes;
    Milliseconds remaining;
};

/**
    One relayed request on its way out and its answer on its way in.

    Keeps itself alive until gRPC has finished with it. Thread safety: driven by gRPC's threads and the exchange's
    consumer; all state is under one lock.
*/
class RelayCall : public grpc::ClientBidiReactor<wire::RelayUp, wire::RelayDown> {
public:
    static void start(PeerChannels& channels, const StartRelay& directive, wire::RelayHead head,
        std::shared_ptr<const std::string> body, std::shared_ptr<RelayExchange> answer);

    void OnWriteDone(bool isOk) override;
    void OnReadDone(bool isOk) override;
    void OnDone(const grpc::Status& status) override;

private:
    RelayCall(PeerChannels& channels, std::shared_ptr<const std::string> body, const RelayLimits& limits,
        std::shared_ptr<RelayExchange> answer);

    void begin(const std::shared_ptr<grpc::Channel>& channel, wire::RelayHead head);
    void writeNextPiece();
    void readWhenRoom();
    void handleConsumer();
    void armSilenceLimit(Milliseconds limit);
    void dropHold();
    AttemptResult resultOf(const grpc::Status& status) const;

    PeerChannels::Use use;
    grpc::ClientContext context;
    std::unique_ptr<wire::PeerRelay::Stub> stub;
    std::shared_ptr<RelayCall> self;
    std::shared_ptr<const std::string> body;
    RelayLimits limits;
    std::shared_ptr<RelayExchange> answer;

    std::mutex mutex;
    wire::RelayUp up;
    wire::RelayDown down;
    std::size_t bodySent = 0;
    std::unique_ptr<grpc::Alarm> silence;
    std::uint64_t silenceRound = 0;
    bool isReading = false;
    bool isHeld = true;
    bool hasSentHead = false;
    bool hasHead = false;
    bool hasEnded = false;
    bool wasSilent = false;
};

} // namespace papayashelf
