#include "publication/collection/TreeCollection.h"
#include "publication/commands/Commands.h"
#include "publication/commands/FaultPrinting.h"
#include "settings/settings.h"
#include <filesystem>
#include <ostream>

namespace papayashelf {

namespace {

/** Checks one path and returns how many faults it has. */
std::size_t checkPath(const std::string& path, std::ostream& output, std::ostream& errors)
{
    std::error_code code;
    if (!std::filesystem::is_directory(path, code)) {
        const auto settings = loadSettings(path);
        if (!settings)
            return printFaults(settings.error(), errors);
        output << path << ": settings of the VM " << settings.value().vm.string() << " are good\n";
        return 0;
    }
    const auto tree = collectTree(path);
    if (!tree)
        return printFaults(tree.error(), errors);
    output << path << ": " << tree.value().documents.size() << " operators' files are good\n";
    return 0;
}

} // namespace

std::size_t printFaults(const Faults& faults, std::ostream& errors)
{
    for (const Fault& fault : faults)
        errors << fault.string() << "\n";
    return faults.size();
}

int runCheck(const CheckOptions& options, std::ostream& output, std::ostream& errors)
{
    if (options.paths.empty()) {
        errors << "nothing to check: name settings files or directories of operators' files\n";
        return static_cast<int>(ExitCode::Usage);
    }
    std::size_t faults = 0;
    for (const std::string& path : options.paths)
        faults += checkPath(path, output, errors);
    if (faults == 0)
        return static_cast<int>(ExitCode::Success);
    errors << faults << (faults == 1 ? " fault\n" : " faults\n");
    return static_cast<int>(ExitCode::FaultsFound);
}

} // namespace papayashelf
