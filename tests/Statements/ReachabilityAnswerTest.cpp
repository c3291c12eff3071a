#include "ServiceFixture.h"

#include <boost/test/unit_test.hpp>

#include <variant>

using namespace Lavendervane;

namespace {

/// A service that has just read from the primary "a".
struct ReachabilityAnswerFixture : ServiceFixture {
    ReachabilityAnswerFixture()
    {
        this->caller->send(StatementKind::Read, "READ x");
        this->settle();
    }

    /// Returns the answer to another VM that knows `primary`.
    ReachabilityReply ask(const EndpointId& primary)
    {
        this->service->onPeerMessage("10.0.0.9:7560", ReachabilityRequest { 5, GroupId("stock"), primary });
        return std::get<ReachabilityReply>(this->transport.sent.back().second);
    }

    std::unique_ptr<FakeCaller> caller = this->open("strong");
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReachabilityAnswerTest, ReachabilityAnswerFixture)

// Guards against a promotion over a primary that the VM which asks has not heard of.
BOOST_AUTO_TEST_CASE(Request_NamesNoOrFormerPrimary_TellsThatThereIsOne)
{
    for (const char* known : { "a", "", "b", "former" }) {
        const ReachabilityReply reply = this->ask(EndpointId(known));
        BOOST_TEST((reply.reachability == Reachability::Reachable), known);
        BOOST_TEST(reply.newestTerm == 1U);
        BOOST_TEST(reply.endpoint == EndpointId(known));
    }
}

// Guards against a group that stays without a primary because VMs report one that they cannot use.
BOOST_AUTO_TEST_CASE(Request_PrimaryIsGone_TellsThatThereIsNone)
{
    this->endpoints.front().role = EndpointRole::Replica;
    this->publish();
    BOOST_TEST((this->ask(EndpointId()).reachability == Reachability::Unreachable));
    BOOST_TEST((this->ask(EndpointId("former")).reachability == Reachability::Unreachable));
    BOOST_TEST(this->ask(EndpointId()).newestTerm == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
