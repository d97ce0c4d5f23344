#include "node/entries/EntryList.h"

#include "foundation/hashing/StableHash.h"
#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>
#include <tuple>

namespace papayashelf {

namespace {

/** Sort key of an entry; a smaller one comes first. The VM id makes the order total. */
using Rank = std::tuple<bool, bool, std::size_t, std::uint64_t, VmId>;

bool mayServe(const NodeSnapshot& snapshot, const EntryListQuery& query, const RegionId& region)
{
    if (!snapshot.governance)
        return true;
    const auto workspace = snapshot.governance->workspaces.find(query.workspace);
    if (workspace == snapshot.governance->workspaces.end() || workspace->second.residency.empty())
        return true;
    const auto& allowed = workspace->second.residency;
    return std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

std::size_t findOwnerRank(const NodeSnapshot& snapshot, const EntryListQuery& query, const VmId& vm)
{
    static const std::vector<VmId> none;
    const bool isKnown = snapshot.owners && snapshot.owners->count(query.workspace) > 0;
    const std::vector<VmId>& owners = isKnown ? snapshot.owners->at(query.workspace) : none;
    return static_cast<std::size_t>(std::find(owners.begin(), owners.end(), vm) - owners.begin());
}

template <typename Address, typename Network>
std::optional<int> matchPrefix(const Address& address, const Network& network)
{
    const Network host(address, network.prefix_length());
    if (host.canonical() != network.canonical())
        return std::nullopt;
    return network.prefix_length();
}

/** Returns the length of the network's prefix if it contains the address, or nothing. */
std::optional<int> matchNetwork(const boost::asio::ip::address& address, const std::string& text)
{
    boost::system::error_code failure;
    if (address.is_v4()) {
        const auto network = boost::asio::ip::make_network_v4(text, failure);
        return failure ? std::nullopt : matchPrefix(address.to_v4(), network);
    }
    const auto network = boost::asio::ip::make_network_v6(text, failure);
    return failure ? std::nullopt : matchPrefix(address.to_v6(), network);
}

} // namespace

std::vector<Entry> listEntries(const NodeSnapshot& snapshot, const EntryListQuery& query)
{
    const RegionId nearest = query.nearestRegion.value_or(snapshot.self.region);
    std::vector<std::pair<Rank, Entry>> ranked;
    for (const Member& member : snapshot.members) {
        const bool takesRequests = member.state == MemberState::Live || member.state == MemberState::Suspect;
        if (!takesRequests || !mayServe(snapshot, query, member.region))
            continue;
        const std::uint64_t spreadHash = combineHashes(query.callerHash, stableHash(member.vm.string()));
        const Rank rank { member.state == MemberState::Suspect, member.region != nearest,
            findOwnerRank(snapshot, query, member.vm), spreadHash, member.vm };
        ranked.emplace_back(rank, Entry { member.vm, member.region, member.entryEndpoint });
    }
    std::sort(
        ranked.begin(), ranked.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<Entry> entries;
    entries.reserve(ranked.size());
    for (auto& [rank, entry] : ranked)
        entries.push_back(std::move(entry));
    return entries;
}

std::optional<RegionId> findNearestRegion(const Governance& governance, const std::string& callerAddress)
{
    boost::system::error_code failure;
    const auto address = boost::asio::ip::make_address(callerAddress, failure);
    if (failure)
        return std::nullopt;
    std::optional<RegionId> nearest;
    int longestPrefix = -1;
    for (const auto& [id, region] : governance.regions) {
        for (const std::string& network : region.callerNetworks) {
            const std::optional<int> length = matchNetwork(address, network);
            if (length && *length > longestPrefix) {
                longestPrefix = *length;
                nearest = id;
            }
        }
    }
    return nearest;
}

} // namespace papayashelf
