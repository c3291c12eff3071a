#include "ServiceFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

/// The service holds a lease on primaries. It expires when other VMs have joined the fleet and do not answer.
struct LeasedServiceFixture : ServiceFixture {
    LeasedServiceFixture()
        : ServiceFixture(1500ms)
    {
    }

    /// Opens a session whose connection to the primary answers after 250 ms.
    std::unique_ptr<FakeCaller> openSlow()
    {
        for (SessionRoute& route : this->configuration.routes)
            route.statementTimeout = 3s;
        this->publish();
        this->connector.delay = 250ms;
        auto caller = this->open("strong");
        caller->send(StatementKind::Write, "WRITE first 1");
        this->timers.advance(2s);
        BOOST_TEST((caller->last().code == AnswerCode::Done));
        return caller;
    }

    /// Makes two more VMs join the fleet that do not confirm any lease.
    void stopRenewals()
    {
        this->service->setPeers({ { VmId("vm-1"), DataCentre("dc-1"), "10.0.0.1:7560" },
            { VmId("vm-2"), DataCentre("dc-1"), "10.0.0.2:7560" },
            { VmId("vm-3"), DataCentre("dc-1"), "10.0.0.3:7560" } });
    }

    void letLeaseExpire()
    {
        this->stopRenewals();
        this->timers.advance(1500ms);
    }

    /// Opens a session as `openSlow` does. Its open transaction has written, and then set a value.
    std::unique_ptr<FakeCaller> openTransaction()
    {
        auto caller = this->openSlow();
        caller->send(StatementKind::Begin);
        caller->send(StatementKind::Write, "WRITE x 1");
        this->timers.advance(2s);
        BOOST_TEST((caller->last().code == AnswerCode::Done));
        caller->send(StatementKind::SetValue, "1", "zone");
        return caller;
    }

    /// Time from `stopRenewals` after `open` until the lease expires.
    static Duration timeToExpiry(
        std::unique_ptr<FakeCaller> (LeasedServiceFixture::*open)() = &LeasedServiceFixture::openSlow)
    {
        LeasedServiceFixture probe;
        const auto caller = (probe.*open)();
        probe.stopRenewals();
        Duration time {};
        for (; probe.service->primaryLease().mayUse(probe.endpoints.front()); time += 1ms)
            probe.timers.advance(1ms);
        return time;
    }

    void revokePrimary()
    {
        this->service->onPeerMessage(
            "10.0.0.2:7560", RevocationRequest { 1, { GroupId("stock"), EndpointId("a"), 41 } });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PrimaryLeaseSessionTest, LeasedServiceFixture)

BOOST_AUTO_TEST_CASE(Write_LeaseHeld_IsDone)
{
    auto caller = this->open("strong");
    caller->send(StatementKind::Write, "WRITE x 1");
    this->settle();
    BOOST_TEST((caller->last().code == AnswerCode::Done));
}

// Without a lease another endpoint may have been promoted, so neither a write nor a read may go to the primary.
BOOST_AUTO_TEST_CASE(Statement_LeaseExpired_IsRefusedAsNotRun)
{
    auto caller = this->open("strong");
    this->letLeaseExpire();
    this->connector.database("a").receivedStatements.clear();
    for (const StatementKind kind : { StatementKind::Write, StatementKind::Read }) {
        caller->send(kind, kind == StatementKind::Write ? "WRITE x 1" : "READ x");
        this->timers.advance(200ms);
        BOOST_TEST((caller->last().code == AnswerCode::Busy));
    }
    BOOST_TEST(this->connector.database("a").receivedStatements.empty());
}

// A read that may be stale needs no primary while a young position is known.
BOOST_AUTO_TEST_CASE(Read_BoundedWithLeaseExpired_IsServedByReplica)
{
    auto caller = this->open("own");
    caller->send(StatementKind::Read, "READ x");
    this->settle();
    this->letLeaseExpire();
    caller->send(StatementKind::Read, "READ y");
    this->settle();
    BOOST_TEST((caller->last().code == AnswerCode::Done));
}

// A commit whose answer arrives after the lease has expired may have taken place after the promotion of another
// endpoint, and would be lost although it was acknowledged.
BOOST_AUTO_TEST_CASE(Write_LeaseExpiresBeforeAnswer_IsInDoubt)
{
    auto caller = this->openSlow();
    this->stopRenewals();
    this->timers.advance(timeToExpiry() - 100ms);
    caller->send(StatementKind::Write, "WRITE x 1");
    this->timers.advance(1s);
    BOOST_TEST((caller->last().code == AnswerCode::InDoubt));
}

// Guards against an answer of an endpoint that is no longer the primary. Its begin and the statement after it run
// without a check of the lease between them.
BOOST_AUTO_TEST_CASE(GuardedBatch_LeaseExpiresBeforeAnswer_IsNotUsed)
{
    for (const bool inTransaction : { false, true }) {
        LeasedServiceFixture fixture;
        auto caller = fixture.openSlow();
        fixture.stopRenewals();
        fixture.timers.advance(timeToExpiry() - 300ms);
        if (inTransaction)
            caller->send(StatementKind::Begin);
        caller->send(
            inTransaction ? StatementKind::Write : StatementKind::Read, inTransaction ? "WRITE x 1" : "READ x");
        fixture.timers.advance(400ms);
        BOOST_TEST(fixture.connector.database("a").receivedStatements.back() != "begin"); // the begin has succeeded
        fixture.timers.advance(2s);
        BOOST_TEST((caller->last().code == (inTransaction ? AnswerCode::Aborted : AnswerCode::Busy)));
        if (inTransaction) {
            BOOST_TEST((caller->last().state == TransactionState::Failed));
            caller->send(StatementKind::Commit);
            BOOST_TEST((caller->last().code == AnswerCode::Aborted));
        }
        const auto& seen = fixture.connector.database("a").receivedStatements;
        BOOST_TEST((std::find(seen.begin(), seen.end(), "commit") == seen.end()));
    }
}

// The same holds for the commit of a transaction that has written.
BOOST_AUTO_TEST_CASE(Commit_LeaseExpired_AbortsTransaction)
{
    auto caller = this->open("strong");
    caller->send(StatementKind::Begin);
    caller->send(StatementKind::Write, "WRITE x 1");
    this->settle();
    this->letLeaseExpire();
    this->connector.database("a").receivedStatements.clear();
    caller->send(StatementKind::Commit);
    this->settle();
    BOOST_TEST((caller->last().code == AnswerCode::Aborted));
    const auto& seen = this->connector.database("a").receivedStatements;
    BOOST_TEST((std::find(seen.begin(), seen.end(), "commit") == seen.end()));
}

// Guards against a commit that is sent after the lease has expired, while the endpoint set a value for it.
BOOST_AUTO_TEST_CASE(Commit_LeaseExpiresWhileValueIsSet_IsNotSent)
{
    auto caller = this->openTransaction();
    this->stopRenewals();
    this->timers.advance(timeToExpiry(&LeasedServiceFixture::openTransaction) - 100ms);
    caller->send(StatementKind::Commit);
    this->timers.advance(1s);
    BOOST_TEST((caller->last().code == AnswerCode::Aborted));
    BOOST_TEST(this->connector.database("a").receivedStatements.back() == "set zone=1");
    BOOST_TEST(this->connector.database("a").connections == 0U);
}

// A VM that confirms a revocation must not pass on answers of the revoked endpoint afterwards.
BOOST_AUTO_TEST_CASE(Write_PrimaryRevokedWhilePending_IsInDoubt)
{
    auto caller = this->openSlow();
    caller->send(StatementKind::Write, "WRITE x 1");
    this->timers.advance(10ms);
    this->revokePrimary();
    BOOST_TEST((caller->last().code == AnswerCode::InDoubt));
    BOOST_TEST(this->connector.database("a").connections == 0U);
    BOOST_TEST(this->trafficListener.revocations.size() == 1U);
    this->timers.advance(1s);
    BOOST_TEST(caller->answers.size() == 2U);
}

// Callers must reach the new primary as soon as it is registered.
BOOST_AUTO_TEST_CASE(Write_NewPrimaryAfterRevocation_IsDone)
{
    auto caller = this->open("strong");
    this->revokePrimary();
    this->endpoints[0].role = EndpointRole::Replica;
    this->endpoints[1].role = EndpointRole::Primary;
    this->connector.database("b").role = EndpointRole::Primary;
    this->publish();
    caller->send(StatementKind::Write, "WRITE x 1");
    this->settle();
    BOOST_TEST((caller->last().code == AnswerCode::Done));
}

BOOST_AUTO_TEST_SUITE_END()
