#include "peers/transport/PeerChannels.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

namespace papayashelf {

namespace {

// Keepalive pings detect a connection that a device on the path has dropped without closing it.
constexpr int keepaliveTimeMilliseconds = 10'000;
constexpr int keepaliveTimeoutMilliseconds = 4'000;
constexpr int maximumReconnectBackoffMilliseconds = 5'000;

} // namespace

PeerChannels::PeerChannels(const PeerTransportSettings& transportSettings)
    : settings(transportSettings)
{
}

PeerChannels::UsageGuard::UsageGuard(PeerChannels& owner)
    : channels(owner)
{
    const std::scoped_lock lock(this->channels.mutex);
    ++this->channels.activeUses;
}

PeerChannels::UsageGuard::~UsageGuard()
{
    const std::scoped_lock lock(this->channels.mutex);
    --this->channels.activeUses;
    // Notifies with the mutex held, because the waiting destructor destroys the condition once it gets the mutex.
    this->channels.allUsesEnded.notify_all();
}

PeerChannels::~PeerChannels()
{
    std::unique_lock lock(this->mutex);
    this->allUsesEnded.wait(lock, [this] { return this->activeUses == 0; });
}

std::shared_ptr<grpc::Channel> PeerChannels::getChannel(const VmId& vm, const Endpoint& endpoint)
{
    const std::scoped_lock lock(this->mutex);
    Entry& entry = this->entries[vm];
    if (!entry.channel || entry.endpoint != endpoint)
        entry = Entry { endpoint, this->createChannel(vm, endpoint) };
    return entry.channel;
}

void PeerChannels::disconnect(const VmId& vm)
{
    const std::scoped_lock lock(this->mutex);
    this->entries.erase(vm);
}

std::shared_ptr<grpc::Channel> PeerChannels::createChannel(const VmId& vm, const Endpoint& endpoint) const
{
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = this->settings.authorityPem;
    options.pem_private_key = this->settings.privateKeyPem;
    options.pem_cert_chain = this->settings.certificatePem;

    grpc::ChannelArguments arguments;
    // VMs are addressed by IP address, so the certificate is checked against the VM's id instead of a host name.
    arguments.SetSslTargetNameOverride(vm.string());
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveTimeMilliseconds);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeoutMilliseconds);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maximumReconnectBackoffMilliseconds);
    // Gives each instance its own connections: tests run several VMs in one process, where gRPC would share them.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(endpoint.string(), grpc::SslCredentials(options), arguments);
}

} // namespace papayashelf
