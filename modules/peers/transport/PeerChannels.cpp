#include "peers/transport/PeerChannels.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

namespace papayashelf {

namespace {

// A connection that something between the two ends has lost track of is noticed by unanswered pings.
constexpr int keepaliveTimeMilliseconds = 10'000;
constexpr int keepaliveTimeoutMilliseconds = 4'000;
constexpr int longestReconnectBackoffMilliseconds = 5'000;

} // namespace

PeerChannels::PeerChannels(const PeerTransportSettings& transportSettings)
    : settings(transportSettings)
{
}

PeerChannels::Use::Use(PeerChannels& owner)
    : channels(owner)
{
    const std::scoped_lock lock(this->channels.mutex);
    ++this->channels.uses;
}

PeerChannels::Use::~Use()
{
    const std::scoped_lock lock(this->channels.mutex);
    --this->channels.uses;
    // Told with the lock held: the waiting thread destroys the condition as soon as it has the lock.
    this->channels.unused.notify_all();
}

PeerChannels::~PeerChannels()
{
    std::unique_lock lock(this->mutex);
    this->unused.wait(lock, [this] { return this->uses == 0; });
}

std::shared_ptr<grpc::Channel> PeerChannels::getChannel(const VmId& vm, const Endpoint& endpoint)
{
    const std::scoped_lock lock(this->mutex);
    Entry& entry = this->entries[vm];
    if (!entry.channel || entry.endpoint != endpoint)
        entry = Entry { endpoint, this->connect(vm, endpoint) };
    return entry.channel;
}

void PeerChannels::forget(const VmId& vm)
{
    const std::scoped_lock lock(this->mutex);
    this->entries.erase(vm);
}

std::shared_ptr<grpc::Channel> PeerChannels::connect(const VmId& vm, const Endpoint& endpoint) const
{
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = this->settings.authorityPem;
    options.pem_private_key = this->settings.privateKeyPem;
    options.pem_cert_chain = this->settings.certificatePem;

    grpc::ChannelArguments arguments;
    // VMs are reached by IP number, so the certificate is checked against the VM's id instead of a host name.
    arguments.SetSslTargetNameOverride(vm.string());
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveTimeMilliseconds);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeoutMilliseconds);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, longestReconnectBackoffMilliseconds);
    // One connection a VM: subchannels are not shared with other processes' channels in the same test program.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(endpoint.string(), grpc::SslCredentials(options), arguments);
}

} // namespace papayashelf
