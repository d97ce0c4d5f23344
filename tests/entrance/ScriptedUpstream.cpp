#include "entrance/ScriptedUpstream.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds implausibleWait { 20 };
constexpr std::chrono::milliseconds acceptPeriod { 2 };

/** Reads until the peer closes the connection. */
void readToEnd(asio::ip::tcp::socket& connection)
{
    boost::system::error_code error;
    std::string space(4096, '\0');
    while (!error)
        connection.read_some(asio::buffer(space), error);
}

} // namespace

ScriptedUpstream::ScriptedUpstream(Script script)
{
    const asio::ip::tcp::endpoint wanted(asio::ip::make_address("127.0.0.1"), 0);
    this->acceptor.open(wanted.protocol());
    this->acceptor.bind(wanted);
    this->acceptor.listen();
    this->acceptor.non_blocking(true);
    this->endpoint = Endpoint { "127.0.0.1", this->acceptor.local_endpoint().port() };
    this->thread = std::thread([this, script = std::move(script)] { this->serve(script); });
}

ScriptedUpstream::ScriptedUpstream(std::string first, std::shared_future<void> mayGoOn, std::string second)
    : ScriptedUpstream([first = std::move(first), mayGoOn = std::move(mayGoOn), second = std::move(second)](
                           asio::ip::tcp::socket& connection) {
        boost::system::error_code ignored;
        asio::write(connection, asio::buffer(first), ignored);
        if (mayGoOn.valid()) {
            mayGoOn.wait_for(implausibleWait);
            asio::write(connection, asio::buffer(second), ignored);
            connection.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        }
        readToEnd(connection);
    })
{
}

ScriptedUpstream::~ScriptedUpstream()
{
    this->isStopping = true;
    this->thread.join();
}

bool ScriptedUpstream::waitForRequest()
{
    return this->requestRead.get_future().wait_for(implausibleWait) == std::future_status::ready;
}

bool ScriptedUpstream::waitForEnd()
{
    return this->ended.get_future().wait_for(implausibleWait) == std::future_status::ready;
}

std::string ScriptedUpstream::streamHead()
{
    return "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
}

std::string ScriptedUpstream::tokens(int first, int last)
{
    std::string events;
    for (int token = first; token <= last; ++token)
        events += R"(data: {"token":)" + std::to_string(token) + R"(,"choices":[]})" + "\n\n";
    return events;
}

void ScriptedUpstream::serve(const Script& script)
{
    boost::system::error_code error = asio::error::would_block;
    asio::ip::tcp::socket connection(this->context);
    while (error && !this->isStopping) {
        this->acceptor.accept(connection, error);
        std::this_thread::sleep_for(acceptPeriod);
    }
    if (error)
        return;
    connection.non_blocking(false);
    std::string request;
    // The bodies of chat requests end with a brace, and requests without a body with an empty line.
    asio::read_until(connection, asio::dynamic_buffer(request), "\r\n\r\n", error);
    if (request.starts_with("POST"))
        asio::read_until(connection, asio::dynamic_buffer(request), "e}", error);
    this->requestRead.set_value();
    script(connection);
    this->ended.set_value();
}

} // namespace papayashelf
