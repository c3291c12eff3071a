#include "RelayFleet.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

using Seen = std::vector<std::string>;

static Statement statement(StatementKind kind, const std::string& text = "", const std::string& name = "")
{
    Statement made = makeProxyStatement(kind);
    made.text = text;
    made.name = name;
    return made;
}

BOOST_FIXTURE_TEST_SUITE(RelayTest, RelayFleet)

BOOST_AUTO_TEST_CASE(Link_OverOwner_CarriesStatementsAndAnswers)
{
    Listener listener;
    const auto link = this->open(this->nonOwner("a"), "a", listener);
    this->settle();
    BOOST_TEST(listener.opened);
    this->send(*link, { statement(StatementKind::Read, "READ x") });
    this->settle();
    BOOST_REQUIRE(listener.answers.size() == 1U);
    BOOST_TEST(listener.answers.front().front().result == "row READ x");
    BOOST_TEST(
        (this->connector.database("a").openedOrganisations == std::vector<OrganisationId> { OrganisationId("desk") }));
}

// Without relaying, every VM opens its own connections, and an endpoint that accepts fewer connections than there are
// VMs resets most of them.
BOOST_AUTO_TEST_CASE(Links_OfAllVms_ShareTheOwnersConnections)
{
    std::vector<std::unique_ptr<Listener>> listeners;
    std::vector<std::shared_ptr<EndpointLink>> links;
    for (const auto& [name, vm] : this->vms) {
        listeners.push_back(std::make_unique<Listener>());
        links.push_back(this->open(*vm, "a", *listeners.back()));
    }
    this->settle();
    for (const auto& link : links)
        this->send(*link, { statement(StatementKind::Read, "READ x") });
    this->timers.advance(200ms);
    for (const auto& listener : listeners)
        BOOST_TEST(listener->answers.size() == 1U);
    BOOST_TEST(this->connector.database("a").connections <= 6U);
}

// Statements of another link must not run in an open transaction: its connection must serve no other link.
BOOST_AUTO_TEST_CASE(Link_TransactionOpen_KeepsItsConnection)
{
    Listener first;
    Listener second;
    Vm& vm = this->nonOwner("a");
    const auto inTransaction = this->open(vm, "a", first);
    const auto outside = this->open(vm, "a", second);
    this->settle();
    this->send(*inTransaction, { statement(StatementKind::Begin) });
    this->settle();
    this->send(*outside, { statement(StatementKind::Write, "WRITE y 1") });
    this->settle();
    BOOST_REQUIRE(second.answers.size() == 1U);
    BOOST_TEST((second.answers.front().front().state == TransactionState::Idle));
    this->send(*inTransaction, { statement(StatementKind::Commit) });
    this->settle();
    BOOST_TEST((first.answers.back().front().state == TransactionState::Idle));
    BOOST_TEST(this->connector.database("a").connections == 2U);
}

// Session values and prepared statements of a link must apply on every connection that executes its statements.
BOOST_AUTO_TEST_CASE(Link_ValuesAndPreparedStatements_AreAppliedToTheConnection)
{
    Listener first;
    Listener second;
    Vm& vm = this->nonOwner("a");
    const auto one = this->open(vm, "a", first);
    const auto other = this->open(vm, "a", second);
    this->settle();
    this->send(*one,
        { statement(StatementKind::SetValue, "1", "mode"), statement(StatementKind::Prepare, "q1", "p7"),
            statement(StatementKind::Execute, "x", "p7") });
    this->settle();
    this->send(*other, { statement(StatementKind::Read, "READ y") });
    this->settle();
    this->send(*one, { statement(StatementKind::Execute, "z", "p7") });
    this->settle();
    BOOST_REQUIRE(first.answers.size() == 2U);
    BOOST_TEST(first.answers.front().size() == 3U);
    BOOST_TEST(first.answers.back().size() == 1U);
    BOOST_TEST(this->connector.database("a").receivedStatements
            == (Seen { "set mode=1", "prepare p1 q1", "execute p1 x", "reset", "READ y", "set mode=1", "prepare p1 q1",
                "execute p1 z" }),
        boost::test_tools::per_element());
}

// If a caller disconnects during a transaction, the transaction must not stay open for the next user of the connection.
BOOST_AUTO_TEST_CASE(Link_ClosedInTransaction_RollsBack)
{
    Listener listener;
    const auto link = this->open(this->nonOwner("a"), "a", listener);
    this->settle();
    this->send(*link, { statement(StatementKind::Begin), statement(StatementKind::Write, "WRITE x 1") });
    this->settle();
    link->close();
    this->settle();
    BOOST_TEST(this->connector.database("a").receivedStatements.back() == "rollback");
}

// Guards against an owner that relays new work to an endpoint that has left, for a VM that does not know of it.
BOOST_AUTO_TEST_CASE(Batch_EndpointGetsNoNewWork_IsAnsweredNotRunByOwner)
{
    Listener listener;
    Vm& vm = this->nonOwner("a");
    const auto link = this->open(vm, "a", listener);
    this->settle();
    this->drain("a", this->timers.now() + 1s, vm);
    this->send(*link, { statement(StatementKind::Read, "READ x") });
    this->settle();
    BOOST_TEST((listener.answers.back().front().code == AnswerCode::Done));
    this->timers.advance(1s);
    const size_t received = this->connector.database("a").receivedStatements.size();
    this->send(*link, { statement(StatementKind::Read, "READ y") });
    this->settle();
    BOOST_TEST((listener.answers.back().front().code == AnswerCode::Busy));
    BOOST_TEST(this->connector.database("a").receivedStatements.size() == received);
}

// Guards against a leaving primary that cannot be told to step down, because its owner refuses to relay the order.
BOOST_AUTO_TEST_CASE(Batch_InspectionOfLeavingEndpoint_IsRelayed)
{
    Listener listener;
    Vm& vm = this->nonOwner("a");
    const auto link = this->open(vm, "a", listener);
    this->settle();
    this->drain("a", this->timers.now(), vm);
    for (const StatementKind kind : { StatementKind::Status, StatementKind::StepDown, StatementKind::Pause }) {
        this->send(*link, { statement(kind) });
        this->settle();
        BOOST_TEST((listener.answers.back().front().code == AnswerCode::Done));
    }
}

// Guards against a transaction that is cut off in the middle because its endpoint is leaving.
BOOST_AUTO_TEST_CASE(Transaction_OpenWhenEndpointGetsNoNewWork_GoesOn)
{
    Listener listener;
    Vm& vm = this->nonOwner("a");
    const auto link = this->open(vm, "a", listener);
    this->settle();
    this->send(*link, { statement(StatementKind::Begin) });
    this->settle();
    this->drain("a", this->timers.now(), vm);
    for (const StatementKind kind : { StatementKind::Write, StatementKind::Commit }) {
        this->send(*link, { statement(kind, "WRITE x 1") });
        this->settle();
        BOOST_TEST((listener.answers.back().front().code == AnswerCode::Done));
    }
}

// If an owner VM is down, the endpoint must not be considered unreachable.
BOOST_AUTO_TEST_CASE(Open_OwnerIsGone_UsesNextOwner)
{
    Vm& vm = this->nonOwner("a");
    this->stop(this->ownersOf("a").front());
    Listener listener;
    const auto link = this->open(vm, "a", listener);
    this->settle();
    BOOST_TEST(listener.opened);
    BOOST_TEST(!listener.failure);
}

// A dead connection between VMs without a TCP reset can be detected only by a missing answer.
BOOST_AUTO_TEST_CASE(Open_OwnerIsSilent_UsesNextOwnerAfterTimeout)
{
    Vm& vm = this->nonOwner("a");
    this->network.silentAddress = this->ownersOf("a").front();
    Listener first;
    const auto link = this->open(vm, "a", first);
    this->timers.advance(300ms);
    BOOST_TEST(first.opened);
    // The next link must not wait for the silent owner again.
    Listener second;
    const auto next = this->open(vm, "a", second);
    this->settle();
    BOOST_TEST(second.opened);
}

// The owner may have executed the batch before it died, so the session must not treat the batch as not run.
BOOST_AUTO_TEST_CASE(Batch_OwnerDiesBeforeAnswer_FailsTheLink)
{
    Vm& vm = this->nonOwner("a");
    Listener listener;
    const auto link = this->open(vm, "a", listener);
    this->settle();
    this->send(*link, { statement(StatementKind::Write, "WRITE x 1") });
    this->timers.advance(2ms);
    this->stop(this->ownersOf("a").front());
    this->settle();
    BOOST_TEST(listener.answers.empty());
    BOOST_TEST((listener.failure == LinkFailure::Broken));
}

// On-call engineers trace a request by its identifier from the VM that served the caller to the owner VM. Only the
// owner knows why the endpoint did not answer.
BOOST_AUTO_TEST_CASE(Batch_EndpointBreaksOff_IsLoggedByOwnerUnderTheCallersId)
{
    Listener listener;
    const auto link = this->open(this->nonOwner("a"), "a", listener);
    this->settle();
    this->connector.database("a").breakAt = StatementKind::Write;
    Statement write = statement(StatementKind::Write, "WRITE x 1");
    write.id = "5c0e7a21d94b36f8";
    this->send(*link, { write });
    this->settle();
    BOOST_TEST((listener.failure == LinkFailure::Broken));
    BOOST_REQUIRE(this->log.relays.size() == 1U);
    BOOST_TEST(this->log.relays.front().id == "5c0e7a21d94b36f8");
    BOOST_TEST(this->log.relays.front().endpoint == EndpointId("a"));
    BOOST_TEST(this->log.relays.front().reason == "the connection broke: fake failure");
}

// If no connection can be opened, nothing has been sent and the batch must be answered as not run.
BOOST_AUTO_TEST_CASE(Batch_EndpointTakesNoConnections_IsAnsweredAsNotRun)
{
    Vm& vm = this->nonOwner("a");
    this->connector.database("a").refuseConnections = true;
    Listener listener;
    const auto link = this->open(vm, "a", listener);
    this->settle();
    this->send(*link, { statement(StatementKind::Write, "WRITE x 1") });
    this->timers.advance(1s);
    BOOST_REQUIRE(listener.answers.size() == 1U);
    BOOST_TEST((listener.answers.front().front().code == AnswerCode::Busy));
    BOOST_TEST((listener.failure == LinkFailure::Broken));
}

// If none of the owners can reach a primary, this VM must try to reach it directly.
BOOST_AUTO_TEST_CASE(Open_OwnersAreCutOffFromEndpoint_ReachesItDirectly)
{
    Vm& vm = this->nonOwner("a");
    for (const std::string& owner : this->ownersOf("a"))
        this->cutOffEndpoints(owner);
    for (size_t tried = 0; tried < this->ownersOf("a").size(); ++tried) {
        Listener listener;
        const auto link = this->open(vm, "a", listener);
        this->settle();
        this->send(*link, { statement(StatementKind::Read, "READ x") });
        this->settle();
    }
    Listener last;
    const auto link = this->open(vm, "a", last);
    this->settle();
    BOOST_REQUIRE(last.opened);
    this->send(*link, { statement(StatementKind::Read, "READ x") });
    this->settle();
    BOOST_REQUIRE(last.answers.size() == 1U);
    BOOST_TEST((last.answers.front().front().code == AnswerCode::Done));
}

// An endpoint is unreachable only if neither the owners nor this VM can reach it.
BOOST_AUTO_TEST_CASE(Open_NoOwnerReachesEndpoint_IsUnreachable)
{
    Vm& vm = this->nonOwner("a");
    this->connector.database("a").refuseConnections = true;
    for (size_t tried = 0; tried <= this->ownersOf("a").size(); ++tried) {
        Listener listener;
        const auto link = this->open(vm, "a", listener);
        this->settle();
        BOOST_TEST(listener.opened);
        this->send(*link, { statement(StatementKind::Read, "READ x") });
        this->settle();
    }
    Listener last;
    const auto link = this->open(vm, "a", last);
    this->settle();
    BOOST_TEST((last.failure == LinkFailure::Unreachable));
}

// A planned stop must not interrupt statements: links in use finish their work, and idle links fail so that callers
// move to the next owner.
BOOST_AUTO_TEST_CASE(Stop_OwnerHasWork_FinishesItAndClosesIdleLinks)
{
    Vm& vm = this->nonOwner("a");
    Vm& owner = *this->vms.at(this->ownersOf("a").front());
    Listener inTransaction;
    Listener idle;
    const auto working = this->open(vm, "a", inTransaction);
    const auto unused = this->open(vm, "a", idle);
    this->settle();
    this->send(*working, { statement(StatementKind::Begin) });
    this->settle();
    owner.relay.beginStop();
    this->settle();
    BOOST_TEST(idle.failure.has_value());
    BOOST_TEST(owner.relay.busyLinkCount() == 1U);
    this->send(*working, { statement(StatementKind::Commit) });
    this->settle();
    BOOST_REQUIRE(inTransaction.answers.size() == 2U);
    BOOST_TEST((inTransaction.answers.back().front().code == AnswerCode::Done));
    BOOST_TEST(owner.relay.busyLinkCount() == 0U);
    Listener later;
    const auto next = this->open(vm, "a", later);
    this->settle();
    BOOST_TEST(later.opened);
}

BOOST_AUTO_TEST_SUITE_END()
