#include "Core/Error.h"
#include "Peer/GrpcServer.h"
#include "Peer/PeerClient.h"
#include "Peer/PeerService.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(PeerTest)

static GossipMessage makeGossipMessage(const std::string& vm)
{
    GossipMessage message;
    message.from = { VmId(vm), "127.0.0.1:7000", DataCentre("szeged"), 17, MemberState::Leaving };
    message.updates = { { VmId("vm-7"), "127.0.0.1:7007", DataCentre("csongrad"), 3, MemberState::Suspect } };
    message.configurationVersion = 12;
    message.views = { { GroupId("stock"), { 4, VmId("vm-7") }, EndpointId("stock-b") },
        { GroupId("orders"), { 2, VmId("vm-8") }, std::nullopt } };
    return message;
}

/// Records calls. Stores the replies to probes in `heldReplies` while `holdsReplies` is set.
struct RecordingHandler : PeerHandler {
    void probe(GossipMessage message, ProbeReply reply) override
    {
        this->probes.push_back(std::move(message));
        if (this->holdsReplies)
            this->heldReplies.push_back(std::move(reply));
        else
            reply(makeGossipMessage(this->name));
    }
    void relayProbe(Member target, GossipMessage message, RelayReply reply) override
    {
        this->relayTargets.push_back(std::move(target));
        this->probes.push_back(std::move(message));
        reply(this->isTargetAnswering ? std::optional(makeGossipMessage("target")) : std::nullopt);
    }
    void fetchChanges(uint64_t fromVersion, ChangesReply reply) override
    {
        ChangesAnswer answer;
        answer.version = fromVersion + 1;
        Change change;
        change.previousVersion = fromVersion;
        change.version = fromVersion + 1;
        change.id = "change";
        change.organisations = { { OrganisationId("shop"), {}, { 5, 6 }, 2 } };
        answer.changes = { change };
        reply(std::move(answer));
    }

    void requestGrant(GrantRequest request, GrantReply reply) override
    {
        this->grantRequests.push_back(request);
        reply({ true, request.holder,
            { request.epoch, request.sequence, 60s, true, { { OrganisationId("shop"), { 1500, 700 }, 250 } } } });
    }
    void claimAllocator(AllocatorClaim claim, ClaimReply reply) override
    {
        this->claims.push_back(claim);
        reply({ false, { VmId("server"), 17, 9, 4, { { OrganisationId("shop"), { 1, 2 }, { 3, 4 }, 5 } } } });
    }

    std::string name = "server";
    std::vector<GrantRequest> grantRequests;
    std::vector<AllocatorClaim> claims;
    bool holdsReplies = false;
    bool isTargetAnswering = true;
    std::vector<GossipMessage> probes;
    std::vector<Member> relayTargets;
    std::vector<ProbeReply> heldReplies;
};

/// A peer service and a client that share one io_context.
struct PeerFixture {
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work = make_work_guard(context);
    RecordingHandler handler;
    PeerService service { context, handler, "the-secret-of-peers" };
    std::unique_ptr<GrpcServer> server
        = std::make_unique<GrpcServer>("127.0.0.1:0", std::vector { &service.service() });
    std::string address = "127.0.0.1:" + std::to_string(server->port());
    // Long timeouts, so that calls which are expected to succeed do not time out on a busy machine.
    PeerClient client { context, "the-secret-of-peers", { 4000ms, 4000ms, 4000ms } };

    ~PeerFixture()
    {
        this->handler.heldReplies.clear();
        this->context.poll();
        this->server.reset();
    }

    template <typename Result, typename Start> Result await(Start start)
    {
        std::optional<Result> result;
        start([&result](Result value) { result = std::move(value); });
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (!result && std::chrono::steady_clock::now() < deadline)
            this->context.run_one_for(100ms);
        BOOST_REQUIRE(result);
        return *result;
    }

    std::optional<GossipMessage> probe(PeerClient& from)
    {
        return this->await<std::optional<GossipMessage>>(
            [&](auto done) { from.probe(this->address, makeGossipMessage("client"), done); });
    }
};

BOOST_FIXTURE_TEST_CASE(Probe_Answered_CarriesMessagesBothWays, PeerFixture)
{
    const auto answer = probe(client);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST((*answer == makeGossipMessage("server")));
    BOOST_REQUIRE(handler.probes.size() == 1U);
    BOOST_TEST((handler.probes[0] == makeGossipMessage("client")));
}

// A process without the secret must not be able to change membership or group views.
BOOST_FIXTURE_TEST_CASE(Probe_WrongSecret_IsRejectedBeforeTheHandler, PeerFixture)
{
    PeerClient clientWithWrongSecret(context, "another-secret");
    BOOST_TEST(!probe(clientWithWrongSecret).has_value());
    PeerClient clientWithoutSecret(context, "");
    BOOST_TEST(!probe(clientWithoutSecret).has_value());
    BOOST_TEST(handler.probes.empty());
}

// Guards against matching a late answer to the next probe.
BOOST_FIXTURE_TEST_CASE(Probe_AnswerIsLate_FailsInTimeAndTheNextGetsItsOwn, PeerFixture)
{
    PeerClient shortTimeoutClient(context, "the-secret-of-peers", { 300ms, 250ms, 1000ms });
    handler.holdsReplies = true;
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(!probe(shortTimeoutClient).has_value());
    BOOST_REQUIRE(handler.heldReplies.size() == 1U);
    BOOST_TEST((std::chrono::steady_clock::now() - start < 1s));
    handler.holdsReplies = false;
    handler.name = "current";
    handler.heldReplies.at(0)(makeGossipMessage("late"));
    const auto answer = probe(client);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->from.vm == VmId("current"));
}

// Guards against a channel in connection backoff, which would fail probes for seconds after a peer has restarted.
BOOST_FIXTURE_TEST_CASE(Probe_ServerRestarted_SucceedsAtOnce, PeerFixture)
{
    const std::string oldAddress = address;
    server.reset();
    BOOST_TEST(!probe(client).has_value());
    BOOST_TEST(client.channelCount() == 0U);
    server = std::make_unique<GrpcServer>(oldAddress, std::vector { &service.service() });
    BOOST_TEST(probe(client).has_value());
}

BOOST_FIXTURE_TEST_CASE(IndirectProbe_TargetAnswers_ReturnsItsMessage, PeerFixture)
{
    const Member target { VmId("vm-9"), "127.0.0.1:7009", DataCentre("szeged"), 1, MemberState::Alive };
    const auto answer = await<std::optional<GossipMessage>>(
        [&](auto done) { client.probeThrough(address, target, makeGossipMessage("client"), done); });
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->from.vm == VmId("target"));
    BOOST_REQUIRE(handler.relayTargets.size() == 1U);
    BOOST_TEST((handler.relayTargets[0] == target));
}

BOOST_FIXTURE_TEST_CASE(IndirectProbe_TargetDoesNotAnswer_Fails, PeerFixture)
{
    handler.isTargetAnswering = false;
    const Member target { VmId("vm-9"), "127.0.0.1:7009", DataCentre("szeged"), 1, MemberState::Alive };
    BOOST_TEST(!await<std::optional<GossipMessage>>([&](auto done) {
        client.probeThrough(address, target, makeGossipMessage("client"), done);
    }).has_value());
}

BOOST_FIXTURE_TEST_CASE(FetchChanges_Answered_CarriesTheChange, PeerFixture)
{
    const auto answer = await<std::optional<ChangesAnswer>>([&](auto done) { client.fetchChanges(address, 41, done); });
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->version == 42U);
    BOOST_REQUIRE(answer->changes.size() == 1U);
    BOOST_TEST(answer->changes[0].organisations.at(0).limit.burst == 6U);
}

// If the conversion lost a field, two VMs could use the same capacity.
BOOST_FIXTURE_TEST_CASE(RequestGrant_Answered_CarriesAllFieldsBothWays, PeerFixture)
{
    const GrantRequest request { VmId("client"), 5, 8, 13, { { OrganisationId("shop"), { 1, 2 }, { 3, 4 }, 5 } } };
    const auto answer
        = await<std::optional<AnswerGrant>>([&](auto done) { client.requestGrant(address, request, done); });
    BOOST_REQUIRE(answer.has_value());
    const GrantResponse expected { 8, 13, 60s, true, { { OrganisationId("shop"), { 1500, 700 }, 250 } } };
    BOOST_TEST((answer->response == expected));
    BOOST_TEST(answer->accepted);
    BOOST_REQUIRE(handler.grantRequests.size() == 1U);
    BOOST_TEST((handler.grantRequests[0] == request));
}

BOOST_FIXTURE_TEST_CASE(ClaimAllocator_Refused_CarriesTheHigherEpoch, PeerFixture)
{
    const AllocatorClaim claim { DataCentre("szeged"), VmId("client"), 7, OrganisationId("shop") };
    const auto answer
        = await<std::optional<AnswerClaim>>([&](auto done) { client.claimAllocator(address, claim, done); });
    BOOST_REQUIRE(answer.has_value());
    const AnswerClaim expected { false,
        { VmId("server"), 17, 9, 4, { { OrganisationId("shop"), { 1, 2 }, { 3, 4 }, 5 } } } };
    BOOST_TEST((*answer == expected));
    BOOST_REQUIRE(handler.claims.size() == 1U);
    BOOST_TEST((handler.claims[0] == claim));
}

// A callback after the client's destruction would access freed control state.
BOOST_FIXTURE_TEST_CASE(Client_DestroyedDuringCall_DoesNotCallBack, PeerFixture)
{
    handler.holdsReplies = true;
    bool called = false;
    {
        PeerClient shortLived(context, "the-secret-of-peers");
        shortLived.probe(address, makeGossipMessage("client"), [&called](const auto&) { called = true; });
    }
    context.run_for(400ms);
    BOOST_TEST(!called);
}

BOOST_FIXTURE_TEST_CASE(Server_AddressInUse_ThrowsWithTheAddress, PeerFixture)
{
    BOOST_CHECK_EXCEPTION(GrpcServer(address, { &service.service() }), Error,
        [this](const Error& error) { return error.step() == "listen" && error.peer() == address; });
}

BOOST_AUTO_TEST_SUITE_END()
