#include "platform/http/BlockingHttpCall.h"

#include <utility>

namespace papayashelf {

HttpResult blockingHttpCall(const Endpoint& service, const HttpCall& call, Milliseconds timeout)
{
    boost::asio::io_context context;
    HttpResult received;
    const auto connection = std::make_shared<HttpConnection>(context, service);
    connection->exchange(call, timeout, [&received](HttpResult result) { received = std::move(result); });
    context.run();
    return received;
}

} // namespace papayashelf
