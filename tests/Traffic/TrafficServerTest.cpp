#include "Traffic/TrafficServer.h"

#include "Traffic/TrafficFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TrafficServerTest)

BOOST_FIXTURE_TEST_CASE(Write_ReplicaHoldsPosition_IsDoneWithSession, TrafficFixture)
{
    replicate(100);
    CallerClient client(server.port());
    const auto reply = write(client);
    BOOST_TEST(reply.status == 200U);
    BOOST_TEST(reply.outcome() == "done");
    BOOST_TEST(reply.endpoint() == "db-0");
    BOOST_TEST(!reply.session.empty());
    BOOST_TEST(endpoints[0].writesRun() == 1U);
}

BOOST_FIXTURE_TEST_CASE(Read_WithSession_IsAnsweredByCoveringReplica, TrafficFixture)
{
    replicate(100);
    CallerClient client(server.port());
    const auto written = write(client);
    const auto reply = read(client, headers(deskKey, written.session));
    BOOST_TEST(reply.outcome() == "done");
    BOOST_TEST(reply.endpoint() != "db-0");
}

// db-2 is behind the session's position, but answers anyway, like a faulty endpoint that ignores the position required.
BOOST_FIXTURE_TEST_CASE(Read_ReplicaBehindTheSession_NeverAnswers, TrafficFixture)
{
    endpoints[1].setPosition(100);
    CallerClient client(server.port());
    const auto written = write(client);
    for (int count = 0; count < 20; ++count) {
        const auto reply = read(client, headers(deskKey, written.session));
        BOOST_TEST(reply.outcome() == "done");
        BOOST_TEST(reply.endpoint() != "db-2");
    }
}

// A write that only the primary holds would be lost if the primary failed, so it must not be acknowledged.
BOOST_FIXTURE_TEST_CASE(Write_NoReplicaHoldsPosition_IsUnknownAtDeadline, TrafficFixture)
{
    CallerClient client(server.port());
    const auto reply = write(client, { { "Lavendervane-Timeout-Ms", "200" } });
    BOOST_TEST(reply.status == 504U);
    BOOST_TEST(reply.outcome() == "unknown");
    BOOST_TEST(reply.code() == "unconfirmed");
}

// A read must not return data that would be lost if the primary failed.
BOOST_FIXTURE_TEST_CASE(Read_AtPrimaryWithUnconfirmedPosition_WaitsForConfirmation, TrafficFixture)
{
    endpoints[0].setPosition(50);
    CallerClient client(server.port());
    client.sendOnly("/v1/execute", readBody,
        { { "Authorization", "Bearer " + deskKey.text() }, { "Lavendervane-Consistency", "primary" } });
    BOOST_TEST(eventually([this] { return !endpoints[0].requests("/execute").empty(); }));
    BOOST_TEST(server.running() == 1U);
    replicate(50);
    const auto reply = client.receive();
    BOOST_TEST(reply.outcome() == "done");
    BOOST_TEST(reply.endpoint() == "db-0");
}

// Each row is one way in which an exchange with the primary can fail.
BOOST_AUTO_TEST_CASE(Write_EndpointFaults_HaveTrueOutcomes)
{
    using T = ResponseMode;
    struct Row {
        const char* name;
        std::vector<ResponseMode> first;
        ResponseMode then;
        const char* outcome;
        const char* code;
        size_t runs;
    };
    const Row rows[] = {
        { "answer of another exchange, then repeated", { T::WrongExchangeId }, T::Normal, "done", "", 1 },
        { "answers of other exchanges", {}, T::WrongExchangeId, "unknown", "wrong_exchange_id", 1 },
        { "closed after it ran, then repeated", { T::CloseAfterRunning }, T::Normal, "done", "", 1 },
        { "closed after it ran", {}, T::CloseAfterRunning, "unknown", "connection_lost", 1 },
        { "closed before it ran", {}, T::CloseBeforeRunning, "unknown", "connection_lost", 0 },
        { "malformed answer, then repeated", { T::Malformed }, T::Normal, "done", "", 1 },
        { "silent", {}, T::NoResponse, "unknown", "deadline", 0 },
        { "busy, then free", { T::Busy, T::Busy }, T::Normal, "done", "", 1 },
        { "busy", {}, T::Busy, "not_run", "busy", 0 },
        { "wrong term without a new primary", {}, T::WrongTerm, "not_run", "wrong_term", 0 },
    };
    for (const Row& row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            TrafficFixture vm;
            vm.replicate(100);
            vm.endpoints[0].setDefaultMode(row.then);
            vm.endpoints[0].setNextModes(row.first);
            CallerClient client(vm.server.port());
            const auto reply = vm.write(client, { { "Lavendervane-Timeout-Ms", "400" } });
            BOOST_TEST(reply.outcome() == row.outcome);
            BOOST_TEST(reply.code() == row.code);
            BOOST_TEST(vm.endpoints[0].writesRun() == row.runs);
        }
    }
}

// A connection can go silent, for example when a firewall drops its state. The write must run over a fresh connection.
BOOST_FIXTURE_TEST_CASE(Write_ConnectionGoesSilent_IsRepeatedOnFreshConnection, TrafficFixture)
{
    replicate(100);
    endpoints[0].setNextModes({ ResponseMode::NoResponse });
    CallerClient client(server.port());
    BOOST_TEST(write(client).outcome() == "done");
    BOOST_TEST(endpoints[0].writesRun() == 1U);
}

BOOST_FIXTURE_TEST_CASE(Write_ConnectionRefused_IsNotRun, TrafficFixture)
{
    endpoints[0].stopListening();
    CallerClient client(server.port());
    const auto reply = write(client, { { "Lavendervane-Timeout-Ms", "300" } });
    BOOST_TEST(reply.status == 503U);
    BOOST_TEST(reply.outcome() == "not_run");
    BOOST_TEST(reply.code() == "endpoint_unreachable");
    BOOST_TEST(!observer.all<EndpointUnreachableObserved>().empty());
}

// During a failover the write must wait for the new primary instead of being rejected.
BOOST_FIXTURE_TEST_CASE(Write_WrongTermThenNewPrimary_IsDoneThere, TrafficFixture)
{
    endpoints[0].setDefaultMode(ResponseMode::WrongTerm);
    CallerClient client(server.port());
    client.sendOnly("/v1/execute", writeBody, headers(deskKey));
    BOOST_TEST(eventually([this] { return !endpoints[0].requests("/execute").empty(); }));
    endpoints[1].setTerm(2, true);
    endpoints[2].setTerm(2, false);
    endpoints[2].setPosition(100);
    publish(2, 1);
    const auto reply = client.receive();
    BOOST_TEST(reply.outcome() == "done");
    BOOST_TEST(reply.endpoint() == "db-1");
}

// Once there is a new primary, a write must move to it without waiting for the timeout of the silent old primary.
BOOST_FIXTURE_TEST_CASE(Write_PrimarySilentThenNewPrimary_MovesAtOnce, TrafficFixture)
{
    endpoints[0].setDefaultMode(ResponseMode::NoResponse);
    CallerClient client(server.port());
    client.sendOnly("/v1/execute", writeBody, headers(deskKey));
    BOOST_TEST(eventually([this] { return !endpoints[0].requests("/execute").empty(); }));
    endpoints[1].setTerm(2, true);
    endpoints[2].setTerm(2, false);
    endpoints[2].setPosition(100);
    const auto started = std::chrono::steady_clock::now();
    publish(2, 1);
    BOOST_TEST(client.receive().outcome() == "done");
    BOOST_TEST((std::chrono::steady_clock::now() - started < 1500ms));
}

BOOST_FIXTURE_TEST_CASE(Read_HigherTermInAnswer_IsReported, TrafficFixture)
{
    endpoints[1].setTerm(5, false);
    endpoints[2].setTerm(5, false);
    CallerClient client(server.port());
    read(client);
    BOOST_TEST(eventually([this] { return !observer.all<HigherTermObserved>().empty(); }));
    BOOST_TEST(observer.all<HigherTermObserved>()[0].term.counter == 5U);
}

BOOST_FIXTURE_TEST_CASE(Read_ReplicasDoNotCover_GoesToThePrimary, TrafficFixture)
{
    replicate(100);
    endpoints[1].setDefaultMode(ResponseMode::NotCovered);
    endpoints[2].setDefaultMode(ResponseMode::NotCovered);
    CallerClient client(server.port());
    const auto written = write(client);
    const auto reply = read(client, headers(deskKey, written.session));
    BOOST_TEST(reply.outcome() == "done");
    BOOST_TEST(reply.endpoint() == "db-0");
}

BOOST_FIXTURE_TEST_CASE(Write_NoTokens_WaitsThenIsRejectedWithRetryAfter, TrafficFixture)
{
    replicate(100);
    admission.open = false;
    CallerClient client(server.port());
    const auto reply = write(client);
    BOOST_TEST(reply.status == 429U);
    BOOST_TEST(reply.code() == "rate_limited");
    BOOST_TEST(reply.retryAfter == "2");
    BOOST_TEST(observer.all<TokenShortageObserved>().size() == 1U);
    BOOST_TEST(endpoints[0].requests("/execute").empty());

    client.sendOnly("/v1/execute", writeBody, headers(deskKey));
    BOOST_TEST(eventually([this] { return observer.all<TokenShortageObserved>().size() == 2; }));
    admission.open = true;
    BOOST_TEST(client.receive().outcome() == "done");
}

BOOST_FIXTURE_TEST_CASE(Write_NotRunAfterAdmission_ReturnsItsToken, TrafficFixture)
{
    endpoints[0].setDefaultMode(ResponseMode::Busy);
    CallerClient client(server.port());
    write(client, { { "Lavendervane-Timeout-Ms", "100" } });
    BOOST_TEST(admission.returnedTokens == 1);
}

BOOST_FIXTURE_TEST_CASE(Metrics_AfterRequests_CountThem, TrafficFixture)
{
    replicate(100);
    CallerClient client(server.port());
    write(client);
    read(client);
    const std::string text = metrics();
    BOOST_TEST(text.find("lavendervane_requests_total{code=\"\",outcome=\"done\"} 2") != std::string::npos);
    BOOST_TEST(text.find("lavendervane_reads_total{role=\"replica\"} 1") != std::string::npos);
    BOOST_TEST(text.find("lavendervane_confirmations_total{result=\"confirmed\"} 1") != std::string::npos);
}

// A drain must finish running requests, so that callers do not notice a planned stop.
BOOST_FIXTURE_TEST_CASE(Drain_RequestRuns_IsFinishedFirst, TrafficFixture)
{
    CallerClient client(server.port());
    client.sendOnly("/v1/execute", writeBody, headers(deskKey));
    BOOST_TEST(eventually([this] { return endpoints[0].writesRun() == 1; }));
    std::atomic<bool> finished { false };
    server.beginDraining();
    server.stopAccepting([&finished] { finished = true; });
    BOOST_TEST(server.running() == 1U);
    BOOST_TEST(!finished);
    replicate(100);
    const auto reply = client.receive();
    BOOST_TEST(reply.outcome() == "done");
    BOOST_TEST(!reply.keepAlive);
    BOOST_TEST(eventually([&finished] { return finished.load(); }));
}

BOOST_FIXTURE_TEST_CASE(Drain_TransactionOpen_MayCommit, TrafficFixture)
{
    replicate(100);
    CallerClient client(server.port());
    BOOST_TEST(client.post("/v1/begin", writeBody, headers(deskKey)).outcome() == "done");
    std::atomic<bool> finished { false };
    server.stopAccepting([&finished] { finished = true; });
    BOOST_TEST(client.post("/v1/statement", writeBody, headers(deskKey)).outcome() == "done");
    BOOST_TEST(!finished);
    BOOST_TEST(client.post("/v1/commit", "{}", headers(deskKey)).outcome() == "done");
    BOOST_TEST(eventually([&finished] { return finished.load(); }));
    BOOST_TEST(endpoints[0].writesRun() == 1U);
}

// When a caller disconnects, the VM must close the transaction's connection, which makes the endpoint roll back.
BOOST_FIXTURE_TEST_CASE(Transaction_CallerGone_ClosesTheEndpointConnection, TrafficFixture)
{
    replicate(100);
    CallerClient client(server.port());
    client.post("/v1/begin", writeBody, headers(deskKey));
    BOOST_TEST(endpoints[0].connections() >= 1U);
    BOOST_TEST(client.post("/v1/begin", writeBody, headers(deskKey)).code() == "transaction_open");
    client.close();
    BOOST_TEST(eventually([this] { return server.running() == 0; }));
    BOOST_TEST(eventually([this] { return endpoints[0].connections() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(Transaction_CommitAnswerLost_IsUnknown, TrafficFixture)
{
    replicate(100);
    CallerClient client(server.port());
    client.post("/v1/begin", writeBody, headers(deskKey));
    endpoints[0].setNextModes({ ResponseMode::CloseAfterRunning });
    BOOST_TEST(client.post("/v1/commit", "{}", headers(deskKey)).outcome() == "unknown");
    BOOST_TEST(client.post("/v1/commit", "{}", headers(deskKey)).code() == "no_transaction");
}

BOOST_AUTO_TEST_SUITE_END()
