#include "Peers/PeerMessages.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(PeerMessagesTest)

BOOST_AUTO_TEST_CASE(Encode_EachKind_DecodesToSame)
{
    const std::vector<PeerMessage> messages { TokenRequest { 7, OrganisationId("desk"), 2500 },
        TokenRequest { 7, OrganisationId("desk"), 2500, true }, TokenReply { 7, OrganisationId("desk"), 1000 },
        TokenReturn { 7, OrganisationId("desk"), 3000 }, ReachabilityRequest { 8, GroupId("stock"), EndpointId("a") },
        ReachabilityReply { 8, EndpointId("a"), Reachability::Unreachable, 41,
            { { { 3, {} }, 9 }, { { 3, {} }, 11 }, CommitCoverage { { { 3, {} }, 7 }, 250 }, 9000 } },
        PromotionNotice { GroupId("stock"), EndpointId("b"), 900 }, LeaseRequest { 9 },
        LeaseReply { 9, true, 250, { { GroupId("stock"), EndpointId("a"), 41 }, { GroupId("club"), {}, 42 } } },
        LeaseReply { 10, false, 0, {} }, ConfirmationRequest { 11 },
        ConfirmationReply { 11, 12, { { GroupId("stock"), EndpointId("a"), 41 } } },
        RevocationRequest { 12, { GroupId("stock"), EndpointId("a"), 41, "10.0.0.11:1" } },
        RevocationReply { 12, 12, { {}, { { 3, {} }, 11 }, std::nullopt, 9000 } },
        MemberAnnouncement { { VmId("vm-1"), DataCentre("dc"), "10.0.0.1:7560", 170 } },
        TablesConfirmed { 3, { { "configuration", 41, 7'000'000'000 }, { "registry", 44, 7'000'000'200 } } } };
    for (const PeerMessage& message : messages) {
        const auto decoded = decodePeerMessage(encodePeerMessage(message));
        BOOST_REQUIRE(decoded);
        BOOST_TEST((*decoded == message));
    }
}

// Guards against a revocation that VMs of an earlier version send and later ones do not understand.
BOOST_AUTO_TEST_CASE(Decode_RevocationWithoutAddress_HasNone)
{
    const std::string bytes = "\x83\x0a\x0c\x83\x65stock\x61"
                              "a\x18\x29";
    const auto decoded = decodePeerMessage(bytes);
    BOOST_REQUIRE(decoded);
    BOOST_TEST((*decoded == PeerMessage { RevocationRequest { 12, { GroupId("stock"), EndpointId("a"), 41 } } }));
}

// Guards against an answer that is too large for a datagram and is lost each time.
BOOST_AUTO_TEST_CASE(Encode_ManyRevocations_FitsIntoDatagram)
{
    LeaseReply reply { 1, true, 30, {} };
    for (uint64_t number = 0; number < 24; ++number)
        reply.revocations.push_back({ GroupId("gr" + std::to_string(10'000 + number)), EndpointId("i-0123456789"),
            (1ULL << 33) + number, "10.128.100.100:65535" });
    BOOST_TEST(encodePeerMessage(reply).size() < 1400U);
}

// Datagrams can come from any sender and be truncated at any length. They must neither crash the process nor be decoded
// as another message.
BOOST_AUTO_TEST_CASE(Decode_CutOrGarbage_ReturnsNothing)
{
    const std::string whole = encodePeerMessage(TokenRequest { 7, OrganisationId("desk"), 2500 });
    for (size_t length = 0; length < whole.size(); ++length)
        BOOST_TEST(!decodePeerMessage(whole.substr(0, length)));
    for (const char* text : { "garbage", "\x80", "\x81\x18\x63", "\x84\x01\x01\x01\x01" })
        BOOST_TEST(!decodePeerMessage(text));
}

BOOST_AUTO_TEST_SUITE_END()
