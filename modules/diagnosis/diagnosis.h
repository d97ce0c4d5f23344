#pragma once

/**
    diagnosis explains a request from the decision logs of the processes that touched it.

    It depends on foundation only, and reads logs of processes of any version.
*/

#include "diagnosis/story/RequestTrace.h"
