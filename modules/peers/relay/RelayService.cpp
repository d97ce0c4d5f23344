#include "peers/relay/RelayService.h"

#include "peers/relay/RelayCodec.h"
#include "peers/transport/PeerIdentity.h"
#include <mutex>

namespace papayashelf {

namespace {

/** One relayed request from its arrival to the end of its answer. */
class RelayReactor : public grpc::ServerBidiReactor<wire::RelayUp, wire::RelayDown>,
                     public std::enable_shared_from_this<RelayReactor> {
public:
    RelayReactor(const RelayService::Server& requestServer, grpc::CallbackServerContext* serverContext,
        std::size_t windowBytes, std::size_t bodyLimit)
        : server(requestServer)
        , context(serverContext)
        , maximumBodyBytes(bodyLimit)
        , answer(std::make_shared<RelayExchange>(windowBytes))
    {
    }

    void begin()
    {
        this->self = this->shared_from_this();
        this->StartRead(&this->up);
    }

    void OnReadDone(bool isOk) override
    {
        if (!isOk)
            return this->serve();
        if (this->up.has_head())
            return this->takeHead();
        this->body += this->up.body();
        if (this->body.size() > this->maximumBodyBytes)
            return this->fail(grpc::StatusCode::RESOURCE_EXHAUSTED, "body too large");
        this->StartRead(&this->up);
    }

    void OnWriteDone(bool isOk) override
    {
        if (!isOk)
            this->answer->cancel();
        {
            const std::scoped_lock lock(this->mutex);
            this->isWriting = false;
            if (!isOk || this->wroteEnd)
                return this->finishOnce(isOk ? grpc::Status::OK : grpc::Status::CANCELLED);
        }
        this->pump();
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
        std::shared_ptr<RelayReactor> last;
        {
            const std::scoped_lock lock(this->mutex);
            last.swap(this->self);
        }
    }

private:
    void takeHead()
    {
        const wire::RelayHead& head = this->up.head();
        if (!isPeer(*this->context->auth_context(), head.from_vm()))
            return this->fail(grpc::StatusCode::PERMISSION_DENIED, "certificate does not name the sender");
        Outcome<RelayedRequest> decoded = decodeRelayHead(head);
        if (!decoded)
            return this->fail(grpc::StatusCode::INVALID_ARGUMENT, decoded.error().detail);
        this->request = std::move(decoded).value();
        this->StartRead(&this->up);
    }

    void fail(grpc::StatusCode code, const std::string& detail)
    {
        const std::scoped_lock lock(this->mutex);
        this->finishOnce(grpc::Status(code, detail));
    }

    void serve()
    {
        if (this->request.arrival.relayedFor.isEmpty())
            return this->fail(grpc::StatusCode::INVALID_ARGUMENT, "no request");
        {
            const std::scoped_lock lock(this->mutex);
            if (this->isFinished || this->context->IsCancelled())
                return this->finishOnce(grpc::Status::CANCELLED);
            this->isServing = true;
        }
        const std::weak_ptr<RelayReactor> weak = this->weak_from_this();
        this->answer->setConsumerWake([weak] {
            if (const auto reactor = weak.lock())
                reactor->pump();
        });
        this->request.body = std::make_shared<const std::string>(std::move(this->body));
        this->server(std::move(this->request), this->answer);
    }

    /**
        Writes the next step of the answer, if there is one and none is being written.

        The exchange is read without the lock: reading wakes the producer, which may write and so come back here.
    */
    void pump()
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->mayHaveMore = true;
            if (this->isPumping || this->isWriting || this->isFinished || this->wroteEnd)
                return;
            this->isPumping = true;
        }
        while (this->pumpOnce()) { }
    }

    /** Takes one step and starts to write it; true if there was none but one may have come meanwhile. */
    bool pumpOnce()
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->mayHaveMore = false;
        }
        std::optional<RelayAnswerEvent> event = this->takeNext();
        const std::scoped_lock lock(this->mutex);
        if (!event && this->mayHaveMore)
            return true;
        this->isPumping = false;
        if (!event || this->isFinished)
            return false;
        this->wroteEnd = std::holds_alternative<RelayAnswerEnd>(*event);
        this->down = encodeRelayEvent(std::move(*event));
        this->isWriting = true;
        this->StartWrite(&this->down);
        return false;
    }

    /** The next step, with a long piece of the body cut to what one message may hold. */
    std::optional<RelayAnswerEvent> takeNext()
    {
        if (this->rest.empty()) {
            std::optional<RelayAnswerEvent> event = this->answer->read();
            auto* piece = event ? std::get_if<RelayAnswerBytes>(&*event) : nullptr;
            if (!piece || piece->bytes.size() <= largestRelayPieceBytes)
                return event;
            this->rest = std::move(piece->bytes);
        }
        RelayAnswerBytes first { this->rest.substr(0, largestRelayPieceBytes) };
        this->rest.erase(0, largestRelayPieceBytes);
        return RelayAnswerEvent(std::move(first));
    }

    void finishOnce(const grpc::Status& status)
    {
        if (this->isFinished)
            return;
        this->isFinished = true;
        this->Finish(status);
    }

    const RelayService::Server& server;
    grpc::CallbackServerContext* context;
    const std::size_t maximumBodyBytes;
    std::shared_ptr<RelayExchange> answer;
    std::shared_ptr<RelayReactor> self;
    wire::RelayUp up;
    wire::RelayDown down;
    RelayedRequest request;
    std::string body;
    std::string rest; /**< Of a long piece of the answer. */
    std::mutex mutex;
    bool isServing = false;
    bool isPumping = false;
    bool mayHaveMore = false;
    bool isWriting = false;
    bool wroteEnd = false;
    bool isFinished = false;
};

} // namespace

RelayService::RelayService(Server requestServer, std::size_t window, std::size_t bodyLimit)
    : server(std::move(requestServer))
    , windowBytes(window)
    , maximumBodyBytes(bodyLimit)
{
}

grpc::ServerBidiReactor<wire::RelayUp, wire::RelayDown>* RelayService::Relay(grpc::CallbackServerContext* context)
{
    const auto reactor
        = std::make_shared<RelayReactor>(this->server, context, this->windowBytes, this->maximumBodyBytes);
    reactor->begin();
    return reactor.get();
}

} // namespace papayashelf
