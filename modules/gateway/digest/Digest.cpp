#include "gateway/digest/Digest.h"

#include "foundation/text/JsonText.h"
#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
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
    for (const auto& [service, load] : figures.services)
        services[service.string()]
            = json::array { load.running, load.pendingPrefillTokens, load.requestedTokensPerSecond };
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
        figures.services[ServiceId(std::string(member.key()))] = { numbers.at(0).to_number<int>(),
            numbers.at(1).to_number<std::int64_t>(), numbers.at(2).to_number<std::int64_t>() };
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

DigestReport decodeReport(const json::object& object)
{
    DigestReport report;
    report.from = VmId(textAt(object, "vm"));
    report.region = RegionId(textAt(object, "region"));
    report.isWholeRegion = object.at("whole").as_bool();
    report.figures = decodeFigures(object.at("load").as_object());
    report.sentAt = object.at("sent").to_number<std::int64_t>();
    return report;
}

DigestReply decodeReply(const json::object& object)
{
    DigestReply reply;
    reply.from = VmId(textAt(object, "vm"));
    reply.sentAt = object.at("sent").to_number<std::int64_t>();
    reply.confirmationAge = object.at("age").to_number<std::int64_t>();
    reply.knownRevision = object.at("change").to_number<std::int64_t>();
    for (const auto& region : object.at("regions").as_object())
        reply.regions[RegionId(std::string(region.key()))] = decodeFigures(region.value().as_object());
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
    return json::serialize(json::object { { "schema", schemaVersion }, { "kind", "report" }, { "key", key },
        { "vm", report.from.string() }, { "region", report.region.string() }, { "whole", report.isWholeRegion },
        { "load", encodeFigures(report.figures) }, { "sent", report.sentAt } });
}

std::string encodeDigest(const DigestReply& reply, std::string_view key)
{
    json::object regions;
    for (const auto& [region, figures] : reply.regions)
        regions[region.string()] = encodeFigures(figures);
    return json::serialize(json::object { { "schema", schemaVersion }, { "kind", "reply" }, { "key", key },
        { "vm", reply.from.string() }, { "sent", reply.sentAt }, { "age", reply.confirmationAge },
        { "change", reply.knownRevision }, { "regions", regions } });
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
        if (textAt(object, "kind") == "report")
            decoded.report = decodeReport(object);
        else
            decoded.reply = decodeReply(object);
        return decoded;
    } catch (const std::exception& failure) {
        return Error { ErrorCode::Damaged, std::string("the digest cannot be parsed: ") + failure.what() };
    }
}

} // namespace papayashelf
