#pragma once

#include "peers/transport/PeerTransportSettings.h"
#include <condition_variable>
#include <grpcpp/channel.h>
#include <map>
#include <memory>
#include <mutex>

namespace papayashelf {

/**
    Keeps one gRPC channel per VM; each accepts only a certificate that names its VM.

    Thread safety: any thread may call any method.
*/
class PeerChannels {
public:
    /**
        Keeps the channels alive while a call uses them. Must be the first member of the call, so that it is destroyed
        last.

        gRPC joins its threads when the last channel is destroyed, which must not happen on one of those threads.
    */
    class UsageGuard {
    public:
        /** Registers one use of the channels. */
        explicit UsageGuard(PeerChannels& owner);

        /** Ends the use and wakes a waiting destructor of the channels. */
        ~UsageGuard();
        UsageGuard(const UsageGuard&) = delete;
        UsageGuard& operator=(const UsageGuard&) = delete;

    private:
        PeerChannels& channels;
    };

    /** Opens no channel yet; getChannel() does. */
    explicit PeerChannels(const PeerTransportSettings& settings);

    /** Blocks until no call uses a channel. Precondition: every call has ended or is being cancelled. */
    ~PeerChannels();
    PeerChannels(const PeerChannels&) = delete;
    PeerChannels& operator=(const PeerChannels&) = delete;

    /** Returns the channel to a VM, a new one if the VM's endpoint has changed. It connects on first use. */
    std::shared_ptr<grpc::Channel> getChannel(const VmId& vm, const Endpoint& endpoint);

    /** Removes the channel to a VM; calls that are in progress keep it until they end. */
    void disconnect(const VmId& vm);

private:
    struct Entry {
        Endpoint endpoint;
        std::shared_ptr<grpc::Channel> channel;
    };

    std::shared_ptr<grpc::Channel> createChannel(const VmId& vm, const Endpoint& endpoint) const;

    PeerTransportSettings settings;
    std::mutex mutex;
    std::condition_variable allUsesEnded;
    std::size_t activeUses = 0;
    std::map<VmId, Entry> entries;
};

} // namespace papayashelf
