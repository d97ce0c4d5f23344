#pragma once

#include "entrance/answer/ErrorAnswer.h"
#include "entrance/caller/CallerInput.h"
#include "entrance/exchange/Exchange.h"
#include "entrance/request/CallerKey.h"
#include "entrance/server/EntranceSettings.h"
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

namespace papayashelf {

/** What is known of a request once its head is read. */
struct ReceivedHead {
    RequestHead forwarded; /**< Fit for an upstream. */
    std::string path;
    std::string query;
    std::string idempotencyKey;
    CallerKey key;
    KeyDigest digest;
    bool keepAlive = false;
    bool expectsContinue = false;
    bool hasBody = false;
    bool hasCodedBody = false; /**< The body is compressed. */
};

/** Why a request is turned away, with a sentence where more than the code is known. */
struct ReadFault {
    EntranceFault fault = EntranceFault::MalformedRequest;
    std::string detail;
};

/** Reads one request from a caller's input. Thread safety: none; owned by one I/O thread. */
class RequestReader {
public:
    /** How reading a part of a request came out. */
    enum class Result {
        Read,
        Fault, /**< See getFault(). */
        Gone, /**< The caller left, or stayed idle too long before a request began. */
    };

    /** @param input, settings  must outlive the reader */
    RequestReader(CallerInput& input, const EntranceSettings& settings);

    /** Waits for a request and reads its head. */
    boost::asio::awaitable<Result> readHead();

    /** Reads the body. Precondition: the head is read. */
    boost::asio::awaitable<Result> readBody();

    /** Takes the body. Precondition: it is read. */
    std::string takeBody() { return std::move(this->parser.get().body()); }

    ReceivedHead& getHead() { return this->head; }
    const ReadFault& getFault() const { return this->fault; }

private:
    boost::asio::awaitable<Result> parseUntil(bool isWholeRequest, Milliseconds limit, EntranceFault late);
    Result interpretHead();
    std::optional<ReadFault> checkHead() const;
    std::optional<ReadFault> splitTarget(RequestHead& received);
    void takeKey();
    void wipeCredentials();
    Result fail(ReadFault found);

    CallerInput& input;
    const EntranceSettings& settings;
    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    ReceivedHead head;
    ReadFault fault;
};

} // namespace papayashelf
