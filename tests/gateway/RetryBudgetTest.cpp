#include "gateway/GatewayFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

constexpr std::int64_t stepMilliseconds = 100;
constexpr std::int64_t secondMilliseconds = 1'000;
constexpr std::int64_t windowMilliseconds = 10'000;
constexpr double retryRatio = 0.2;

/**
    VMs with decision cores on virtual time. Every request of the service fails at every VM, so each one is retried if
    the budget allows. Checks the bound of each window over all VMs, whatever each VM knows of the others.
*/
class FailingFleet {
public:
    FailingFleet(std::size_t vmCount, double extraRetries)
        : extraRetries(extraRetries)
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            this->start(vm);
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            this->listAll(vm);
    }

    std::size_t size() const { return this->cores.size(); }

    /** Returns the name of a VM. */
    static std::string nameOf(std::size_t vm) { return "vm-" + std::to_string(vm); }

    /** Starts the process of a VM, anew if it ran before. It knows no VM until listAll(). */
    void start(std::size_t vm)
    {
        GatewaySettings settings = makeSettings(nameOf(vm));
        settings.bounds.retryRatio = retryRatio;
        settings.bounds.extraRetries = this->extraRetries;
        if (vm >= this->cores.size())
            this->cores.resize(vm + 1);
        this->cores[vm] = std::make_unique<GatewayCore>(settings, "key", vm);
        this->cores[vm]->tick(this->now);
    }

    /** Tells a VM about all VMs of the fleet. */
    void listAll(std::size_t vm)
    {
        for (std::size_t other = 0; other < this->cores.size(); ++other)
            this->cores[vm]->putVm(makeVm(nameOf(other), "north"));
    }

    /** Tells a VM that another one's status has disappeared. */
    void unlist(std::size_t vm, std::size_t other) { this->cores[vm]->removeVm(VmId(nameOf(other)), this->now); }

    /** Lets time pass; each VM receives the given requests per second. */
    void advance(std::int64_t milliseconds, double requestsPerSecond)
    {
        for (std::int64_t end = this->now.count() + milliseconds; this->now.count() < end;
             this->now = this->now + Milliseconds(stepMilliseconds)) {
            this->owedRequests += requestsPerSecond * stepMilliseconds / secondMilliseconds;
            Step step { this->now.count(), 0, 0 };
            for (const auto& core : this->cores) {
                core->tick(this->now);
                for (int request = 0; request < static_cast<int>(this->owedRequests); ++request) {
                    core->noteRequest(this->now, ServiceId("engine"));
                    ++step.requests;
                    step.retries += core->tryRetry(this->now, ServiceId("engine")) ? 1 : 0;
                }
            }
            this->owedRequests -= static_cast<int>(this->owedRequests);
            this->noteStep(step);
        }
    }

    /** Returns the most retries of any window beyond what the bound allowed there; 0 if it always held. */
    double getWorstExcess() const { return this->worstExcess; }

    /** Returns the number of retries over all windows. */
    int countRetries() const { return this->retries; }

private:
    struct Step {
        std::int64_t at = 0;
        int requests = 0;
        int retries = 0;
    };

    void noteStep(const Step& step)
    {
        this->retries += step.retries;
        this->window.push_back(step);
        while (this->window.front().at <= step.at - windowMilliseconds)
            this->window.pop_front();
        int windowRequests = 0;
        int windowRetries = 0;
        for (const Step& earlier : this->window) {
            windowRequests += earlier.requests;
            windowRetries += earlier.retries;
        }
        this->worstExcess
            = std::max(this->worstExcess, windowRetries - retryRatio * windowRequests - this->extraRetries);
    }

    double extraRetries;
    Milliseconds now { 100'000 };
    std::vector<std::unique_ptr<GatewayCore>> cores;
    double owedRequests = 0;
    std::deque<Step> window;
    double worstExcess = 0;
    int retries = 0;
};

} // namespace

class RetryBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RetryBudgetTest);
    CPPUNIT_TEST(testRetriesAreUsedWhileVmListIsStable);
    CPPUNIT_TEST(testChangingVmListDoesNotRefillBudgets);
    CPPUNIT_TEST(testRestartedVmsDoNotStartWithFullBudget);
    CPPUNIT_TEST(testStartingVmThatSeesOnlyItselfTakesNoExtraRetries);
    CPPUNIT_TEST(testAddedVmsDoNotAddToBudget);
    CPPUNIT_TEST(testLostRegionDoesNotAddToBudget);
    CPPUNIT_TEST(testLargeFleetDoesNotGrantOneRetryPerVm);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRetriesAreUsedWhileVmListIsStable()
    {
        FailingFleet fleet(8, 52);
        fleet.advance(60 * secondMilliseconds, 2);
        CPPUNIT_ASSERT_EQUAL(0.0, fleet.getWorstExcess());
        // A third of the allowed retries: 60 s x 16 requests/s x 0.2, and 52 for each of six windows.
        CPPUNIT_ASSERT(fleet.countRetries() >= (192 + 6 * 52) / 3);
    }

    // Load pattern: a service fails while VMs leave and return, so that the list changes each second.
    void testChangingVmListDoesNotRefillBudgets()
    {
        FailingFleet fleet(8, 52);
        for (int change = 0; change < 60; ++change) {
            for (std::size_t vm = 1; vm < fleet.size(); ++vm) {
                if (change % 2 == 0)
                    fleet.unlist(vm, 0);
                else
                    fleet.listAll(vm);
            }
            fleet.advance(secondMilliseconds, 2);
        }
        CPPUNIT_ASSERT_EQUAL(0.0, fleet.getWorstExcess());
    }

    // Load pattern: a service fails while VMs are killed and started in turn.
    void testRestartedVmsDoNotStartWithFullBudget()
    {
        FailingFleet fleet(8, 52);
        fleet.advance(20 * secondMilliseconds, 2);
        for (std::size_t restart = 0; restart < 60; ++restart) {
            fleet.start(restart % fleet.size());
            fleet.listAll(restart % fleet.size());
            fleet.advance(secondMilliseconds / 2, 2);
        }
        CPPUNIT_ASSERT_EQUAL(0.0, fleet.getWorstExcess());
    }

    void testStartingVmThatSeesOnlyItselfTakesNoExtraRetries()
    {
        FailingFleet fleet(20, 52);
        fleet.advance(20 * secondMilliseconds, 2);
        for (std::size_t vm = 0; vm < fleet.size(); ++vm)
            fleet.start(vm);
        fleet.advance(5 * secondMilliseconds, 2);
        for (std::size_t vm = 0; vm < fleet.size(); ++vm)
            fleet.listAll(vm);
        fleet.advance(30 * secondMilliseconds, 2);
        CPPUNIT_ASSERT_EQUAL(0.0, fleet.getWorstExcess());
    }

    // Load pattern: a service fails while the fleet grows by three quarters, which the VMs learn one by one.
    void testAddedVmsDoNotAddToBudget()
    {
        FailingFleet fleet(40, 100);
        fleet.advance(20 * secondMilliseconds, 2);
        for (std::size_t vm = 40; vm < 70; ++vm) {
            fleet.start(vm);
            fleet.listAll(vm);
            fleet.advance(secondMilliseconds / 5, 2);
        }
        for (std::size_t vm = 0; vm < 40; ++vm) {
            fleet.listAll(vm);
            fleet.advance(secondMilliseconds / 5, 2);
        }
        CPPUNIT_ASSERT_EQUAL(0.0, fleet.getWorstExcess());
    }

    // Load pattern: a region loses the store and still serves. Its VMs keep their list, the others see it shrink.
    void testLostRegionDoesNotAddToBudget()
    {
        FailingFleet fleet(30, 100);
        fleet.advance(20 * secondMilliseconds, 2);
        for (std::size_t vm = 0; vm < 3; ++vm) {
            for (std::size_t lost = 3; lost < fleet.size(); ++lost)
                fleet.unlist(vm, lost);
        }
        fleet.advance(40 * secondMilliseconds, 2);
        CPPUNIT_ASSERT_EQUAL(0.0, fleet.getWorstExcess());
    }

    // Load pattern: a service fails at every VM of a fleet that has more VMs than extra retries.
    void testLargeFleetDoesNotGrantOneRetryPerVm()
    {
        FailingFleet fleet(320, 60);
        fleet.advance(40 * secondMilliseconds, 0.5);
        CPPUNIT_ASSERT_EQUAL(0.0, fleet.getWorstExcess());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

} // namespace papayashelf
