#pragma once

#include "serving/caller/CallerRequestReader.h"
#include "serving/request/RequestServer.h"
#include <memory>

namespace papayashelf {

/** The kind of peer that sends requests over a connection. */
enum class SenderKind {
    Caller,
    Vm, /**< Another VM, which relays its callers' requests. */
};

/**
    Serves the requests of one connection, from a caller or another VM, in sequence until either side closes it.

    Thread safety: none; owned by one I/O thread.
*/
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    /** @param context  must outlive the session */
    CallerSession(boost::asio::ip::tcp::socket socket, SenderKind sender, ServingContext& context);

    /** Starts the session, which keeps itself alive until the connection is closed. */
    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> serveOne();
    boost::asio::awaitable<void> sendErrorAnswer(ReadResult result, const CallerRequestReader& reader);
    boost::asio::awaitable<void> linger();
    void onCallerGone();

    CallerStream stream;
    CallerInput input;
    SenderKind sender;
    ServingContext& context;
    ActiveRequest* activeRequest = nullptr; /**< The request in progress, or null. */
};

} // namespace papayashelf
