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

// Every VM opens its own connections otherwise, and an endpoint with fewer than VMs resets most of them.
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

// Transactions must never mix: while one is open, its connection serves no other link.
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

// Values and prepared statements belong to a link, whatever connection runs its next statement.
BOOST_AUTO_TEST_CASE(Link_ValuesAndPreparedStatements_AreBroughtToTheConnection)
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

// A caller that leaves in a transaction must not leave it open for the next one.
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

// The loss of an owner must not look like the loss of the endpoint.
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

// A connection between VMs that has gone silent shows itself only by a missing answer.
BOOST_AUTO_TEST_CASE(Open_OwnerIsSilent_UsesNextOwnerAfterTimeout)
{
    Vm& vm = this->nonOwner("a");
    this->network.silentAddress = this->ownersOf("a").front();
    Listener first;
    const auto link = this->open(vm, "a", first);
    this->timers.advance(300ms);
    BOOST_TEST(first.opened);
    // The next link does not wait for it again.
    Listener second;
    const auto next = this->open(vm, "a", second);
    this->settle();
    BOOST_TEST(second.opened);
}

// The answer of a batch may have been on its way; the session must not take it for "not run".
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

// On-call engineers follow a request by its identifier from the VM that served the caller to the one that spoke to the
// endpoint, which alone knows why there was no answer.
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
    BOOST_TEST(this->log.relays.front().reason == "the connection to the endpoint broke");
}

// "Not run" must be true: without a connection nothing has been sent.
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

// A primary that is cut off from its owners may still be reached from here.
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

// Only when every owner and this VM itself have met the same, an endpoint counts as unreachable.
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

// A planned stop must cut no statement: idle links move to the next owner, and work under way ends first.
BOOST_AUTO_TEST_CASE(Stop_OwnerHasWork_EndsItAndSendsOthersOn)
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
