#pragma once

/**
    gateway holds the decisions of a VM on a platform whose store keeps everything that lasts: the configuration in
    force and how long keys may be trusted, which upstreams and VMs there are, where a request goes, each VM's part of
    the limits, and how a broken stream is continued.

    No thread, socket, file, wall clock or global: time and seeds are passed in. Depends on foundation, settings (to
    read text with places) and dispatch (the retry budget).
*/

#include "dispatch/retries/RetryBudget.h"
#include "gateway/core/GatewayCore.h"
#include "gateway/digest/LoadExchange.h"
#include "gateway/limits/ColdStartLimit.h"
#include "gateway/limits/ConfigurationFreshness.h"
#include "gateway/limits/SharedAllowance.h"
#include "gateway/model/ServingConfiguration.h"
#include "gateway/placement/Placement.h"
#include "gateway/settings/GatewaySettings.h"
#include "gateway/streams/EventSplitter.h"
#include "gateway/upstreams/UpstreamTable.h"
#include "gateway/vms/VmAnnouncement.h"
#include "gateway/vms/VmRegistry.h"
