#include "gateway/digest/Digest.h"

#include "foundation/text/JsonText.h"
#include "gateway/digest/StreamOriginText.h"
#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <stdexcept>
#include <vector>

namespace papayashelf {

namespace json = boost::json;

namespace {

constexpr std::int64_t schemaVersion = 1;
/** Only the workspaces with the highest demand are sent, so that a datagram stays below a few kilobytes. */
constexpr std::size_t maximumWorkspaces = 64;

json::object encodeFigures(const LoadFigures& figures)
{
    std::vector<std::pair<double, WorkspaceId>> byDemand;
    for (const auto& [workspace, demand] : figures.demand)
        byDemand.emplace_back(-demand, workspace);
    std::sort(byDemand.begin(), byDemand.end());
    byDemand.resize(std::min(byDemand.size(), maximumWorkspaces));
    json::object demand;
    for (const auto& [negative, workspace] : byDemand)
        demand[workspace.string()] = static_cast<std::int64_t>(-negative);
    json::object services;
    for (const auto& [service, load] : figures.services) {
        json::array numbers { load.running, load.pendingPrefillTokens, load.requestedTokensPerSecond };
        if (load.acceptedShare < 1)
            numbers.emplace_back(load.acceptedShare);
        services[service.string()] = std::move(numbers);
    }
    json::object figuresObject { { "d", demand }, { "s", services } };
    if (!figures.upstreams.empty()) {
        json::object upstreams;
        for (const auto& [upstream, load] : figures.upstreams)
            upstreams[upstream.string()] = json::array { load.running, load.pendingPrefillTokens };
        figuresObject["u"] = std::move(upstreams);
    }
    return figuresObject;
}

LoadFigures decodeFigures(const json::object& object)
{
    LoadFigures figures;
    for (const auto& member : object.at("d").as_object())
        figures.demand[WorkspaceId(std::string(member.key()))] = member.value().to_number<double>();
    for (const auto& member : object.at("s").as_object()) {
        const json::array& numbers = member.value().as_array();
        ServiceLoad& load = figures.services[ServiceId(std::string(member.key()))];
        load = { numbers.at(0).to_number<int>(), numbers.at(1).to_number<std::int64_t>(),
            numbers.at(2).to_number<std::int64_t>() };
        if (numbers.size() > 3)
            load.acceptedShare = std::clamp(numbers.at(3).to_number<double>(), 0.0, 1.0);
    }
    const json::value* upstreams = object.if_contains("u");
    if (!upstreams)
        return figures;
    for (const auto& member : upstreams->as_object()) {
        const json::array& numbers = member.value().as_array();
        figures.upstreams[UpstreamId(std::string(member.key()))]
            = { numbers.at(0).to_number<int>(), numbers.at(1).to_number<std::int64_t>() };
    }
    return figures;
}

json::array encodePrompt(const PromptSignature& prompt)
{
    json::array encoded { prompt.service.string() };
    for (const PromptPartId& part : prompt.parts)
        encoded.emplace_back(part.string());
    return encoded;
}

/** Throws what Boost.JSON throws, and std::out_of_range for an implausible number of parts. */
PromptSignature decodePrompt(const json::array& encoded)
{
    if (encoded.size() < 2 || encoded.size() > maximumPromptParts + 1)
        throw std::out_of_range("number of prompt parts");
    PromptSignature prompt { ServiceId(json::value_to<std::string>(encoded.at(0))), {} };
    for (std::size_t index = 1; index < encoded.size(); ++index)
        prompt.parts.emplace_back(json::value_to<std::string>(encoded.at(index)));
    std::sort(prompt.parts.begin(), prompt.parts.end());
    return prompt;
}

/** Ages of the future would make evidence newer than what this VM has seen itself. */
Milliseconds decodeAge(const json::value& encoded)
{
    return Milliseconds(std::max<std::int64_t>(0, encoded.to_number<std::int64_t>()));
}

SuspectProgress decodeProgress(const json::value& encoded)
{
    const int number = encoded.to_number<int>();
    if (number < static_cast<int>(SuspectProgress::Waiting) || number > static_cast<int>(SuspectProgress::Streaming))
        throw std::out_of_range("progress of a suspect");
    return static_cast<SuspectProgress>(number);
}

void encodeCrashes(json::object& message, const CrashEvidence& crashes)
{
    if (crashes.isEmpty())
        return;
    json::array suspects;
    for (const CrashSuspect& suspect : crashes.suspects)
        suspects.push_back(json::array { suspect.incarnation, suspect.age.count(), static_cast<int>(suspect.progress),
            encodePrompt(suspect.prompt), suspect.isRepeat });
    json::array answered;
    for (const AnsweredPart& part : crashes.answered)
        answered.push_back(json::array { part.service.string(), part.part.string(), part.age.count() });
    json::array quarantined;
    for (const QuarantinedPrompt& prompt : crashes.quarantined)
        quarantined.push_back(
            json::array { prompt.age.count(), encodePrompt(prompt.prompt), prompt.blamedFor.count() });
    json::array answering;
    for (const AnsweringService& service : crashes.answering)
        answering.push_back(json::array { service.service.string(), service.age.count() });
    message["crashes"]
        = json::object { { "s", suspects }, { "a", answered }, { "q", quarantined }, { "v", answering } };
}

/** Accepts evidence of earlier versions, which lacks the last element of suspects and of quarantined prompts. */
CrashEvidence decodeCrashes(const json::object& message)
{
    CrashEvidence crashes;
    const json::value* found = message.if_contains("crashes");
    if (!found)
        return crashes;
    const json::object& object = found->as_object();
    for (const json::value& value : object.at("s").as_array()) {
        const json::array& fields = value.as_array();
        crashes.suspects.push_back({ json::value_to<std::string>(fields.at(0)), decodePrompt(fields.at(3).as_array()),
            decodeProgress(fields.at(2)), decodeAge(fields.at(1)), fields.size() > 4 && fields[4].as_bool() });
    }
    for (const json::value& value : object.at("a").as_array()) {
        const json::array& fields = value.as_array();
        crashes.answered.push_back({ ServiceId(json::value_to<std::string>(fields.at(0))),
            PromptPartId(json::value_to<std::string>(fields.at(1))), decodeAge(fields.at(2)) });
    }
    for (const json::value& value : object.at("q").as_array()) {
        const json::array& fields = value.as_array();
        crashes.quarantined.push_back({ decodePrompt(fields.at(1).as_array()), decodeAge(fields.at(0)),
            decodeAge(fields.size() > 2 ? fields[2] : fields[0]) });
    }
    for (const json::value& value : object.at("v").as_array()) {
        const json::array& fields = value.as_array();
        crashes.answering.push_back({ ServiceId(json::value_to<std::string>(fields.at(0))), decodeAge(fields.at(1)) });
    }
    return crashes;
}

json::value encodeAge(const std::optional<Milliseconds>& age)
{
    return age ? json::value(age->count()) : json::value();
}

std::optional<Milliseconds> decodeOptionalAge(const json::value& encoded)
{
    return encoded.is_null() ? std::nullopt : std::optional(decodeAge(encoded));
}

void encodeStatements(json::object& message, const std::vector<SharedStatement>& statements)
{
    if (statements.empty())
        return;
    json::array encoded;
    for (const SharedStatement& statement : statements) {
        json::array fields { statement.upstream.string(), statement.startedAt, statement.age.count(),
            statement.isLeaving ? 1 : 0,
            statement.requestsPerSecond ? json::value(*statement.requestsPerSecond) : json::value() };
        if (statement.endedFor || statement.coldFor > Milliseconds(0) || statement.rejectionLimitAge) {
            fields.push_back(encodeAge(statement.endedFor));
            fields.push_back(encodeAge(statement.returnedFor));
            fields.emplace_back(statement.coldFor.count());
        }
        if (statement.rejectionLimitAge) {
            fields.push_back(statement.rejectionLimit ? json::value(*statement.rejectionLimit) : json::value());
            fields.push_back(encodeAge(statement.rejectionLimitAge));
        }
        encoded.push_back(std::move(fields));
    }
    message["statements"] = std::move(encoded);
}

std::vector<SharedStatement> decodeStatements(const json::object& message)
{
    std::vector<SharedStatement> statements;
    const json::value* found = message.if_contains("statements");
    if (!found)
        return statements;
    for (const json::value& value : found->as_array()) {
        const json::array& fields = value.as_array();
        SharedStatement statement { UpstreamId(json::value_to<std::string>(fields.at(0))),
            fields.at(1).to_number<std::int64_t>(), std::nullopt, fields.at(3).to_number<int>() != 0,
            decodeAge(fields.at(2)) };
        if (!fields.at(4).is_null())
            statement.requestsPerSecond = std::max(0.0, fields.at(4).to_number<double>());
        // VMs of an earlier release state no ends.
        if (fields.size() > 7) {
            statement.endedFor = decodeOptionalAge(fields[5]);
            statement.returnedFor = decodeOptionalAge(fields[6]);
            statement.coldFor = decodeAge(fields[7]);
        }
        // Those of a later one state no limits on rejections.
        if (fields.size() > 9) {
            if (!fields[8].is_null())
                statement.rejectionLimit = std::max(0.0, fields[8].to_number<double>());
            statement.rejectionLimitAge = decodeOptionalAge(fields[9]);
        }
        statements.push_back(std::move(statement));
    }
    return statements;
}

void encodeConfiguration(json::object& message, const ConfigurationNotice& notice)
{
    if (notice.version > 0)
        message["config"] = json::array { notice.version, notice.storedAt.era, notice.storedAt.revision };
}

ConfigurationNotice decodeConfiguration(const json::object& message)
{
    const json::value* found = message.if_contains("config");
    if (!found)
        return {};
    const json::array& fields = found->as_array();
    return { fields.at(0).to_number<std::uint64_t>(),
        { fields.at(1).to_number<std::int64_t>(), fields.at(2).to_number<std::int64_t>() } };
}

/** VMs of an earlier release state no era. */
std::int64_t eraOr(const json::object& object)
{
    const json::value* era = object.if_contains("era");
    return era ? era->to_number<std::int64_t>() : 0;
}

DigestReport decodeReport(const json::object& object)
{
    DigestReport report;
    report.from = VmId(textAt(object, "vm"));
    report.region = RegionId(textAt(object, "region"));
    report.isWholeRegion = object.at("whole").as_bool();
    report.figures = decodeFigures(object.at("load").as_object());
    report.sentAt = object.at("sent").to_number<std::int64_t>();
    report.crashes = decodeCrashes(object);
    report.statements = decodeStatements(object);
    report.configuration = decodeConfiguration(object);
    return report;
}

DigestReply decodeReply(const json::object& object)
{
    DigestReply reply;
    reply.from = VmId(textAt(object, "vm"));
    reply.sentAt = object.at("sent").to_number<std::int64_t>();
    reply.confirmationAge = object.at("age").to_number<std::int64_t>();
    reply.knownRevision = { eraOr(object), object.at("change").to_number<std::int64_t>() };
    for (const auto& region : object.at("regions").as_object())
        reply.regions[RegionId(std::string(region.key()))] = decodeFigures(region.value().as_object());
    reply.crashes = decodeCrashes(object);
    reply.statements = decodeStatements(object);
    reply.configuration = decodeConfiguration(object);
    return reply;
}

} // namespace

void LoadFigures::add(const LoadFigures& other)
{
    for (const auto& [workspace, units] : other.demand)
        this->demand[workspace] += units;
    for (const auto& [service, load] : other.services)
        this->services[service].add(load);
    for (const auto& [upstream, load] : other.upstreams)
        this->upstreams[upstream].add(load);
}

ServiceLoad LoadFigures::getLoad(const ServiceId& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? ServiceLoad {} : found->second;
}

std::string encodeDigest(const DigestReport& report, std::string_view key)
{
    json::object message { { "schema", schemaVersion }, { "kind", "report" }, { "key", key },
        { "vm", report.from.string() }, { "region", report.region.string() }, { "whole", report.isWholeRegion },
        { "load", encodeFigures(report.figures) }, { "sent", report.sentAt } };
    encodeCrashes(message, report.crashes);
    encodeStatements(message, report.statements);
    encodeConfiguration(message, report.configuration);
    return json::serialize(message);
}

std::string encodeDigest(const DigestReply& reply, std::string_view key)
{
    json::object regions;
    for (const auto& [region, figures] : reply.regions)
        regions[region.string()] = encodeFigures(figures);
    json::object message { { "schema", schemaVersion }, { "kind", "reply" }, { "key", key },
        { "vm", reply.from.string() }, { "sent", reply.sentAt }, { "age", reply.confirmationAge },
        { "change", reply.knownRevision.revision }, { "era", reply.knownRevision.era }, { "regions", regions } };
    encodeCrashes(message, reply.crashes);
    encodeStatements(message, reply.statements);
    encodeConfiguration(message, reply.configuration);
    return json::serialize(message);
}

std::string encodeDigest(const StreamOriginMessage& message, std::string_view key)
{
    json::object datagram { { "schema", schemaVersion }, { "kind", "streams" }, { "key", key } };
    encodeStreamOrigins(datagram, message);
    return json::serialize(datagram);
}

Outcome<DecodedDigest> decodeDigest(std::string_view bytes)
{
    // Boost.JSON throws if a field is missing or has the wrong type; the exception is converted to an error here.
    try {
        const json::value value = json::parse(json::string_view(bytes.data(), bytes.size()));
        const json::object& object = value.as_object();
        if (object.at("schema").to_number<std::int64_t>() != schemaVersion)
            return Error { ErrorCode::Damaged, "the digest has an unsupported schema version" };
        DecodedDigest decoded;
        decoded.key = textAt(object, "key");
        const std::string kind = textAt(object, "kind");
        if (kind == "report")
            decoded.report = decodeReport(object);
        else if (kind == "streams")
            decoded.origins = decodeStreamOrigins(object);
        else
            decoded.reply = decodeReply(object);
        return decoded;
    } catch (const std::exception& failure) {
        return Error { ErrorCode::Damaged, std::string("the digest cannot be parsed: ") + failure.what() };
    }
}

} // namespace papayashelf
