#pragma once

#include "entrance/exchange/AttemptSource.h"
#include "entrance/relay/RelayTransport.h"
#include "entrance/upstream/UpstreamPool.h"
#include <array>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace papayashelf {

/** What one attempt sends to an upstream. */
struct UpstreamRequest {
    Endpoint endpoint;
    const RequestHead* head = nullptr; /**< Must outlive the source. */
    std::shared_ptr<const std::string> body;
    std::vector<HeaderField> extraHeaders;
    bool needsFreshConnection = false; /**< For requests that may not be repeated. */
};

/**
    One request to an upstream and its answer.

    Thread safety: none; owned by one I/O thread.
*/
class UpstreamSource {
public:
    /** @param pool, settings  must outlive the source */
    UpstreamSource(UpstreamPool& pool, const EntranceSettings& settings, UpstreamRequest request, AttemptLimits limits);

    /**
        Sets a function that is called when the upstream has been silent for longer than the limit of a wait, and
        repeatedly while it stays silent. The wait then goes on until the remaining time has passed; without a function
        it ends with the limit. Call before open().
    */
    void setSilenceHandler(std::function<void()> handler) { this->onSilence = std::move(handler); }

    /** Connects, sends the request and reads the answer's head. */
    boost::asio::awaitable<SourceHead> open();

    /** Reads the next piece of the body. @param limit  longest wait for it */
    boost::asio::awaitable<SourcePiece> read(Milliseconds limit);

    /** Ends the exchange by closing the connection; an operation under way ends as Cancelled. */
    void cancel();

    /** Gives the connection back if the answer was read whole, closes it otherwise. */
    void release();

    /** Whether the answer's end is marked by its length or last chunk, and not only by the connection's end. */
    bool isSelfDelimited() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<AttemptResult> connect();
    boost::asio::awaitable<AttemptResult> send();
    boost::asio::awaitable<AttemptResult> receiveHead();

    /** Reads more bytes into the connection's buffer. @param otherwise  what an end that comes too early means */
    boost::asio::awaitable<AttemptResult> receive(AttemptResult otherwise);

    /** Takes what the buffer holds of the body. */
    std::string_view parsePiece(AttemptResult& result);
    SourceHead describeHead() const;
    std::string formatHead() const;
    void limitNext(Milliseconds limit);
    std::optional<TimePoint> extendWait();
    AttemptResult resultOf(AttemptResult otherwise) const;
    void closeConnection();
    AttemptResult fail(AttemptResult result);

    static constexpr std::size_t pieceBytes = 4 * kibibyte;
    static constexpr std::size_t receiveBytes = 4 * kibibyte;

    UpstreamPool& pool;
    const EntranceSettings& settings;
    UpstreamRequest request;
    AttemptLimits limits;
    TimePoint deadline;
    std::unique_ptr<UpstreamConnection> connection;
    std::optional<Parser> parser;
    std::unique_ptr<std::array<char, pieceBytes>> piece;
    std::function<void()> onSilence;
    bool isSilent = false;
    bool cancelled = false;
};

} // namespace papayashelf
