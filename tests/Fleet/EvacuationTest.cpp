#include "ControlFakes.h"
#include "Statements/ServiceFixture.h"

#include "Fleet/EvacuationTracker.h"
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

const DataCentre first("dc-1");
const DataCentre second("dc-2");
const DataCentre third("dc-3");

/// Control and traffic of one VM in front of the group "stock", whose primary "a" is in the first data centre.
struct EvacuationFixture : ServiceFixture {
    EvacuationFixture()
    {
        this->traffic.onDirectory = [this](const auto& directory) { this->service->setDirectory(directory); };
        this->configuration.transactionIdleLimit = {};
        this->endpoints[1].dataCentre = second;
        this->endpoints[2].dataCentre = third;
    }

    ~EvacuationFixture() { ::close(this->logDescriptor); }

    static FleetControlSettings makeSettings()
    {
        FleetControlSettings settings;
        settings.self = { VmId("vm-1"), first, "10.0.0.1:7560", 1000 };
        settings.runId = "run-1";
        return settings;
    }

    /// The VM reads the rows of the configuration table, then the registry.
    void start(const std::set<DataCentre>& evacuated)
    {
        this->evacuate(evacuated);
        this->control.onConfigurationRead(this->configuration);
        RegistryRead read;
        for (const RegisteredEndpoint& endpoint : this->endpoints)
            read.entries.push_back({ endpoint });
        this->control.onRegistryRead(read);
    }

    void evacuate(const std::set<DataCentre>& evacuated, std::optional<Instant> earliestStart = std::nullopt)
    {
        EvacuationsRead read { evacuated, 1 };
        if (earliestStart) {
            for (const DataCentre& dataCentre : evacuated)
                read.earliestStarts.emplace(dataCentre, *earliestStart);
        }
        this->control.onEvacuationsRead(read);
    }

    /// Sends the statement and returns the code of the answer, which must arrive within 200 ms.
    AnswerCode run(FakeCaller& caller, StatementKind kind, const std::string& text)
    {
        const size_t before = caller.answers.size();
        caller.send(kind, text);
        this->timers.advance(200ms);
        BOOST_REQUIRE(caller.answers.size() == before + 1);
        return caller.last().code;
    }

    size_t received(const std::string& endpoint)
    {
        return this->connector.database(endpoint).receivedStatements.size();
    }

    int logDescriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    StructuredLog controlLog { "vm-1", { .descriptor = logDescriptor } };
    prometheus::Registry registry;
    SessionMetrics metrics { registry };
    SilentTable table;
    NoPromotions orders;
    RecordingTraffic traffic;
    FleetControl control { makeSettings(), timers, table, orders, traffic, controlLog, metrics };
};

struct TrackerFixture {
    bool isEvacuated(const DataCentre& dataCentre) const
    {
        std::vector<RegisteredEndpoint> endpoints(1);
        endpoints.front().dataCentre = dataCentre;
        this->tracker.apply(endpoints);
        return endpoints.front().evacuated;
    }

    EvacuationTracker tracker { EvacuationLimits::makeFor(5s) };
    Instant now { 100s };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationTest, EvacuationFixture)

// Guards against a VM that starts during an evacuation and gives its endpoints the time that has passed before.
BOOST_AUTO_TEST_CASE(Start_DataCentreOfPrimaryIsEvacuated_NothingIsSentThere)
{
    this->start({ first });
    const auto caller = this->open("own");
    BOOST_TEST((this->run(*caller, StatementKind::Write, "WRITE x 1") == AnswerCode::Busy));
    BOOST_TEST((this->run(*caller, StatementKind::Read, "READ x") == AnswerCode::Busy));
    BOOST_TEST(this->received("a") == 0U);
}

// Guards against a primary that is stopped before another endpoint can take over, and against one that gets work for
// too long because its promotion does not come about.
BOOST_AUTO_TEST_CASE(Write_PrimaryIsNotReplaced_IsSentForThirdOfBound)
{
    this->start({});
    const auto caller = this->open("own");
    this->evacuate({ first }, this->timers.now());
    BOOST_TEST((this->run(*caller, StatementKind::Write, "WRITE x 1") == AnswerCode::Done));
    this->timers.advance(1500ms);
    const size_t before = this->received("a");
    BOOST_TEST((this->run(*caller, StatementKind::Write, "WRITE x 2") == AnswerCode::Busy));
    BOOST_TEST(this->received("a") == before);
}

// Guards against a VM that was cut off and counts the bound from when it learns of the evacuation.
BOOST_AUTO_TEST_CASE(Write_VmLearnsLate_TimeCountsFromEarliestStart)
{
    this->start({});
    const Instant lastKnown = this->timers.now();
    const auto caller = this->open("own");
    this->timers.advance(2s);
    this->evacuate({ first }, lastKnown);
    BOOST_TEST((this->run(*caller, StatementKind::Write, "WRITE x 1") == AnswerCode::Busy));
    BOOST_TEST(this->received("a") == 0U);
}

// Guards against a transaction that stays open at an evacuated endpoint past the bound while its caller is idle.
BOOST_AUTO_TEST_CASE(Transaction_CallerIsIdle_IsRolledBackAfterHalfOfBound)
{
    this->start({});
    const auto caller = this->open("own");
    this->run(*caller, StatementKind::Begin, "BEGIN");
    BOOST_TEST((this->run(*caller, StatementKind::Write, "WRITE x 1") == AnswerCode::Done));
    this->evacuate({ first }, this->timers.now());
    this->timers.advance(2s);
    BOOST_TEST((this->run(*caller, StatementKind::Write, "WRITE x 2") == AnswerCode::Done));
    this->timers.advance(400ms);
    BOOST_TEST(this->log.evacuatedTransactions == 1U);
    BOOST_TEST(this->connector.database("a").receivedStatements.back() == "rollback");
    BOOST_TEST((this->run(*caller, StatementKind::Commit, "COMMIT") == AnswerCode::Aborted));
}

// Guards against a rollback that is sent to the data centre after the bound, by a VM that learns of the evacuation
// late.
BOOST_AUTO_TEST_CASE(Transaction_VmLearnsAfterBound_EndsWithoutStatement)
{
    this->start({});
    const Instant lastKnown = this->timers.now();
    const auto caller = this->open("own");
    this->run(*caller, StatementKind::Begin, "BEGIN");
    this->run(*caller, StatementKind::Write, "WRITE x 1");
    this->timers.advance(6s);
    const size_t before = this->received("a");
    this->evacuate({ first }, lastKnown);
    BOOST_TEST((this->run(*caller, StatementKind::Commit, "COMMIT") == AnswerCode::Aborted));
    BOOST_TEST(this->received("a") == before);
}

// Guards against requests that wait for a primary that no endpoint can become, and against a VM that takes itself for
// isolated then and closes its sessions.
BOOST_AUTO_TEST_CASE(Evacuation_LeavesNoEndpoint_RequestsAreRefusedAtOnce)
{
    this->start({});
    const auto caller = this->open("own");
    this->evacuate({ first, second, third }, this->timers.now());
    caller->send(StatementKind::Write, "WRITE x 1");
    BOOST_REQUIRE(caller->answers.size() == 1U);
    BOOST_TEST((caller->last().code == AnswerCode::Busy));
    caller->send(StatementKind::Read, "READ x");
    BOOST_REQUIRE(caller->answers.size() == 2U);
    this->timers.advance(10s);
    BOOST_TEST(this->received("a") + this->received("b") + this->received("c") == 0U);
    BOOST_TEST(!caller->closed);
    BOOST_TEST(this->trafficListener.acceptsCallers.empty());
}

// Guards against endpoints that stay unused after the evacuation was taken back.
BOOST_AUTO_TEST_CASE(Evacuation_TakenBack_EndpointsAreUsedAgain)
{
    this->start({ first, second });
    const auto caller = this->open("own");
    BOOST_TEST((this->run(*caller, StatementKind::Write, "WRITE x 1") == AnswerCode::Busy));
    this->evacuate({ second });
    BOOST_TEST((this->run(*caller, StatementKind::Write, "WRITE x 2") == AnswerCode::Done));
    BOOST_TEST((this->run(*caller, StatementKind::Read, "READ x") == AnswerCode::Done));
    BOOST_TEST(this->received("b") == 0U);
}

// Guards against a request that runs in a region that its organisation excludes.
BOOST_AUTO_TEST_CASE(Request_OrganisationAllowsOtherRegion_IsRefused)
{
    this->start({});
    for (RegisteredEndpoint& endpoint : this->endpoints)
        endpoint.region = endpoint.id.str() == "b" ? "north" : "south";
    this->configuration.organisations.front().allowedRegions = { "north" };
    this->publish();
    const auto caller = this->open("own");
    BOOST_TEST((this->run(*caller, StatementKind::Write, "WRITE x 1") == AnswerCode::Busy));
    this->run(*caller, StatementKind::Read, "READ x");
    BOOST_TEST(this->received("a") + this->received("c") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(EvacuationTrackerTest, TrackerFixture)

// Guards against endpoints that get work again because the store was restored from a copy without the evacuation.
BOOST_AUTO_TEST_CASE(Update_RestoredStoreLacksEvacuation_GoesOnForSettleTime)
{
    this->tracker.update({ { first, second }, 3 }, this->now);
    const auto restored = this->tracker.update({ { second }, 4 }, this->now);
    BOOST_TEST((restored == EvacuationChanges { {}, {}, { first } }));
    BOOST_TEST((this->tracker.update({ { second }, 4 }, this->now + 59s) == EvacuationChanges {}));
    BOOST_TEST(this->isEvacuated(first));
    BOOST_REQUIRE((this->tracker.nextExpiry() == this->now + 60s));
    BOOST_TEST((this->tracker.expire(this->now + 60s) == EvacuationChanges { {}, { first }, {} }));
    BOOST_TEST(!this->isEvacuated(first));
    BOOST_TEST(this->isEvacuated(second));
}

// Guards against an evacuation that ends by the settle time although its row was written again, and against one whose
// end after the restore is not seen.
BOOST_AUTO_TEST_CASE(Update_RowWrittenAgainAfterRestore_GoesOnUntilDeleted)
{
    this->tracker.update({ { first, second }, 3 }, this->now);
    this->tracker.update({ {}, 4 }, this->now);
    this->tracker.update({ { first }, 4 }, this->now + 1s);
    this->tracker.update({ { first }, 4, {}, { second } }, this->now + 2s);
    BOOST_TEST(!this->isEvacuated(second));
    BOOST_TEST(this->tracker.expire(this->now + 100s).empty());
    BOOST_TEST(this->isEvacuated(first));
    BOOST_TEST((this->tracker.update({ {}, 4 }, this->now + 101s) == EvacuationChanges { {}, { first }, {} }));
}

BOOST_AUTO_TEST_SUITE_END()
