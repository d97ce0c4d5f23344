#include "peers/codec/ShareCodec.h"

namespace papayashelf {

namespace {

Error negativeTokensError()
{
    return Error { ErrorCode::Damaged, "number of tokens is negative" };
}

} // namespace

void encode(const ShareRequest& message, wire::Envelope& envelope)
{
    wire::ShareRequest& wire = *envelope.mutable_share_request();
    wire.set_call(message.call);
    wire.set_workspace(message.workspace.string());
    wire.set_tokens(message.tokens);
    wire.set_waited_ms(message.waited.count());
    wire.set_stock_tokens(message.stockTokens);
    wire.set_stock_permille(message.stockPermille);
}

void encode(const ShareGrant& message, wire::Envelope& envelope)
{
    wire::ShareGrant& wire = *envelope.mutable_share_grant();
    wire.set_call(message.call);
    wire.set_workspace(message.workspace.string());
    wire.set_tokens(message.tokens);
    wire.set_wait_hint_ms(message.waitHint.count());
    wire.set_granted_at_ms(message.grantedAt.count());
    wire.set_epoch(message.epoch);
    wire.set_left(message.left);
}

void encode(const ShareReturns& message, wire::Envelope& envelope)
{
    wire::ShareReturns& wire = *envelope.mutable_share_returns();
    wire.set_incarnation(message.incarnation);
    wire.set_sequence(message.sequence);
    for (const ShareReturn& returned : message.returns) {
        wire::ShareReturn& entry = *wire.add_returns();
        entry.set_workspace(returned.workspace.string());
        entry.set_tokens(returned.tokens);
        entry.set_granted_at_ms(returned.grantedAt.count());
        entry.set_epoch(returned.epoch);
    }
}

void encode(const ShareEpochNews& message, wire::Envelope& envelope)
{
    envelope.mutable_share_epoch_news()->set_record(writeShareEpoch(message.epoch));
}

void encode(const ShareEpochAdopted& message, wire::Envelope& envelope)
{
    wire::ShareEpochAdopted& wire = *envelope.mutable_share_epoch_adopted();
    wire.set_region(message.region.string());
    wire.set_epoch(message.epoch);
    wire.set_incarnation(message.incarnation);
    for (const ShareHolder& holder : message.others) {
        wire::ShareHolder& entry = *wire.add_others();
        entry.set_vm(holder.vm.string());
        entry.set_incarnation(holder.incarnation);
    }
}

void encode(const ShareEpochDigest& message, wire::Envelope& envelope)
{
    wire::ShareEpochDigest& wire = *envelope.mutable_share_epoch_digest();
    wire.set_is_reply(message.isReply);
    for (const ShareEpochNumber& number : message.epochs) {
        wire::ShareEpochNumber& entry = *wire.add_epochs();
        entry.set_region(number.region.string());
        entry.set_epoch(number.epoch);
    }
}

Outcome<ShareRequest> decodeShareRequest(const wire::ShareRequest& wire)
{
    if (wire.tokens() < 0 || wire.stock_tokens() < 0)
        return negativeTokensError();
    ShareRequest message;
    message.call = wire.call();
    message.workspace = WorkspaceId(wire.workspace());
    message.tokens = wire.tokens();
    message.waited = Milliseconds(wire.waited_ms());
    message.stockTokens = wire.stock_tokens();
    message.stockPermille = wire.stock_permille();
    return message;
}

Outcome<ShareGrant> decodeShareGrant(const wire::ShareGrant& wire)
{
    if (wire.tokens() < 0)
        return negativeTokensError();
    ShareGrant message;
    message.call = wire.call();
    message.workspace = WorkspaceId(wire.workspace());
    message.tokens = wire.tokens();
    message.waitHint = Milliseconds(wire.wait_hint_ms());
    message.grantedAt = Milliseconds(wire.granted_at_ms());
    message.epoch = wire.epoch();
    message.left = wire.left();
    return message;
}

ShareReturns decodeShareReturns(const wire::ShareReturns& wire)
{
    ShareReturns message;
    message.incarnation = wire.incarnation();
    message.sequence = wire.sequence();
    for (const wire::ShareReturn& entry : wire.returns()) {
        message.returns.push_back(ShareReturn {
            WorkspaceId(entry.workspace()), entry.tokens(), Milliseconds(entry.granted_at_ms()), entry.epoch() });
    }
    return message;
}

Outcome<ShareEpochNews> decodeShareEpochNews(const wire::ShareEpochNews& wire)
{
    BOOST_OUTCOME_TRY(ShareEpoch epoch, readShareEpoch(wire.record()));
    return ShareEpochNews { std::move(epoch) };
}

ShareEpochAdopted decodeShareEpochAdopted(const wire::ShareEpochAdopted& wire)
{
    ShareEpochAdopted message;
    message.region = RegionId(wire.region());
    message.epoch = wire.epoch();
    message.incarnation = wire.incarnation();
    for (const wire::ShareHolder& holder : wire.others())
        message.others.push_back(ShareHolder { VmId(holder.vm()), holder.incarnation() });
    return message;
}

ShareEpochDigest decodeShareEpochDigest(const wire::ShareEpochDigest& wire)
{
    ShareEpochDigest message;
    message.isReply = wire.is_reply();
    for (const wire::ShareEpochNumber& entry : wire.epochs())
        message.epochs.push_back(ShareEpochNumber { RegionId(entry.region()), entry.epoch() });
    return message;
}

} // namespace papayashelf
