#pragma once

#include "serving/caller/RequestReading.h"
#include "serving/request/RequestServer.h"
#include <memory>

namespace papayashelf {

/** Who sends requests over a connection. */
enum class SenderKind {
    Caller,
    Vm, /**< Another VM hands its callers' requests over. */
};

/**
    One connection of a caller, or of another VM: its requests one after the other, until either side ends it.

    Thread safety: none; owned by one I/O thread.
*/
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    /** @param context  must outlive the session */
    CallerSession(boost::asio::ip::tcp::socket socket, SenderKind sender, ServingContext& context);

    /** Starts the session, which keeps itself alive. */
    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> serveOne();
    boost::asio::awaitable<void> answerFault(ReadResult fault);
    boost::asio::awaitable<void> linger();
    void onCallerGone();

    CallerStream stream;
    CallerInput input;
    SenderKind sender;
    ServingContext& context;
    ActiveRequest* active = nullptr; /**< The request under way. */
};

} // namespace papayashelf
