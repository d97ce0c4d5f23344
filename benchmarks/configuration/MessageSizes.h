#pragma once

#include "configuration/configuration.h"
#include "membership/membership.h"
#include <bit>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace papayashelf {

/** Framing of one message that has a gRPC message, an HTTP/2 frame, a TLS record and a TCP/IP packet to itself. */
constexpr std::size_t framingBytes = 90;

/**
    Sizes of the messages as Protocol Buffers encode them: a tag of one byte a field, numbers as varints or as 8 bytes
    for hashes, text and messages with their length.
*/
namespace wire {

constexpr std::size_t tagBytes = 1;
constexpr std::size_t hashBytes = tagBytes + 8;

constexpr std::size_t varint(std::uint64_t value)
{
    return value == 0 ? 1 : (static_cast<std::size_t>(std::bit_width(value)) + 6) / 7;
}

/** A number field; one that is 0 is left out. */
constexpr std::size_t number(std::uint64_t value)
{
    return value == 0 ? 0 : tagBytes + varint(value);
}

constexpr std::size_t sized(std::size_t bytes)
{
    return tagBytes + varint(bytes) + bytes;
}

inline std::size_t text(const std::string& value)
{
    return value.empty() ? 0 : sized(value.size());
}

inline std::size_t endpoint(const Endpoint& value)
{
    return sized(text(value.address) + number(value.port));
}

inline std::size_t member(const Member& value)
{
    return text(value.vm.string()) + number(value.incarnation) + number(value.refutation)
        + number(static_cast<std::uint64_t>(value.state)) + text(value.region.string()) + text(value.domain.string())
        + endpoint(value.peerEndpoint) + endpoint(value.entryEndpoint);
}

inline std::size_t body(const Heartbeat& value)
{
    return text(value.vm.string()) + number(value.incarnation) + number(value.sequence) + number(value.revision)
        + hashBytes * 2 + number(value.shareEpoch);
}

inline std::size_t body(const MemberNews& value)
{
    std::size_t bytes = number(value.isWholeTable ? 1 : 0);
    for (const Member& entry : value.members)
        bytes += sized(member(entry));
    return bytes;
}

inline std::size_t body(const RevisionAnnouncement& value)
{
    return number(value.number) + text(value.digest);
}

inline std::size_t body(const RevisionPull& value)
{
    return number(value.held);
}

inline std::size_t body(const RevisionPart& value)
{
    std::size_t delta = number(value.delta.from) + number(value.delta.to) + text(value.delta.digest);
    for (const Document& document : value.delta.changed)
        delta += sized(text(document.path) + text(document.body));
    for (const std::string& path : value.delta.removed)
        delta += text(path);
    return sized(delta) + number(value.part) + number(value.parts);
}

inline std::size_t body(const WithdrawalNotice& value)
{
    std::size_t bytes = number(value.isWholeSet ? 1 : 0);
    for (const Withdrawal& withdrawal : value.withdrawals)
        bytes += sized(text(withdrawal.key.string()) + number(withdrawal.publishedAfter));
    return bytes;
}

} // namespace wire

/** Bytes of one message on the wire, its framing included. */
template <typename... Messages> std::size_t wireBytes(const std::variant<Messages...>& message)
{
    return framingBytes + std::visit([](const auto& value) { return wire::body(value); }, message);
}

} // namespace papayashelf
