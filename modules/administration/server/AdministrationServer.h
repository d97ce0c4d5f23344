#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include <functional>
#include <memory>
#include <string>

namespace papayashelf {

/** One request of an operator, its key already checked. */
struct AdministrationRequest {
    std::string method;
    std::string path; /**< Without the query. */
    std::string query; /**< Without the question mark. */
    std::string body;

    bool operator==(const AdministrationRequest&) const = default;
};

/** The answer to an operator. */
struct AdministrationAnswer {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;

    bool operator==(const AdministrationAnswer&) const = default;
};

/**
    Answers operators over HTTP on one thread of its own.

    Every request must carry the administration key as a bearer token. Bodies are bounded, slow senders are cut off.
    Thread safety: start() and stop() belong to one owning thread.
*/
class AdministrationServer {
public:
    /** Answers one request; called on the server's thread; must not block for long. */
    using Handler = std::function<AdministrationAnswer(const AdministrationRequest&)>;

    /** @param keyDigest  SHA-256 of the administration key, lower-case hexadecimal */
    AdministrationServer(Endpoint listen, KeyDigest keyDigest, Handler handler);
    ~AdministrationServer();
    AdministrationServer(const AdministrationServer&) = delete;
    AdministrationServer& operator=(const AdministrationServer&) = delete;

    /** Starts to listen. Returns where, or Unavailable if the address cannot be had. */
    Outcome<Endpoint> start();

    /** Closes the listener and every connection, and ends the thread. Idempotent. */
    void stop();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace papayashelf
