#include "peers/codec/EnvelopeCodec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class EnvelopeCodecTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EnvelopeCodecTest);
    CPPUNIT_TEST(testEveryMessageSurvivesRoundTrip);
    CPPUNIT_TEST(testEnvelopeIdentifiesSender);
    CPPUNIT_TEST(testInvalidValuesAreRejected);
    CPPUNIT_TEST_SUITE_END();

    const EnvelopeSender sender { VmId("vm-a"), 17, 99 };

    static std::vector<PeerMessage> makeEveryMessage()
    {
        const Member member { VmId("vm-b"), 5, 2, MemberState::Leaving, RegionId("verapaz"), FailureDomainId("v-1"),
            Endpoint { "10.0.0.1", 7000 }, Endpoint { "::1", 65535 } };
        const RevisionDelta delta { 3, 4, "digest", { Document { "a", "{}" }, Document { "b", "\xff" } }, { "c" } };
        const ShareEpoch epoch { RegionId("verapaz"), 6, { ShareHolder { VmId("vm-b"), 5 } },
            { ShareHolder { VmId("vm-c"), 4 } } };
        ShareRequest request;
        request.call = 1;
        request.workspace = WorkspaceId("club");
        request.tokens = 70;
        request.waited = Milliseconds(12);
        request.stockTokens = 30;
        request.stockPermille = 400;
        ShareGrant grant;
        grant.call = 1;
        grant.workspace = WorkspaceId("club");
        grant.tokens = 60;
        grant.waitHint = Milliseconds(20);
        grant.grantedAt = Milliseconds(123456);
        grant.epoch = 6;
        grant.left = 4;
        const ShareReturn returned { WorkspaceId("club"), 5, Milliseconds(123456), 6 };
        const ShareReturn debt { WorkspaceId("club"), -9, Milliseconds(123456), 6 };
        return {
            MembershipMessage(Heartbeat {
                VmId("vm-a"), 17, 8, true, 4, 0xFEDCBA9876543210ULL, 7, 6, std::string("\xff\x00\x01", 3) }),
            MembershipMessage(MemberNews { { member }, true }),
            ConfigurationMessage(RevisionAnnouncement { 4, "digest" }),
            ConfigurationMessage(RevisionPull { 3 }),
            ConfigurationMessage(RevisionPart { delta, 1, 2 }),
            ConfigurationMessage(WithdrawalNotice { { Withdrawal { KeyDigest("k"), 4 } }, true }),
            ShareMessage(request),
            ShareMessage(grant),
            ShareMessage(ShareReturns { 17, 3, { returned, debt } }),
            ShareMessage(ShareEpochNews { epoch }),
            ShareMessage(ShareEpochAdopted { RegionId("verapaz"), 6, 17, { ShareHolder { VmId("vm-b"), 5 } } }),
            ShareMessage(ShareEpochDigest { { ShareEpochNumber { RegionId("verapaz"), 6 } }, true }),
            RegionSummaries { { RegionSummary { RegionId("verapaz"), ServiceId("assistant"), 9, 4, 2 } } },
        };
    }

    void testEveryMessageSurvivesRoundTrip()
    {
        for (const PeerMessage& message : makeEveryMessage()) {
            wire::Envelope received;
            CPPUNIT_ASSERT(received.ParseFromString(encodeEnvelope(this->sender, message).SerializeAsString()));
            const Outcome<PeerMessage> decoded = decodeEnvelope(received);
            CPPUNIT_ASSERT(decoded.has_value());
            CPPUNIT_ASSERT(message == decoded.value());
        }
    }

    void testEnvelopeIdentifiesSender()
    {
        const wire::Envelope envelope = encodeEnvelope(this->sender, makeEveryMessage().front());
        CPPUNIT_ASSERT_EQUAL(std::string("vm-a"), envelope.from_vm());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 17 }, std::uint64_t { envelope.incarnation() });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 99 }, std::uint64_t { envelope.logical_time() });
        CPPUNIT_ASSERT_EQUAL(peerProtocolVersion, envelope.protocol_version());
    }

    void testInvalidValuesAreRejected()
    {
        CPPUNIT_ASSERT(!decodeEnvelope(wire::Envelope()));
        wire::Envelope news;
        news.mutable_member_news()->add_members()->set_state(4);
        CPPUNIT_ASSERT(!decodeEnvelope(news));
        news.mutable_member_news()->mutable_members(0)->set_state(0);
        news.mutable_member_news()->mutable_members(0)->mutable_peer_endpoint()->set_port(65536);
        CPPUNIT_ASSERT(!decodeEnvelope(news));
        wire::Envelope request;
        request.mutable_share_request()->set_tokens(-1);
        CPPUNIT_ASSERT(!decodeEnvelope(request));
        wire::Envelope part;
        part.mutable_revision_part()->set_part(2);
        part.mutable_revision_part()->set_parts(2);
        CPPUNIT_ASSERT(!decodeEnvelope(part));
        wire::Envelope epoch;
        epoch.mutable_share_epoch_news()->set_record(R"({"schema_version":99})");
        CPPUNIT_ASSERT(ErrorCode::UnknownSchemaVersion == decodeEnvelope(epoch).error().code);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EnvelopeCodecTest);

} // namespace papayashelf
