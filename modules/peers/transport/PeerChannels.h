#pragma once

#include "peers/transport/PeerTransportSettings.h"
#include <condition_variable>
#include <grpcpp/channel.h>
#include <map>
#include <memory>
#include <mutex>

namespace papayashelf {

/**
    The gRPC channels to the other VMs, one a VM, each bound to that VM's certificate.

    Thread safety: any thread may call any method.
*/
class PeerChannels {
public:
    /**
        Held by each call as its first member, so that it goes last.

        gRPC ends its threads with the last channel and must not do so on one of them, so the channels outlive every
        call that uses them.
    */
    class Use {
    public:
        explicit Use(PeerChannels& owner);
        ~Use();
        Use(const Use&) = delete;
        Use& operator=(const Use&) = delete;

    private:
        PeerChannels& channels;
    };

    explicit PeerChannels(const PeerTransportSettings& settings);

    /** Waits until no call uses a channel any more. Precondition: every call has ended or is being cancelled. */
    ~PeerChannels();
    PeerChannels(const PeerChannels&) = delete;
    PeerChannels& operator=(const PeerChannels&) = delete;

    /** The channel to a VM; a new one if the VM's endpoint has changed. Connects by itself when used. */
    std::shared_ptr<grpc::Channel> getChannel(const VmId& vm, const Endpoint& endpoint);

    /** Drops the channel to a VM that is gone. */
    void forget(const VmId& vm);

private:
    struct Entry {
        Endpoint endpoint;
        std::shared_ptr<grpc::Channel> channel;
    };

    std::shared_ptr<grpc::Channel> connect(const VmId& vm, const Endpoint& endpoint) const;

    PeerTransportSettings settings;
    std::mutex mutex;
    std::condition_variable unused;
    std::size_t uses = 0;
    std::map<VmId, Entry> entries;
};

} // namespace papayashelf
