#include "ControlFakes.h"
#include "Statements/ServiceFixture.h"

#include "Metrics/SessionMetrics.h"
#include "Runtime/StructuredLog.h"

#include <boost/test/unit_test.hpp>
#include <prometheus/registry.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

/// Control and traffic of one VM that has just started, in front of the group "stock".
struct LeavingEndpointFixture : ServiceFixture {
    LeavingEndpointFixture()
    {
        this->traffic.onDirectory = [this](const auto& directory) { this->service->setDirectory(directory); };
        this->configuration.transactionIdleLimit = {};
        this->control.onConfigurationRead(this->configuration);
    }

    ~LeavingEndpointFixture() { ::close(this->logDescriptor); }

    static FleetControlSettings makeSettings()
    {
        FleetControlSettings settings;
        settings.self = { VmId("vm-1"), DataCentre("dc-1"), "10.0.0.1:7560", 1000 };
        settings.runId = "run-1";
        return settings;
    }

    /// The VM reads the registry. Changes since the previous read have happened after `earliestChange`, if it is known.
    void readRegistry(std::optional<Instant> earliestChange = std::nullopt)
    {
        RegistryRead read;
        for (const RegisteredEndpoint& endpoint : this->endpoints) {
            read.entries.push_back({ endpoint });
            if (earliestChange)
                read.earliestChanges.emplace(endpoint.id, *earliestChange);
        }
        this->control.onRegistryRead(read);
    }

    /// Writes and returns the code of the answer, which must arrive at once.
    AnswerCode write(FakeCaller& caller)
    {
        const size_t before = caller.answers.size();
        caller.send(StatementKind::Write, "WRITE x 1");
        this->timers.advance(200ms);
        BOOST_REQUIRE(caller.answers.size() == before + 1);
        return caller.last().code;
    }

    size_t receivedByPrimary() { return this->connector.database("a").receivedStatements.size(); }

    int logDescriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    StructuredLog controlLog { "vm-1", { .descriptor = logDescriptor } };
    prometheus::Registry registry;
    SessionMetrics metrics { registry };
    SilentTable table;
    NoPromotions orders;
    RecordingTraffic traffic;
    FleetControl control { makeSettings(), timers, table, orders, traffic, controlLog, metrics };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeavingEndpointTest, LeavingEndpointFixture)

// Guards against a VM that starts while an endpoint drains and counts the endpoint's drain time from then on.
BOOST_AUTO_TEST_CASE(Write_VmStartsWhilePrimaryDrains_IsNotSent)
{
    this->endpoints.front().draining = true;
    this->readRegistry();
    const auto caller = this->open("own");
    BOOST_TEST((this->write(*caller) == AnswerCode::Busy));
    BOOST_TEST(this->receivedByPrimary() == 0U);
}

// Guards against a VM that was cut off or frozen and counts the drain time from when it learns of the change.
BOOST_AUTO_TEST_CASE(Write_VmLearnsLateThatPrimaryDrains_IsNotSentAfterDrainTime)
{
    this->readRegistry();
    const Instant lastKnown = this->timers.now();
    const auto caller = this->open("own");
    this->timers.advance(4s);
    this->endpoints.front().draining = true;
    this->readRegistry(lastKnown);
    BOOST_TEST((this->write(*caller) == AnswerCode::Done));
    this->timers.advance(1s);
    const size_t received = this->receivedByPrimary();
    BOOST_TEST((this->write(*caller) == AnswerCode::Busy));
    BOOST_TEST(this->receivedByPrimary() == received);
}

// Guards against a statement that waits for a connection until the drain time has passed, and is sent then.
BOOST_AUTO_TEST_CASE(Write_WaitsForConnectionPastDrainTime_IsNotSent)
{
    this->readRegistry();
    std::vector<std::unique_ptr<FakeCaller>> holders;
    for (int connection = 0; connection < 4; ++connection) {
        holders.push_back(this->open("strong"));
        holders.back()->send(StatementKind::Begin, "BEGIN");
        holders.back()->send(StatementKind::Read, "READ x");
        this->settle();
    }
    this->endpoints.front().draining = true;
    this->readRegistry(this->timers.now());
    const auto caller = this->open("own");
    this->timers.advance(4900ms);
    caller->send(StatementKind::Write, "WRITE late 1");
    this->timers.advance(150ms);
    holders.front()->send(StatementKind::Rollback, "ROLLBACK");
    this->timers.advance(200ms);
    BOOST_REQUIRE(caller->answers.size() == 1U);
    BOOST_TEST((caller->last().code == AnswerCode::Busy));
    const auto& received = this->connector.database("a").receivedStatements;
    BOOST_TEST((std::find(received.begin(), received.end(), "WRITE late 1") == received.end()));
}

BOOST_AUTO_TEST_SUITE_END()
