#include "shares/bucket/TokenBucket.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class TokenBucketTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TokenBucketTest);
    CPPUNIT_TEST(testStartsEmptyAndFillsToBurst);
    CPPUNIT_TEST(testUnexpiredLoanPreventsRefill);
    CPPUNIT_TEST(testRefundIsLimitedByHeadroomSinceTheCharge);
    CPPUNIT_TEST(testDrainedBucketAcceptsWholeRefund);
    CPPUNIT_TEST(testUnexpiredLoanIsReturnedInFull);
    CPPUNIT_TEST(testRaisedBurstDoesNotEnlargeEarlierRefunds);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Milliseconds loanLifetime { 350 };

    static TokenBucket makeFull(std::int64_t rate, std::int64_t burst)
    {
        TokenBucket bucket(Milliseconds(0), loanLifetime);
        bucket.setLimit(Milliseconds(0), { rate, burst });
        bucket.getTokens(Milliseconds::fromSeconds(1000));
        return bucket;
    }

    static Milliseconds at(std::int64_t milliseconds) { return Milliseconds(1'000'000 + milliseconds); }

    void testStartsEmptyAndFillsToBurst()
    {
        TokenBucket bucket(Milliseconds(0), loanLifetime);
        bucket.setLimit(Milliseconds(0), { 100, 50 });
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, bucket.getTokens(Milliseconds(0)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 10 }, bucket.getTokens(Milliseconds(100)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 50 }, bucket.getTokens(Milliseconds(100'000)));
    }

    void testUnexpiredLoanPreventsRefill()
    {
        TokenBucket bucket = makeFull(1000, 100);
        bucket.lend(at(0), 100);
        // The borrower may spend the 100 tokens until the loan expires, so the bucket must not refill before.
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, bucket.getTokens(at(350)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 49 }, bucket.getTokens(at(400)));
    }

    // Guards against a refund for a charge whose tokens the bucket has already refilled.
    void testRefundIsLimitedByHeadroomSinceTheCharge()
    {
        TokenBucket bucket = makeFull(100, 100);
        bucket.charge(at(0), 50);
        bucket.getTokens(at(500)); // The bucket is full again, so a smaller charge would make no difference.
        bucket.charge(at(501), 80);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, bucket.refund(at(600), at(0), 50));
        CPPUNIT_ASSERT(bucket.refund(at(600), at(501), 80) > 60);
    }

    void testDrainedBucketAcceptsWholeRefund()
    {
        TokenBucket bucket = makeFull(10, 100);
        bucket.charge(at(0), 60);
        bucket.charge(at(10), 40);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 40 }, bucket.refund(at(1000), at(0), 40));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 30 }, bucket.refund(at(1000), at(10), 30));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 80 }, bucket.getTokens(at(1000)));
    }

    void testUnexpiredLoanIsReturnedInFull()
    {
        TokenBucket bucket = makeFull(10, 100);
        bucket.lend(at(0), 60);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 60 }, bucket.takeBack(at(100), at(0), 60));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 100 }, bucket.getTokens(at(100)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, bucket.takeBack(at(110), at(0), 60));
    }

    // Guards against a refund that uses headroom which did not exist since the charge.
    void testRaisedBurstDoesNotEnlargeEarlierRefunds()
    {
        TokenBucket bucket = makeFull(100, 100);
        bucket.charge(at(0), 20);
        bucket.getTokens(at(1000));
        bucket.setLimit(at(1000), { 100, 1000 });
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, bucket.refund(at(1001), at(0), 20));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenBucketTest);

} // namespace papayashelf
