#include "scenario/plan/PlanReader.h"

#include "settings/reading/TableReader.h"
#include <fstream>
#include <sstream>

namespace papayashelf {

namespace {

constexpr Milliseconds longest = Milliseconds::fromSeconds(86'400);
const DurationRule anyTime { Milliseconds(0), longest };

const std::vector<std::pair<std::string, FaultKind>> faultNames {
    { "cut_regions", FaultKind::CutRegions },
    { "lose_messages", FaultKind::LoseMessages },
    { "kill_vm", FaultKind::KillVm },
    { "replace_vm", FaultKind::ReplaceVm },
    { "pause_vm", FaultKind::PauseVm },
    { "stop_vm", FaultKind::StopVm },
    { "store_out", FaultKind::StoreOut },
    { "store_slow", FaultKind::StoreSlow },
    { "store_loses_answers", FaultKind::StoreLosesAnswers },
    { "store_older", FaultKind::StoreOlder },
    { "kill_upstream", FaultKind::KillUpstream },
    { "silence_upstream", FaultKind::SilenceUpstream },
    { "leave_upstream", FaultKind::LeaveUpstream },
    { "withdraw_key", FaultKind::WithdrawKey },
    { "publish_rate", FaultKind::PublishRate },
    { "race_publish", FaultKind::RacePublish },
};

const std::vector<std::pair<std::string, ExpectationKind>> expectationNames {
    { "served_percent", ExpectationKind::ServedPercent },
    { "wrongful_percent", ExpectationKind::WrongfulPercent },
    { "in_force_seconds", ExpectationKind::InForceSeconds },
    { "withdrawn_seconds", ExpectationKind::WithdrawnSeconds },
    { "leaving_seconds", ExpectationKind::LeavingSeconds },
    { "cut_by_stop", ExpectationKind::CutByStop },
    { "own_share_served_percent", ExpectationKind::OwnShareServedPercent },
    { "revisions_in_force", ExpectationKind::RevisionsInForce },
    { "lowered_revisions", ExpectationKind::OrderedRevisions },
    { "local_served_percent", ExpectationKind::LocalServedPercent },
};

const std::vector<std::pair<std::string, Sabotage>> sabotageNames {
    { "none", Sabotage::None },
    { "double_rates", Sabotage::DoubleRates },
    { "forget_residency", Sabotage::ForgetResidency },
    { "repeat_anything", Sabotage::RepeatAnything },
    { "drop_withdrawals", Sabotage::DropWithdrawals },
    { "drop_revisions", Sabotage::DropRevisions },
    { "forget_leaving", Sabotage::ForgetLeaving },
    { "stop_at_once", Sabotage::StopAtOnce },
    { "swap_keys", Sabotage::SwapKeys },
    { "open_everything", Sabotage::OpenEverything },
    { "drop_grants", Sabotage::DropGrants },
};

LoadPlan readLoad(TableReader& table, Milliseconds end)
{
    LoadPlan load;
    load.until = end;
    table.required("workspace", load.workspace, IdentifierRule<WorkspaceId>());
    table.required("region", load.region, IdentifierRule<RegionId>());
    table.required("requests_per_second", load.requestsPerSecond, NumberRule { 0.001, 1000 });
    table.optional("path", load.path, TextRule());
    table.optional("method", load.method, TextRule());
    table.optional("prompt_tokens", load.promptTokens, IntegerRule { 0, 1'000'000, "tokens" });
    table.optional("answer_tokens", load.answerTokens, IntegerRule { 0, 1'000'000, "tokens" });
    table.optional("keyed", load.isKeyed, SwitchRule());
    table.optional("from_ms", load.from, anyTime);
    table.optional("until_ms", load.until, anyTime);
    table.finish();
    return load;
}

FaultPlan readFault(TableReader& table, Milliseconds end)
{
    FaultPlan fault;
    fault.until = end;
    table.required("kind", fault.kind, ChoiceRule<FaultKind> { faultNames });
    table.required("at_ms", fault.at, anyTime);
    table.optional("until_ms", fault.until, anyTime);
    table.optional("target", fault.target, TextRule());
    table.optional("other", fault.other, TextRule());
    table.optional("amount", fault.amount, IntegerRule { 0, 1'000'000'000, "" });
    table.finish();
    return fault;
}

ExpectationPlan readExpectation(TableReader& table, Milliseconds end)
{
    ExpectationPlan expectation;
    expectation.until = end;
    table.required("kind", expectation.kind, ChoiceRule<ExpectationKind> { expectationNames });
    table.optional("target", expectation.target, TextRule());
    expectation.hasAtLeast = table.has("at_least");
    expectation.hasAtMost = table.has("at_most");
    table.optional("at_least", expectation.atLeast, NumberRule { 0, 1e12 });
    table.optional("at_most", expectation.atMost, NumberRule { 0, 1e12 });
    table.optional("from_ms", expectation.from, anyTime);
    table.optional("until_ms", expectation.until, anyTime);
    if (!expectation.hasAtLeast && !expectation.hasAtMost)
        table.report(table.positionOf("kind"), "no bound", "at_least, at_most or both");
    table.finish();
    return expectation;
}

ScenarioPlan readPlan(TableReader& table)
{
    ScenarioPlan plan;
    std::int64_t seed = 1;
    table.required("name", plan.name, NameRule());
    table.required("what", plan.what, TextRule());
    table.optional("seed", seed, IntegerRule { 0, 1'000'000'000, "" });
    table.required("duration_ms", plan.duration, anyTime);
    table.required("deployment", plan.deployment, TextRule());
    table.required("store_region", plan.storeRegion, IdentifierRule<RegionId>());
    std::vector<std::pair<std::string, std::int64_t>> vms;
    table.map("vms", vms, IntegerRule { 0, 400, "VMs" });
    table.optional("region_delay_ms", plan.regionDelay, anyTime);
    table.optional("list_lag_ms", plan.listLag, anyTime);
    table.optional("fails_with", plan.failsWith, ChoiceRule<Sabotage> { sabotageNames });
    table.optional("random_faults", plan.randomFaults, IntegerRule { 0, 100, "faults" });
    plan.seed = static_cast<std::uint64_t>(seed);
    for (const auto& [region, count] : vms)
        plan.vms.emplace(RegionId(region), count);
    for (TableReader& load : table.tables("load"))
        plan.loads.push_back(readLoad(load, plan.duration));
    for (TableReader& fault : table.tables("fault"))
        plan.faults.push_back(readFault(fault, plan.duration));
    for (TableReader& expectation : table.tables("expect"))
        plan.expectations.push_back(readExpectation(expectation, plan.duration));
    table.finish();
    return plan;
}

} // namespace

Checked<ScenarioPlan> readScenario(const std::string& file)
{
    Faults faults;
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream) {
        faults.push_back(Fault { file, {}, "cannot be read", "a scenario file" });
        return faults;
    }
    const ParsedToml parsed = parseToml(file, text.str(), faults);
    if (!parsed.isWhole)
        return faults;
    TableReader table(parsed.root, file, "", faults);
    ScenarioPlan plan = readPlan(table);
    if (!faults.empty())
        return faults;
    return plan;
}

Sabotage parseSabotage(const std::string& name)
{
    for (const auto& [known, sabotage] : sabotageNames) {
        if (known == name)
            return sabotage;
    }
    return Sabotage::None;
}

std::string toString(Sabotage sabotage)
{
    for (const auto& [name, known] : sabotageNames) {
        if (known == sabotage)
            return name;
    }
    return "none";
}

} // namespace papayashelf
