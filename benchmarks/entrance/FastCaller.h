#pragma once

#include "foundation/identity/Identifier.h"
#include <arpa/inet.h>
#include <cstdlib>
#include <iostream>
#include <netinet/tcp.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace papayashelf {

/** A blocking caller that reads as little into an answer as it can. */
class FastCaller {
public:
    explicit FastCaller(const Endpoint& endpoint)
        : handle(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(this->handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            this->fail("connect");
        const int enabled = 1;
        ::setsockopt(this->handle, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    }

    ~FastCaller() { ::close(this->handle); }
    FastCaller(const FastCaller&) = delete;
    FastCaller& operator=(const FastCaller&) = delete;

    void send(const std::string& request)
    {
        if (::send(this->handle, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size()))
            this->fail("send");
    }

    /** Reads until the text has come. */
    void readUntil(std::string_view text)
    {
        while (this->answer.find(text) == std::string::npos)
            this->readSome();
        this->answer.clear();
    }

    /** Reads an answer with a length, or a chunked one to its last chunk. */
    void readAnswer(bool isStreamed)
    {
        if (isStreamed)
            return this->readUntil("\r\n0\r\n\r\n");
        std::size_t end = std::string::npos;
        while ((end = this->answer.find("\r\n\r\n")) == std::string::npos)
            this->readSome();
        std::size_t at = this->answer.find("ontent-");
        while (this->answer.compare(at, 13, "ontent-length") != 0 && this->answer.compare(at, 13, "ontent-Length") != 0)
            at = this->answer.find("ontent-", at + 1);
        const std::size_t length = std::stoul(this->answer.substr(at + 15));
        while (this->answer.size() < end + 4 + length)
            this->readSome();
        this->answer.clear();
    }

private:
    void readSome()
    {
        char piece[16 * 1024];
        const ssize_t count = ::recv(this->handle, piece, sizeof piece, 0);
        if (count <= 0)
            this->fail("receive");
        this->answer.append(piece, static_cast<std::size_t>(count));
    }

    [[noreturn]] void fail(const char* what) const
    {
        std::cerr << "benchmark caller: cannot " << what << "\n";
        std::_Exit(1);
    }

    int handle;
    std::string answer;
};

} // namespace papayashelf
