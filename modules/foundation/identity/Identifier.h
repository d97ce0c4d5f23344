#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace papayashelf {

/**
    A name that cannot be mistaken for a name of another kind of thing.

    @tparam Tag   an empty type that says which kind
*/
template <typename Tag> class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string name)
        : name(std::move(name))
    {
    }

    const std::string& string() const { return this->name; }
    bool isEmpty() const { return this->name.empty(); }

    auto operator<=>(const Identifier&) const = default;
    bool operator==(const Identifier&) const = default;

private:
    std::string name;
};

using RegionId = Identifier<struct RegionTag>;
using FailureDomainId = Identifier<struct FailureDomainTag>;
using VmId = Identifier<struct VmTag>;
using WorkspaceId = Identifier<struct WorkspaceTag>;
using ServiceId = Identifier<struct ServiceTag>;
using RouteId = Identifier<struct RouteTag>;
using UpstreamId = Identifier<struct UpstreamTag>;
using ModelId = Identifier<struct ModelTag>;

/** Names the version of the software of an upstream, not of its model. */
using SoftwareVersion = Identifier<struct SoftwareVersionTag>;

/** SHA-256 of a caller's key in lower-case hexadecimal; the key itself is never kept. */
using KeyDigest = Identifier<struct KeyDigestTag>;

/** Tells one life of a VM's process from the next: larger is later. Taken at start from the wall clock. */
using Incarnation = std::uint64_t;

/** Names one request on the VM that accepted it; unique within one incarnation. */
using RequestId = std::uint64_t;

/** Where a process listens: an IP number and a port. */
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
    bool operator==(const Endpoint&) const = default;

    /** "address:port", with brackets round an IPv6 number. */
    std::string string() const
    {
        const bool isSix = this->address.find(':') != std::string::npos;
        const std::string host = isSix ? "[" + this->address + "]" : this->address;
        return host + ":" + std::to_string(this->port);
    }
};

} // namespace papayashelf

template <typename Tag> struct std::hash<papayashelf::Identifier<Tag>> {
    std::size_t operator()(const papayashelf::Identifier<Tag>& identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.string());
    }
};
