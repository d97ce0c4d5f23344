#include "platform/http/BlockingKeyValueClient.h"

#include "platform/http/HttpKeyValueClient.h"
#include <optional>
#include <utility>

namespace papayashelf {

BlockingKeyValueClient::BlockingKeyValueClient(Endpoint service, Milliseconds timeout)
    : service(std::move(service))
    , timeout(timeout)
{
}

StoreReply BlockingKeyValueClient::call(const StoreRequest& request)
{
    boost::asio::io_context context;
    HttpKeyValueClient client(context, this->service);
    std::optional<StoreReply> received;
    client.call(request, this->timeout, [&received](StoreReply reply) { received = std::move(reply); });
    context.run();
    return *received;
}

} // namespace papayashelf
