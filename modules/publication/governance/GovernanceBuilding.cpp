#include "publication/governance/GovernanceBuilding.h"

#include "publication/checks/CrossChecks.h"

namespace papayashelf {

namespace {

Outcome<ConfigNode> parseDocument(const std::string& path, const std::string& body)
{
    auto parsed = parseJson(body);
    if (!parsed)
        return Error { ErrorCode::Damaged, path + ": " + parsed.error().detail };
    const ConfigMember* version = parsed.value().member("schema_version");
    const auto* number = version ? std::get_if<std::int64_t>(&version->value.value) : nullptr;
    if (!number)
        return Error { ErrorCode::Damaged, path + ": no schema_version" };
    if (*number != documentSchemaVersion)
        return Error { ErrorCode::UnknownSchemaVersion, path + ": schema_version " + std::to_string(*number) };
    return parsed;
}

} // namespace

Outcome<Governance> buildGovernance(const Revision& revision)
{
    OperatorFiles files;
    Faults faults;
    for (const auto& [path, body] : revision.documents) {
        BOOST_OUTCOME_TRY(const ConfigNode root, parseDocument(path, body));
        readOperatorFile(root, path, files, faults);
    }
    // The revision before the first has no documents, and nothing to check across them.
    if (!revision.documents.empty())
        checkAcross(files, faults);
    if (!faults.empty())
        return Error { ErrorCode::Damaged,
            faults.front().string() + " (" + std::to_string(faults.size()) + " faults in all)" };
    return indexFiles(files, revision.number);
}

Governance indexFiles(const OperatorFiles& files, RevisionNumber revision)
{
    Governance governance;
    governance.revision = revision;
    for (const auto& region : files.regions)
        governance.regions.emplace(region.value.id, region.value);
    for (const auto& workspace : files.workspaces)
        governance.workspaces.emplace(workspace.value.id, workspace.value);
    for (const auto& grant : files.keys) {
        for (const KeyDigest& digest : grant.value.digests)
            governance.keys.emplace(digest, Key { digest, grant.value.workspace });
    }
    for (const auto& service : files.services)
        governance.services.emplace(service.value.id, service.value);
    for (const auto& route : files.routes)
        governance.routes.emplace(route.value.id, route.value);
    return governance;
}

} // namespace papayashelf
