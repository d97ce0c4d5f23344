#pragma once

#include "foundation/hashing/Sha256.h"
#include <map>
#include <string>

namespace papayashelf {

using TreeFiles = std::map<std::string, std::string>;

/** A small tree that passes every check: two regions, two workspaces, one service of each kind. */
inline TreeFiles exampleTree()
{
    TreeFiles files;
    files["fleet.gateway.toml"] = "[fleet]\ntokens_per_second = 1000\nburst_tokens = 5000\n"
                                  "vm_addresses = [\"127.0.0.1:21000-21999\"]\n";
    files["regions/north.gateway.toml"] = "[region]\nid = \"north\"\ndomains = [\"north-a\"]\n"
                                          "link_megabits_per_second = { south = 100 }\n";
    files["regions/south.gateway.toml"] = "[region]\nid = \"south\"\ndomains = [\"south-a\"]\n"
                                          "link_megabits_per_second = { north = 100 }\n";
    files["club/workspace.gateway.toml"] = "[workspace]\nid = \"club\"\ntokens_per_second = 600\nburst_tokens = 3000\n"
                                           "residency = [\"north\"]\n";
    files["shop/workspace.gateway.toml"] = "[workspace]\nid = \"shop\"\ntokens_per_second = 400\nburst_tokens = 2000\n"
                                           "share_weights = { north = 1, south = 3 }\n";
    files["club/keys.gateway.toml"] = "[keys]\nworkspace = \"club\"\ndigests = [\"" + sha256Hex("club-key") + "\"]\n";
    files["shop/keys.gateway.toml"] = "[keys]\nworkspace = \"shop\"\ndigests = [\"" + sha256Hex("shop-key") + "\"]\n";
    files["assistant/service.gateway.toml"] = "[service]\nid = \"assistant\"\nkind = \"model_engine\"\n"
                                              "models = [\"m\"]\n"
                                              "[[service.upstreams]]\nid = \"a-1\"\nregion = \"north\"\n"
                                              "domain = \"north-a\"\nendpoint = \"127.0.0.1:23001\"\nslots = 8\n"
                                              "[[service.upstreams]]\nid = \"a-2\"\nregion = \"south\"\n"
                                              "domain = \"south-a\"\nendpoint = \"127.0.0.1:23002\"\n";
    files["entries/service.gateway.toml"] = "[service]\nid = \"entries\"\nkind = \"plain_service\"\n"
                                            "[[service.upstreams]]\nid = \"e-1\"\nregion = \"north\"\n"
                                            "domain = \"north-a\"\nendpoint = \"127.0.0.1:23003\"\n";
    files["routes.gateway.toml"] = "[[route]]\nid = \"chat\"\npath_prefix = \"/v1/chat\"\nservice = \"assistant\"\n"
                                   "[[route]]\nid = \"entries\"\npath_prefix = \"/entries\"\nservice = \"entries\"\n"
                                   "tokens_per_request = 20\nidempotent_methods = [\"GET\"]\n";
    return files;
}

/** Replaces one text in one file of the tree. */
inline TreeFiles with(TreeFiles files, const std::string& file, const std::string& from, const std::string& to)
{
    std::string& text = files.at(file);
    text.replace(text.find(from), from.size(), to);
    return files;
}

} // namespace papayashelf
