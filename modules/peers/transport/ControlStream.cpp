#include "peers/transport/ControlStream.h"

#include <grpcpp/channel.h>

namespace papayashelf {

ControlStream::ControlStream(PeerChannels& channels, std::size_t capacity)
    : channelsUsage(channels)
    , queue(capacity)
{
}

std::shared_ptr<ControlStream> ControlStream::open(PeerChannels& channels, const VmId& vm, const Endpoint& endpoint,
    std::size_t capacity, std::chrono::system_clock::time_point deadline)
{
    std::shared_ptr<ControlStream> stream(new ControlStream(channels, capacity));
    stream->self = stream;
    stream->stub = wire::PeerControl::NewStub(channels.getChannel(vm, endpoint));
    stream->context.set_deadline(deadline);
    stream->stub->async()->Send(&stream->context, &stream->summary, stream.get());
    // Writes start from send(), outside the reactor's callbacks; gRPC requires a hold for that.
    stream->AddHold();
    stream->StartCall();
    return stream;
}

bool ControlStream::send(wire::Envelope&& envelope)
{
    const std::scoped_lock lock(this->mutex);
    if (this->ended || this->isCancelled || this->queue.full())
        return false;
    this->queue.push_back(std::move(envelope));
    this->writeNext();
    return true;
}

void ControlStream::cancel()
{
    this->context.TryCancel();
    const std::scoped_lock lock(this->mutex);
    this->isCancelled = true;
    // The callback of a write in progress ends the stream, also if the write succeeds; an idle stream gets no callback.
    if (!this->isWriting)
        this->end();
}

void ControlStream::OnWriteDone(bool isOk)
{
    const std::scoped_lock lock(this->mutex);
    this->isWriting = false;
    this->queue.pop_front();
    if (isOk && !this->ended && !this->isCancelled) {
        this->writeNext();
        return;
    }
    this->end();
}

void ControlStream::OnDone(const grpc::Status&)
{
    std::shared_ptr<ControlStream> finalReference;
    {
        const std::scoped_lock lock(this->mutex);
        this->ended = true;
        finalReference = std::move(this->self);
    }
}

void ControlStream::end()
{
    if (!this->ended.exchange(true))
        this->RemoveHold();
}

void ControlStream::writeNext()
{
    if (this->isWriting || this->queue.empty())
        return;
    this->isWriting = true;
    this->StartWrite(&this->queue.front());
}

} // namespace papayashelf
