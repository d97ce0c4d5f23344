#include "peers/codec/EnvelopeCodec.h"

#include "peers/codec/ConfigurationCodec.h"
#include "peers/codec/MembershipCodec.h"
#include "peers/codec/ShareCodec.h"

namespace papayashelf {

namespace {

void encode(const RegionSummaries& message, wire::Envelope& envelope)
{
    wire::RegionSummaries& wire = *envelope.mutable_region_summaries();
    for (const RegionSummary& summary : message.summaries) {
        wire::RegionSummary& entry = *wire.add_summaries();
        entry.set_region(summary.region.string());
        entry.set_service(summary.service.string());
        entry.set_slots(summary.slots);
        entry.set_running(summary.running);
        entry.set_waiting(summary.waiting);
    }
}

RegionSummaries decodeRegionSummaries(const wire::RegionSummaries& wire)
{
    RegionSummaries message;
    for (const wire::RegionSummary& entry : wire.summaries()) {
        message.summaries.push_back(RegionSummary {
            RegionId(entry.region()), ServiceId(entry.service()), entry.slots(), entry.running(), entry.waiting() });
    }
    return message;
}

/** Wraps a decoded message in the variant of its module and that in PeerMessage; passes a decoding error on. */
template <typename Alternative, typename Message> Outcome<PeerMessage> toPeerMessage(Outcome<Message>&& decoded)
{
    if (!decoded)
        return std::move(decoded).error();
    return PeerMessage(Alternative(std::move(decoded).value()));
}

/** Wraps a message whose decoding cannot fail. */
template <typename Alternative, typename Message> Outcome<PeerMessage> toPeerMessage(Message&& decoded)
{
    return PeerMessage(Alternative(std::forward<Message>(decoded)));
}

} // namespace

wire::Envelope encodeEnvelope(const EnvelopeSender& sender, const PeerMessage& message)
{
    wire::Envelope envelope;
    envelope.set_protocol_version(peerProtocolVersion);
    envelope.set_from_vm(sender.vm.string());
    envelope.set_incarnation(sender.incarnation);
    envelope.set_logical_time(sender.logicalTime);
    std::visit(
        [&](const auto& moduleMessage) {
            if constexpr (std::is_same_v<std::decay_t<decltype(moduleMessage)>, RegionSummaries>)
                encode(moduleMessage, envelope);
            else
                std::visit([&](const auto& concreteMessage) { papayashelf::encode(concreteMessage, envelope); },
                    moduleMessage);
        },
        message);
    return envelope;
}

Outcome<PeerMessage> decodeEnvelope(const wire::Envelope& envelope)
{
    switch (envelope.message_case()) {
    case wire::Envelope::kHeartbeat:
        return toPeerMessage<MembershipMessage>(decodeHeartbeat(envelope));
    case wire::Envelope::kMemberNews:
        return toPeerMessage<MembershipMessage>(decodeMemberNews(envelope.member_news()));
    case wire::Envelope::kRevisionAnnouncement:
        return toPeerMessage<ConfigurationMessage>(decodeRevisionAnnouncement(envelope.revision_announcement()));
    case wire::Envelope::kRevisionPull:
        return toPeerMessage<ConfigurationMessage>(decodeRevisionPull(envelope.revision_pull()));
    case wire::Envelope::kRevisionPart:
        return toPeerMessage<ConfigurationMessage>(decodeRevisionPart(envelope.revision_part()));
    case wire::Envelope::kWithdrawalNotice:
        return toPeerMessage<ConfigurationMessage>(decodeWithdrawalNotice(envelope.withdrawal_notice()));
    case wire::Envelope::kShareRequest:
        return toPeerMessage<ShareMessage>(decodeShareRequest(envelope.share_request()));
    case wire::Envelope::kShareGrant:
        return toPeerMessage<ShareMessage>(decodeShareGrant(envelope.share_grant()));
    case wire::Envelope::kShareReturns:
        return toPeerMessage<ShareMessage>(decodeShareReturns(envelope.share_returns()));
    case wire::Envelope::kShareEpochNews:
        return toPeerMessage<ShareMessage>(decodeShareEpochNews(envelope.share_epoch_news()));
    case wire::Envelope::kShareEpochAdopted:
        return toPeerMessage<ShareMessage>(decodeShareEpochAdopted(envelope.share_epoch_adopted()));
    case wire::Envelope::kShareEpochDigest:
        return toPeerMessage<ShareMessage>(decodeShareEpochDigest(envelope.share_epoch_digest()));
    case wire::Envelope::kRegionSummaries:
        return PeerMessage(decodeRegionSummaries(envelope.region_summaries()));
    case wire::Envelope::MESSAGE_NOT_SET:
        break;
    }
    return Error { ErrorCode::Damaged, "envelope holds no message that this version knows" };
}

} // namespace papayashelf
