#include "serving/process/DigestExchange.h"

#include "entrance/server/Signal.h"
#include <array>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maximumDatagramBytes = 65'536;

} // namespace

DigestExchange::DigestExchange(const asio::any_io_executor& executor, GatewayCore& core, DecisionLog& log)
    : socket(executor)
    , timer(executor)
    , core(core)
    , log(log)
{
}

Outcome<void> DigestExchange::open(const Endpoint& at)
{
    boost::system::error_code failure;
    const asio::ip::udp::endpoint endpoint(asio::ip::make_address(at.address, failure), at.port);
    if (!failure)
        this->socket.open(endpoint.protocol(), failure);
    if (!failure)
        this->socket.bind(endpoint, failure);
    if (!failure)
        this->socket.non_blocking(true, failure);
    if (failure)
        return Error { ErrorCode::Unavailable, "cannot bind UDP socket to " + at.string() + ": " + failure.message() };
    return boost::outcome_v2::success();
}

asio::awaitable<void> DigestExchange::sendPeriodically()
{
    while (true) {
        for (const auto& [receiver, report] : this->core.makeReports(this->clock.now()))
            this->send(*receiver, encodeDigest(report, receiver->relayKey));
        this->timer.expires_after(std::chrono::milliseconds(LoadExchange::reportInterval.count()));
        co_await this->timer.async_wait(useResult);
    }
}

asio::awaitable<void> DigestExchange::receive()
{
    std::string buffer(maximumDatagramBytes, '\0');
    asio::ip::udp::endpoint sender;
    while (this->socket.is_open()) {
        const auto [failure, count] = co_await this->socket.async_receive_from(asio::buffer(buffer), sender, useResult);
        // An earlier datagram to a closed port is reported here as an error; the socket can still receive.
        if (!failure)
            this->handleDatagram(std::string_view(buffer).substr(0, count));
    }
}

void DigestExchange::handleDatagram(std::string_view bytes)
{
    const Milliseconds now = this->clock.now();
    const Outcome<DecodedDigest> decoded = decodeDigest(bytes);
    if (!decoded || decoded.value().key != this->core.getRelayKey()) {
        this->log.write(now, LogWeight::Routine, "digest_passed_over",
            { { "detail", decoded ? "addressed to another incarnation of this VM" : decoded.error().detail } });
        return;
    }
    if (decoded.value().origins)
        return this->handleOrigins(now, *decoded.value().origins);
    if (decoded.value().reply) {
        this->core.noteReply(now, *decoded.value().reply);
        return;
    }
    const DigestReport& report = *decoded.value().report;
    const DigestReply reply = this->core.answerReport(now, report);
    const auto& vms = this->core.getVms().getAll();
    const auto sender = vms.find(report.from);
    if (sender != vms.end())
        this->send(sender->second, encodeDigest(reply, sender->second.relayKey));
}

void DigestExchange::handleOrigins(Milliseconds now, const StreamOriginMessage& message)
{
    const std::optional<StreamOriginMessage> answer = this->core.getStreamOrigins().receive(now, message);
    const auto& vms = this->core.getVms().getAll();
    const auto sender = vms.find(message.from);
    if (answer && sender != vms.end())
        this->sendOrigins(sender->second, *answer);
    if (this->onOrigins)
        this->onOrigins(message);
}

void DigestExchange::sendOrigins(const VmAnnouncement& receiver, const StreamOriginMessage& message)
{
    if (this->socket.is_open())
        this->send(receiver, encodeDigest(message, receiver.relayKey));
}

void DigestExchange::send(const VmAnnouncement& receiver, const std::string& bytes)
{
    boost::system::error_code failure;
    const asio::ip::udp::endpoint to(asio::ip::make_address(receiver.relays.address, failure), receiver.relays.port);
    if (!failure)
        this->socket.send_to(asio::buffer(bytes), to, 0, failure);
    if (failure)
        this->log.write(this->clock.now(), LogWeight::Routine, "digest_not_sent",
            { { "vm", receiver.vm.string() }, { "detail", failure.message() } });
}

} // namespace papayashelf
