/** Time to check and index a whole revision of the design size, as each VM does before it adopts one. */
#include "publication/publication.h"

#include "foundation/hashing/Sha256.h"
#include <chrono>
#include <iostream>
#include <sstream>

namespace {

using namespace papayashelf;

constexpr int workspaces = 4'800;
constexpr int upstreams = 600;
constexpr int models = 9;
constexpr int regions = 3;
constexpr int domainsPerRegion = 4;
constexpr int rounds = 10;

std::string regionName(int index)
{
    return "region-" + std::to_string(index % regions);
}

void addRegions(std::map<std::string, std::string>& files)
{
    for (int region = 0; region < regions; ++region) {
        std::string text = "[region]\nid = \"" + regionName(region) + "\"\ndomains = [";
        for (int domain = 0; domain < domainsPerRegion; ++domain)
            text += "\"" + regionName(region) + "-" + std::to_string(domain) + "\",";
        text += "]\n[region.link_megabits_per_second]\n";
        for (int other = 1; other < regions; ++other)
            text += regionName(region + other) + " = 1000\n";
        files["regions/" + std::to_string(region) + ".gateway.toml"] = text;
    }
}

void addUpstream(std::ostream& text, int index)
{
    const std::string region = regionName(index / models);
    text << "[[service.upstreams]]\nid = \"u-" << index << "\"\nregion = \"" << region << "\"\ndomain = \"" << region
         << "-" << index % domainsPerRegion << "\"\nendpoint = \"10.9." << index / 256 << "." << index % 256
         << ":8000\"\nslots = 16\n";
}

void addServices(std::map<std::string, std::string>& files)
{
    for (int model = 0; model < models; ++model) {
        const std::string id = "engine-" + std::to_string(model);
        std::ostringstream service;
        service << "[service]\nid = \"" << id << "\"\nkind = \"model_engine\"\nmodels = [\"" << id << "\"]\n";
        for (int index = model; index < upstreams; index += models)
            addUpstream(service, index);
        std::ostringstream route;
        route << "[route]\nid = \"" << id << "\"\npath_prefix = \"/" << id << "\"\nservice = \"" << id
              << "\"\nidempotent_methods = [\"POST\"]\n";
        files[id + "/service.gateway.toml"] = service.str();
        files[id + "/route.gateway.toml"] = route.str();
    }
}

void addWorkspaces(std::map<std::string, std::string>& files)
{
    for (int index = 0; index < workspaces; ++index) {
        const std::string id = "w-" + std::to_string(index);
        std::string text = "[workspace]\nid = \"" + id + "\"\ntokens_per_second = 500\nburst_tokens = 5000\n";
        // 18 of 100 are bound to a home.
        if (index % 100 < 18)
            text += "residency = [\"" + regionName(index) + "\"]\n";
        files[id + "/workspace.gateway.toml"] = text;
        files[id + "/keys.gateway.toml"]
            = "[keys]\nworkspace = \"" + id + "\"\ndigests = [\"" + sha256Hex(id) + "\"]\n";
    }
    files["fleet.gateway.toml"] = "[fleet]\ntokens_per_second = 2400000\nburst_tokens = 24000000\n"
                                  "vm_addresses = [\"10.8.0.0/16\"]\n";
}

/** The mean of some rounds, in milliseconds. */
template <typename Work> double millisecondsOf(const Work& work)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round)
        work();
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - begin;
    return elapsed.count() / rounds;
}

} // namespace

int main()
{
    std::map<std::string, std::string> files;
    addRegions(files);
    addServices(files);
    addWorkspaces(files);
    const auto tree = checkTree(files);
    if (!tree) {
        std::cerr << tree.error().front().string() << "\n";
        return 1;
    }
    const Revision revision { 1, digestOf(tree.value().documents), tree.value().documents };
    std::size_t bytes = 0;
    for (const auto& [path, body] : revision.documents)
        bytes += path.size() + body.size();

    const double checking = millisecondsOf([&] { static_cast<void>(checkTree(files).has_value()); });
    const double building = millisecondsOf([&] { static_cast<void>(buildGovernance(revision).has_value()); });
    const double digesting = millisecondsOf([&] { static_cast<void>(digestOf(revision.documents)); });
    std::cout << R"({"benchmark":"governance_building","workspaces":)" << workspaces << R"(,"upstreams":)" << upstreams
              << R"(,"documents":)" << revision.documents.size() << R"(,"bytes":)" << bytes << R"(,"check_tree_ms":)"
              << checking << R"(,"build_governance_ms":)" << building << R"(,"digest_ms":)" << digesting << "}\n";
    return 0;
}
