#include "Peers/PeerMessages.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(PeerMessagesTest)

BOOST_AUTO_TEST_CASE(Encode_EachKind_DecodesToSame)
{
    const std::vector<PeerMessage> messages { TokenRequest { 7, OrganisationId("desk"), 2500 },
        TokenRequest { 7, OrganisationId("desk"), 2500, true }, TokenReply { 7, OrganisationId("desk"), 1000 },
        ReachabilityRequest { 8, GroupId("stock"), EndpointId("a") },
        ReachabilityReply { 8, EndpointId("a"), Reachability::Unreachable },
        PromotionNotice { GroupId("stock"), EndpointId("b"), 900 }, LeaseRequest { 9 },
        LeaseReply { 9, true, 250, { { GroupId("stock"), EndpointId("a"), 41 }, { GroupId("club"), {}, 42 } } },
        LeaseReply { 10, false, 0, {} }, ConfirmationRequest { 11 },
        ConfirmationReply { 11, 12, { { GroupId("stock"), EndpointId("a"), 41 } } },
        RevocationRequest { 12, { GroupId("stock"), EndpointId("a"), 41 } }, RevocationReply { 12, 12 },
        MemberAnnouncement { { VmId("vm-1"), DataCentre("dc"), "10.0.0.1:7560", 170 } } };
    for (const PeerMessage& message : messages) {
        const auto decoded = decodePeerMessage(encodePeerMessage(message));
        BOOST_REQUIRE(decoded);
        BOOST_TEST((*decoded == message));
    }
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
