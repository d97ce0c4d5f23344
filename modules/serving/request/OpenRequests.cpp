#include "serving/request/OpenRequests.h"

namespace papayashelf {

void OpenRequests::noteStopped()
{
    for (ActiveRequest* request : this->requests)
        request->noteStopped();
}

} // namespace papayashelf
