#pragma once

#include "entrance/answer/AnswerWriter.h"
#include "entrance/caller/CallerInput.h"
#include "entrance/caller/CallerStream.h"
#include "entrance/caller/RequestReader.h"
#include "entrance/exchange/Exchange.h"
#include <memory>

namespace papayashelf {

/**
    One caller's connection: serves its requests one after the other, so that answers keep the order of requests.

    Thread safety: none; owned by one I/O thread.
*/
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    /** Takes over a connection that is already counted. @param thread  must outlive it */
    CallerConnection(IoThread& thread, boost::asio::ip::tcp::socket socket);
    ~CallerConnection();
    CallerConnection(const CallerConnection&) = delete;
    CallerConnection& operator=(const CallerConnection&) = delete;

    /** Serves the caller until one side ends the connection; keeps itself alive so long. */
    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> readAhead();
    boost::asio::awaitable<bool> serveOne();
    boost::asio::awaitable<bool> serveWhole(RequestReader& reader);
    boost::asio::awaitable<bool> serveByProvider(const ReceivedHead& head);
    boost::asio::awaitable<bool> serveByUpstream(ExchangeRequest request);
    boost::asio::awaitable<bool> answerFault(const ReadFault& fault);
    boost::asio::awaitable<bool> refuseEarly(RefusalCode code, RequestId request, bool hasUnreadBody);
    boost::asio::awaitable<void> linger();

    IoThread& thread;
    CallerStream stream;
    CallerInput input;
    AnswerWriter writer;
    std::shared_ptr<Exchange<AnswerWriter>> exchange;
};

} // namespace papayashelf
