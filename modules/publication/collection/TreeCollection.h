#pragma once

#include "model/documents/Document.h"
#include "model/governance/Governance.h"
#include "settings/reading/Fault.h"
#include <map>
#include <string>
#include <string_view>

namespace papayashelf {

/** What the names of operators' files end in; they may lie anywhere below the tree, beside the code they govern. */
constexpr std::string_view operatorFileSuffix = ".gateway.toml";

/** The largest file that is collected. */
constexpr std::size_t largestOperatorFileBytes = 262'144;

/** A whole tree that passed every check. */
struct CollectedTree {
    std::map<std::string, std::string> documents; /**< Canonical JSON by path below the tree. */
    Governance governance; /**< What they say; revision 0. */

    bool operator==(const CollectedTree&) const = default;
};

/**
    Checks operators' files, each and all together.

    @param files  text by path below the tree
    @returns the documents, or every fault of every file
    Thread safety: any thread.
*/
Checked<CollectedTree> checkTree(const std::map<std::string, std::string>& files);

/**
    Reads every operators' file below a directory and checks them as checkTree does. Folders and files whose name
    begins with '.' and symbolic links are passed over.

    Thread safety: any thread.
*/
Checked<CollectedTree> collectTree(const std::string& directory);

} // namespace papayashelf
