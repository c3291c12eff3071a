#include "DirectorySource.h"
#include "SettingsFile.h"
#include "StoreClient.h"

#include "Core/Error.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace Lavendervane::Adapter;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(SettingsAndRowsTest)

static const std::string settingsText = "node_name=front-a-1\nip=10.1.0.26\nzone=a\n"
                                        "listen_addrs.front=10.1.0.26:8465\nlisten_addrs.ready=10.1.0.26:8460\n"
                                        "internal_ports=7560,7575\nplatform.address=10.200.1.7:8466\n"
                                        "cloud.address=10.200.0.2:8466\nbounds.grace_s=6\n"
                                        "bounds.drain_ms=7000\nbounds.quota_window_s=5\n"
                                        "bounds.quota_overage=0.1\nbounds.quota_slack=20\nlimits.cpu_share=0.17\n"
                                        "heartbeat_ms=1200\nsome.new_field=ignored\n";

BOOST_AUTO_TEST_CASE(ParseVmSettings_WholeFile_ReadsFields)
{
    const VmSettings settings = parseVmSettings(settingsText);
    BOOST_TEST(settings.vm == VmId("front-a-1"));
    BOOST_TEST(settings.callerAddress == "10.1.0.26:8465");
    BOOST_TEST(settings.firstPeerPort == 7560);
    BOOST_TEST((settings.stopLimit == 6s));
    BOOST_TEST(settings.limitTolerance == 0.1);
    BOOST_TEST(settings.limitSlack == 20U);
}

// Guards against a process that runs with a default in place of a wrong setting, or does not say which one is wrong.
BOOST_AUTO_TEST_CASE(ParseVmSettings_FieldMissingOrMalformed_NamesIt)
{
    struct Row {
        std::string from;
        std::string to;
        std::string expectedField;
    };
    for (const Row& row : std::vector<Row> { { "node_name=front-a-1\n", "", "node_name" },
             { "bounds.grace_s=6", "bounds.grace_s=soon", "bounds.grace_s" },
             { "bounds.drain_ms=7000", "bounds.drain_ms=", "bounds.drain_ms" },
             { "internal_ports=7560,7575", "internal_ports=7560", "internal_ports" },
             { "bounds.quota_slack=20", "bounds.quota_slack=-1", "bounds.quota_slack" },
             { "zone=a", "zone", "zone" } }) {
        std::string text = settingsText;
        text.replace(text.find(row.from), row.from.size(), row.to);
        BOOST_CHECK_EXCEPTION(parseVmSettings(text), Error,
            [&row](const Error& error) { return error.message().find(row.expectedField) != std::string::npos; });
    }
}

// A settings file that does not say whether promotions are fenced must not end the process, and the precautions for
// unfenced ones must be taken.
BOOST_AUTO_TEST_CASE(ParseVmSettings_FencingMissingOrMalformed_IsTakenForUnfenced)
{
    BOOST_TEST(parseVmSettings(settingsText + "bounds.fencing_required=true\n").promotionsAreFenced);
    for (const char* line : { "", "bounds.fencing_required=false\n", "bounds.fencing_required=maybe\n" })
        BOOST_TEST(!parseVmSettings(settingsText + line).promotionsAreFenced);
}

// Guards against deployments whose file lacks the fields and that then do not start, and against fields that are
// ignored.
BOOST_AUTO_TEST_CASE(ParseVmSettings_EvacuationAndColdStart_AreReadOrDefault)
{
    const VmSettings missing = parseVmSettings(settingsText);
    BOOST_TEST((missing.evacuationTime == std::chrono::milliseconds(5000)));
    BOOST_TEST(missing.coldSlack == 5U);
    const VmSettings given = parseVmSettings(settingsText
        + "bounds.evacuate_ms=4000\nbounds.cold_overage=2.5\nbounds.cold_slack=7\nzones.a=north\nzones.b=south\n");
    BOOST_TEST((given.evacuationTime == std::chrono::milliseconds(4000)));
    BOOST_TEST(given.coldTolerance == 2.5);
    BOOST_TEST(given.coldSlack == 7U);
    BOOST_TEST((given.regions
        == std::map<DataCentre, std::string> { { DataCentre("a"), "north" }, { DataCentre("b"), "south" } }));
}

BOOST_AUTO_TEST_CASE(Base64_AnyBytes_ReturnsSameBytes)
{
    for (const std::string& bytes :
        { std::string(), std::string("n"), std::string("no"), std::string("node-0"), std::string("\0\xff\x80", 3) })
        BOOST_TEST((decodeBase64(encodeBase64(bytes)) == bytes));
    BOOST_TEST(encodeBase64("node-0") == "bm9kZS0w");
    for (const char* text : { "a", "ab=", "!!!!" })
        BOOST_TEST(!decodeBase64(text), text);
}

// Guards against a table that is read in part, because the field is written with other blanks than expected, or only
// looks like the field.
BOOST_AUTO_TEST_CASE(DecodeStoreRows_MoreRowsFollow_SaysSo)
{
    BOOST_TEST(decodeStoreRows(R"({"rows":[],"has_more":true})").hasMore);
    BOOST_TEST(decodeStoreRows(R"({ "has_more": true, "rows": [] })").hasMore);
    BOOST_TEST(!decodeStoreRows(R"({"rows":[],"has_more":false})").hasMore);
    BOOST_TEST(!decodeStoreRows(R"({"rows":[{"key":"a","has_more":true}]})").hasMore);
    BOOST_TEST(!decodeStoreRows(R"({"rows":[]})").hasMore);
}

// Guards against one malformed row that makes the whole answer unusable.
BOOST_AUTO_TEST_CASE(DecodeStoreRows_SomeRowsMalformed_KeepsTheOthers)
{
    const StoreRows rows = decodeStoreRows(R"({"rows":[{"key":"a","value":"bm9kZS0w","ver":4},{"key":7},"text",
        {"key":"b","value":"!!"},{"key":"c","deleted":true,"ver":5}],"ver":9,"now_ms":51230})");
    BOOST_TEST(rows.answered);
    BOOST_TEST(rows.version == 9U);
    BOOST_TEST(rows.clock.milliseconds == 51230U);
    const std::vector<StoreRow> expected { { "a", "node-0", 4, false }, { "c", "", 5, true } };
    BOOST_TEST((rows.rows == expected));
    BOOST_TEST(!decodeStoreRows("{\"rows\":[").answered);
}

static const std::string entryText = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"a","version":"v1",
    "slots":2,"state":"ready","cold_remaining_ms":0,"db_role":"replica","sequence":4,"born":1700000000000})";

BOOST_AUTO_TEST_CASE(DecodeRegistryEntry_Complete_ReadsFields)
{
    const auto entry = decodeRegistryEntry("i-7f3a91c2", entryText);
    BOOST_REQUIRE(entry);
    const RegisteredEndpoint& endpoint = entry->endpoint;
    BOOST_TEST(endpoint.id == EndpointId("i-7f3a91c2"));
    BOOST_TEST(endpoint.address == "10.128.0.9:8080");
    BOOST_TEST((endpoint.role == EndpointRole::Replica));
    BOOST_TEST(endpoint.startedAt == 1700000000000U);
    BOOST_TEST(entry->sequence == 4U);
}

// Other programs write to the registry too; their malformed entries must not be used as endpoints.
BOOST_AUTO_TEST_CASE(DecodeRegistryEntry_Malformed_ReturnsNothing)
{
    struct Row {
        std::string from;
        std::string to;
    };
    for (const Row& row :
        std::vector<Row> { { "\"service\":\"huvo11a\",", "" }, { "\"service\":\"huvo11a\"", "\"service\":7" },
            { "10.128.0.9:8080", "somewhere" }, { "\"slots\":2", "\"slots\":\"two\"" }, { "\"ready\"", "\"resting\"" },
            { "\"replica\"", "\"witness\"" }, { "{", "" }, { "\"zone\":\"a\",", "" } }) {
        std::string text = entryText;
        text.replace(text.find(row.from), row.from.size(), row.to);
        BOOST_TEST(!decodeRegistryEntry("i-1", text), text);
    }
    BOOST_TEST(!decodeRegistryEntry("i-1", "\xff\xfe"));
    BOOST_TEST(!decodeRegistryEntry("i-1", ""));
}

BOOST_AUTO_TEST_CASE(DecodeConfiguration_DocumentedExample_ReadsRoutesAndOrganisations)
{
    const auto configuration = decodeConfiguration(R"({"version":7,"routes":[
        {"name":"r-8p4gv8e","database":"xapu221ny95","prefix":"/","route_type":"bounded_staleness","timeout_ms":1200,
         "target_latency_ms":300,"priority":2,"service":"huvo11a","max_attempts":2,"max_staleness_ms":1500,"public":false},
        {"name":"r-e9itfrz","database":"lepu270","route_type":"primary","timeout_ms":800,"service":"huvo11a"},
        {"name":"r-jmxwjnj","database":"fiti832ti23","route_type":"own_writes","timeout_ms":800,"service":"huvo11a",
         "max_staleness_ms":2500}],
        "services":[{"name":"huvo11a","max_connections":36,"sync_replicas":0}],"limits":{"tx_idle_ms":3000},
        "tenants":[{"name":"nypu920","api_keys":["u6w","j8p"],"priority":1,"rate_per_s":123,"burst":123}]})");
    BOOST_TEST(configuration.version == 7U);
    BOOST_REQUIRE(configuration.routes.size() == 3U);
    BOOST_TEST((configuration.routes[0].consistency == Consistency::BoundedStaleness));
    BOOST_TEST((configuration.routes[0].maxStaleness == 1500ms));
    BOOST_TEST((configuration.routes[1].consistency == Consistency::Primary));
    BOOST_TEST((configuration.routes[2].consistency == Consistency::OwnWrites));
    BOOST_TEST(configuration.groups[0].connectionsPerEndpoint == 36U);
    BOOST_TEST(configuration.organisations[0].keys.size() == 2U);
    BOOST_TEST(configuration.organisations[0].limit.rate == 123U);
    BOOST_TEST((configuration.transactionIdleLimit == 3s));
    BOOST_CHECK_THROW(decodeConfiguration("{}"), Error);
    BOOST_CHECK_THROW(decodeConfiguration("garbage"), Error);
}

BOOST_AUTO_TEST_SUITE_END()
