/**
    Plays scenario files on virtual time: scenario_runner [--break=NAME|--must-fail] [--seed=N] [--timeline] FILE...

    Prints each expectation with its figure, and PASS or FAIL with the scenario's name on the last line. Exit code 0 if
    every scenario passed; with --must-fail, if every one failed under the sabotage that it names; 2 for bad usage.
*/
#include "publication/publication.h"
#include "scenario/checks/Expectations.h"
#include "scenario/plan/PlanReader.h"
#include "scenario/world/World.h"
#include <cstdlib>
#include <iostream>

namespace papayashelf {

namespace {

struct Options {
    Sabotage sabotage = Sabotage::None;
    bool mustFail = false;
    bool showsTimeline = false;
    bool hasSeed = false;
    std::uint64_t seed = 0;
    std::vector<std::string> files;
};

Options readOptions(int argumentCount, char** arguments)
{
    Options options;
    for (int index = 1; index < argumentCount; ++index) {
        const std::string argument = arguments[index];
        if (argument.rfind("--break=", 0) == 0)
            options.sabotage = parseSabotage(argument.substr(8));
        else if (argument == "--must-fail")
            options.mustFail = true;
        else if (argument == "--timeline")
            options.showsTimeline = true;
        else if (argument.rfind("--seed=", 0) == 0) {
            options.hasSeed = true;
            options.seed = std::strtoull(argument.c_str() + 7, nullptr, 10);
        } else
            options.files.push_back(argument);
    }
    return options;
}

void printTimeline(const std::vector<TimelineEvent>& events)
{
    for (const TimelineEvent& event : events) {
        std::cout << event.logicalTime << " " << event.vm.string() << " " << event.kind;
        for (const auto& [name, value] : event.details)
            std::cout << " " << name << "=" << value;
        std::cout << "\n";
    }
}

/** Plays one scenario and prints what came of it; true if every promise and expectation held. */
bool play(const ScenarioPlan& plan, Sabotage sabotage, bool showsTimeline)
{
    const auto collected = collectTree(plan.deployment);
    if (!collected) {
        for (const Fault& fault : collected.error())
            std::cout << fault.string() << "\n";
        return false;
    }
    World world(plan, sabotage, collected.value().documents);
    world.run();
    if (showsTimeline)
        printTimeline(world.getTimeline());
    bool isPassed = true;
    constexpr std::size_t shownBreaches = 10;
    const std::vector<std::string>& breaches = world.getBook().getBreaches();
    for (std::size_t index = 0; index < std::min(shownBreaches, breaches.size()); ++index)
        std::cout << "  broken promise: " << breaches[index] << "\n";
    if (breaches.size() > shownBreaches)
        std::cout << "  and " << breaches.size() - shownBreaches << " more\n";
    isPassed = breaches.empty();
    for (const ExpectationPlan& expectation : plan.expectations) {
        const ExpectationResult result = checkExpectation(expectation, world);
        std::cout << "  " << (result.isMet ? "met    " : "not met") << " " << result.name << " = " << result.measured;
        if (expectation.hasAtLeast)
            std::cout << ", at least " << expectation.atLeast;
        if (expectation.hasAtMost)
            std::cout << ", at most " << expectation.atMost;
        std::cout << "\n";
        isPassed = isPassed && result.isMet;
    }
    std::cout << "  requests " << world.getBook().getRecords().size() << ", seed " << plan.seed << "\n";
    return isPassed;
}

/** True if the scenario came out as it should. */
bool runFile(const std::string& file, const Options& options)
{
    Checked<ScenarioPlan> read = readScenario(file);
    if (!read) {
        for (const Fault& fault : read.error())
            std::cout << fault.string() << "\n";
        return false;
    }
    ScenarioPlan plan = std::move(read).value();
    if (options.hasSeed)
        plan.seed = options.seed;
    const Sabotage sabotage = options.mustFail ? plan.failsWith : options.sabotage;
    if (options.mustFail && sabotage == Sabotage::None)
        return true;
    std::cout << plan.name << ": " << plan.what << (sabotage == Sabotage::None ? "" : " [" + toString(sabotage) + "]")
              << "\n";
    const bool isPassed = play(plan, sabotage, options.showsTimeline);
    std::cout << (isPassed ? "PASS " : "FAIL ") << plan.name << std::endl;
    return isPassed != options.mustFail;
}

} // namespace

} // namespace papayashelf

int main(int argumentCount, char** arguments)
{
    const papayashelf::Options options = papayashelf::readOptions(argumentCount, arguments);
    if (options.files.empty()) {
        std::cerr << "usage: scenario_runner [--break=NAME|--must-fail] [--seed=N] [--timeline] FILE...\n";
        return 2;
    }
    int failures = 0;
    for (const std::string& file : options.files)
        failures += papayashelf::runFile(file, options) ? 0 : 1;
    return failures == 0 ? 0 : 1;
}
