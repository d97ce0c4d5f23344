#include "application/commands/CommandLine.h"

#include "adapter/PlatformGateway.h"
#include "application/commands/ExplainCommand.h"
#include "application/commands/ObserveCommands.h"
#include "application/commands/ServeCommand.h"
#include "application/commands/VmClient.h"
#include "publication/commands/Commands.h"
#include "settings/reading/FieldRules.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <array>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, settings, "", "serve, check: the VM's settings file");
ABSL_FLAG(std::string, tree, "", "check, publish: the folder below which operators' files are collected");
ABSL_FLAG(std::string, store, "", "publish: IP:port of the key-value service");
ABSL_FLAG(std::string, author, "", "publish: who makes the change; shown to whoever loses a race against it");
ABSL_FLAG(bool, withdraw_every_key, false, "publish: allow a tree that keeps none of the keys in force");
ABSL_FLAG(bool, dry_run, false, "publish: only check and show what would change");
ABSL_FLAG(int, wait_seconds, 0, "publish: how long to wait until the given VMs have the revision in force");
ABSL_FLAG(std::vector<std::string>, vms, {}, "status, timeline, withdraw, publish: administration IP:port of VMs");
ABSL_FLAG(std::string, entry, "", "entries: IP:port of any VM's entry listener");
ABSL_FLAG(std::string, workspace, "", "entries: the workspace that the caller belongs to");
ABSL_FLAG(std::string, key_file, "", "file with the administration key; PAPAYASHELF_KEY in the environment otherwise");
ABSL_FLAG(std::string, digest, "", "withdraw: SHA-256 of the key in hexadecimal");
ABSL_FLAG(std::string, request, "", "explain: the id that the caller sent with the request");
ABSL_FLAG(std::vector<std::string>, logs, {}, "explain: files with the decision logs of VMs");
ABSL_FLAG(bool, json, false, "status, timeline, entries: print JSON instead of a table");

namespace papayashelf {

namespace {

constexpr std::string_view exitCodes = "Exit codes: 0 success; 1 faults found or not started; 2 usage;\n"
                                       "3 another change came first; 4 not reachable; 5 outcome unknown;\n"
                                       "6 committed but not seen in force everywhere.\n";

struct Subcommand {
    std::string_view name;
    std::string_view purpose;
    std::string_view usage;
    std::function<ExitCode()> run;
};

ObserveOptions readObserveOptions()
{
    ObserveOptions options;
    options.vms = absl::GetFlag(FLAGS_vms);
    options.keyFile = absl::GetFlag(FLAGS_key_file);
    options.asJson = absl::GetFlag(FLAGS_json);
    options.entry = absl::GetFlag(FLAGS_entry);
    options.workspace = absl::GetFlag(FLAGS_workspace);
    options.digest = absl::GetFlag(FLAGS_digest);
    return options;
}

ExitCode check()
{
    CheckOptions options;
    for (const std::string& path : { absl::GetFlag(FLAGS_settings), absl::GetFlag(FLAGS_tree) }) {
        if (!path.empty())
            options.paths.push_back(path);
    }
    return static_cast<ExitCode>(runCheck(options, std::cout, std::cerr));
}

ExitCode publish()
{
    PublishOptions options;
    options.directory = absl::GetFlag(FLAGS_tree);
    options.author = absl::GetFlag(FLAGS_author);
    options.isDryRun = absl::GetFlag(FLAGS_dry_run);
    options.mayWithdrawEveryKey = absl::GetFlag(FLAGS_withdraw_every_key);
    const std::optional<Endpoint> store = parseEndpoint(absl::GetFlag(FLAGS_store));
    if (options.directory.empty() || !store) {
        std::cerr << "publish needs --tree=FOLDER and --store=IP:PORT\n";
        return ExitCode::Usage;
    }
    options.store = *store;
    for (const std::string& vm : absl::GetFlag(FLAGS_vms)) {
        const std::optional<Endpoint> endpoint = parseEndpoint(vm);
        if (!endpoint) {
            std::cerr << "not IP:port: " << vm << "\n";
            return ExitCode::Usage;
        }
        options.administration.push_back(*endpoint);
    }
    if (!options.administration.empty()) {
        const Outcome<std::string> key = readAdministrationKey(absl::GetFlag(FLAGS_key_file));
        if (!key) {
            std::cerr << key.error().detail << "\n";
            return ExitCode::Usage;
        }
        options.administrationKey = key.value();
    }
    options.wait = Milliseconds::fromSeconds(absl::GetFlag(FLAGS_wait_seconds));
    return static_cast<ExitCode>(runPublish(options, std::cout, std::cerr));
}

ExitCode serve()
{
    const std::string file = absl::GetFlag(FLAGS_settings);
    if (!file.empty())
        return runServe(file);
    std::cerr << "serve needs --settings=FILE\n";
    return ExitCode::Usage;
}

ExitCode gateway()
{
    const std::string file = absl::GetFlag(FLAGS_settings);
    if (!file.empty())
        return static_cast<ExitCode>(runPlatformGateway(file));
    std::cerr << "gateway needs --settings=FILE\n";
    return ExitCode::Usage;
}

ExitCode explain()
{
    const ExplainOptions options { absl::GetFlag(FLAGS_request), absl::GetFlag(FLAGS_logs) };
    return explainRequest(options, std::cout, std::cerr);
}

const std::vector<Subcommand>& getSubcommands()
{
    static const std::vector<Subcommand> subcommands {
        { "serve", "run one VM until SIGTERM; a second signal ends it at once", "--settings=FILE", serve },
        { "gateway", "run one VM on a platform whose store keeps everything that lasts", "--settings=FILE", gateway },
        { "check", "check a VM's settings or a tree of operators' files and report every fault",
            "--settings=FILE | --tree=FOLDER", check },
        { "publish", "check a tree, show what changes, and put it in force as one revision",
            "--tree=FOLDER --store=IP:PORT --author=NAME [--dry_run] [--withdraw_every_key] [--vms=IP:PORT,... "
            "--wait_seconds=N "
            "--key_file=FILE]",
            publish },
        { "withdraw", "withdraw a key at once, ahead of the revision that drops it",
            "--digest=HEX --vms=IP:PORT,... [--key_file=FILE]", [] { return withdrawKey(readObserveOptions()); } },
        { "status", "show VMs, their revisions and requests", "--vms=IP:PORT,... [--key_file=FILE] [--json]",
            [] { return showStatus(readObserveOptions()); } },
        { "timeline", "show the merged time line of several VMs", "--vms=IP:PORT,... [--key_file=FILE] [--json]",
            [] { return showTimeline(readObserveOptions()); } },
        { "explain", "tell from VMs' decision logs what became of a request, and why", "--request=ID --logs=FILE,...",
            explain },
        { "entries", "ask which VMs callers should use, best first", "--entry=IP:PORT [--workspace=NAME] [--json]",
            [] { return showEntries(readObserveOptions()); } },
        { "key", "make a new key for a caller and print it with its digest", "",
            [] { return static_cast<ExitCode>(runMakeKey(std::cout, std::cerr)); } },
    };
    return subcommands;
}

void printUsage(std::ostream& stream)
{
    stream << "usage: papayashelf SUBCOMMAND [--flag=value ...]\n\n";
    for (const Subcommand& subcommand : getSubcommands())
        stream << "  " << subcommand.name << std::string(10 - subcommand.name.size(), ' ') << subcommand.purpose
               << "\n";
    stream << "\npapayashelf SUBCOMMAND --help says more.\n" << exitCodes;
}

bool asksForHelp(int argumentCount, char** arguments)
{
    for (int index = 1; index < argumentCount; ++index) {
        const std::string_view argument = arguments[index];
        if (argument == "--help" || argument == "-h" || argument == "help")
            return true;
    }
    return false;
}

const Subcommand* findSubcommand(std::string_view name)
{
    for (const Subcommand& subcommand : getSubcommands()) {
        if (subcommand.name == name)
            return &subcommand;
    }
    return nullptr;
}

} // namespace

int runCommandLine(int argumentCount, char** arguments)
{
    const Subcommand* subcommand = argumentCount > 1 ? findSubcommand(arguments[1]) : nullptr;
    const bool isHelp = asksForHelp(argumentCount, arguments);
    if (!subcommand) {
        printUsage(isHelp ? std::cout : std::cerr);
        return static_cast<int>(isHelp ? ExitCode::Success : ExitCode::Usage);
    }
    if (isHelp) {
        std::cout << "papayashelf " << subcommand->name << " " << subcommand->usage << "\n\n"
                  << subcommand->purpose << "\n\n"
                  << exitCodes;
        return static_cast<int>(ExitCode::Success);
    }
    absl::SetProgramUsageMessage("papayashelf SUBCOMMAND [--flag=value ...]");
    const std::vector<char*> rest = absl::ParseCommandLine(argumentCount, arguments);
    if (rest.size() > 2) {
        std::cerr << "unexpected argument: " << rest[2] << "\n";
        return static_cast<int>(ExitCode::Usage);
    }
    return static_cast<int>(subcommand->run());
}

} // namespace papayashelf
