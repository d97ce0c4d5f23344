#include "settings/reading/Fault.h"

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

} // namespace papayashelf
