#include "platform/http/BlockingKeyValueClient.h"
#include "publication/collection/TreeCollection.h"
#include "publication/commands/Commands.h"
#include "publication/commands/FaultPrinting.h"
#include "publication/commands/VmStatusPolling.h"
#include "publication/publishing/Publisher.h"
#include <algorithm>
#include <chrono>
#include <map>
#include <ostream>
#include <thread>
#include <utility>

namespace papayashelf {

namespace {

constexpr std::chrono::milliseconds storeRetryPause { 200 };
constexpr std::chrono::milliseconds statusPause { 100 };

/** Calls the store and waits a moment after a call that did not reach it. */
class PausingStore {
public:
    PausingStore(const Endpoint& service, Milliseconds timeout)
        : client(service, timeout)
    {
    }

    StoreReply call(const StoreRequest& request)
    {
        StoreReply reply = this->client.call(request);
        if (!reply && reply.error().code == ErrorCode::Unavailable)
            std::this_thread::sleep_for(storeRetryPause);
        return reply;
    }

private:
    BlockingKeyValueClient client;
};

std::int64_t wallClockMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

ExitCode exitCodeOf(PublicationEnd end)
{
    switch (end) {
    case PublicationEnd::Unchanged:
    case PublicationEnd::Committed:
        return ExitCode::Success;
    case PublicationEnd::LostRace:
        return ExitCode::LostRace;
    case PublicationEnd::Refused:
    case PublicationEnd::Damaged:
        return ExitCode::FaultsFound;
    case PublicationEnd::Unavailable:
        return ExitCode::Unavailable;
    case PublicationEnd::OutcomeUnknown:
        break;
    }
    return ExitCode::OutcomeUnknown;
}

std::string_view wordOf(PublicationEnd end)
{
    switch (end) {
    case PublicationEnd::Unchanged:
        return "unchanged";
    case PublicationEnd::Committed:
        return "committed";
    case PublicationEnd::LostRace:
        return "not committed, lost a race";
    case PublicationEnd::Refused:
        return "refused";
    case PublicationEnd::Damaged:
        return "the store's configuration is damaged";
    case PublicationEnd::Unavailable:
        return "not committed, the store was not reached";
    case PublicationEnd::OutcomeUnknown:
        break;
    }
    return "outcome unknown";
}

/** Upstreams at the very endpoints of VMs. */
Faults ownVmFaults(const Governance& governance, const std::vector<Endpoint>& own)
{
    Faults faults;
    for (const auto& [id, service] : governance.services) {
        for (const Upstream& upstream : service.upstreams) {
            if (std::find(own.begin(), own.end(), upstream.endpoint) != own.end())
                faults.push_back({ "service " + id.string(), {},
                    "the upstream " + upstream.id.string() + " is at " + upstream.endpoint.string()
                        + ", a VM of the system itself",
                    "another endpoint" });
        }
    }
    return faults;
}

RevisionNumber highestInForce(const PublishOptions& options)
{
    RevisionNumber highest = 0;
    const auto statuses = askVmStatuses(options.administration, options.administrationKey, options.callTimeout);
    for (const auto& [vm, status] : statuses) {
        if (status)
            highest = std::max(highest, status.value().revision);
    }
    return highest;
}

void showDifference(const Publisher& publisher, std::ostream& output)
{
    if (!publisher.stampInForce().author.empty())
        output << "in force: published by " << publisher.stampInForce().string() << "\n";
    for (const std::string& line : publisher.difference().lines)
        output << line << "\n";
    output << publisher.difference().lines.size() << " changes\n";
}

/** Waits until every VM asked has the revision in force and says which have it, VM by VM and by region. */
class EverywhereWait {
public:
    EverywhereWait(const PublishOptions& options, RevisionNumber number)
        : options(options)
        , number(number)
        , missing(options.administration)
    {
    }

    ExitCode run(std::ostream& output, std::ostream& errors)
    {
        const Clock clock;
        const Milliseconds end = clock.now() + this->options.wait;
        while (true) {
            const auto statuses
                = askVmStatuses(this->missing, this->options.administrationKey, this->options.callTimeout);
            std::erase_if(
                this->missing, [&](const Endpoint& vm) { return this->hasRevision(vm, statuses.at(vm), output); });
            if (this->missing.empty() || clock.now().count() >= end.count())
                break;
            std::this_thread::sleep_for(statusPause);
        }
        for (const auto& [region, count] : this->reached)
            output << "region " << region.string() << ": in force at " << count << " VMs asked\n";
        for (const Endpoint& vm : this->missing)
            errors << "not in force at " << vm.string() << ": " << this->reasons[vm] << "\n";
        return this->missing.empty() ? ExitCode::Success : ExitCode::NotEverywhere;
    }

private:
    bool hasRevision(const Endpoint& vm, const Outcome<VmStatus>& status, std::ostream& output)
    {
        if (!status) {
            this->reasons[vm] = "not reached, " + status.error().detail;
            return false;
        }
        const VmStatus& found = status.value();
        if (found.revision < this->number) {
            this->reasons[vm]
                = "region " + found.region.string() + " still has revision " + std::to_string(found.revision);
            return false;
        }
        output << "in force at " << vm.string() << " of region " << found.region.string() << "\n";
        ++this->reached[found.region];
        return true;
    }

    const PublishOptions& options;
    RevisionNumber number;
    std::vector<Endpoint> missing;
    std::map<Endpoint, std::string> reasons;
    std::map<RegionId, int> reached;
};

ExitCode publishTree(
    const PublishOptions& options, const CollectedTree& tree, std::ostream& output, std::ostream& errors)
{
    Publisher publisher(
        { tree.documents, tree.governance, options.author, wallClockMilliseconds(), highestInForce(options) });
    PausingStore store(options.store, options.callTimeout);
    drive(publisher, store);
    if (publisher.isReadyToCommit()) {
        showDifference(publisher, output);
        if (options.isDryRun)
            return ExitCode::Success;
        if (publisher.difference().withdrawsEveryKey() && !options.mayWithdrawEveryKey) {
            errors
                << "refused: it keeps none of the keys in force and would withdraw them for good; is this the tree?\n";
            return ExitCode::FaultsFound;
        }
        publisher.commit();
        drive(publisher, store);
    }
    const PublicationResult& result = *publisher.result();
    const ExitCode code = exitCodeOf(result.end);
    (code == ExitCode::Success ? output : errors)
        << "revision " << result.number << ": " << wordOf(result.end) << " (" << result.detail << ")\n";
    if (code != ExitCode::Success || options.wait.count() <= 0)
        return code;
    return EverywhereWait(options, result.number).run(output, errors);
}

} // namespace

int runPublish(const PublishOptions& options, std::ostream& output, std::ostream& errors)
{
    if (options.directory.empty() || options.author.empty() || options.store.port == 0) {
        errors << "publish needs a directory, an author and the store's endpoint\n";
        return static_cast<int>(ExitCode::Usage);
    }
    const auto tree = collectTree(options.directory);
    if (!tree) {
        printFaults(tree.error(), errors);
        return static_cast<int>(ExitCode::FaultsFound);
    }
    if (printFaults(ownVmFaults(tree.value().governance, options.administration), errors) > 0)
        return static_cast<int>(ExitCode::FaultsFound);
    return static_cast<int>(publishTree(options, tree.value(), output, errors));
}

} // namespace papayashelf
