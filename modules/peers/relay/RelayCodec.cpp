#include "peers/relay/RelayCodec.h"

#include "peers/codec/EnvelopeCodec.h"

namespace papayashelf {

namespace {

template <typename Repeated> void encodeHeaders(const std::vector<HeaderField>& headers, Repeated& list)
{
    for (const auto& [name, value] : headers) {
        wire::Header& entry = *list.Add();
        entry.set_name(name);
        entry.set_value(value);
    }
}

template <typename Repeated> std::vector<HeaderField> decodeHeaders(const Repeated& list)
{
    std::vector<HeaderField> headers;
    headers.reserve(static_cast<std::size_t>(list.size()));
    for (const wire::Header& entry : list)
        headers.emplace_back(entry.name(), entry.value());
    return headers;
}

void encodeRefusal(const RefuseRequest& refusal, wire::RelayRefusal& wire)
{
    wire.set_code(static_cast<std::uint32_t>(refusal.code));
    wire.set_ran(static_cast<std::uint32_t>(refusal.ran));
    wire.set_has_retry_after(refusal.retryAfter.has_value());
    wire.set_retry_after_ms(refusal.retryAfter.value_or(Milliseconds(0)).count());
    wire.set_detail(refusal.detail);
}

Outcome<RelayAnswerEvent> decodeEnd(const wire::RelayEnd& wire)
{
    const bool isInRange = wire.result() <= static_cast<std::uint32_t>(AttemptResult::Cancelled)
        && wire.refusal().code() <= static_cast<std::uint32_t>(RefusalCode::StoppedMidway)
        && wire.refusal().ran() <= static_cast<std::uint32_t>(Ran::Unknown);
    if (!isInRange)
        return Error { ErrorCode::Damaged,
            "end of relayed answer has a result, refusal code or run state out of range" };
    RelayAnswerEnd end { static_cast<AttemptResult>(wire.result()), std::nullopt };
    if (wire.has_refusal()) {
        RefuseRequest refusal;
        refusal.code = static_cast<RefusalCode>(wire.refusal().code());
        refusal.ran = static_cast<Ran>(wire.refusal().ran());
        if (wire.refusal().has_retry_after())
            refusal.retryAfter = Milliseconds(wire.refusal().retry_after_ms());
        refusal.detail = wire.refusal().detail();
        end.refusal = std::move(refusal);
    }
    return RelayAnswerEvent(std::move(end));
}

} // namespace

wire::RelayHead encodeRelayHead(const VmId& ownVm, const StartRelay& directive, const RelayedRequest& request)
{
    wire::RelayHead head;
    head.set_protocol_version(peerProtocolVersion);
    head.set_from_vm(ownVm.string());
    head.set_request(directive.request);
    head.set_attempt(directive.attempt);
    head.set_workspace(directive.workspace.string());
    for (const VmId& passed : request.arrival.passedVms)
        head.add_passed_vms(passed.string());
    head.add_passed_vms(ownVm.string());
    head.set_method(request.head.method);
    head.set_target(request.head.target);
    encodeHeaders(request.head.headers, *head.mutable_headers());
    head.set_model(request.arrival.model.string());
    head.set_prompt_tokens(request.arrival.promptTokens);
    head.set_maximum_tokens(request.arrival.maximumTokens);
    head.set_is_streamed(request.arrival.isStreamed);
    for (const std::uint64_t hash : request.arrival.prefixHashes)
        head.add_prefix_hashes(hash);
    head.set_resume_from_token(directive.resumeFromToken);
    head.set_remaining_ms(directive.remaining.count());
    return head;
}

Outcome<RelayedRequest> decodeRelayHead(const wire::RelayHead& head)
{
    const bool hasValidPath
        = head.passed_vms_size() > 0 && head.passed_vms(head.passed_vms_size() - 1) == head.from_vm();
    if (!hasValidPath || head.workspace().empty())
        return Error { ErrorCode::Damaged,
            "relayed request has no workspace or does not end its path with the sender" };
    RelayedRequest request;
    request.head.method = head.method();
    request.head.target = head.target();
    request.head.headers = decodeHeaders(head.headers());
    request.arrival.method = head.method();
    request.arrival.path = head.target().substr(0, head.target().find('?'));
    request.arrival.model = ModelId(head.model());
    request.arrival.promptTokens = head.prompt_tokens();
    request.arrival.maximumTokens = head.maximum_tokens();
    request.arrival.isStreamed = head.is_streamed();
    request.arrival.prefixHashes.assign(head.prefix_hashes().begin(), head.prefix_hashes().end());
    for (const std::string& passed : head.passed_vms())
        request.arrival.passedVms.emplace_back(passed);
    request.arrival.relayedFor = WorkspaceId(head.workspace());
    request.arrival.resumeFromToken = head.resume_from_token();
    request.resumeFromToken = head.resume_from_token();
    return request;
}

wire::RelayDown encodeRelayEvent(RelayAnswerEvent&& event)
{
    wire::RelayDown message;
    if (auto* head = std::get_if<RelayAnswerHead>(&event)) {
        message.mutable_head()->set_status(head->status);
        encodeHeaders(head->headers, *message.mutable_head()->mutable_headers());
    } else if (auto* bytes = std::get_if<RelayAnswerBytes>(&event)) {
        message.set_body(std::move(bytes->bytes));
    } else {
        const auto& end = std::get<RelayAnswerEnd>(event);
        message.mutable_end()->set_result(static_cast<std::uint32_t>(end.result));
        if (end.refusal)
            encodeRefusal(*end.refusal, *message.mutable_end()->mutable_refusal());
    }
    return message;
}

Outcome<RelayAnswerEvent> decodeRelayEvent(wire::RelayDown&& message)
{
    switch (message.part_case()) {
    case wire::RelayDown::kHead:
        return RelayAnswerEvent(RelayAnswerHead { message.head().status(), decodeHeaders(message.head().headers()) });
    case wire::RelayDown::kBody:
        return RelayAnswerEvent(RelayAnswerBytes { std::move(*message.mutable_body()) });
    case wire::RelayDown::kEnd:
        return decodeEnd(message.end());
    case wire::RelayDown::PART_NOT_SET:
        break;
    }
    return Error { ErrorCode::Damaged, "relayed answer event is empty" };
}

} // namespace papayashelf
