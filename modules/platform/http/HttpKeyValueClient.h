#pragma once

#include "foundation/identity/Identifier.h"
#include "platform/store/StoreCall.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace papayashelf {

/**
    Calls the key-value service over HTTP/1.1 and JSON, as docs/PLATFORM.md describes.

    Connections are kept and used again. Errors of a call:
    - Unavailable: it certainly had no effect (never sent, refused by the service, or a read without an answer);
    - OutcomeUnknown: a write was sent and no whole answer came;
    - Conflict, TooLarge, InvalidArgument: as the service says;
    - Closed: close() came first; a write that was under way then ends as OutcomeUnknown.

    Thread safety: none; every method and every handler runs on the thread that runs the context.
*/
class HttpKeyValueClient {
public:
    /** Receives the reply of one call, exactly once. */
    using Handler = std::function<void(StoreReply)>;

    /** @param context  runs all work; must outlive the client */
    HttpKeyValueClient(boost::asio::io_context& context, Endpoint service);
    ~HttpKeyValueClient();
    HttpKeyValueClient(const HttpKeyValueClient&) = delete;
    HttpKeyValueClient& operator=(const HttpKeyValueClient&) = delete;

    /**
        Makes one call.

        @param timeout  longest time to the whole answer; a watch's own wait is added to it
        @param handler  called later, never from within call()
    */
    void call(const StoreRequest& request, Milliseconds timeout, Handler handler);

    /** Ends every call under way and refuses later ones. */
    void close();

private:
    class Connections;
    std::shared_ptr<Connections> connections;
};

} // namespace papayashelf
