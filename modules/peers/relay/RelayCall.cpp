#include "peers/relay/RelayCall.h"

#include "peers/relay/RelayCodec.h"
#include <algorithm>
#include <chrono>
#include <grpcpp/channel.h>

namespace papayashelf {

namespace {

constexpr std::size_t maximumBodyChunkBytes = std::size_t { 256 } * 1024;

std::chrono::system_clock::time_point deadlineAfter(Milliseconds time)
{
    return std::chrono::system_clock::now() + std::chrono::milliseconds(time.count());
}

} // namespace

RelayCall::RelayCall(PeerChannels& channels, std::shared_ptr<const std::string> requestBody,
    const RelayTimeLimits& timeLimits, std::shared_ptr<RelayExchange> exchange)
    : channelsUsage(channels)
    , body(std::move(requestBody))
    , limits(timeLimits)
    , answer(std::move(exchange))
{
}

void RelayCall::start(PeerChannels& channels, const StartRelay& directive, wire::RelayHead head,
    std::shared_ptr<const std::string> body, std::shared_ptr<RelayExchange> answer)
{
    const RelayTimeLimits limits { directive.firstByteLimit, directive.betweenBytesLimit, directive.remaining };
    const std::shared_ptr<RelayCall> call(new RelayCall(channels, std::move(body), limits, std::move(answer)));
    call->self = call;
    const std::weak_ptr<RelayCall> weak = call;
    call->answer->setProducerWake([weak] {
        if (const auto relayCall = weak.lock())
            relayCall->handleConsumerWake();
    });
    call->begin(channels.getChannel(directive.vm, directive.endpoint), std::move(head));
}

void RelayCall::begin(const std::shared_ptr<grpc::Channel>& channel, wire::RelayHead head)
{
    const std::scoped_lock lock(this->mutex);
    this->stub = wire::PeerRelay::NewStub(channel);
    this->context.set_deadline(deadlineAfter(this->limits.remaining));
    this->stub->async()->Relay(&this->context, this);
    // Reads also start on the consumer's thread, outside the reactor's callbacks; gRPC requires a hold for that.
    this->AddHold();
    *this->outgoingMessage.mutable_head() = std::move(head);
    this->StartWrite(&this->outgoingMessage);
    this->hasPendingRead = true;
    this->StartRead(&this->incomingMessage);
    this->startInactivityTimer(this->limits.firstByteTimeout);
    this->StartCall();
}

void RelayCall::OnWriteDone(bool isOk)
{
    const std::scoped_lock lock(this->mutex);
    if (!isOk)
        return;
    this->hasSentRequestHead = true;
    this->writeNextBodyChunk();
}

void RelayCall::writeNextBodyChunk()
{
    const std::size_t remainingBytes = this->body ? this->body->size() - this->bodyBytesSent : 0;
    if (remainingBytes == 0) {
        this->StartWritesDone();
        return;
    }
    const std::size_t length = std::min(remainingBytes, maximumBodyChunkBytes);
    this->outgoingMessage.set_body(this->body->substr(this->bodyBytesSent, length));
    this->bodyBytesSent += length;
    this->StartWrite(&this->outgoingMessage);
}

void RelayCall::OnReadDone(bool isOk)
{
    std::optional<RelayAnswerEvent> event;
    {
        const std::scoped_lock lock(this->mutex);
        if (!isOk) {
            this->hasPendingRead = false;
            return this->releaseHold();
        }
        Outcome<RelayAnswerEvent> decoded = decodeRelayEvent(std::move(this->incomingMessage));
        if (!decoded) {
            this->hasPendingRead = false;
            this->context.TryCancel();
            return this->releaseHold();
        }
        event = std::move(decoded).value();
        this->hasReceivedHead = this->hasReceivedHead || std::holds_alternative<RelayAnswerHead>(*event);
        this->hasReceivedEnd = std::holds_alternative<RelayAnswerEnd>(*event);
        this->startInactivityTimer(this->limits.betweenBytesTimeout);
    }
    // The mutex is not held here because the write may wake the consumer, which calls back into
    // handleConsumerWake(). hasPendingRead stays true meanwhile, so that no other thread reads the next event and
    // delivers it ahead of this one.
    this->answer->write(std::move(*event));
    const std::scoped_lock lock(this->mutex);
    this->hasPendingRead = false;
    this->readIfWindowHasCapacity();
}

void RelayCall::handleConsumerWake()
{
    const std::scoped_lock lock(this->mutex);
    if (this->answer->isCancelled()) {
        this->context.TryCancel();
        if (!this->hasPendingRead)
            this->releaseHold();
        return;
    }
    this->readIfWindowHasCapacity();
}

void RelayCall::readIfWindowHasCapacity()
{
    const bool mayRead = this->hasHold && !this->hasPendingRead
        && (this->hasReceivedEnd || this->answer->getRoom() >= maximumRelayChunkBytes);
    if (!mayRead)
        return;
    this->hasPendingRead = true;
    this->incomingMessage.Clear();
    this->StartRead(&this->incomingMessage);
}

void RelayCall::startInactivityTimer(Milliseconds limit)
{
    ++this->inactivityTimerGeneration;
    this->inactivityTimer = std::make_unique<grpc::Alarm>();
    const std::weak_ptr<RelayCall> weak = this->self;
    this->inactivityTimer->Set(deadlineAfter(limit), [weak, generation = this->inactivityTimerGeneration](bool isDue) {
        const auto call = isDue ? weak.lock() : nullptr;
        if (!call)
            return;
        const std::scoped_lock lock(call->mutex);
        // Without a pending read the call waits for its consumer, so the other VM is not at fault.
        if (call->inactivityTimerGeneration != generation || !call->hasPendingRead || call->hasReceivedEnd)
            return;
        call->hasTimedOut = true;
        call->context.TryCancel();
    });
}

void RelayCall::releaseHold()
{
    if (!this->hasHold)
        return;
    this->hasHold = false;
    this->RemoveHold();
}

AttemptResult RelayCall::classifyFailure(const grpc::Status& status) const
{
    if (this->hasTimedOut)
        return AttemptResult::TimedOut;
    if (this->answer->isCancelled())
        return AttemptResult::Cancelled;
    if (this->hasReceivedHead)
        return AttemptResult::Truncated;
    // The connection was never established, so no byte of the request has left this VM.
    const bool wasNeverSent = !this->hasSentRequestHead && status.error_code() == grpc::StatusCode::UNAVAILABLE;
    return wasNeverSent ? AttemptResult::NotSent : AttemptResult::NoAnswer;
}

void RelayCall::OnDone(const grpc::Status& status)
{
    std::shared_ptr<RelayCall> finalReference;
    std::unique_ptr<grpc::Alarm> alarm;
    AttemptResult result;
    bool isComplete = false;
    {
        const std::scoped_lock lock(this->mutex);
        finalReference = std::move(this->self);
        alarm = std::move(this->inactivityTimer);
        ++this->inactivityTimerGeneration;
        isComplete = this->hasReceivedEnd;
        result = this->classifyFailure(status);
    }
    if (!isComplete)
        this->answer->write(RelayAnswerEnd { result, std::nullopt });
}

} // namespace papayashelf
