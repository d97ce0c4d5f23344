#pragma once

#include "VirtualCluster.h"
#include "membership/membership.h"
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace papayashelf {

/** The membership of one VM as a node of a VirtualCluster, which records the reported changes. */
class MembershipNode {
public:
    using Message = MembershipMessage;

    MembershipNode(const Member& self, std::uint64_t seed)
        : membership(self, MembershipSettings {}, seed)
    {
    }

    std::vector<Addressed<Message>> receive(Milliseconds now, const VmId& from, const Message& message)
    {
        if (const auto* heartbeat = std::get_if<Heartbeat>(&message))
            return this->recordChanges(this->membership.handleHeartbeat(now, *heartbeat, from));
        return this->recordChanges(this->membership.handleNews(now, std::get<MemberNews>(message), from));
    }

    std::vector<Addressed<Message>> tick(Milliseconds now) { return this->recordChanges(this->membership.tick(now)); }

    Milliseconds getNextDeadline() const { return this->membership.getNextDeadline(); }

    std::vector<Addressed<Message>> recordChanges(MembershipOutput output)
    {
        this->changes.insert(this->changes.end(), output.changes.begin(), output.changes.end());
        return std::move(output.sends);
    }

    /** Returns how often the node changed a VM to this state. */
    std::int64_t countChangesTo(MemberState state, const VmId& vm) const
    {
        return std::count_if(this->changes.begin(), this->changes.end(),
            [&](const MemberChange& change) { return change.after.state == state && change.after.vm == vm; });
    }

    Membership membership;
    std::vector<MemberChange> changes;
};

/** Creates the members of a system with three regions and ten failure domains. */
inline std::vector<Member> makeMembers(int count)
{
    constexpr int domains = 10;
    const std::vector<std::string> regions { "altiplano", "verapaz", "oriente" };
    std::vector<Member> members;
    for (int index = 0; index < count; ++index) {
        const int domain = index % domains;
        const std::string& region = regions[static_cast<std::size_t>(domain) % regions.size()];
        Member member;
        member.vm = VmId("vm-" + std::to_string(index));
        member.incarnation = 1;
        member.region = RegionId(region);
        member.domain = FailureDomainId("domain-" + std::to_string(domain));
        member.peerEndpoint = { "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), 7000 };
        member.entryEndpoint = { member.peerEndpoint.address, 8000 };
        members.push_back(member);
    }
    return members;
}

/** Creates the platform's VM list for these members. */
inline VmList makeVmList(const std::vector<Member>& members)
{
    VmList list;
    for (const Member& member : members)
        list.push_back({ member.vm, member.region, member.domain, member.peerEndpoint.address, false });
    return list;
}

} // namespace papayashelf
