#include "peers/codec/MembershipCodec.h"

#include <limits>

namespace papayashelf {

namespace {

void encodeEndpoint(const Endpoint& endpoint, wire::EndpointAddress& wire)
{
    wire.set_address(endpoint.address);
    wire.set_port(endpoint.port);
}

Endpoint decodeEndpoint(const wire::EndpointAddress& wire)
{
    return Endpoint { wire.address(), static_cast<std::uint16_t>(wire.port()) };
}

bool hasValidPort(const wire::EndpointAddress& wire)
{
    return wire.port() <= std::numeric_limits<std::uint16_t>::max();
}

Outcome<Member> decodeMember(const wire::Member& wire)
{
    const bool isInRange = wire.state() <= static_cast<std::uint32_t>(MemberState::Gone)
        && hasValidPort(wire.peer_endpoint()) && hasValidPort(wire.entry_endpoint());
    if (!isInRange)
        return Error { ErrorCode::Damaged, "member state or port is out of range" };
    Member member;
    member.vm = VmId(wire.vm());
    member.incarnation = wire.incarnation();
    member.refutation = wire.refutation();
    member.state = static_cast<MemberState>(wire.state());
    member.region = RegionId(wire.region());
    member.domain = FailureDomainId(wire.domain());
    member.peerEndpoint = decodeEndpoint(wire.peer_endpoint());
    member.entryEndpoint = decodeEndpoint(wire.entry_endpoint());
    return member;
}

} // namespace

void encode(const Heartbeat& message, wire::Envelope& envelope)
{
    wire::Heartbeat& wire = *envelope.mutable_heartbeat();
    wire.set_sequence(message.sequence);
    wire.set_is_reply(message.isReply);
    wire.set_revision(message.revision);
    wire.set_members_digest(message.membersDigest);
    wire.set_withdrawals_digest(message.withdrawalsDigest);
    wire.set_share_epoch(message.shareEpoch);
    wire.set_adopters(message.adopters);
}

void encode(const MemberNews& message, wire::Envelope& envelope)
{
    wire::MemberNews& wire = *envelope.mutable_member_news();
    wire.set_is_whole_table(message.isWholeTable);
    for (const Member& member : message.members) {
        wire::Member& entry = *wire.add_members();
        entry.set_vm(member.vm.string());
        entry.set_incarnation(member.incarnation);
        entry.set_refutation(member.refutation);
        entry.set_state(static_cast<std::uint32_t>(member.state));
        entry.set_region(member.region.string());
        entry.set_domain(member.domain.string());
        encodeEndpoint(member.peerEndpoint, *entry.mutable_peer_endpoint());
        encodeEndpoint(member.entryEndpoint, *entry.mutable_entry_endpoint());
    }
}

Heartbeat decodeHeartbeat(const wire::Envelope& envelope)
{
    const wire::Heartbeat& wire = envelope.heartbeat();
    Heartbeat message;
    message.vm = VmId(envelope.from_vm());
    message.incarnation = envelope.incarnation();
    message.sequence = wire.sequence();
    message.isReply = wire.is_reply();
    message.revision = wire.revision();
    message.membersDigest = wire.members_digest();
    message.withdrawalsDigest = wire.withdrawals_digest();
    message.shareEpoch = wire.share_epoch();
    message.adopters = wire.adopters();
    return message;
}

Outcome<MemberNews> decodeMemberNews(const wire::MemberNews& wire)
{
    MemberNews message;
    message.isWholeTable = wire.is_whole_table();
    for (const wire::Member& entry : wire.members()) {
        BOOST_OUTCOME_TRY(Member member, decodeMember(entry));
        message.members.push_back(std::move(member));
    }
    return message;
}

} // namespace papayashelf
