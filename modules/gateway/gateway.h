#pragma once

/**
    The gateway module makes the decisions of one VM on a platform whose store keeps all persistent state. It covers the
    configuration in force, how long API keys may be trusted, the known upstreams and VMs, the placement of requests,
    this VM's share of the limits, the quarantine of prompts that crash upstreams, and the continuation of interrupted
   streams.

    The module uses no threads, sockets, files, wall clock or global state: callers pass in times and seeds. It depends
    on foundation and on settings (to parse text and report errors with their location).
*/

#include "gateway/core/GatewayCore.h"
#include "gateway/digest/LoadExchange.h"
#include "gateway/limits/ColdStartLimit.h"
#include "gateway/limits/ConfigurationFreshness.h"
#include "gateway/limits/PromptSizeFairness.h"
#include "gateway/limits/RecentMaximum.h"
#include "gateway/limits/ReturnSchedule.h"
#include "gateway/limits/SharedAllowance.h"
#include "gateway/limits/SharedRetryBudget.h"
#include "gateway/limits/SlotShare.h"
#include "gateway/limits/StatedRateLimit.h"
#include "gateway/limits/StoredConfiguration.h"
#include "gateway/limits/VmSelection.h"
#include "gateway/limits/WindowCounter.h"
#include "gateway/model/ServingConfiguration.h"
#include "gateway/model/StorePosition.h"
#include "gateway/placement/Placement.h"
#include "gateway/quarantine/PromptQuarantine.h"
#include "gateway/settings/GatewaySettings.h"
#include "gateway/stop/StopSchedule.h"
#include "gateway/streams/EventSplitter.h"
#include "gateway/streams/StreamOriginExchange.h"
#include "gateway/upstreams/EvacuationList.h"
#include "gateway/upstreams/UpstreamTable.h"
#include "gateway/vms/VmAnnouncement.h"
#include "gateway/vms/VmRegistry.h"
