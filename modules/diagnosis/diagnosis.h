#pragma once

/**
    diagnosis reconstructs what happened to a request from the decision logs of the processes that handled it.

    It depends on foundation only and reads the logs of processes of any version.
*/

#include "diagnosis/trace/RequestTrace.h"
