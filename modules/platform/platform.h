#pragma once

/**
    platform holds what the system asks of the platform's services: the key-value service, the list of VMs, the
    client directory and the weight store, as typed requests and answers and as clients of their protocols.
*/

#include "platform/store/StoreCall.h"
#include "platform/vms/VmRecord.h"
