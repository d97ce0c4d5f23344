#include "gateway/upstreams/EvacuationList.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class EvacuationListTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EvacuationListTest);
    CPPUNIT_TEST(testEvacuationLostWithTheCopyHoldsUntilItIsWrittenAgain);
    CPPUNIT_TEST(testLostEvacuationThatIsNotWrittenAgainEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEvacuationLostWithTheCopyHoldsUntilItIsWrittenAgain()
    {
        EvacuationList evacuations;
        evacuations.begin(domain);
        evacuations.endLater(domain, Milliseconds(2'000));
        CPPUNIT_ASSERT(evacuations.expire(Milliseconds(1'999)).empty());
        CPPUNIT_ASSERT(evacuations.getAll().contains(domain));
        evacuations.begin(domain);
        CPPUNIT_ASSERT(evacuations.expire(Milliseconds(9'000)).empty());
        CPPUNIT_ASSERT(evacuations.getAll().contains(domain));
    }

    void testLostEvacuationThatIsNotWrittenAgainEnds()
    {
        EvacuationList evacuations;
        evacuations.begin(domain);
        evacuations.endLater(domain, Milliseconds(2'000));
        CPPUNIT_ASSERT(evacuations.expire(Milliseconds(2'000)) == std::vector<FailureDomainId> { domain });
        CPPUNIT_ASSERT(evacuations.getAll().empty());
    }

private:
    const FailureDomainId domain { "north-a" };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationListTest);

} // namespace papayashelf
