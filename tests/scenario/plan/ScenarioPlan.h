#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayashelf {

/** Requests of one workspace that enter in one region. */
struct LoadPlan {
    WorkspaceId workspace;
    RegionId region; /**< Where its callers are. */
    double requestsPerSecond = 0;
    std::string path = "/v1/chat/completions";
    std::string method = "POST";
    std::int64_t promptTokens = 200;
    std::int64_t answerTokens = 100; /**< Mean; drawn between half and one and a half of it. */
    bool isKeyed = false; /**< Sends an idempotency key, and repeats at another VM when the answer is lost. */
    Milliseconds from;
    Milliseconds until;

    bool operator==(const LoadPlan&) const = default;
};

/** What goes wrong, or what operators do. */
enum class FaultKind {
    CutRegions, /**< No message passes between two regions. */
    LoseMessages, /**< A share of all messages between VMs is lost. */
    KillVm, /**< The VM dies; the VM list drops it later. */
    ReplaceVm, /**< The VM dies and comes back as a new life. */
    PauseVm, /**< The process stands still; the machine stays listed. */
    StopVm, /**< A planned stop. */
    StoreOut, /**< The store refuses every call. */
    StoreSlow, /**< The store answers late. */
    StoreLosesAnswers, /**< Writes take effect and their answers are lost. */
    StoreOlder, /**< The store goes back to what it held when the scenario began its load. */
    KillUpstream,
    SilenceUpstream, /**< It takes requests and says nothing more. */
    LeaveUpstream, /**< The VM list shows it as leaving; it finishes what it has. */
    WithdrawKey, /**< An operator withdraws a workspace's key at one VM of a region. */
    PublishRate, /**< An operator publishes a new rate for a workspace. */
    RacePublish, /**< Two operators publish different rates at once. */
};

/** One fault and when it holds. */
struct FaultPlan {
    FaultKind kind = FaultKind::CutRegions;
    Milliseconds at;
    Milliseconds until; /**< For faults that end; the end of the scenario otherwise. */
    std::string target; /**< VM, upstream, region or workspace. */
    std::string other; /**< The other region of a cut. */
    std::int64_t amount = 0; /**< Tokens per second, milliseconds, or per cent, by kind. */

    bool operator==(const FaultPlan&) const = default;
};

/** What is measured and held against a bound. */
enum class ExpectationKind {
    ServedPercent, /**< Finished requests of those that arrived. */
    WrongfulPercent, /**< Refused as over the share although a fleet-wide bucket would have admitted them. */
    InForceSeconds, /**< From a publication to the last reachable VM having it in force. */
    WithdrawnSeconds, /**< From a withdrawal to the last attempt that started or ran for the key. */
    LeavingSeconds, /**< From the VM list's word to the last attempt started at a leaving upstream. */
    CutByStop, /**< Requests that a planned stop cut off. */
    OwnShareServedPercent, /**< Tokens used of what the workspace was entitled to and asked for. */
    RevisionsInForce, /**< Publications that took effect. */
    OrderedRevisions, /**< VMs that ever lowered their revision. */
    LocalServedPercent, /**< As ServedPercent, among requests that entered in the named region. */
};

struct ExpectationPlan {
    ExpectationKind kind = ExpectationKind::ServedPercent;
    std::string target; /**< Workspace or region; empty for all. */
    double atLeast = 0;
    double atMost = 0;
    bool hasAtLeast = false;
    bool hasAtMost = false;
    Milliseconds from; /**< Only what arrived in this time counts. */
    Milliseconds until;

    bool operator==(const ExpectationPlan&) const = default;
};

/** A mechanism that is broken on purpose, to see that the checks notice. */
enum class Sabotage {
    None,
    DoubleRates, /**< VMs believe in twice each workspace's rate and burst. */
    ForgetResidency, /**< VMs believe that every workspace may be anywhere. */
    RepeatAnything, /**< VMs believe that every method may be repeated. */
    DropWithdrawals, /**< No withdrawal spreads between VMs. */
    DropRevisions, /**< No revision spreads between VMs. */
    ForgetLeaving, /**< The VM list never says that anything leaves. */
    StopAtOnce, /**< A planned stop ends the process at once. */
    SwapKeys, /**< VMs believe that each key belongs to another workspace. */
    OpenEverything, /**< VMs believe that every route is open to all. */
    DropGrants, /**< No tokens are lent between VMs. */
};

/** Between the start of the VMs and that of the load; the times of a scenario file count from its end. */
constexpr Milliseconds warmUp = Milliseconds::fromSeconds(10);

/** One scenario as its file says. */
struct ScenarioPlan {
    std::string name;
    std::string what; /**< What it shows, in a sentence. */
    std::uint64_t seed = 1;
    Milliseconds duration;
    std::string deployment; /**< Folder of operators' files. */
    RegionId storeRegion;
    std::map<RegionId, std::int64_t> vms; /**< How many in each region. */
    Milliseconds regionDelay { 30 }; /**< One way, between regions. */
    Milliseconds listLag { 8000 }; /**< How late the VM list shows what happened. */
    std::vector<LoadPlan> loads;
    std::vector<FaultPlan> faults;
    std::vector<ExpectationPlan> expectations;
    Sabotage failsWith = Sabotage::None; /**< With this broken, the scenario must fail. */
    std::int64_t randomFaults = 0; /**< Faults drawn from the seed, beside the written ones. */
};

} // namespace papayashelf
