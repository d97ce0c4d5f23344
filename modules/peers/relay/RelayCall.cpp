#include "peers/relay/RelayCall.h"

#include "peers/relay/RelayCodec.h"
#include <algorithm>
#include <chrono>
#include <grpcpp/channel.h>

namespace papayashelf {

namespace {

constexpr std::size_t bodyPieceBytes = std::size_t { 256 } * 1024;

std::chrono::system_clock::time_point after(Milliseconds time)
{
    return std::chrono::system_clock::now() + std::chrono::milliseconds(time.count());
}

} // namespace

RelayCall::RelayCall(PeerChannels& channels, std::shared_ptr<const std::string> requestBody,
    const RelayLimits& timeLimits, std::shared_ptr<RelayExchange> exchange)
    : use(channels)
    , body(std::move(requestBody))
    , limits(timeLimits)
    , answer(std::move(exchange))
{
}

void RelayCall::start(PeerChannels& channels, const StartRelay& directive, wire::RelayHead head,
    std::shared_ptr<const std::string> body, std::shared_ptr<RelayExchange> answer)
{
    const RelayLimits limits { directive.firstByteLimit, directive.betweenBytesLimit, directive.remaining };
    const std::shared_ptr<RelayCall> call(new RelayCall(channels, std::move(body), limits, std::move(answer)));
    call->self = call;
    const std::weak_ptr<RelayCall> weak = call;
    call->answer->setProducerWake([weak] {
        if (const auto alive = weak.lock())
            alive->handleConsumer();
    });
    call->begin(channels.getChannel(directive.vm, directive.endpoint), std::move(head));
}

void RelayCall::begin(const std::shared_ptr<grpc::Channel>& channel, wire::RelayHead head)
{
    const std::scoped_lock lock(this->mutex);
    this->stub = wire::PeerRelay::NewStub(channel);
    this->context.set_deadline(after(this->limits.remaining));
    this->stub->async()->Relay(&this->context, this);
    // Reads also start from the consumer's thread, outside the reactor's own callbacks.
    this->AddHold();
    *this->up.mutable_head() = std::move(head);
    this->StartWrite(&this->up);
    this->isReading = true;
    this->StartRead(&this->down);
    this->armSilenceLimit(this->limits.firstByte);
    this->StartCall();
}

void RelayCall::OnWriteDone(bool isOk)
{
    const std::scoped_lock lock(this->mutex);
    if (!isOk)
        return;
    this->hasSentHead = true;
    this->writeNextPiece();
}

void RelayCall::writeNextPiece()
{
    const std::size_t left = this->body ? this->body->size() - this->bodySent : 0;
    if (left == 0) {
        this->StartWritesDone();
        return;
    }
    const std::size_t length = std::min(left, bodyPieceBytes);
    this->up.set_body(this->body->substr(this->bodySent, length));
    this->bodySent += length;
    this->StartWrite(&this->up);
}

void RelayCall::OnReadDone(bool isOk)
{
    std::optional<RelayAnswerEvent> event;
    {
        const std::scoped_lock lock(this->mutex);
        if (!isOk) {
            this->isReading = false;
            return this->dropHold();
        }
        Outcome<RelayAnswerEvent> decoded = decodeRelayEvent(std::move(this->down));
        if (!decoded) {
            this->isReading = false;
            this->context.TryCancel();
            return this->dropHold();
        }
        event = std::move(decoded).value();
        this->hasHead = this->hasHead || std::holds_alternative<RelayAnswerHead>(*event);
        this->hasEnded = std::holds_alternative<RelayAnswerEnd>(*event);
        this->armSilenceLimit(this->limits.betweenBytes);
    }
    // Written outside the lock: the exchange may wake the consumer, whose answer comes back through handleConsumer().
    // It still counts as reading, so that no other thread reads, and overtakes, the next step meanwhile.
    this->answer->write(std::move(*event));
    const std::scoped_lock lock(this->mutex);
    this->isReading = false;
    this->readWhenRoom();
}

void RelayCall::handleConsumer()
{
    const std::scoped_lock lock(this->mutex);
    if (this->answer->isCancelled()) {
        this->context.TryCancel();
        if (!this->isReading)
            this->dropHold();
        return;
    }
    this->readWhenRoom();
}

void RelayCall::readWhenRoom()
{
    const bool mayRead
        = this->isHeld && !this->isReading && (this->hasEnded || this->answer->getRoom() >= largestRelayPieceBytes);
    if (!mayRead)
        return;
    this->isReading = true;
    this->down.Clear();
    this->StartRead(&this->down);
}

void RelayCall::armSilenceLimit(Milliseconds limit)
{
    ++this->silenceRound;
    this->silence = std::make_unique<grpc::Alarm>();
    const std::weak_ptr<RelayCall> weak = this->self;
    this->silence->Set(after(limit), [weak, round = this->silenceRound](bool isDue) {
        const auto call = isDue ? weak.lock() : nullptr;
        if (!call)
            return;
        const std::scoped_lock lock(call->mutex);
        // A slow consumer is no silence of the other VM.
        if (call->silenceRound != round || !call->isReading || call->hasEnded)
            return;
        call->wasSilent = true;
        call->context.TryCancel();
    });
}

void RelayCall::dropHold()
{
    if (!this->isHeld)
        return;
    this->isHeld = false;
    this->RemoveHold();
}

AttemptResult RelayCall::resultOf(const grpc::Status& status) const
{
    if (this->wasSilent)
        return AttemptResult::TimedOut;
    if (this->answer->isCancelled())
        return AttemptResult::Cancelled;
    if (this->hasHead)
        return AttemptResult::Truncated;
    // Without a connection no byte of the request has left this VM.
    const bool wasNeverSent = !this->hasSentHead && status.error_code() == grpc::StatusCode::UNAVAILABLE;
    return wasNeverSent ? AttemptResult::NotSent : AttemptResult::NoAnswer;
}

void RelayCall::OnDone(const grpc::Status& status)
{
    std::shared_ptr<RelayCall> last;
    std::unique_ptr<grpc::Alarm> alarm;
    AttemptResult result;
    bool isWhole = false;
    {
        const std::scoped_lock lock(this->mutex);
        last = std::move(this->self);
        alarm = std::move(this->silence);
        ++this->silenceRound;
        isWhole = this->hasEnded;
        result = this->resultOf(status);
    }
    if (!isWhole)
        this->answer->write(RelayAnswerEnd { result, std::nullopt });
}

} // namespace papayashelf
