#include "Session/SessionToken.h"
#include "Traffic/TrafficFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(CallerInputTest)

static std::string makeRequest(const std::string& start, const std::string& headers, const std::string& body)
{
    return start + " HTTP/1.1\r\nHost: vm\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

// Malformed input must be rejected as not_run, reach no endpoint and leave the VM able to serve further requests.
BOOST_FIXTURE_TEST_CASE(Input_Rejected_IsNotRunAndReachesNoEndpoint, TrafficFixture)
{
    replicate(100);
    struct Row {
        const char* name;
        std::string bytes;
        unsigned status;
        const char* code;
    };
    const std::string path = "POST /v1/execute";
    const std::string key = "Authorization: Bearer " + deskKey.text() + "\r\n";
    const std::string kiosk = "Authorization: Bearer " + kioskKey.text() + "\r\n";
    const auto session = [](const std::string& text) { return "Lavendervane-Session: " + text + "\r\n"; };
    const std::string foreign = SessionToken(OrganisationId("kiosk")).encode("session");
    const std::string forged = SessionToken(OrganisationId("desk")).encode("guess");
    SessionToken full(OrganisationId("desk"));
    for (int index = 0; index < 64; ++index)
        full.merge(GroupId("group-" + std::to_string(index)), {});
    KeyText wrongSecret = KeyText::generate(deskKey.id);
    const Row rows[] = {
        { "not HTTP", "garbage\r\n\r\n", 400, "bad_request" },
        { "oversized body", makeRequest(path, key, std::string(1100000, ' ')), 413, "body_too_large" },
        { "oversized header", makeRequest(path, "A: " + std::string(20000, 'a') + "\r\n", ""), 431,
            "header_too_large" },
        { "unknown path", makeRequest("POST /v2", key, writeBody), 404, "unknown_path" },
        { "GET", makeRequest("GET /v1/execute", key, ""), 400, "bad_request" },
        { "not JSON", makeRequest(path, key, "{"), 400, "bad_request" },
        { "not UTF-8", makeRequest(path, key, "{\"group\":\"\xff\"}"), 400, "bad_request" },
        { "nested too deeply", makeRequest(path, key, std::string(500000, '[')), 400, "bad_request" },
        { "not an object", makeRequest(path, key, "[]"), 400, "bad_request" },
        { "no group", makeRequest(path, key, R"({"access":"read","statements":[]})"), 400, "bad_request" },
        { "wrong access", makeRequest(path, key, R"({"group":"lanes","access":"x","statements":[]})"), 400,
            "bad_request" },
        { "no statements", makeRequest(path, key, R"({"group":"lanes","access":"read"})"), 400, "bad_request" },
        { "wrong timeout", makeRequest(path, key + "Lavendervane-Timeout-Ms: soon\r\n", writeBody), 400,
            "bad_request" },
        { "wrong consistency", makeRequest(path, key + "Lavendervane-Consistency: any\r\n", writeBody), 400,
            "bad_request" },
        { "wrong idempotency key",
            makeRequest(path, key + "Idempotency-Key: " + std::string(200, 'k') + "\r\n", writeBody), 400,
            "bad_request" },
        { "no key", makeRequest(path, "", writeBody), 401, "key_required" },
        { "other scheme", makeRequest(path, "Authorization: Basic eA==\r\n", writeBody), 401, "invalid_key" },
        { "malformed key", makeRequest(path, "Authorization: Bearer lvk_\r\n", writeBody), 401, "invalid_key" },
        { "unknown key",
            makeRequest(path, "Authorization: Bearer " + KeyText::generate(KeyId("x")).text() + "\r\n", writeBody), 401,
            "invalid_key" },
        { "wrong secret", makeRequest(path, "Authorization: Bearer " + wrongSecret.text() + "\r\n", writeBody), 401,
            "invalid_key" },
        { "write without route", makeRequest(path, kiosk, writeBody), 403, "not_allowed" },
        { "group without route", makeRequest(path, key, R"({"group":"private","access":"read","statements":[]})"), 403,
            "not_allowed" },
        { "unknown group", makeRequest(path, key, R"({"group":"none","access":"read","statements":[]})"), 404,
            "unknown_group" },
        { "forged session", makeRequest(path, key + session(forged), writeBody), 400, "invalid_session" },
        { "foreign session", makeRequest(path, key + session(foreign), writeBody), 400, "invalid_session" },
        { "malformed session", makeRequest(path, key + session("x"), writeBody), 400, "invalid_session" },
        { "session without room", makeRequest(path, key + session(full.encode("session")), writeBody), 400,
            "session_too_large" },
        { "no transaction", makeRequest("POST /v1/commit", key, "{}"), 409, "no_transaction" },
    };
    for (const Row& row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            CallerClient client(server.port());
            const auto reply = client.sendRaw(row.bytes);
            BOOST_TEST(reply.status == row.status);
            BOOST_TEST(reply.outcome() == "not_run");
            BOOST_TEST(reply.code() == row.code);
        }
    }
    for (FakeEndpoint& endpoint : endpoints)
        BOOST_TEST(endpoint.requests("/execute").empty());
    CallerClient client(server.port());
    BOOST_TEST(write(client).outcome() == "done");
}

// A client that stops in the middle of a request must not delay other clients.
BOOST_FIXTURE_TEST_CASE(Input_IncompleteRequests_DoNotStallOthers, TrafficFixture)
{
    replicate(100);
    std::vector<std::unique_ptr<CallerClient>> slow;
    for (int count = 0; count < 20; ++count) {
        slow.push_back(std::make_unique<CallerClient>(server.port()));
        slow.back()->sendPart("POST /v1/execute HTTP/1.1\r\nContent-Length: 100\r\n\r\n{");
    }
    CallerClient client(server.port());
    BOOST_TEST(write(client, { { "Lavendervane-Timeout-Ms", "2000" } }).outcome() == "done");
}

// A withdrawn key must stop working on connections that are already open.
BOOST_FIXTURE_TEST_CASE(Key_WithdrawnBetweenTwoRequests_IsRejected, TrafficFixture)
{
    replicate(100);
    CallerClient client(server.port());
    BOOST_TEST(write(client).outcome() == "done");
    configuration.keys.erase(deskKey.id);
    publish(1, 0);
    BOOST_TEST(eventually([&] { return write(client).code() == "invalid_key"; }));
    BOOST_TEST(write(client).status == 401U);
}

BOOST_FIXTURE_TEST_CASE(Key_ConfigurationTooOld_IsRejectedExceptOnOpenRoutes, TrafficFixture)
{
    auto snapshot = makeSnapshot(1, 0);
    snapshot->keysValid = false;
    server.publish(snapshot);
    CallerClient client(server.port());
    BOOST_TEST(eventually([&] { return write(client).code() == "configuration_too_old"; }));
    const auto open = client.post("/v1/execute", R"({"group":"notices","access":"read","statements":[]})");
    BOOST_TEST(open.outcome() == "done");
}

BOOST_FIXTURE_TEST_CASE(OpenRoute_WithoutKey_AllowsOnlyWhatTheRouteAllows, TrafficFixture)
{
    CallerClient client(server.port());
    const auto read = client.post("/v1/execute", R"({"group":"notices","access":"read","statements":[]})");
    BOOST_TEST(read.outcome() == "done");
    BOOST_TEST(endpoints[0].requests("/execute")[0]["organisation"] == "kiosk");
    const auto write = client.post("/v1/execute", R"({"group":"notices","access":"write","statements":[]})");
    BOOST_TEST(write.code() == "key_required");
}

BOOST_FIXTURE_TEST_CASE(Endpoint_AfterKeyedRequests_HasSeenNoKey, TrafficFixture)
{
    replicate(100);
    CallerClient client(server.port());
    const auto written = write(client);
    read(client, headers(deskKey, written.session));
    client.post("/v1/begin", writeBody, headers(deskKey));
    client.post("/v1/commit", "{}", headers(deskKey));
    for (FakeEndpoint& endpoint : endpoints) {
        const std::string seen = endpoint.allRequestText();
        BOOST_TEST(seen.find(deskKey.secret) == std::string::npos);
        BOOST_TEST(seen.find("Authorization") == std::string::npos);
        BOOST_TEST(seen.find(deskKey.digest("digest")) == std::string::npos);
    }
    BOOST_TEST(endpoints[0].requests("/commit").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
