#include "Integration/Cluster.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(WholePathTest)

// Guards against a failure anywhere between declaration, key, write through one VM and read of the session's own write
// through another VM.
BOOST_AUTO_TEST_CASE(Session_RoamingOverVms_ReadsItsOwnWrites)
{
    // One replica lags by 2 s. If all replicas lagged equally, a confirmed write would already be on all of them.
    Cluster cluster({});
    cluster.controlEndpoint("g1-c", { { "lag_ms", 2000 } });
    Caller caller(cluster.keys["alpha"]);
    size_t readsAtReplicas = 0;
    for (int round = 0; round < 60; ++round) {
        const std::string value = std::to_string(round);
        const auto written = caller.write(cluster.vms[round % 3].callerAddress, "g1", "k", value);
        BOOST_REQUIRE_MESSAGE(written.outcome() == "done", written.text());
        const auto read = caller.read(cluster.vms[(round + 1) % 3].callerAddress, "g1", "k");
        BOOST_REQUIRE_MESSAGE(read.outcome() == "done", read.text());
        BOOST_TEST(read.body["results"][0]["value"] == value, read.text());
        readsAtReplicas += read.role() == "replica";
    }
    BOOST_TEST_MESSAGE("reads at replicas: " << readsAtReplicas << " of 60");
}

// Guards against access by requests without a key, with a wrong key, or for another route.
BOOST_AUTO_TEST_CASE(Request_WithoutMatchingKey_IsRefusedAsNotRun)
{
    Cluster cluster({});
    Caller guest("");
    const std::string vm = cluster.vms[0].callerAddress;
    BOOST_TEST(guest.read(vm, "g1", "k").outcome() == "done");
    const auto written = guest.write(vm, "g1", "k", "v");
    BOOST_TEST(written.outcome() == "not_run", written.text());
    Caller wrong(cluster.keys["alpha"] + "x");
    const auto refused = wrong.read(vm, "g1", "k");
    BOOST_TEST(refused.status == 401U, refused.text());
    BOOST_TEST(refused.outcome() == "not_run", refused.text());

    Caller alpha(cluster.keys["alpha"]);
    Caller beta(cluster.keys["beta"]);
    BOOST_TEST(alpha.write(vm, "g1", "shared", "of alpha").outcome() == "done");
    const auto other = beta.read(vm, "g1", "shared");
    BOOST_TEST(other.body["results"][0]["value"].is_null(), other.text());
    beta.session = alpha.session;
    const auto foreign = beta.read(vm, "g1", "shared");
    BOOST_TEST(foreign.outcome() == "not_run", foreign.text());
}

// Guards against a withdrawn key that still works on an open connection, and against keys that are sent to endpoints.
BOOST_AUTO_TEST_CASE(Key_Withdrawn_StopsWorkingOnOpenConnections)
{
    Cluster cluster({});
    const std::string key = cluster.keys["alpha"];
    Caller caller(key);
    for (const auto& vm : cluster.vms)
        BOOST_TEST(caller.write(vm.callerAddress, "g1", "k", "v").outcome() == "done");
    const std::string id = key.substr(4, key.find('_', 4) - 4);
    const auto result = cluster.runOperatorTool({ "keys", "withdraw", id });
    BOOST_REQUIRE_MESSAGE(result.exitCode == 0, result.errors);
    for (const auto& vm : cluster.vms) {
        waitUntil("the key is refused at " + vm.id, 3s,
            [&] { return caller.read(vm.callerAddress, "g1", "k").status == 401; });
    }
    for (const auto& endpoint : cluster.endpoints) {
        const std::string seen = cluster.dumpEndpoint(endpoint.name).dump();
        BOOST_TEST(seen.find(key.substr(key.rfind('_') + 1)) == std::string::npos);
        BOOST_TEST(seen.find("uthorization") == std::string::npos);
    }
}

// Guards against partly applied transactions, and against transactions that see uncommitted writes of others.
BOOST_AUTO_TEST_CASE(Transaction_Interactive_IsAtomicAndRolledBackWithItsConnection)
{
    Cluster cluster({});
    const std::string vm = cluster.vms[1].callerAddress;
    const auto put = [](const char* key, const char* value) {
        return nlohmann::json { { "statements", { { { "op", "put" }, { "key", key }, { "value", value } } } } };
    };
    Caller first(cluster.keys["alpha"]);
    Caller reader(cluster.keys["alpha"]);
    BOOST_REQUIRE(first.post(vm, "/v1/begin", { { "group", "g1" }, { "access", "write" } }).outcome() == "done");
    BOOST_TEST(first.post(vm, "/v1/statement", put("a", "1")).outcome() == "done");
    BOOST_TEST(reader.read(vm, "g1", "a").body["results"][0]["value"].is_null());
    BOOST_TEST(first.post(vm, "/v1/statement", put("b", "1")).outcome() == "done");
    const auto committed = first.post(vm, "/v1/commit", nlohmann::json::object());
    BOOST_TEST(committed.outcome() == "done", committed.text());
    reader.session = first.session;
    BOOST_TEST(reader.read(vm, "g1", "b").body["results"][0]["value"] == "1");

    BOOST_REQUIRE(first.post(vm, "/v1/begin", { { "group", "g1" }, { "access", "write" } }).outcome() == "done");
    BOOST_TEST(first.post(vm, "/v1/statement", put("a", "2")).outcome() == "done");
    first.disconnect();
    first.session.clear();
    BOOST_TEST(first.read(vm, "g1", "a").body["results"][0]["value"] == "1");
}

// Guards against requests that are interrupted or refused during a planned stop.
BOOST_AUTO_TEST_CASE(Vm_Terminated_FinishesItsRequestsAndExitsWithZero)
{
    Cluster cluster({});
    Caller caller(cluster.keys["alpha"]);
    auto& vm = cluster.vms[0];
    vm.process->sendSignal(SIGTERM);
    waitUntil("readiness ends", 2s, [&] { return !cluster.isReady(0); });
    BOOST_TEST(caller.write(vm.callerAddress, "g1", "k", "while draining").outcome() == "done");
    BOOST_TEST(vm.process->waitForExit(10s) == 0);
    const auto read = caller.read(cluster.vms[1].callerAddress, "g1", "k");
    BOOST_TEST(read.body["results"][0]["value"] == "while draining", read.text());
}

BOOST_AUTO_TEST_SUITE_END()
