#include "ServiceFixture.h"

#include "Statements/AcknowledgedCommits.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

LogPosition at(uint64_t position, uint64_t term = 1) { return { { term, {} }, position }; }

} // namespace

BOOST_AUTO_TEST_SUITE(AcknowledgedCommitsTest)

// Guards against a lower bound that no acknowledged commit reaches: the end of the log in an answer may belong to
// commits of others that are not acknowledged.
BOOST_AUTO_TEST_CASE(Commit_Acknowledged_StandsBehindWhatWasKnownWhenItWasSent)
{
    const Instant start { 100s };
    AcknowledgedCommits commits(start);
    commits.recordCommit(start, at(10));
    BOOST_TEST((commits.evidence({}, start + 1s) == CommitEvidence { {}, at(10), std::nullopt, 1000 }));
    commits.recordAnswer(start + 100ms, at(10));
    commits.recordAnswer(start + 200ms, at(20));
    commits.recordCommit(start + 150ms, at(30));
    BOOST_TEST((commits.evidence({}, start).atLeast == at(11)));
    BOOST_TEST((commits.evidence({}, start).atMost == at(30)));
    commits.recordCommit(start + 200ms, at(30));
    BOOST_TEST((commits.evidence({}, start).atLeast == at(21)));
    commits.recordAnswer(start + 300ms, at(5, 2));
    commits.recordCommit(start + 310ms, at(31)); // of the former term
    BOOST_TEST((commits.evidence({}, start).atLeast == at(21)));
    commits.recordCommit(start + 310ms, at(6, 2));
    BOOST_TEST((commits.evidence({}, start).atLeast == at(6, 2)));
    commits.recordCommit(start, std::nullopt);
    BOOST_TEST(commits.evidence({}, start + 1s).observedMs == 0U);
}

// Guards against VMs whose answers others reject because they have run for long.
BOOST_AUTO_TEST_CASE(Evidence_OfVmThatHasRunForDays_IsUnderstood)
{
    FreshnessLog freshness;
    freshness.record(Instant { 100s }, at(7));
    const RevocationReply reply { 6, 2, AcknowledgedCommits(Instant { 100s }).evidence(freshness, Instant { 100h }) };
    BOOST_TEST((decodePeerMessage(encodePeerMessage(reply)) == PeerMessage { reply }));
}

// Guards against a promotion that discards what a VM that has ended, or an earlier run of one, had acknowledged.
BOOST_AUTO_TEST_CASE(Evidence_OfAllVms_BoundsCommitsOnlyIfItCoversEarlierRuns)
{
    const auto vm = [](uint64_t atMost, std::optional<uint64_t> ageMs, uint64_t observedMs) {
        CommitEvidence made { {}, at(atMost), std::nullopt, observedMs };
        if (ageMs)
            made.coverage = CommitCoverage { at(40), *ageMs };
        return made;
    };
    BOOST_TEST((lastAcknowledgedPosition({ vm(50, 9000, 9000), vm(52, {}, 20'000) }, 1s) == at(52)));
    BOOST_TEST((lastAcknowledgedPosition({ vm(30, 9000, 9000), vm(20, 500, 600) }, 1s) == at(40)));
    BOOST_TEST(!lastAcknowledgedPosition({ vm(50, 9000, 9000), vm(0, {}, 9500) }, 1s));
    BOOST_TEST(!lastAcknowledgedPosition({ vm(50, 9000, 9000), {} }, 1s));
    BOOST_TEST(!lastAcknowledgedPosition({ vm(50, {}, 9000) }, 1s));
    BOOST_TEST(!lastAcknowledgedPosition({ vm(50, 130'000, 900'000) }, 1s));
    BOOST_TEST(!lastAcknowledgedPosition({}, 1s));
}

// Guards against commits that a VM acknowledges and does not tell of when a primary is replaced.
BOOST_FIXTURE_TEST_CASE(Reply_AfterWrite_TellsWhatWasAcknowledged, ServiceFixture)
{
    this->configuration.groups.front().synchronousReplicas = 1;
    this->publish();
    this->service->primaryLease().start({});
    const auto caller = this->open("strong");
    for (const char* text : { "WRITE x 1", "WRITE x 2" }) {
        caller->send(StatementKind::Write, text);
        this->settle();
    }
    this->service->onPeerMessage("vm", ReachabilityRequest { 5, GroupId("stock"), EndpointId("a") });
    const auto polled = std::get<ReachabilityReply>(this->transport.sent.back().second);
    this->service->onPeerMessage("vm", RevocationRequest { 6, { GroupId("stock"), EndpointId("a"), 1 } });
    const auto revoked = std::get<RevocationReply>(this->transport.sent.back().second);
    const LogPosition end = this->connector.database("a").position;
    BOOST_TEST((polled.commits.atLeast == end));
    BOOST_TEST((revoked.commits.atMost == end));
    BOOST_TEST(revoked.commits.coverage.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
