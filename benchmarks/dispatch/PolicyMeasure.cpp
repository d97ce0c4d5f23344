/**
    Plays both deployments' compressed day on virtual time with the policy and each baseline, on the same trace, and
    prints the five measures as JSON lines.

    Usage: PolicyMeasure [seeds] [calls per engine and second] [variant]
*/
#include "FleetRun.h"
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <iostream>

namespace papayashelf::measure {

namespace {

std::vector<Variant> makeVariants()
{
    const Variant policy { "policy", {}, {} };
    std::vector<Variant> variants { policy };
    const auto add = [&](const std::string& name, const auto& change) {
        Variant variant = policy;
        variant.name = name;
        change(variant);
        variants.push_back(variant);
    };
    add("random", [](Variant& variant) { variant.routing.upstreamPolicy = UpstreamPolicy::Random; });
    add("round_robin", [](Variant& variant) { variant.routing.upstreamPolicy = UpstreamPolicy::RoundRobin; });
    add("least_load", [](Variant& variant) { variant.routing.upstreamPolicy = UpstreamPolicy::LeastLoad; });
    add("no_affinity", [](Variant& variant) { variant.routing.upstreamPolicy = UpstreamPolicy::TwoChoices; });
    add("no_spill", [](Variant& variant) { variant.routing.spillPolicy = SpillPolicy::Never; });
    add("load_only_spill", [](Variant& variant) { variant.routing.spillPolicy = SpillPolicy::ByLoadOnly; });
    add("arrival_order", [](Variant& variant) { variant.dispatch.queueOrder = QueueOrder::ArrivalOrder; });
    add("plain_random", [](Variant& variant) {
        variant.routing.upstreamPolicy = UpstreamPolicy::Random;
        variant.routing.spillPolicy = SpillPolicy::Never;
        variant.routing.concurrencyFactor = 1000;
        variant.dispatch.queueOrder = QueueOrder::ArrivalOrder;
    });
    return variants;
}

double quantile(std::vector<double>& values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

/** Answered tokens over entitled ones, by workspace. */
struct Goodput {
    double entitled = 0;
    double answered = 0;
};

boost::json::object measure(const Trace& trace, const FleetModel& model)
{
    std::vector<double> firstTokens;
    std::vector<Goodput> goodput(workspaceParts.size());
    double tokens = 0;
    double started = 0;
    double away = 0;
    double withinRate = 0;
    double wrongful = 0;
    for (std::size_t index = 0; index < trace.calls.size(); ++index) {
        const Call& call = trace.calls[index];
        const CallResult& result = model.results[index];
        const auto size = static_cast<double>(call.answerTokens);
        goodput[call.workspace].entitled += call.isExcess ? 0 : size;
        goodput[call.workspace].answered += result.isDone ? size : 0;
        tokens += result.isDone ? size : 0;
        started += result.isStarted ? 1 : 0;
        away += result.isAway ? 1 : 0;
        withinRate += call.workspace == noisyWorkspace ? 0 : 1;
        wrongful += result.isRefused && call.workspace != noisyWorkspace ? 1 : 0;
        if (result.firstToken > 0 && !call.isPlain && call.workspace != noisyWorkspace)
            firstTokens.push_back(result.firstToken);
    }
    std::size_t worst = 0;
    for (std::size_t workspace = 1; workspace < goodput.size(); ++workspace) {
        const auto part = [&](std::size_t which) { return goodput[which].answered / goodput[which].entitled; };
        worst = part(workspace) < part(worst) ? workspace : worst;
    }
    return { { "upstream_ms_per_token", model.busySeconds() * 1000 / tokens },
        { "first_token_p50_ms", quantile(firstTokens, 0.5) }, { "first_token_p99_ms", quantile(firstTokens, 0.99) },
        { "sent_away", away / started }, { "worst_workspace", worst },
        { "worst_goodput", std::min(1.0, goodput[worst].answered / goodput[worst].entitled) },
        { "wrongful_refusals", wrongful / withinRate }, { "calls", trace.calls.size() } };
}

void play(const Deployment& deployment, const Variant& variant, std::uint64_t seed, double rate, bool hasFaults)
{
    const Trace trace(deployment, seed, rate);
    FleetModel model(deployment, variant, trace, seed, hasFaults);
    model.run();
    boost::json::object line { { "deployment", deployment.name }, { "variant", variant.name }, { "seed", seed },
        { "faults", hasFaults } };
    for (const auto& field : measure(trace, model))
        line[field.key()] = field.value();
    std::cout << boost::json::serialize(line) << std::endl;
}

} // namespace

} // namespace papayashelf::measure

int main(int count, char** arguments)
{
    using namespace papayashelf::measure;
    constexpr double defaultRate = 2.4;
    const int seeds = count > 1 ? std::atoi(arguments[1]) : 3;
    const double rate = count > 2 ? std::atof(arguments[2]) : defaultRate;
    const std::string only = count > 3 ? arguments[3] : "";
    for (const Deployment& deployment : deployments) {
        for (const bool hasFaults : { false, true }) {
            for (const Variant& variant : makeVariants()) {
                for (int seed = 1; seed <= seeds; ++seed) {
                    if (only.empty() || only == variant.name)
                        play(deployment, variant, static_cast<std::uint64_t>(seed), rate, hasFaults);
                }
            }
        }
    }
    return 0;
}
