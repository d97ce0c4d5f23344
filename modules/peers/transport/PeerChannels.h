#pragma once

#include "peers/transport/PeerTransportSettings.h"
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
    explicit PeerChannels(const PeerTransportSettings& settings);

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
    std::map<VmId, Entry> entries;
};

} // namespace papayashelf
