#include "DirectorySource.h"
#include "StoreClient.h"
#include "StoreStandIn.h"

#include "Core/Error.h"
#include "Fleet/FleetMembership.h"
#include "Limits/ShareLedger.h"
#include "Peers/DatagramPeers.h"
#include "Promotion/PromotionCoordinator.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace Lavendervane;
using namespace Lavendervane::Adapter;
using namespace std::chrono_literals;

namespace {

/// Fields of a JSON object as text, in order.
using Fields = std::vector<std::pair<std::string, std::string>>;

std::string objectText(const Fields& fields)
{
    std::string text = "{";
    for (const auto& [name, value] : fields)
        text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + value;
    return text + "}";
}

std::string nested(size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

/// Rows hold at most 64 KiB.
constexpr size_t deepest = 32'000;

/// Values that no field of an entry may have, whatever its type.
std::vector<std::string> oddValues()
{
    return { "null", "{}", "[]", "[[]]", "1e400", "-1e400", "1e30", "99999999999999999999999", "-9223372036854775809",
        nested(deepest), "{\"a\":" + nested(deepest) + "}" };
}

Fields entryFields()
{
    return { { "service", "\"g-1\"" }, { "address", "\"10.128.0.9:8080\"" }, { "zone", "\"a\"" },
        { "version", "\"v1\"" }, { "slots", "2" }, { "state", "\"ready\"" }, { "cold_remaining_ms", "0" },
        { "db_role", "\"primary\"" }, { "sequence", "1" }, { "born", "1700000000000" } };
}

std::string entryWith(const std::string& name, const std::string& value)
{
    Fields fields = entryFields();
    for (auto& field : fields) {
        if (field.first == name)
            field.second = value;
    }
    return objectText(fields);
}

/// Texts of addresses that nothing can be reached at.
const std::vector<std::string> oddAddresses { "10.128.0.9:99999", "10.128.0.9:65536", "10.128.0.9:-1", "10.128.0.9:0",
    "10.128.0.9:", "10.128.0.9", "database:8080", "10.128.0.9:8080 x", "10.128.0.9:1e3", "", ":8080",
    "10.128.0.999:8080", "0.0.0.0:8080" };

/// Endpoint IDs of a registry that is followed while odd entries are written to it.
class EndpointRecorder : public DirectoryListener {
public:
    void onConfigurationRead(SessionConfiguration) override { }
    void onEvacuationsRead(const EvacuationsRead&) override { }
    bool onRegistryRead(const RegistryRead& read) override
    {
        this->ids.clear();
        for (const RegistryEntry& entry : read.entries)
            this->ids.push_back(entry.endpoint.id.str());
        return false;
    }
    void onSourceAvailabilityChanged(const std::string&) override { }
    void onFeedStep(const FeedStep&) override { }
    void onTableAnswered(const TableAnswered&) override { }

    std::vector<std::string> ids;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OddEntryTest)

// Guards against an odd entry that ends the process or is used as an endpoint.
BOOST_AUTO_TEST_CASE(RegistryEntry_OddValue_NamesNoEndpoint)
{
    BOOST_TEST(decodeRegistryEntry("i-1", objectText(entryFields())).has_value());
    for (const auto& [name, value] : entryFields()) {
        for (const std::string& odd : oddValues())
            BOOST_TEST(!decodeRegistryEntry("i-1", entryWith(name, odd)), name << ": " << odd.substr(0, 40));
        const bool isText = value.front() == '"';
        BOOST_TEST(!decodeRegistryEntry("i-1", entryWith(name, isText ? "7" : "\"7\"")), name);
    }
}

BOOST_AUTO_TEST_CASE(RegistryEntry_OddNumber_NamesNoEndpoint)
{
    for (const char* name : { "slots", "sequence", "born" }) {
        for (const char* odd : { "-1", "1.5", "18446744073709551616" })
            BOOST_TEST(!decodeRegistryEntry("i-1", entryWith(name, odd)), name << ": " << odd);
    }
}

BOOST_AUTO_TEST_CASE(RegistryEntry_OddAddress_NamesNoEndpoint)
{
    for (const std::string& address : oddAddresses)
        BOOST_TEST(!decodeRegistryEntry("i-1", entryWith("address", "\"" + address + "\"")), address);
}

// Guards against names that would end a line of the endpoints' protocol and begin another one.
BOOST_AUTO_TEST_CASE(RegistryEntry_NameWithControlCharactersOrBlanks_NamesNoEndpoint)
{
    for (const char* odd : { "", "a b", "a\r\nQUERY - STATUS", "a\tb", "a\x7f" }) {
        BOOST_TEST(!decodeRegistryEntry(odd, objectText(entryFields())), odd);
        std::string escaped;
        for (const char* character = odd; *character; ++character)
            escaped += *character == '\r' ? "\\r"
                : *character == '\n'      ? "\\n"
                : *character == '\t'      ? "\\t"
                                          : std::string(1, *character);
        BOOST_TEST(!decodeRegistryEntry("i-1", entryWith("service", "\"" + escaped + "\"")), odd);
    }
}

BOOST_AUTO_TEST_CASE(RegistryEntry_OddText_NamesNoEndpoint)
{
    for (const std::string& text : std::vector<std::string> { "", "\xff\xfe", std::string(1, '\0'), nested(deepest),
             std::string(deepest, '['), "{\"a\":" + nested(deepest), "7", "\"text\"", "[1]" })
        BOOST_TEST(!decodeRegistryEntry("i-1", text), text.substr(0, 40));
}

// Guards against a VM that stops following the registry after an odd entry.
BOOST_AUTO_TEST_CASE(Registry_OddEntriesBesideOthers_IsFollowedOn)
{
    boost::asio::io_context context;
    StoreStandIn store { context };
    StoreClient client { context, store.address() };
    DirectorySource source { context, client };
    EndpointRecorder recorder;
    const auto waitFor = [&context](const std::function<bool()>& condition) {
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (!condition() && std::chrono::steady_clock::now() < deadline)
            context.run_one_for(50ms);
        BOOST_TEST(condition());
    };
    store.put("servers", "odd-0", nested(deepest));
    store.put("servers", "i-1", objectText(entryFields()));
    source.start(recorder);
    waitFor([&recorder] { return recorder.ids == std::vector<std::string> { "i-1" }; });
    size_t number = 0;
    for (const std::string& odd : oddValues())
        store.put("servers", "odd-" + std::to_string(++number), entryWith("slots", odd));
    store.put("servers", "odd-port", entryWith("address", "\"10.128.0.9:99999\""));
    store.put("servers", "odd-bytes", "\xff\xfe");
    store.put("servers", "i-2", objectText(entryFields()));
    waitFor([&recorder] { return recorder.ids == std::vector<std::string> { "i-1", "i-2" }; });
}

// Guards against a configuration that ends the process or is applied in part.
BOOST_AUTO_TEST_CASE(Configuration_OddValue_IsRejected)
{
    for (const std::string& odd : oddValues()) {
        BOOST_CHECK_THROW(decodeConfiguration(R"({"version":)" + odd + R"(,"routes":[],"services":[]})"), Error);
        BOOST_CHECK_THROW(decodeConfiguration(R"({"version":4,"routes":[)" + odd + R"(],"services":[]})"), Error);
        BOOST_CHECK_THROW(
            decodeConfiguration(R"({"version":4,"routes":[],"services":[{"name":"g","max_connections":)" + odd + "}]}"),
            Error);
    }
    BOOST_CHECK_THROW(decodeConfiguration(nested(deepest)), Error);
}

// Guards against a row whose address stops the process when a message is sent to it.
BOOST_AUTO_TEST_CASE(MemberRow_OddValue_ListsNoVm)
{
    const Fields fields { { "vm", "\"a\"" }, { "data_centre", "\"dc\"" }, { "address", "\"10.0.0.1:7560\"" },
        { "processor", "100" }, { "until", "9000" } };
    const auto count = [](const std::string& text) {
        return FleetMembership::parseRows({ { "member/a", 1, text } }, 5000, {}).size();
    };
    BOOST_TEST(count(objectText(fields)) == 1U);
    for (size_t index = 0; index < fields.size(); ++index) {
        std::vector<std::string> odd = oddValues();
        if (fields[index].second.front() != '"')
            odd.insert(odd.end(), { "-1", "1.5", "18446744073709551616" });
        for (const std::string& value : odd) {
            Fields changed = fields;
            changed[index].second = value;
            BOOST_TEST(count(objectText(changed)) == 0U, fields[index].first << ": " << value.substr(0, 40));
        }
    }
    for (const std::string& address : oddAddresses) {
        Fields changed = fields;
        changed[2].second = "\"" + address + "\"";
        BOOST_TEST(count(objectText(changed)) == 0U, address);
    }
}

BOOST_AUTO_TEST_CASE(ShareLedger_OddValue_IsRejected)
{
    const Fields fields { { "run", "\"1\"" }, { "data_centre", "\"a\"" }, { "address", "\"10.0.0.1:7560\"" },
        { "processor", "100" }, { "until", "9" }, { "share", "5" } };
    const auto parse
        = [](const Fields& entry) { return ShareLedger::parse("{\"holders\":{\"vm\":" + objectText(entry) + "}}"); };
    BOOST_TEST(parse(fields).members().size() == 1U);
    for (size_t index = 0; index < fields.size(); ++index) {
        std::vector<std::string> odd = oddValues();
        if (fields[index].second.front() != '"')
            odd.insert(odd.end(), { "-1", "1.5", "18446744073709551616" });
        for (const std::string& value : odd) {
            Fields changed = fields;
            changed[index].second = value;
            BOOST_CHECK_THROW(parse(changed), Error);
        }
    }
    BOOST_CHECK_THROW(ShareLedger::parse(nested(deepest)), Error);
}

// Guards against a stack that overflows when a row is written again with what it holds.
BOOST_AUTO_TEST_CASE(RevocationRow_DeeplyNested_IsReplaced)
{
    const GroupId stock("stock");
    const std::string key = PromotionCoordinator::leaseKey(stock);
    for (const std::string& odd : oddValues()) {
        const TableRow row { key, 41, "{\"other\":" + odd + "}" };
        BOOST_TEST(!PromotionCoordinator::storedRevocation(row));
        const auto written
            = PromotionCoordinator::recordAgain({ { stock, { stock, EndpointId("i-2"), 7 } } }, { row }, 2);
        BOOST_REQUIRE(written.size() == 1U);
        const TableRow recorded { key, 42, written.front().writes.front().value };
        BOOST_TEST(PromotionCoordinator::storedRevocation(recorded)->endpoint == EndpointId("i-2"));
    }
}

// Guards against a VM that ends because another one is listed, or announced, with an address that it cannot use.
BOOST_AUTO_TEST_CASE(Datagram_ToOddAddress_IsDropped)
{
    boost::asio::io_context context;
    DatagramPeers peers(context, "127.0.0.1:0");
    for (const std::string& address : oddAddresses)
        BOOST_CHECK_NO_THROW(peers.send(address, LeaseRequest { 1 }));
}

BOOST_AUTO_TEST_SUITE_END()
