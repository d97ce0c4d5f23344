#pragma once

#include "dispatch/dispatch.h"
#include "routing/RoutingFixture.h"
#include <string>

namespace papayashelf {

/** Values shared by the dispatch tests, in addition to those of the routing tests. */
namespace dispatch_fixture {

using namespace routing_fixture;

/** A dispatcher of one VM with a fixed seed. */
inline Dispatcher makeDispatcher(
    const DispatchSettings& settings = {}, const std::string& vm = "altiplano-vm0", Incarnation incarnation = 1)
{
    return { settings, VmId(vm), incarnation, Milliseconds(1'000'000), 7 };
}

/** An idempotent streamed request to the assistant service. */
inline AdmittedRequest makeRequest(RequestId id, const WorkspaceId& workspace = unrestrictedWorkspace)
{
    AdmittedRequest request;
    request.arrival.request = id;
    request.arrival.method = "POST";
    request.arrival.path = "/v1/chat/completions";
    request.arrival.promptTokens = 100;
    request.arrival.maximumTokens = 100;
    request.arrival.isStreamed = true;
    request.arrival.key = KeyDigest("digest-" + workspace.string());
    request.workspace = workspace;
    request.service = assistant;
    request.kind = ServiceKind::ModelEngine;
    request.costTokens = 200;
    request.deadline = Milliseconds(60'000);
    request.isIdempotent = true;
    return request;
}

/** A non-idempotent request to a plain service, with an idempotency key if one is given. */
inline AdmittedRequest makeReservation(RequestId id, const std::string& idempotencyKey = {})
{
    AdmittedRequest request = makeRequest(id);
    request.arrival.path = "/reservations";
    request.arrival.isStreamed = false;
    request.arrival.idempotencyKey = idempotencyKey;
    request.kind = ServiceKind::PlainService;
    request.isIdempotent = false;
    return request;
}

/** The directives of one type in an output. */
template <typename Directive> std::vector<Directive> selectDirectives(const DispatchOutput& output)
{
    std::vector<Directive> picked;
    for (const RequestDirective& directive : output.directives) {
        if (const auto* const wanted = std::get_if<Directive>(&directive))
            picked.push_back(*wanted);
    }
    return picked;
}

/** The report that a started attempt ended with a result. */
inline AttemptEnded makeAttemptEnded(const StartAttempt& started, AttemptResult result, std::int64_t answerTokens = 0)
{
    AttemptEnded ended;
    ended.request = started.request;
    ended.attempt = started.attempt;
    ended.result = result;
    ended.status = result == AttemptResult::Completed ? 200 : 0;
    ended.answerTokens = answerTokens;
    return ended;
}

} // namespace dispatch_fixture

} // namespace papayashelf
