#include "settings/reading/Fault.h"

#include <algorithm>
#include <tuple>

namespace papayashelf {

std::string Fault::string() const
{
    std::string place = this->file;
    if (this->position.line > 0)
        place += ":" + std::to_string(this->position.line) + ":" + std::to_string(this->position.column);
    std::string text = place + ": " + this->found;
    if (!this->allowed.empty())
        text += "; allowed: " + this->allowed;
    return text;
}

void sortByPlace(Faults& faults)
{
    std::stable_sort(faults.begin(), faults.end(), [](const Fault& left, const Fault& right) {
        return std::tie(left.file, left.position.line, left.position.column)
            < std::tie(right.file, right.position.line, right.position.column);
    });
}

} // namespace papayashelf
