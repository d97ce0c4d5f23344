#include "peers/codec/ConfigurationCodec.h"

namespace papayashelf {

void encode(const RevisionAnnouncement& message, wire::Envelope& envelope)
{
    wire::RevisionAnnouncement& wire = *envelope.mutable_revision_announcement();
    wire.set_number(message.number);
    wire.set_digest(message.digest);
}

void encode(const RevisionPull& message, wire::Envelope& envelope)
{
    envelope.mutable_revision_pull()->set_held(message.held);
}

void encode(const RevisionPart& message, wire::Envelope& envelope)
{
    wire::RevisionPart& wire = *envelope.mutable_revision_part();
    wire.set_from(message.delta.from);
    wire.set_to(message.delta.to);
    wire.set_digest(message.delta.digest);
    for (const Document& document : message.delta.changed) {
        wire::ChangedDocument& entry = *wire.add_changed();
        entry.set_path(document.path);
        entry.set_body(document.body);
    }
    for (const std::string& path : message.delta.removed)
        wire.add_removed(path);
    wire.set_part(message.part);
    wire.set_parts(message.parts);
}

void encode(const WithdrawalNotice& message, wire::Envelope& envelope)
{
    wire::WithdrawalNotice& wire = *envelope.mutable_withdrawal_notice();
    wire.set_is_whole_set(message.isWholeSet);
    for (const Withdrawal& withdrawal : message.withdrawals) {
        wire::Withdrawal& entry = *wire.add_withdrawals();
        entry.set_key(withdrawal.key.string());
        entry.set_published_after(withdrawal.publishedAfter);
    }
}

RevisionAnnouncement decodeRevisionAnnouncement(const wire::RevisionAnnouncement& wire)
{
    return RevisionAnnouncement { wire.number(), wire.digest() };
}

RevisionPull decodeRevisionPull(const wire::RevisionPull& wire)
{
    return RevisionPull { wire.held() };
}

Outcome<RevisionPart> decodeRevisionPart(const wire::RevisionPart& wire)
{
    if (wire.part() >= wire.parts())
        return Error { ErrorCode::Damaged, "revision part number is not below the number of parts" };
    RevisionPart message;
    message.delta.from = wire.from();
    message.delta.to = wire.to();
    message.delta.digest = wire.digest();
    for (const wire::ChangedDocument& entry : wire.changed())
        message.delta.changed.push_back(Document { entry.path(), entry.body() });
    message.delta.removed.assign(wire.removed().begin(), wire.removed().end());
    message.part = wire.part();
    message.parts = wire.parts();
    return message;
}

WithdrawalNotice decodeWithdrawalNotice(const wire::WithdrawalNotice& wire)
{
    WithdrawalNotice message;
    message.isWholeSet = wire.is_whole_set();
    for (const wire::Withdrawal& entry : wire.withdrawals())
        message.withdrawals.push_back(Withdrawal { KeyDigest(entry.key()), entry.published_after() });
    return message;
}

} // namespace papayashelf
