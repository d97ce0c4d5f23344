#include "peers/transport/PeerTransport.h"

#include "foundation/logging/JsonLog.h"
#include "peers/transport/PeerIdentity.h"
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>

namespace papayashelf {

namespace {

constexpr int keepaliveTimeMilliseconds = 10'000;
constexpr int keepaliveTimeoutMilliseconds = 4'000;
constexpr int minimumPingIntervalMilliseconds = 5'000;
constexpr int maximumMessageBytes = 4 * 1024 * 1024;

/** Server side of one control stream: passes each message on until the stream ends or a sender is not authentic. */
class ControlReader : public grpc::ServerReadReactor<wire::Envelope> {
public:
    ControlReader(const PeerTransport::Receiver& messageReceiver, const grpc::CallbackServerContext* serverContext,
        wire::ControlSummary* controlSummary)
        : receiver(messageReceiver)
        , context(serverContext)
        , summary(controlSummary)
    {
        this->StartRead(&this->envelope);
    }

    void OnReadDone(bool isOk) override
    {
        if (!isOk) {
            this->summary->set_received(this->received);
            this->Finish(grpc::Status::OK);
            return;
        }
        if (!certificateNamesVm(*this->context->auth_context(), this->envelope.from_vm())) {
            this->Finish(grpc::Status(grpc::StatusCode::PERMISSION_DENIED, "certificate does not name the sender"));
            return;
        }
        ++this->received;
        this->receiver(std::move(this->envelope));
        this->envelope.Clear();
        this->StartRead(&this->envelope);
    }

    void OnDone() override { delete this; }

private:
    const PeerTransport::Receiver& receiver;
    const grpc::CallbackServerContext* context;
    wire::ControlSummary* summary;
    wire::Envelope envelope;
    std::uint64_t received = 0;
};

std::shared_ptr<grpc::ServerCredentials> makeServerCredentials(const PeerTransportSettings& settings)
{
    grpc::SslServerCredentialsOptions options(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = settings.authorityPem;
    options.pem_key_cert_pairs.push_back({ settings.privateKeyPem, settings.certificatePem });
    return grpc::SslServerCredentials(options);
}

} // namespace

/** Serves incoming control streams; the relay is a separate service. */
class PeerTransport::ControlService : public wire::PeerControl::WithCallbackMethod_Send<wire::PeerControl::Service> {
public:
    explicit ControlService(const Receiver& messageReceiver)
        : receiver(messageReceiver)
    {
    }

    grpc::ServerReadReactor<wire::Envelope>* Send(
        grpc::CallbackServerContext* context, wire::ControlSummary* summary) override
    {
        return new ControlReader(this->receiver, context, summary);
    }

private:
    const Receiver& receiver;
};

PeerTransport::PeerTransport(PeerTransportSettings transportSettings, Receiver messageReceiver)
    : settings(std::move(transportSettings))
    , receiver(std::move(messageReceiver))
    , channels(this->settings)
{
}

PeerTransport::~PeerTransport()
{
    this->stop();
}

Outcome<Endpoint> PeerTransport::start(grpc::Service* additionalService)
{
    this->service = std::make_unique<ControlService>(this->receiver);
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(this->settings.listen.string(), makeServerCredentials(this->settings), &port);
    builder.RegisterService(this->service.get());
    if (additionalService)
        builder.RegisterService(additionalService);
    builder.SetMaxReceiveMessageSize(maximumMessageBytes);
    // Without SO_REUSEPORT, binding fails while an earlier process of this VM still serves on the port.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveTimeMilliseconds);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeoutMilliseconds);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, minimumPingIntervalMilliseconds);
    this->server = builder.BuildAndStart();
    if (!this->server || port == 0)
        return Error { ErrorCode::Unavailable, "cannot listen for peers on " + this->settings.listen.string() };
    return Endpoint { this->settings.listen.address, static_cast<std::uint16_t>(port) };
}

void PeerTransport::stop()
{
    std::map<VmId, OutgoingStream> endingStreams;
    {
        const std::scoped_lock lock(this->mutex);
        this->isStopped = true;
        endingStreams.swap(this->streams);
    }
    for (auto& [vm, outgoing] : endingStreams)
        outgoing.stream->cancel();
    if (this->server) {
        this->server->Shutdown(std::chrono::system_clock::now());
        this->server->Wait();
        this->server.reset();
    }
}

bool PeerTransport::send(const VmId& vm, const Endpoint& endpoint, wire::Envelope&& envelope)
{
    const std::shared_ptr<ControlStream> stream = this->getStream(vm, endpoint);
    return stream && stream->send(std::move(envelope));
}

void PeerTransport::disconnect(const VmId& vm)
{
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->streams.find(vm);
        if (found != this->streams.end()) {
            found->second.stream->cancel();
            this->streams.erase(found);
        }
    }
    this->channels.disconnect(vm);
}

std::shared_ptr<ControlStream> PeerTransport::getStream(const VmId& vm, const Endpoint& endpoint)
{
    const std::scoped_lock lock(this->mutex);
    if (this->isStopped)
        return nullptr;
    const auto now = std::chrono::steady_clock::now();
    OutgoingStream& outgoing = this->streams[vm];
    const bool isCurrentStream = outgoing.stream && !outgoing.stream->hasEnded() && outgoing.endpoint == endpoint;
    if (isCurrentStream)
        return outgoing.stream;
    const auto delay = std::chrono::milliseconds(this->settings.reconnectDelay.count());
    if (outgoing.stream && outgoing.endpoint == endpoint && now - outgoing.openedAt < delay)
        return outgoing.stream;
    if (outgoing.stream)
        outgoing.stream->cancel();
    const auto lifetime = std::chrono::milliseconds(this->settings.streamLifetime.count());
    outgoing = OutgoingStream { endpoint,
        ControlStream::open(this->channels, vm, endpoint, this->settings.maximumQueuedMessagesPerPeer,
            std::chrono::system_clock::now() + lifetime),
        now };
    return outgoing.stream;
}

} // namespace papayashelf
