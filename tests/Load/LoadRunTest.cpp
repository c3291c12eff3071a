#include "Load/LoadRun.h"
#include "Check/HistoryChecker.h"
#include "Http/HttpServer.h"
#include "Load/LoadReport.h"
#include "Runtime/BootTime.h"
#include "StandIn/EndpointState.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace Lavendervane;
using Json = nlohmann::json;

BOOST_AUTO_TEST_SUITE(LoadRunTest)

/// Faults of the simulated VM. The selected fault affects one in ten requests.
enum class VmFault {
    None,
    LoseWrite,
    DoubleWrite,
    FalseNotRun,
    EmptyRead,
    CrossedAnswer,
    BreakConnection,
};

/// In-process VM with one database.
class SimulatedVm : public HttpHandler {
public:
    struct Shared {
        StandIn::EndpointState endpoint { "" };
        VmFault fault = VmFault::None;
        uint64_t requests = 0;
        std::string lastResults = "[]";
        std::set<std::string> authorizations;
        std::map<std::string, std::set<std::string>> vmsOfSession;
    };

    SimulatedVm(Shared& shared, std::string name)
        : shared(shared)
        , name(std::move(name))
    {
    }

    void handle(HttpRequest request, HttpRespond respond) override
    {
        this->shared.authorizations.insert(std::string(request["Authorization"]));
        const bool faulty = ++this->shared.requests % 10 == 0;
        const VmFault fault = faulty ? this->shared.fault : VmFault::None;
        const std::string session(request["Lavendervane-Session"]);
        if (!session.empty())
            this->shared.vmsOfSession[session].insert(this->name);
        const Json answer = this->answer(request, fault);
        if (fault == VmFault::BreakConnection)
            return;
        HttpResponse response = makeJsonResponse(200, answer.dump());
        response.set("Lavendervane-Session", session.empty() ? std::to_string(this->shared.requests) : session);
        respond(std::move(response));
    }

    HttpResponse makeErrorResponse(unsigned status, const std::string& reason) override
    {
        return makeJsonResponse(status, reason);
    }

private:
    Json answer(const HttpRequest& request, VmFault fault)
    {
        const Json body = Json::parse(request.body());
        const std::string path(request.target());
        const std::string key(request["Idempotency-Key"]);
        const Instant now = bootTimeNow();
        StandIn::EndpointState& endpoint = this->shared.endpoint;
        if (path == "/v1/execute" || path == "/v1/begin")
            this->transaction.emplace("o", endpoint.term(), endpoint.position(), body["access"] == "write");
        StandIn::RequestResult answer;
        const auto statements = StandIn::parseStatements(body.value("statements", Json::array()));
        const bool write = this->transaction->mayWrite();
        if (path == "/v1/execute") {
            const bool lost = fault == VmFault::LoseWrite && write;
            if (lost)
                answer.results = StandIn::Transaction(*this->transaction).run(statements, endpoint.data());
            else
                answer = endpoint.execute(*this->transaction, statements, key, "", now);
            if (fault == VmFault::DoubleWrite && write) {
                StandIn::Transaction duplicate("o", endpoint.term(), endpoint.position(), true);
                endpoint.execute(duplicate, statements, key + "-again", "", now);
            }
        } else if (path == "/v1/statement")
            answer = endpoint.runStatements(*this->transaction, statements);
        else if (path == "/v1/commit")
            answer = endpoint.commit(*this->transaction, key, "", Json::array(), now);
        return this->describe(answer, fault, write);
    }

    Json describe(StandIn::RequestResult answer, VmFault fault, bool write)
    {
        const std::string results = answer.results.dump();
        if (fault == VmFault::CrossedAnswer && answer.results.size() == 1)
            answer.results = Json::parse(this->shared.lastResults);
        if (fault == VmFault::EmptyRead && !write) {
            for (Json& result : answer.results)
                result["value"] = nullptr;
        }
        if (answer.results.size() == 1)
            this->shared.lastResults = results;
        const bool done = answer.code.empty() && !(fault == VmFault::FalseNotRun && write);
        return { { "outcome", done ? "done" : "not_run" }, { "results", answer.results },
            { "request_id", std::to_string(this->shared.requests) },
            { "served_by", { { "endpoint", "e" }, { "role", "primary" } } }, { "error", { { "code", answer.code } } } };
    }

    Shared& shared;
    std::string name;
    std::optional<StandIn::Transaction> transaction;
};

struct RunResult {
    History history;
    LoadFigures figures;
    std::set<std::string> rules;
};

struct SimulatedCluster {
    boost::asio::io_context context;
    SimulatedVm::Shared shared;
    std::vector<std::unique_ptr<HttpServer>> servers;
    std::vector<std::string> addresses;

    explicit SimulatedCluster(VmFault fault)
    {
        this->shared.fault = fault;
        this->shared.endpoint.startAsFirstPrimary(bootTimeNow());
        for (const char* name : { "a", "b", "c" }) {
            this->servers.push_back(std::make_unique<HttpServer>(this->context, HttpServerSettings { "127.0.0.1:0" },
                [this, name] { return std::make_shared<SimulatedVm>(this->shared, name); }));
            this->addresses.push_back("127.0.0.1:" + std::to_string(this->servers.back()->port()));
        }
    }

    RunResult run()
    {
        Workload workload;
        workload.keys = 5;
        workload.sessions = 10;
        OrganisationLoad load;
        load.name = "o";
        load.key = "lvk_o_secret";
        load.rate = 1500;
        load.pairShare = 0.2;
        load.interactiveShare = 0.1;
        load.groups = { "g" };
        workload.organisations = { load };
        LoadSettings settings;
        settings.vms = this->addresses;
        settings.duration = std::chrono::milliseconds(400);
        settings.run = "r";
        RunResult result;
        LoadReport report;
        LoadRun loadRun(this->context, settings, workload, [&](const HistoryEvent& event) {
            report.add(event);
            result.history.events.push_back(event);
            result.history.events.back().line = result.history.events.size();
        });
        bool finished = false;
        loadRun.setFinishedCallback([&finished] { finished = true; });
        loadRun.start();
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!finished && std::chrono::steady_clock::now() < deadline)
            this->context.run_one_for(std::chrono::milliseconds(100));
        BOOST_TEST(finished);
        FinalContent content;
        content.add("g", this->shared.endpoint.dump());
        content.buildIndex();
        for (const Violation& violation : checkHistory(result.history, content))
            result.rules.insert(violation.rule);
        result.figures = report.compute();
        return result;
    }
};

// The rate is a lower bound far below the expected 600 requests, because test machines may be busy.
BOOST_AUTO_TEST_CASE(Run_AtCorrectVms_GivesACleanHistory)
{
    SimulatedCluster cluster(VmFault::None);
    const RunResult result = cluster.run();
    BOOST_TEST(result.rules.empty());
    const OrganisationFigures& figures = result.figures.organisations.at("o");
    BOOST_TEST(figures.sent > 200U);
    // Interactive transactions that access the same keys may be rejected.
    BOOST_TEST(figures.done + figures.notRun == figures.sent);
    BOOST_TEST(figures.unknown == 0U);
    BOOST_TEST(cluster.shared.authorizations.size() == 1U);
    BOOST_TEST(*cluster.shared.authorizations.begin() == "Bearer lvk_o_secret");
}

// Stale reads served by another VM are only detected if a session moves between VMs.
BOOST_AUTO_TEST_CASE(Session_OfManyRequests_VisitsAllVmsWithItsToken)
{
    SimulatedCluster cluster(VmFault::None);
    cluster.run();
    size_t sessionsAtAllVms = 0;
    for (const auto& [session, vms] : cluster.shared.vmsOfSession)
        sessionsAtAllVms += vms.size() == 3;
    BOOST_TEST(sessionsAtAllVms >= 10U);
}

struct FaultCase {
    VmFault fault;
    std::string rule;
};

// The load generator and the checker must detect each fault together; otherwise a run without violations proves
// nothing.
BOOST_AUTO_TEST_CASE(Run_AtFaultyVms_IsReportedByTheChecker)
{
    const std::vector<FaultCase> cases = {
        { VmFault::LoseWrite, "lost_write" },
        { VmFault::DoubleWrite, "double_write" },
        { VmFault::FalseNotRun, "false_not_run" },
        { VmFault::EmptyRead, "stale_read" },
        { VmFault::CrossedAnswer, "crossed_answer" },
    };
    for (const FaultCase& example : cases)
        BOOST_TEST(SimulatedCluster(example.fault).run().rules.contains(example.rule), example.rule);
}

// A write whose response is lost is retried at another VM with the same idempotency key and must run only once.
BOOST_AUTO_TEST_CASE(Run_WithBrokenConnections_RetriesAtAnotherVmOnce)
{
    const RunResult result = SimulatedCluster(VmFault::BreakConnection).run();
    BOOST_TEST(result.rules.empty());
    std::map<std::string, std::vector<const HistoryEvent*>> attempts;
    size_t retried = 0;
    for (const HistoryEvent& event : result.history.events) {
        if (!event.idempotencyKey.empty())
            attempts[event.idempotencyKey].push_back(&event);
    }
    for (const auto& [key, events] : attempts) {
        BOOST_TEST(events.size() <= 2U);
        if (events.size() < 2)
            continue;
        ++retried;
        BOOST_TEST(events[0]->vm != events[1]->vm);
        BOOST_TEST((events[0]->outcome == Outcome::Unknown));
    }
    BOOST_TEST(retried > 5U);
}

// An unreachable VM must not stop the run: its requests are retried at the next VM.
BOOST_AUTO_TEST_CASE(Run_WithADeadVm_IsServedByTheOthers)
{
    SimulatedCluster cluster(VmFault::None);
    cluster.servers[0].reset();
    const RunResult result = cluster.run();
    BOOST_TEST(result.rules.empty());
    BOOST_TEST(result.figures.organisations.at("o").servedShare > 0.95);
}

BOOST_AUTO_TEST_SUITE_END()
