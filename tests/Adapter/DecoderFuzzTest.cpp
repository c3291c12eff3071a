#include "DirectorySource.h"
#include "SettingsFile.h"
#include "StoreClient.h"
#include "Wire.h"

#include "Core/Error.h"
#include "Core/RandomGenerator.h"
#include "Fleet/FleetMembership.h"
#include "Limits/ShareLedger.h"
#include "Peers/PeerMessages.h"
#include "Promotion/PromotionCoordinator.h"
#include "Relay/RelayMessages.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

using namespace Lavendervane;
using namespace Lavendervane::Adapter;

namespace {

/// A decoder and valid input for it. It may throw Error, which its callers handle.
struct DecoderCase {
    std::string name;
    std::string input;
    std::function<void(const std::string&)> decode;
};

/// Returns the input with some bytes replaced, removed, inserted or repeated, or with a value of another type.
std::string mutate(std::string bytes, RandomGenerator& random)
{
    static const std::vector<std::string> tokens { "null", "-1", "1e400", "18446744073709551616", "[]", "{}", "\"\"",
        "true", "\xff\xfe", std::string(1, '\0'), "[[[[", "99999999999999999999999" };
    const uint64_t changes = 1 + random.below(uint64_t { 4 });
    for (uint64_t change = 0; change < changes && !bytes.empty(); ++change) {
        const size_t at = random.below(bytes.size());
        switch (random.below(uint64_t { 6 })) {
        case 0:
            bytes[at] = static_cast<char>(random.below(uint64_t { 256 }));
            break;
        case 1:
            bytes.erase(at, 1 + random.below(uint64_t { 8 }));
            break;
        case 2:
            bytes.insert(at, tokens[random.below(tokens.size())]);
            break;
        case 3:
            bytes.resize(at);
            break;
        case 4:
            bytes.insert(at, bytes.substr(at, random.below(uint64_t { 64 })));
            break;
        default: {
            // Replaces a value between a colon and the next comma or brace.
            const size_t colon = bytes.find(':', at);
            const size_t end = colon == std::string::npos ? colon : bytes.find_first_of(",}", colon);
            if (end != std::string::npos)
                bytes.replace(colon + 1, end - colon - 1, tokens[random.below(tokens.size())]);
        }
        }
    }
    return bytes;
}

std::vector<DecoderCase> makeCases()
{
    const std::string leaseKey = PromotionCoordinator::leaseKey(GroupId("stock"));
    std::vector<DecoderCase> cases {
        { "configuration",
            R"({"version":7,"routes":[{"name":"r","database":"d","route_type":"primary","timeout_ms":800,"service":"g",
                "priority":1,"public":false}],"services":[{"name":"g","max_connections":36,"sync_replicas":0}],
                "limits":{"tx_idle_ms":3000},"tenants":[{"name":"o","api_keys":["k"],"rate_per_s":9,"burst":9}]})",
            [](const std::string& bytes) { decodeConfiguration(bytes); } },
        { "registry entry",
            R"({"service":"g","address":"10.1.0.9:8080","zone":"a","version":"v1","slots":2,"state":"ready",
                "cold_remaining_ms":0,"db_role":"replica","sequence":4,"born":1700000000000})",
            [](const std::string& bytes) { decodeRegistryEntry("i-1", bytes); } },
        { "rows", R"({"rows":[{"key":"a","value":"bm9kZS0w","ver":4,"deleted":false}],"ver":9,"now_ms":51230})",
            [](const std::string& bytes) { decodeStoreRows(bytes); } },
        { "settings",
            "node_name=a\nip=10.1.0.26\nzone=a\nlisten_addrs.front=10.1.0.26:8465\nlisten_addrs.ready=10.1.0.26:8460\n"
            "internal_ports=7560,7575\nplatform.address=10.200.1.7:8466\ncloud.address=10.200.0.2:8466\n"
            "bounds.grace_s=6\nbounds.drain_ms=7000\nbounds.quota_window_s=5\nbounds.quota_overage=0.1\n"
            "bounds.quota_slack=20\nlimits.cpu_share=0.17\nheartbeat_ms=1200\nbounds.fencing_required=true\n",
            [](const std::string& bytes) { parseVmSettings(bytes); } },
        { "share ledger",
            R"({"holders":{"vm":{"run":"1","data_centre":"a","address":"x","processor":100,"until":9,"share":5}},
                "generation":2,"settles_at":7})",
            [](const std::string& bytes) { ShareLedger::parse(bytes); } },
        { "member row", R"({"vm":"a","data_centre":"dc","address":"10.0.0.1:7560","processor":100,"until":9000})",
            [](const std::string& bytes) {
                FleetMembership::parseRows({ { "member/a", 1, bytes } }, 5000, {});
            } },
        { "revocation row", R"({"holder":"vm","run":"1","until":9000,"generation":1,"revoked":"i-1"})",
            [leaseKey](const std::string& bytes) {
                const TableRow row { leaseKey, 41, bytes };
                PromotionCoordinator::storedRevocation(row);
                const GroupId stock("stock");
                PromotionCoordinator::recordAgain(
                    { { stock, { stock, EndpointId("i-2"), ~uint64_t { 0 } } } }, { row }, 2);
            } },
    };
    for (const char* line : { "CONNECT lepu270 u3f1", "QUERY 5c0e AFTER 3.1207 READ 1a4", "QUERY 5c0e BEGIN READ",
             "QUERY 5c0e PREPARE s1 WRITE q2c", "QUERY 5c0e EXECUTE s1 1a4 x", "QUERY 5c0e SET a b", "BYE" })
        cases.push_back({ "caller's line", line, [](const std::string& bytes) { decodeCallerMessage(bytes); } });
    for (const char* line :
        { "ROW replica 3 3.1209 0 12 2 17", "COMPLETE 7.1f3", "ERROR READONLY i-7f", "READY E 3.1209" })
        cases.push_back({ "endpoint's line", line, [](const std::string& bytes) {
                             AnswerDecoder decoder;
                             decoder.add(bytes);
                             decoder.add("READY I 3.1209");
                             decoder.take();
                         } });
    const PrimaryRevocation revocation { GroupId("g"), EndpointId("e"), 7 };
    for (const PeerMessage& message : std::vector<PeerMessage> { TokenRequest { 1, OrganisationId("o"), 500, true },
             LeaseReply { 1, true, 30, { revocation } }, ConfirmationReply { 1, 12, { revocation } },
             RevocationRequest { 1, revocation }, PromotionNotice { GroupId("g"), EndpointId("e"), 900 },
             MemberAnnouncement { { VmId("v"), DataCentre("d"), "10.0.0.1:7560", 170 } } }) {
        cases.push_back({ "datagram", encodePeerMessage(message), [](const std::string& bytes) {
                             decodePeerMessage(bytes);
                             decodeRelayMessage(bytes);
                         } });
    }
    return cases;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DecoderFuzzTest)

// Guards against one malformed message that ends the process.
BOOST_AUTO_TEST_CASE(Decoders_MutatedInput_ThrowOnlyErrors)
{
    constexpr int roundsPerCase = 5'000;
    RandomGenerator random(1);
    for (const DecoderCase& decoder : makeCases()) {
        BOOST_CHECK_NO_THROW(decoder.decode(decoder.input));
        for (int round = 0; round < roundsPerCase; ++round) {
            const std::string bytes = mutate(decoder.input, random);
            try {
                decoder.decode(bytes);
            } catch (const Error&) {
                continue; // the callers of the decoders handle it
            } catch (const std::exception& error) {
                BOOST_ERROR(decoder.name << " throws " << error.what() << " for " << bytes);
            }
        }
    }
}

// Guards against a stack that overflows on a message of another VM. CBOR opens an array with one byte.
BOOST_AUTO_TEST_CASE(Messages_DeeplyNested_AreRejected)
{
    for (const size_t depth : { 100U, 1'000U, 100'000U, 4'000'000U }) {
        for (const char* opening : { "\x81", "\xa1\x61\x61", "\x9f", "\xbf\x61\x61" }) {
            std::string bytes;
            while (bytes.size() < depth)
                bytes += opening;
            BOOST_TEST(!decodeRelayMessage(bytes));
            BOOST_TEST(!decodePeerMessage(bytes));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
