#include "application/commands/ExplainCommand.h"

#include "diagnosis/diagnosis.h"
#include <fstream>
#include <ostream>

namespace papayashelf {

namespace {

void printLines(std::ostream& output, std::string_view title, const std::vector<LoggedDecision>& decisions)
{
    if (decisions.empty())
        return;
    output << title << "\n";
    for (const LoggedDecision& decision : decisions)
        output << "  " << decision.line << "\n";
}

} // namespace

ExitCode explainRequest(const ExplainOptions& options, std::ostream& output, std::ostream& errors)
{
    if (options.request.empty() || options.logs.empty()) {
        errors << "explain needs --request=ID and --logs=FILE,...\n";
        return ExitCode::Usage;
    }
    RequestTrace story(options.request);
    for (const std::string& name : options.logs) {
        std::ifstream file(name);
        if (!file) {
            errors << name << ": cannot be read\n";
            return ExitCode::Unavailable;
        }
        for (std::string line; std::getline(file, line);)
            story.add(line);
    }
    const std::optional<LoggedDecision> decisive = story.findDecisiveStep();
    if (!decisive) {
        errors << "no log tells how request " << options.request << " ended; routine lines are thinned under load\n";
        return ExitCode::FaultsFound;
    }
    printLines(output, "steps:", story.getSteps());
    printLines(output, "decisive:", { *decisive });
    printLines(output, "what " + decisive->vm + " believed:", story.findRelatedChanges());
    return ExitCode::Success;
}

} // namespace papayashelf
