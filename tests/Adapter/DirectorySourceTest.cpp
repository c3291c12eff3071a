#include "DirectorySource.h"
#include "StoreStandIn.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace Lavendervane;
using namespace Lavendervane::Adapter;
using namespace std::chrono_literals;

namespace {

/// Records what a source reports.
class RecordingListener : public DirectoryListener {
public:
    void onConfigurationRead(SessionConfiguration read) override { this->configurationVersion = read.version; }
    void onEvacuationsRead(const EvacuationsRead& read) override { this->evacuations = read; }
    bool onRegistryRead(const RegistryRead& read) override
    {
        this->endpoints.clear();
        for (const RegistryEntry& entry : read.entries)
            this->endpoints.push_back(entry.endpoint);
        ++this->registryReads;
        return this->wantsRegistryAgain;
    }
    void onSourceAvailabilityChanged(const std::string&) override { }
    void onFeedStep(const FeedStep& step) override { this->steps.push_back(step); }
    void onTableAnswered(const TableAnswered&) override { }

    uint64_t configurationVersion = 0; ///< version that was read last
    EvacuationsRead evacuations; ///< evacuations that were reported last
    std::vector<RegisteredEndpoint> endpoints;
    std::vector<FeedStep> steps;
    size_t registryReads = 0;
    bool wantsRegistryAgain = false;
};

std::string configurationText(uint64_t version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

std::string entryText(const std::string& state, const std::string& role, uint64_t sequence)
{
    return R"({"service":"g-1","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":2,"state":")" + state
        + R"(","cold_remaining_ms":0,"db_role":")" + role + R"(","sequence":)" + std::to_string(sequence)
        + R"(,"born":1700000000000})";
}

/// A source that follows a store whose copy holds version 4 of the configuration, while version 8 is in force.
struct DirectorySourceFixture {
    DirectorySourceFixture()
    {
        this->store.put("op", "config", configurationText(4));
        this->store.put("servers", "i-1", entryText("ready", "primary", 1));
        this->store.saveCopy();
        this->source.start(this->listener);
        this->waitFor([this] { return this->listener.configurationVersion == 4 && !this->listener.endpoints.empty(); });
        this->store.put("op", "config", configurationText(8));
        this->store.put("servers", "i-1", entryText("draining", "primary", 2));
        this->waitFor([this] { return this->listener.configurationVersion == 8 && this->isDraining(); });
    }

    bool isDraining() const { return this->listener.endpoints.size() == 1 && this->listener.endpoints[0].draining; }

    void writeOtherRows(size_t count)
    {
        for (size_t row = 0; row < count; ++row)
            this->store.put("status", "row", std::to_string(row));
    }

    void waitFor(const std::function<bool()>& condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + 3s;
        while (!condition() && std::chrono::steady_clock::now() < deadline)
            this->context.run_one_for(50ms);
        BOOST_TEST(condition());
    }

    void runFor(std::chrono::milliseconds duration)
    {
        const auto end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end)
            this->context.run_one_for(10ms);
    }

    boost::asio::io_context context;
    StoreStandIn store { context };
    StoreClient client { context, store.address() };
    DirectorySource source { context, client };
    RecordingListener listener;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DirectorySourceTest, DirectorySourceFixture)

// Guards against a change that is never seen, because it was stored at a revision below the one already known.
BOOST_AUTO_TEST_CASE(Store_RestoredAndPastKnownRevision_ReportsNewConfiguration)
{
    const uint64_t known = this->store.version();
    this->store.goAway();
    this->store.restore();
    this->store.put("op", "config", configurationText(15));
    this->writeOtherRows(known);
    this->store.comeBack();
    this->waitFor([this] { return this->listener.configurationVersion == 15; });
}

// Guards against an endpoint that goes on getting work, because its entry was stored below the known revision.
BOOST_AUTO_TEST_CASE(Store_RestoredAndPastKnownRevision_ReportsChangedEndpoint)
{
    const uint64_t known = this->store.version();
    this->store.goAway();
    this->store.restore();
    this->store.put("servers", "i-1", entryText("draining", "replica", 4));
    this->writeOtherRows(known);
    this->store.comeBack();
    this->waitFor([this] {
        return this->listener.endpoints.size() == 1 && this->listener.endpoints[0].role == EndpointRole::Replica;
    });
}

// Guards against a feed that waits at a revision of the lost history on a connection that has survived the restore.
BOOST_AUTO_TEST_CASE(Store_RestoredWhileFeedsWait_ReportsNewConfiguration)
{
    this->runFor(300ms);
    const uint64_t known = this->store.version();
    this->store.restore();
    this->store.put("op", "config", configurationText(15));
    this->writeOtherRows(known);
    this->store.put("servers", "i-2", entryText("ready", "replica", 1));
    this->waitFor([this] { return this->listener.configurationVersion == 15; });
}

// Guards against an entry that is never confirmed, because a renewal that changes nothing else ends no feed request.
BOOST_AUTO_TEST_CASE(Registry_ListenerWantsItAgain_IsReadAgain)
{
    this->listener.wantsRegistryAgain = true;
    this->store.put("servers", "i-2", entryText("ready", "replica", 1));
    this->waitFor([this] { return this->listener.endpoints.size() == 2; });
    const size_t reads = this->listener.registryReads;
    this->waitFor([this, reads] { return this->listener.registryReads > reads; });
}

// Guards against evacuations that are not read, that end unseen, or whose start is taken for unknown although the feed
// reported it.
BOOST_AUTO_TEST_CASE(Evacuation_WrittenAndDeleted_IsReported)
{
    BOOST_TEST(this->listener.evacuations.dataCentres.empty());
    this->store.put("op", "evacuate/a", "anything");
    this->waitFor([this] { return this->listener.evacuations.dataCentres.count(DataCentre("a")) > 0; });
    BOOST_TEST(this->listener.evacuations.earliestStarts.count(DataCentre("a")) == 1U);
    this->store.remove("op", "evacuate/a");
    this->waitFor([this] { return this->listener.evacuations.ended.count(DataCentre("a")) > 0; });
    BOOST_TEST(this->listener.evacuations.dataCentres.empty());
}

// Guards against an evacuation of the copy that is ignored, and against one that the copy lacks and that is not
// reported as missing with the new generation.
BOOST_AUTO_TEST_CASE(Evacuation_StoreRestored_ContentOfCopyIsReported)
{
    this->store.put("op", "evacuate/a", "");
    this->store.saveCopy();
    this->store.put("op", "evacuate/b", "");
    this->waitFor([this] { return this->listener.evacuations.dataCentres.size() == 2; });
    const uint64_t generation = this->listener.evacuations.generation;
    this->store.goAway();
    this->store.restore();
    this->store.comeBack();
    this->waitFor([this, generation] { return this->listener.evacuations.generation > generation; });
    BOOST_TEST((this->listener.evacuations.dataCentres == std::set<DataCentre> { DataCentre("a") }));
}

// Guards against a feed that goes on after a revision that the restored store has not reached yet.
BOOST_AUTO_TEST_CASE(Store_RestoredAndBelowKnownRevision_ReportsNewConfiguration)
{
    this->store.goAway();
    this->store.restore();
    this->store.reportsGeneration = false;
    this->store.comeBack();
    this->runFor(500ms);
    this->store.put("op", "config", configurationText(15));
    this->waitFor([this] { return this->listener.configurationVersion == 15; });
}

// Guards against an organisation in whose name no connection to an endpoint can be opened: the endpoint would be taken
// for unreachable, for all organisations.
BOOST_AUTO_TEST_CASE(DecodeConfiguration_OrganisationNameBreaksMessages_IsLeftOut)
{
    for (const char* odd : { "", "a b", "a\\r\\nQUERY - STATUS", "a\\u0000" }) {
        const auto configuration = decodeConfiguration(R"({"version":7,"routes":[],"services":[],"tenants":[
            {"name":")"
            + std::string(odd) + R"(","api_keys":["k1"]},{"name":"desk","api_keys":["k2"]}]})");
        BOOST_REQUIRE_EQUAL(configuration.organisations.size(), 1U);
        BOOST_TEST(configuration.organisations.front().name.str() == "desk", odd);
    }
}

BOOST_AUTO_TEST_SUITE_END()
