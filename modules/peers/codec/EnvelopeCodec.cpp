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

RegionSummaries decodeSummaries(const wire::RegionSummaries& wire)
{
    RegionSummaries message;
    for (const wire::RegionSummary& entry : wire.summaries()) {
        message.summaries.push_back(RegionSummary {
            RegionId(entry.region()), ServiceId(entry.service()), entry.slots(), entry.running(), entry.waiting() });
    }
    return message;
}

/** Puts a message of one part, or the reason that there is none, into the variant over all parts. */
template <typename Part, typename Message> Outcome<PeerMessage> wrap(Outcome<Message>&& decoded)
{
    if (!decoded)
        return std::move(decoded).error();
    return PeerMessage(Part(std::move(decoded).value()));
}

template <typename Part, typename Message> Outcome<PeerMessage> wrap(Message&& decoded)
{
    return PeerMessage(Part(std::forward<Message>(decoded)));
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
        [&](const auto& part) {
            if constexpr (std::is_same_v<std::decay_t<decltype(part)>, RegionSummaries>)
                encode(part, envelope);
            else
                std::visit([&](const auto& known) { papayashelf::encode(known, envelope); }, part);
        },
        message);
    return envelope;
}

Outcome<PeerMessage> decodeEnvelope(const wire::Envelope& envelope)
{
    switch (envelope.message_case()) {
    case wire::Envelope::kHeartbeat:
        return wrap<MembershipMessage>(decodeHeartbeat(envelope));
    case wire::Envelope::kMemberNews:
        return wrap<MembershipMessage>(decodeMemberNews(envelope.member_news()));
    case wire::Envelope::kRevisionAnnouncement:
        return wrap<ConfigurationMessage>(decodeAnnouncement(envelope.revision_announcement()));
    case wire::Envelope::kRevisionPull:
        return wrap<ConfigurationMessage>(decodePull(envelope.revision_pull()));
    case wire::Envelope::kRevisionPart:
        return wrap<ConfigurationMessage>(decodePart(envelope.revision_part()));
    case wire::Envelope::kWithdrawalNotice:
        return wrap<ConfigurationMessage>(decodeWithdrawals(envelope.withdrawal_notice()));
    case wire::Envelope::kShareRequest:
        return wrap<ShareMessage>(decodeRequest(envelope.share_request()));
    case wire::Envelope::kShareGrant:
        return wrap<ShareMessage>(decodeGrant(envelope.share_grant()));
    case wire::Envelope::kShareReturns:
        return wrap<ShareMessage>(decodeReturns(envelope.share_returns()));
    case wire::Envelope::kShareEpochNews:
        return wrap<ShareMessage>(decodeEpochNews(envelope.share_epoch_news()));
    case wire::Envelope::kShareEpochAdopted:
        return wrap<ShareMessage>(decodeEpochAdopted(envelope.share_epoch_adopted()));
    case wire::Envelope::kShareEpochDigest:
        return wrap<ShareMessage>(decodeEpochDigest(envelope.share_epoch_digest()));
    case wire::Envelope::kRegionSummaries:
        return PeerMessage(decodeSummaries(envelope.region_summaries()));
    case wire::Envelope::MESSAGE_NOT_SET:
        break;
    }
    return Error { ErrorCode::Damaged, "no message that this version knows" };
}

} // namespace papayashelf
