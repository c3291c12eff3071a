#include "Traffic/TrafficFixture.h"

#include <boost/test/unit_test.hpp>
#include <grpcpp/grpcpp.h>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(ForwardTest)

/// gRPC server of the VM that owns the endpoints.
class PeerServer {
public:
    explicit PeerServer(grpc::Service& service)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &this->port);
        builder.RegisterService(&service);
        this->server = builder.BuildAndStart();
    }
    ~PeerServer() { this->stop(); }

    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    void stop() { this->server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(100)); }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

private:
    int port = 0;
    std::unique_ptr<grpc::Server> server;
};

/// Two VMs: "vm-1" of the base fixture owns all endpoints, and "vm-2" forwards requests to it.
struct TwoVms : TrafficFixture {
    explicit TwoVms(const std::string& secret = "peer")
        : peer(server.forwardService())
        , second(secondSettings(secret), admission, observer, *secondRegistry)
    {
        replicate(100);
        publishSecond({ VmId("vm-1") });
        second.start();
    }
    ~TwoVms() { second.stop(); }

    static TrafficSettings secondSettings(const std::string& secret)
    {
        TrafficSettings settings = defaultSettings();
        settings.peerSecret = secret;
        return settings;
    }

    void publishSecond(const std::vector<VmId>& owners)
    {
        auto snapshot = makeSnapshot(1, 0);
        snapshot->self = VmId("vm-2");
        snapshot->peers[VmId("vm-1")] = { VmId("vm-1"), peer.address(), DataCentre("dc-1"), false };
        for (auto& [name, routing] : snapshot->endpoints)
            routing.owners = owners;
        second.publish(snapshot);
    }

    PeerServer peer;
    std::shared_ptr<prometheus::Registry> secondRegistry = std::make_shared<prometheus::Registry>();
    TrafficServer second;
};

struct TwoVmsWithDifferentSecrets : TwoVms {
    TwoVmsWithDifferentSecrets()
        : TwoVms("other")
    {
    }
};

BOOST_FIXTURE_TEST_CASE(Forward_WriteAndRead_RunAtTheOwner, TwoVms)
{
    CallerClient client(second.port());
    const auto written = write(client);
    BOOST_TEST(written.outcome() == "done");
    BOOST_TEST(endpoints[0].writesRun() == 1U);
    const auto reply = read(client, headers(deskKey, written.session));
    BOOST_TEST(reply.outcome() == "done");
    BOOST_TEST(reply.body["results"][0] == "result");
}

BOOST_FIXTURE_TEST_CASE(Forward_EndpointRejects_PassesTheReason, TwoVms)
{
    endpoints[0].setDefaultMode(ResponseMode::Busy);
    CallerClient client(second.port());
    const auto reply = write(client, { { "Lavendervane-Timeout-Ms", "200" } });
    BOOST_TEST(reply.outcome() == "not_run");
    BOOST_TEST(reply.code() == "busy");
}

BOOST_FIXTURE_TEST_CASE(Forward_Transaction_CommitsAtTheOwner, TwoVms)
{
    CallerClient client(second.port());
    BOOST_TEST(client.post("/v1/begin", writeBody, headers(deskKey)).outcome() == "done");
    BOOST_TEST(client.post("/v1/statement", writeBody, headers(deskKey)).outcome() == "done");
    BOOST_TEST(client.post("/v1/commit", "{}", headers(deskKey)).outcome() == "done");
    BOOST_TEST(endpoints[0].writesRun() == 1U);
    BOOST_TEST(eventually([this] { return server.running() == 0; }));
}

// When a caller disconnects, its forwarded transaction must release the endpoint connection.
BOOST_FIXTURE_TEST_CASE(Forward_CallerGoneInTransaction_RollsBack, TwoVms)
{
    CallerClient client(second.port());
    client.post("/v1/begin", writeBody, headers(deskKey));
    client.close();
    BOOST_TEST(eventually([this] { return server.running() == 0; }));
    BOOST_TEST(eventually([this] { return endpoints[0].connections() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(Forward_FirstOwnerDown_SecondOwnerServes, TwoVms)
{
    publishSecond({ VmId("vm-1"), VmId("vm-2") });
    peer.stop();
    CallerClient client(second.port());
    BOOST_TEST(write(client).outcome() == "done");
    BOOST_TEST(endpoints[0].writesRun() == 1U);
}

// A VM with a wrong peer secret must not reach the endpoints of other VMs.
BOOST_FIXTURE_TEST_CASE(Forward_WrongSecret_IsNotRun, TwoVmsWithDifferentSecrets)
{
    CallerClient client(second.port());
    const auto reply = write(client, { { "Lavendervane-Timeout-Ms", "300" } });
    BOOST_TEST(reply.outcome() == "not_run");
    BOOST_TEST(reply.code() == "peer_unreachable");
    BOOST_TEST(client.post("/v1/begin", writeBody, headers(deskKey)).outcome() != "done");
    BOOST_TEST(endpoints[0].requests("/execute").empty());
    BOOST_TEST(endpoints[0].requests("/begin").empty());
}

BOOST_AUTO_TEST_SUITE_END()
