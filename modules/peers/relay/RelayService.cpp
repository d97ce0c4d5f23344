#include "peers/relay/RelayService.h"

#include "peers/relay/RelayCodec.h"
#include "peers/transport/PeerIdentity.h"
#include <mutex>

namespace papayashelf {

namespace {

/** Server side of one relayed request: receives it whole, passes it on and streams the answer back. */
class RelayReactor : public grpc::ServerBidiReactor<wire::RelayUp, wire::RelayDown>,
                     public std::enable_shared_from_this<RelayReactor> {
public:
    RelayReactor(const RelayService::RequestHandler& handler, grpc::CallbackServerContext* serverContext,
        std::size_t windowBytes, std::size_t bodyLimit)
        : requestHandler(handler)
        , context(serverContext)
        , maximumBodyBytes(bodyLimit)
        , answer(std::make_shared<RelayExchange>(windowBytes))
    {
    }

    void begin()
    {
        this->self = this->shared_from_this();
        this->StartRead(&this->incomingMessage);
    }

    void OnReadDone(bool isOk) override
    {
        if (!isOk)
            return this->serveRequest();
        if (this->incomingMessage.has_head())
            return this->handleHead();
        this->body += this->incomingMessage.body();
        if (this->body.size() > this->maximumBodyBytes)
            return this->fail(grpc::StatusCode::RESOURCE_EXHAUSTED, "request body is too large");
        this->StartRead(&this->incomingMessage);
    }

    void OnWriteDone(bool isOk) override
    {
        if (!isOk)
            this->answer->cancel();
        {
            const std::scoped_lock lock(this->mutex);
            this->isWriting = false;
            if (!isOk || this->hasWrittenEnd)
                return this->finishOnce(isOk ? grpc::Status::OK : grpc::Status::CANCELLED);
        }
        this->writeAvailableEvents();
    }

    void OnCancel() override
    {
        this->answer->cancel();
        const std::scoped_lock lock(this->mutex);
        if (!this->isWriting && this->isServing)
            this->finishOnce(grpc::Status::CANCELLED);
    }

    void OnDone() override
    {
        this->answer->cancel();
        std::shared_ptr<RelayReactor> finalReference;
        {
            const std::scoped_lock lock(this->mutex);
            finalReference.swap(this->self);
        }
    }

private:
    void handleHead()
    {
        const wire::RelayHead& head = this->incomingMessage.head();
        if (!certificateNamesVm(*this->context->auth_context(), head.from_vm()))
            return this->fail(grpc::StatusCode::PERMISSION_DENIED, "certificate does not name the sender");
        Outcome<RelayedRequest> decoded = decodeRelayHead(head);
        if (!decoded)
            return this->fail(grpc::StatusCode::INVALID_ARGUMENT, decoded.error().detail);
        this->request = std::move(decoded).value();
        this->StartRead(&this->incomingMessage);
    }

    void fail(grpc::StatusCode code, const std::string& detail)
    {
        const std::scoped_lock lock(this->mutex);
        this->finishOnce(grpc::Status(code, detail));
    }

    void serveRequest()
    {
        if (this->request.arrival.relayedFor.isEmpty())
            return this->fail(grpc::StatusCode::INVALID_ARGUMENT, "stream ended without a request head");
        {
            const std::scoped_lock lock(this->mutex);
            if (this->isFinished || this->context->IsCancelled())
                return this->finishOnce(grpc::Status::CANCELLED);
            this->isServing = true;
        }
        const std::weak_ptr<RelayReactor> weak = this->weak_from_this();
        this->answer->setConsumerWake([weak] {
            if (const auto reactor = weak.lock())
                reactor->writeAvailableEvents();
        });
        this->request.body = std::make_shared<const std::string>(std::move(this->body));
        this->requestHandler(std::move(this->request), this->answer);
    }

    /**
        Writes the next event of the answer if there is one and no write is in progress.

        The mutex is not held while the exchange is read: the read wakes the producer, which may write and so call
        this method again.
    */
    void writeAvailableEvents()
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->mayHaveNewEvent = true;
            if (this->isTakingEvents || this->isWriting || this->isFinished || this->hasWrittenEnd)
                return;
            this->isTakingEvents = true;
        }
        while (this->writeNextEvent()) { }
    }

    /** Takes one event and starts to write it. Returns true if there was none but one may have arrived meanwhile. */
    bool writeNextEvent()
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->mayHaveNewEvent = false;
        }
        std::optional<RelayAnswerEvent> event = this->takeNextEvent();
        const std::scoped_lock lock(this->mutex);
        if (!event && this->mayHaveNewEvent)
            return true;
        this->isTakingEvents = false;
        if (!event || this->isFinished)
            return false;
        this->hasWrittenEnd = std::holds_alternative<RelayAnswerEnd>(*event);
        this->outgoingMessage = encodeRelayEvent(std::move(*event));
        this->isWriting = true;
        this->StartWrite(&this->outgoingMessage);
        return false;
    }

    /** Returns the next event; splits long body bytes into chunks of at most maximumRelayChunkBytes. */
    std::optional<RelayAnswerEvent> takeNextEvent()
    {
        if (this->remainingBytes.empty()) {
            std::optional<RelayAnswerEvent> event = this->answer->read();
            auto* bodyBytes = event ? std::get_if<RelayAnswerBytes>(&*event) : nullptr;
            if (!bodyBytes || bodyBytes->bytes.size() <= maximumRelayChunkBytes)
                return event;
            this->remainingBytes = std::move(bodyBytes->bytes);
        }
        RelayAnswerBytes chunk { this->remainingBytes.substr(0, maximumRelayChunkBytes) };
        this->remainingBytes.erase(0, maximumRelayChunkBytes);
        return RelayAnswerEvent(std::move(chunk));
    }

    void finishOnce(const grpc::Status& status)
    {
        if (this->isFinished)
            return;
        this->isFinished = true;
        this->Finish(status);
    }

    const RelayService::RequestHandler& requestHandler;
    grpc::CallbackServerContext* context;
    const std::size_t maximumBodyBytes;
    std::shared_ptr<RelayExchange> answer;
    std::shared_ptr<RelayReactor> self;
    wire::RelayUp incomingMessage;
    wire::RelayDown outgoingMessage;
    RelayedRequest request;
    std::string body;
    std::string remainingBytes; /**< The part of split body bytes that is still to be written. */
    std::mutex mutex;
    bool isServing = false;
    bool isTakingEvents = false;
    bool mayHaveNewEvent = false;
    bool isWriting = false;
    bool hasWrittenEnd = false;
    bool isFinished = false;
};

} // namespace

RelayService::RelayService(RequestHandler handler, std::size_t window, std::size_t bodyLimit)
    : requestHandler(std::move(handler))
    , windowBytes(window)
    , maximumBodyBytes(bodyLimit)
{
}

grpc::ServerBidiReactor<wire::RelayUp, wire::RelayDown>* RelayService::Relay(grpc::CallbackServerContext* context)
{
    const auto reactor
        = std::make_shared<RelayReactor>(this->requestHandler, context, this->windowBytes, this->maximumBodyBytes);
    reactor->begin();
    return reactor.get();
}

} // namespace papayashelf
