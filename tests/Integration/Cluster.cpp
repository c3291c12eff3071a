#include "Integration/Cluster.h"

#include "Http/Address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <list>
#include <stdexcept>
#include <thread>

namespace Lavendervane {

using namespace std::chrono_literals;

static const char* const operatorSecret = "operator-secret-of-the-tests";

namespace {

/// Finds free ports of 127.0.0.1. Keeps them bound until destruction, so that no port is returned twice.
class PortAllocator {
public:
    std::string next()
    {
        this->acceptors.emplace_back(
            this->context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        return formatAddress(this->acceptors.back().local_endpoint());
    }

private:
    boost::asio::io_context context;
    std::list<boost::asio::ip::tcp::acceptor> acceptors;
};

} // namespace

void waitUntil(const std::string& description, std::chrono::milliseconds limit, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            throw std::runtime_error("timed out after " + std::to_string(limit.count()) + " ms: " + description);
        std::this_thread::sleep_for(20ms);
    }
}

Cluster::Cluster(const ClusterSettings& settings)
    : settings(settings)
{
    const auto& test = boost::unit_test::framework::current_test_case();
    this->directory = std::string(LAVENDERVANE_BINARY_DIR) + "/integration-logs/" + test.p_name.get();
    std::filesystem::remove_all(this->directory);
    std::filesystem::create_directories(this->directory);
    this->allocateAddresses();
    this->startStandIns();
    for (size_t vm = 0; vm < this->vms.size(); ++vm)
        this->startVm(vm);
    this->declaration = this->makeDeclaration();
    waitUntil("the operator service answers", 20s, [this] { return this->runOperatorTool({ "get" }).exitCode == 0; });
    const ProgramResult applied = this->apply();
    if (applied.exitCode != 0)
        throw std::runtime_error("apply failed: " + applied.output + applied.errors);
    for (const char* organisation : { "alpha", "beta" })
        this->keys[organisation] = this->createKey(organisation);
    this->waitUntilReady();
}

Cluster::~Cluster()
{
    // A process stopped by SIGSTOP does not exit by itself, so the daemons are killed.
    for (Vm& vm : this->vms) {
        if (vm.process)
            vm.process->kill();
    }
}

void Cluster::allocateAddresses()
{
    PortAllocator ports;
    this->proxyControl = ports.next();
    this->platformAddress = ports.next();
    for (size_t index = 0; index < this->settings.dataCentres * this->settings.vmsPerDataCentre; ++index) {
        Vm vm;
        vm.id = "vm-" + std::to_string(index + 1);
        vm.dataCentre = "dc-" + std::to_string(index % this->settings.dataCentres + 1);
        vm.callerAddress = ports.next();
        vm.advertisedPeerAddress = ports.next();
        vm.peerAddress = ports.next();
        vm.operatorAddress = ports.next();
        vm.metricsAddress = ports.next();
        vm.platformAddress = ports.next();
        this->vms.push_back(std::move(vm));
    }
    for (size_t group = 1; group <= this->settings.groups; ++group) {
        for (size_t member = 0; member < 3; ++member) {
            Endpoint endpoint;
            endpoint.group = "g" + std::to_string(group);
            endpoint.name = endpoint.group + "-" + std::string(1, static_cast<char>('a' + member));
            endpoint.dataCentre = "dc-" + std::to_string((group - 1 + member) % this->settings.dataCentres + 1);
            endpoint.address = ports.next();
            endpoint.directAddress = ports.next();
            this->endpoints.push_back(std::move(endpoint));
        }
    }
}

void Cluster::startStandIns()
{
    std::vector<std::string> platformArguments = { "--address=" + this->platformAddress };
    std::vector<std::string> proxyArguments = { "--control=" + this->proxyControl };
    for (size_t index = 0; index < this->vms.size(); ++index) {
        const Vm& vm = this->vms[index];
        const std::string number = std::to_string(index + 1);
        platformArguments.push_back("--vm=" + vm.id + "," + vm.advertisedPeerAddress + "," + vm.dataCentre);
        proxyArguments.push_back("--pair=peer-" + number + "," + vm.advertisedPeerAddress + "," + vm.peerAddress);
        proxyArguments.push_back("--pair=platform-" + number + "," + vm.platformAddress + "," + this->platformAddress);
    }
    for (const Endpoint& endpoint : this->endpoints)
        proxyArguments.push_back("--pair=" + endpoint.name + "," + endpoint.address + "," + endpoint.directAddress);
    this->proxy = std::make_unique<ChildProcess>(
        "fault-proxy", proxyArguments, std::map<std::string, std::string> {}, this->directory + "/fault-proxy.log");
    this->platform = std::make_unique<ChildProcess>("standin-platform", platformArguments,
        std::map<std::string, std::string> {}, this->directory + "/platform.log");
    for (Endpoint& endpoint : this->endpoints) {
        std::vector<std::string> arguments = { "--address=" + endpoint.directAddress, "--advertise=" + endpoint.address,
            "--slots=" + std::to_string(this->settings.slots),
            "--connections=" + std::to_string(this->settings.connections),
            "--lag-ms=" + std::to_string(this->settings.lagMs) };
        if (endpoint.name.back() == 'a') {
            std::string replicas;
            for (const Endpoint& member : this->endpoints) {
                if (member.group == endpoint.group && member.name != endpoint.name)
                    replicas += (replicas.empty() ? "" : ",") + member.address;
            }
            arguments.insert(arguments.end(), { "--primary", "--replicas=" + replicas });
        }
        endpoint.process = std::make_unique<ChildProcess>("standin-endpoint", arguments,
            std::map<std::string, std::string> {}, this->directory + "/" + endpoint.name + ".log");
    }
}

std::vector<std::string> Cluster::daemonArguments(const Vm& vm) const
{
    std::vector<std::string> arguments = { "--vm=" + vm.id, "--data-centre=" + vm.dataCentre,
        "--caller-address=" + vm.callerAddress, "--peer-address=" + vm.peerAddress,
        "--advertised-peer-address=" + vm.advertisedPeerAddress, "--operator-address=" + vm.operatorAddress,
        "--metrics-address=" + vm.metricsAddress, "--platform-address=" + vm.platformAddress, "--drain-grace=1",
        "--trace-file=" + this->directory + "/" + vm.id + ".trace" };
    std::string peers;
    for (const Vm& other : this->vms) {
        if (other.id != vm.id)
            peers += (peers.empty() ? "--peer=" : ",") + other.advertisedPeerAddress;
    }
    if (!peers.empty())
        arguments.push_back(peers);
    arguments.insert(arguments.end(), this->settings.daemonArguments.begin(), this->settings.daemonArguments.end());
    return arguments;
}

void Cluster::startVm(size_t index)
{
    Vm& vm = this->vms[index];
    const std::map<std::string, std::string> environment = { { "LAVENDERVANE_OPERATOR_SECRET", operatorSecret },
        { "LAVENDERVANE_PEER_SECRET", "peer-secret-of-the-tests" },
        { "LAVENDERVANE_DIGEST_SECRET", "digest-secret-of-the-tests" },
        { "LAVENDERVANE_SESSION_SECRET", "session-secret-of-the-tests" } };
    static int starts = 0;
    vm.process = std::make_unique<ChildProcess>("lavendervaned", this->daemonArguments(vm), environment,
        this->directory + "/" + vm.id + "-" + std::to_string(++starts) + ".log");
}

std::string Cluster::makeDeclaration() const
{
    std::string text = "data_centres: [";
    for (size_t index = 1; index <= this->settings.dataCentres; ++index)
        text += (index > 1 ? ", dc-" : "dc-") + std::to_string(index);
    const std::string limit = "limit: {rate: " + std::to_string(this->settings.rate)
        + ", burst: " + std::to_string(this->settings.burst) + "}}\n";
    text += "]\norganisations:\n  - {name: alpha, labels: {kind: writer}, " + limit
        + "  - {name: beta, labels: {kind: writer}, " + limit + "  - {name: guest, labels: {kind: guest}, " + limit
        + "groups:\n";
    std::string group;
    for (const Endpoint& endpoint : this->endpoints) {
        if (endpoint.group != group)
            text += "  - name: " + endpoint.group + "\n    labels: {app: test}\n    endpoints:\n";
        group = endpoint.group;
        text += "      - {name: " + endpoint.name + ", address: \"" + endpoint.address
            + "\", data_centre: " + endpoint.dataCentre + ", slots: " + std::to_string(this->settings.slots)
            + ", connections: " + std::to_string(this->settings.connections) + ", labels: {}}\n";
    }
    text += "routes:\n  - {name: writers, organisations: \"kind=writer\", groups: \"app=test\", access: write}\n"
            "  - {name: open, organisations: \"kind=guest\", groups: \"app=test\", access: read, open_as: guest}\n";
    return text;
}

ProgramResult Cluster::runOperatorTool(std::vector<std::string> arguments)
{
    std::string servers;
    for (Vm& vm : this->vms) {
        if (vm.process && vm.process->isRunning())
            servers += (servers.empty() ? "" : ",") + vm.operatorAddress;
    }
    arguments.insert(arguments.begin(), { "--server=" + servers, "--author=tester" });
    return runToEnd(
        "lavendervanectl", arguments, { { "LAVENDERVANE_OPERATOR_SECRET", operatorSecret } }, this->directory);
}

nlohmann::json Cluster::status()
{
    const ProgramResult result = this->runOperatorTool({ "--output=json", "status" });
    return nlohmann::json::parse(result.output, nullptr, false);
}

std::string Cluster::primaryOf(const std::string& group)
{
    const auto current = this->status();
    if (!current.is_object())
        return "";
    for (const auto& entry : current["groups"]) {
        if (entry["group"] == group)
            return entry["primary"];
    }
    return "";
}

Cluster::Endpoint& Cluster::endpoint(const std::string& name)
{
    for (Endpoint& endpoint : this->endpoints) {
        if (endpoint.name == name)
            return endpoint;
    }
    throw std::runtime_error("no endpoint " + name);
}

static void requireOk(const CallerResponse& answer, const std::string& step)
{
    if (answer.status != 200)
        throw std::runtime_error(step + ": " + answer.text());
}

void Cluster::setFaults(const std::string& pair, const nlohmann::json& faults)
{
    requireOk(this->control.post(this->proxyControl, "/control", { { "pairs", { { pair, faults } } } }), "fault proxy");
}

void Cluster::healAll()
{
    requireOk(this->control.post(this->proxyControl, "/control", { { "heal", true } }), "fault proxy");
}

void Cluster::controlPlatform(const nlohmann::json& request)
{
    requireOk(this->control.post(this->platformAddress, "/control", request), "platform");
}

void Cluster::controlEndpoint(const std::string& name, const nlohmann::json& request)
{
    requireOk(this->control.post(this->endpoint(name).directAddress, "/control", request), "endpoint " + name);
}

nlohmann::json Cluster::dumpEndpoint(const std::string& name)
{
    const CallerResponse answer = this->control.get(this->endpoint(name).directAddress, "/control/dump");
    requireOk(answer, "dump of " + name);
    return answer.body;
}

ProgramResult Cluster::apply(const std::function<void(std::string&)>& edit)
{
    if (edit)
        edit(this->declaration);
    const std::string file = this->directory + "/declaration.yaml";
    std::ofstream(file) << this->declaration;
    return this->runOperatorTool({ "apply", "-f", file });
}

std::string Cluster::createKey(const std::string& organisation)
{
    const ProgramResult result = this->runOperatorTool({ "keys", "create", organisation });
    if (result.exitCode != 0)
        throw std::runtime_error("keys create failed: " + result.output + result.errors);
    return result.output.substr(0, result.output.find('\n'));
}

bool Cluster::isReady(size_t vm)
{
    Caller caller("");
    caller.timeout = 1s;
    return caller.get(this->vms[vm].metricsAddress, "/readyz").status == 200;
}

void Cluster::waitUntilReady()
{
    for (size_t vm = 0; vm < this->vms.size(); ++vm) {
        if (this->vms[vm].process && this->vms[vm].process->isRunning())
            waitUntil(this->vms[vm].id + " is ready", 20s, [this, vm] { return this->isReady(vm); });
    }
}

} // namespace Lavendervane
