#include "publication/collection/TreeCollection.h"

#include "publication/checks/CrossChecks.h"
#include "publication/governance/GovernanceBuilding.h"
#include <filesystem>
#include <fstream>
#include <sstream>

namespace papayashelf {

namespace {

namespace filesystem = std::filesystem;

std::string documentBody(ConfigNode root)
{
    auto& members = std::get<ConfigNode::Table>(root.value);
    std::erase_if(members, [](const ConfigMember& member) { return member.name == "schema_version"; });
    members.push_back({ "schema_version", {}, { {}, documentSchemaVersion } });
    return canonicalJson(root);
}

bool isHidden(const filesystem::path& path)
{
    return path.filename().string().starts_with(".");
}

std::string readFile(const filesystem::path& path, const std::string& name, Faults& faults)
{
    std::error_code code;
    const auto size = filesystem::file_size(path, code);
    if (!code && size > largestOperatorFileBytes) {
        faults.push_back({ name, {}, "the file has " + std::to_string(size) + " bytes",
            "at most " + std::to_string(largestOperatorFileBytes) });
        return {};
    }
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    if (code || !stream || (size > 0 && !(text << stream.rdbuf())))
        faults.push_back({ name, {}, "the file cannot be read", "a readable file" });
    return text.str();
}

/** Text by path below the directory; what cannot be read is a fault. */
std::map<std::string, std::string> readTree(const filesystem::path& directory, Faults& faults)
{
    std::map<std::string, std::string> files;
    std::error_code code;
    filesystem::recursive_directory_iterator walk(directory, code);
    for (const filesystem::recursive_directory_iterator end; !code && walk != end; walk.increment(code)) {
        std::error_code ignored;
        const bool isLink = walk->is_symlink(ignored);
        if (walk->is_directory(ignored) && (isHidden(walk->path()) || isLink))
            walk.disable_recursion_pending();
        const std::string name = walk->path().lexically_relative(directory).generic_string();
        if (isLink || !walk->is_regular_file(ignored) || isHidden(walk->path()) || !name.ends_with(operatorFileSuffix))
            continue;
        files[name] = readFile(walk->path(), name, faults);
    }
    if (code)
        faults.push_back({ directory.string(), {}, "cannot be read: " + code.message(), "a readable directory" });
    return files;
}

} // namespace

Checked<CollectedTree> checkTree(const std::map<std::string, std::string>& files)
{
    OperatorFiles read;
    Faults faults;
    CollectedTree tree;
    bool isWhole = true;
    for (const auto& [path, text] : files) {
        const ParsedToml parsed = parseToml(path, text, faults);
        isWhole = isWhole && parsed.isWhole;
        if (!parsed.isWhole)
            continue;
        readOperatorFile(parsed.root, path, read, faults);
        tree.documents[path] = documentBody(parsed.root);
    }
    // What a file that is no TOML would have said is missing from the others' view, so those checks would mislead.
    if (isWhole)
        checkAcross(read, faults);
    if (!faults.empty()) {
        sortByPlace(faults);
        return faults;
    }
    tree.governance = indexFiles(read, 0);
    return tree;
}

Checked<CollectedTree> collectTree(const std::string& directory)
{
    Faults unreadable;
    const auto files = readTree(directory, unreadable);
    auto checked = checkTree(files);
    if (unreadable.empty())
        return checked;
    if (!checked)
        unreadable.insert(unreadable.end(), checked.error().begin(), checked.error().end());
    return unreadable;
}

} // namespace papayashelf
