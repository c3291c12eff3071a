#include "Integration/Cluster.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <ctime>
#include <fstream>
#include <future>
#include <thread>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(FailureTest)

static uint64_t bootNanoseconds()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return static_cast<uint64_t>(time.tv_sec) * 1'000'000'000 + static_cast<uint64_t>(time.tv_nsec);
}

/// Cluster that runs the load tool in the background of a test, and the history checker afterwards.
class LoadedCluster : public Cluster {
public:
    explicit LoadedCluster(const ClusterSettings& settings)
        : Cluster(settings)
    {
    }

    void startLoad(unsigned seconds, unsigned rate, const std::vector<std::string>& added = {})
    {
        const std::string workload = this->directory + "/workload.yaml";
        std::ofstream file(workload);
        file << "keys: 20\nsessions: 20\norganisations:\n";
        for (const char* organisation : { "alpha", "beta" })
            file << "  - {name: " << organisation << ", rate: " << rate
                 << ", read_share: 0.6, pair_share: 0.1, groups: [g1], limit: {rate: 5000, burst: 2500}}\n";
        file.close();
        std::string addresses;
        for (const Vm& vm : this->vms)
            addresses += (addresses.empty() ? "" : ",") + vm.callerAddress;
        std::vector<std::string> arguments = { "run", "--workload=" + workload, "--vms=" + addresses,
            "--history=" + this->history(), "--duration-s=" + std::to_string(seconds), "--seed=7", "--run=r",
            "--key=alpha=" + this->keys["alpha"], "--key=beta=" + this->keys["beta"], "--connections=8" };
        arguments.insert(arguments.end(), added.begin(), added.end());
        this->load = std::make_unique<ChildProcess>(
            "lavendervane-load", arguments, std::map<std::string, std::string> {}, this->directory + "/load.log");
    }

    /// Waits for the load tool and returns its report as JSON.
    nlohmann::json finishLoad(const std::vector<std::string>& kills = {})
    {
        BOOST_REQUIRE(this->load->waitForExit(60s) == 0);
        std::vector<std::string> arguments = { "report", this->history(), "--output=json" };
        for (const std::string& kill : kills)
            arguments.push_back("--kill=" + kill);
        const ProgramResult report = runToEnd("lavendervane-load", arguments, {}, this->directory);
        BOOST_REQUIRE_MESSAGE(report.exitCode == 0, report.errors);
        return nlohmann::json::parse(report.output);
    }

    /// Runs the checker over the history and the data of the running endpoints.
    void checkHistory()
    {
        std::vector<std::string> arguments;
        for (Endpoint& endpoint : this->endpoints) {
            if (endpoint.process->isRunning())
                arguments.push_back("--dump=" + endpoint.group + "=" + endpoint.directAddress);
        }
        arguments.push_back(this->history());
        const ProgramResult result = runToEnd("lavendervane-check", arguments, {}, this->directory);
        BOOST_TEST(result.exitCode == 0, result.output + result.errors);
    }

    /// Waits until another endpoint than `old` is primary.
    std::string awaitNewPrimary(const std::string& old, std::chrono::milliseconds limit)
    {
        std::string primary;
        waitUntil("another primary than " + old, limit, [&] {
            primary = this->primaryOf("g1");
            return !primary.empty() && primary != old;
        });
        return primary;
    }

private:
    std::string history() const { return this->directory + "/history.jsonl"; }

    std::unique_ptr<ChildProcess> load;
};

static ClusterSettings makeSmallLagSettings()
{
    ClusterSettings settings;
    settings.lagMs = 20;
    return settings;
}

// Guards against lost or duplicate writes, stale reads and a long gap in writes when the primary dies under load.
BOOST_AUTO_TEST_CASE(Primary_KilledUnderLoad_LosesNothingAndIsReplaced)
{
    LoadedCluster cluster(makeSmallLagSettings());
    cluster.startLoad(9, 60);
    std::this_thread::sleep_for(2s); // time for the load before the fault, without a condition to wait for
    const std::string old = cluster.primaryOf("g1");
    const uint64_t killedAt = bootNanoseconds();
    cluster.endpoint(old).process->kill();
    cluster.awaitNewPrimary(old, 8s);
    const auto report = cluster.finishLoad({ "g1=" + std::to_string(killedAt) });
    BOOST_TEST_MESSAGE(report.dump());
    cluster.checkHistory();
}

// Guards against an old primary that still acknowledges writes when it resumes after a SIGSTOP.
BOOST_AUTO_TEST_CASE(Primary_SuspendedAndResumedUnderLoad_LosesNothing)
{
    LoadedCluster cluster(makeSmallLagSettings());
    cluster.startLoad(10, 60);
    std::this_thread::sleep_for(1s);
    const std::string old = cluster.primaryOf("g1");
    cluster.endpoint(old).process->sendSignal(SIGSTOP);
    cluster.awaitNewPrimary(old, 10s);
    cluster.endpoint(old).process->sendSignal(SIGCONT);
    cluster.finishLoad();
    cluster.checkHistory();
    waitUntil("the old primary follows", 5s, [&] { return cluster.dumpEndpoint(old)["role"] == "replica"; });
}

// Guards against a promotion that depends on the platform's store.
BOOST_AUTO_TEST_CASE(Primary_KilledWhilePlatformIsDown_IsReplaced)
{
    LoadedCluster cluster(makeSmallLagSettings());
    cluster.controlPlatform({ { "outage", true } });
    cluster.startLoad(8, 60);
    std::this_thread::sleep_for(1s);
    const std::string old = cluster.primaryOf("g1");
    cluster.endpoint(old).process->kill();
    cluster.awaitNewPrimary(old, 8s);
    cluster.finishLoad();
    cluster.checkHistory();
}

// Guards against two primaries and lost writes when the primary is killed together with a VM, which may be
// the one that promotes.
BOOST_AUTO_TEST_CASE(PrimaryAndVm_KilledTogether_LosesNothing)
{
    LoadedCluster cluster(makeSmallLagSettings());
    cluster.startLoad(10, 60);
    std::this_thread::sleep_for(1s);
    const std::string old = cluster.primaryOf("g1");
    cluster.endpoint(old).process->kill();
    cluster.vms[0].process->kill();
    cluster.awaitNewPrimary(old, 10s);
    cluster.finishLoad();
    cluster.checkHistory();
}

// Guards against a write that runs twice or is lost when a VM dies between forwarding it and answering.
BOOST_AUTO_TEST_CASE(Vm_KilledAndRestartedInTurn_RunsNothingTwice)
{
    LoadedCluster cluster(makeSmallLagSettings());
    cluster.startLoad(10, 60);
    for (size_t vm = 0; vm < 2; ++vm) {
        std::this_thread::sleep_for(1s);
        cluster.vms[vm].process->kill();
        cluster.startVm(vm);
        waitUntil(cluster.vms[vm].id + " is ready", 10s, [&] { return cluster.isReady(vm); });
    }
    cluster.finishLoad();
    cluster.checkHistory();
}

// Guards against requests that hang or lose their answer on a connection that stays open but delivers nothing.
BOOST_AUTO_TEST_CASE(EndpointConnections_GoSilent_AreReplaced)
{
    LoadedCluster cluster(makeSmallLagSettings());
    cluster.startLoad(8, 40);
    std::this_thread::sleep_for(1s);
    for (const auto& endpoint : cluster.endpoints)
        cluster.setFaults(endpoint.name, { { "silent", true } });
    cluster.finishLoad();
    cluster.checkHistory();
    Caller caller(cluster.keys["alpha"]);
    BOOST_TEST(caller.write(cluster.vms[0].callerAddress, "g1", "after", "1").outcome() == "done");
}

// Guards against an organisation that exceeds its rate and burst over all VMs together, while a VM restarts and during
// an outage of the platform.
BOOST_AUTO_TEST_CASE(Organisation_AtEightTimesItsRate_StaysWithinRateAndBurst)
{
    ClusterSettings settings;
    settings.rate = 50;
    settings.burst = 25;
    LoadedCluster cluster(settings);
    std::this_thread::sleep_for(1s);
    cluster.startLoad(9, 50, { "--scale=alpha=8", "--scale=beta=0.8" });
    std::this_thread::sleep_for(2s);
    cluster.vms[0].process->kill();
    cluster.startVm(0);
    std::this_thread::sleep_for(2s);
    cluster.controlPlatform({ { "outage", true } });
    const auto report = cluster.finishLoad();
    BOOST_TEST_MESSAGE(report.dump());
    cluster.checkHistory();
}

// Guards against a request that runs twice: the same idempotency key, sent to two VMs at the same time, must run once.
BOOST_AUTO_TEST_CASE(IdempotencyKey_AtTwoVmsAtOnce_RunsOnce)
{
    Cluster cluster({});
    for (int round = 0; round < 20; ++round) {
        const auto send = [&cluster, round](size_t vm) {
            Caller caller(cluster.keys["alpha"]);
            const nlohmann::json add { { "op", "add" }, { "key", "balance" }, { "amount", 1 } };
            return caller.post(cluster.vms[vm].callerAddress, "/v1/execute",
                { { "group", "g1" }, { "access", "write" }, { "statements", nlohmann::json::array({ add }) } },
                { { "Idempotency-Key", "payment-" + std::to_string(round) } });
        };
        auto first = std::async(std::launch::async, send, 0);
        auto second = std::async(std::launch::async, send, 1);
        const auto left = first.get();
        const auto right = second.get();
        BOOST_TEST(left.outcome() == "done", left.text());
        BOOST_TEST(right.outcome() == "done", right.text());
        BOOST_TEST(left.body["results"] == right.body["results"]);
    }
    Caller reader(cluster.keys["alpha"]);
    const nlohmann::json get { { "op", "get" }, { "key", "balance" } };
    const auto balance = reader.post(cluster.vms[2].callerAddress, "/v1/execute",
        { { "group", "g1" }, { "access", "read" }, { "statements", nlohmann::json::array({ get }) } },
        { { "Lavendervane-Consistency", "primary" } });
    const auto value = balance.body["results"][0]["value"];
    const bool is20 = value == 20 || value == "20";
    BOOST_TEST(is20, balance.text());
}

BOOST_AUTO_TEST_SUITE_END()
