#include "platform/http/HttpVmListClient.h"

#include "platform/http/HttpConnection.h"
#include <utility>

namespace papayashelf {

namespace {

constexpr int statusOk = 200;

Outcome<VmList> listOf(const HttpResult& result)
{
    if (!result.answer)
        return result.answer.error();
    if (result.answer.value().status != statusOk)
        return Error { ErrorCode::Unavailable, "the VM list answered " + std::to_string(result.answer.value().status) };
    return decodeVmList(result.answer.value().body);
}

} // namespace

HttpVmListClient::HttpVmListClient(boost::asio::io_context& context, Endpoint service)
    : context(context)
    , service(std::move(service))
{
}

void HttpVmListClient::read(Milliseconds timeout, Handler handler)
{
    // A connection for each read: reads are seconds apart, and a kept one could go silent between them.
    const auto connection = std::make_shared<HttpConnection>(this->context, this->service);
    connection->exchange({ "GET", std::string(vmListPath), {}, {} }, timeout,
        [handler = std::move(handler)](const HttpResult& result) { handler(listOf(result)); });
}

} // namespace papayashelf
