#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include <functional>
#include <memory>
#include <string>

namespace papayashelf {

/** A request from an operator whose key has been verified. */
struct AdministrationRequest {
    std::string method;
    std::string path; /**< Path without the query. */
    std::string query; /**< Query without the leading question mark. */
    std::string body;

    bool operator==(const AdministrationRequest&) const = default;
};

/** The HTTP answer to an operator's request. */
struct AdministrationAnswer {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;

    bool operator==(const AdministrationAnswer&) const = default;
};

/**
    An HTTP server for operators that runs on a dedicated thread.

    Every request must carry the administration key as a bearer token. The size of a request body is limited, and a
    connection that takes too long to send a request is closed.
    Thread safety: start() and stop() must be called from one owning thread.
*/
class AdministrationServer {
public:
    /** Answers one request. It is called on the server's thread and must not block for long. */
    using Handler = std::function<AdministrationAnswer(const AdministrationRequest&)>;

    /**
        Creates a server that is not yet listening.

        @param keyDigest  SHA-256 of the administration key, lower-case hexadecimal
    */
    AdministrationServer(Endpoint listen, KeyDigest keyDigest, Handler handler);
    ~AdministrationServer();
    AdministrationServer(const AdministrationServer&) = delete;
    AdministrationServer& operator=(const AdministrationServer&) = delete;

    /**
        Starts listening and serving.

        @return the endpoint that the server listens on; InvalidArgument if the address is not an IP address, or
                Unavailable if the server cannot listen on it
    */
    Outcome<Endpoint> start();

    /** Closes the listener and all connections and joins the server's thread. Idempotent. */
    void stop();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace papayashelf
