#include "TrafficBench/TrafficBench.h"

#include "Configuration/Configuration.h"
#include "Limits/Admission.h"
#include "Security/KeyText.h"
#include "Traffic/TrafficServer.h"
#include "TrafficBench/InstantEndpoint.h"
#include "TrafficBench/LoadCallers.h"

#include <prometheus/registry.h>

#include <array>
#include <iomanip>

namespace Lavendervane {

namespace {

class UnlimitedAdmission : public Admission {
public:
    bool tryTakeToken(const OrganisationId&, Instant) override { return true; }
    void returnToken(const OrganisationId&) override { }
    Duration retryAfter(const OrganisationId&, Instant) const override { return std::chrono::milliseconds(1); }
};

class NullObserver : public TrafficObserver {
public:
    void observe(TrafficObservation) override { }
};

} // namespace

static const GroupId groupName("bench");
static const OrganisationId organisationName("bench");

static std::shared_ptr<const TrafficSnapshot> makeSnapshot(
    const std::array<InstantEndpoint, 3>& endpoints, const KeyText& key, const std::string& digestSecret)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->organisations[organisationName] = { organisationName, {}, { 1000000, 1000000 }, 1 };
    configuration->keys[key.id] = { key.id, organisationName, key.digest(digestSecret) };
    configuration->groups[groupName] = { groupName, {}, {} };
    configuration->routes["all"] = { "all", Selector::parse("*"), Selector::parse("*"), Access::Write, {} };
    auto snapshot = std::make_shared<TrafficSnapshot>();
    snapshot->self = VmId("vm-1");
    snapshot->dataCentre = DataCentre("dc-1");
    GroupRouting& group = snapshot->groups[groupName];
    group.group = groupName;
    group.term = { 1, VmId("vm-1") };
    for (size_t index = 0; index < endpoints.size(); ++index) {
        const EndpointId name("bench-" + std::to_string(index));
        group.endpoints.push_back(name);
        snapshot->endpoints[name] = { { name, endpoints[index].address(), snapshot->dataCentre, 64, 1000, {} },
            groupName, { snapshot->self }, true };
    }
    group.primary = EndpointId("bench-0");
    snapshot->configuration = std::move(configuration);
    return snapshot;
}

static std::string makeRequest(const std::string& path, const std::string& headers, const std::string& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: bench\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

static void printResult(std::ostream& out, const char* name, const LoadResult& result)
{
    out << std::left << std::setw(28) << name << std::fixed << std::setprecision(0) << std::right << std::setw(9)
        << result.rate << " reads/s   p50 " << std::setw(6) << result.quantile(0.5) << " us   p99 " << std::setw(6)
        << result.quantile(0.99) << " us   failures " << result.failures << '\n';
}

void runTrafficBench(const TrafficBenchSettings& benchSettings, std::ostream& out)
{
    std::array<InstantEndpoint, 3> endpoints { InstantEndpoint(true), InstantEndpoint(false), InstantEndpoint(false) };
    TrafficSettings settings;
    settings.address = "127.0.0.1:0";
    settings.threads = benchSettings.threads;
    settings.digestSecret = "digest";
    settings.sessionSecret = "session";
    settings.peerSecret = "peer";
    UnlimitedAdmission admission;
    NullObserver observer;
    prometheus::Registry registry;
    TrafficServer server(settings, admission, observer, registry);
    const KeyText key = KeyText::generate(KeyId("bench"));
    server.publish(makeSnapshot(endpoints, key, settings.digestSecret));
    server.start();

    const std::string bodyTail = R"("access":"read","statements":[{"op":"get","key":"a"}]})";
    const std::string direct
        = makeRequest("/execute", "", R"({"exchange_id":"1","organisation":"bench","term":{},)" + bodyTail);
    const std::string proxied
        = makeRequest("/v1/execute", "Authorization: Bearer " + key.text() + "\r\n", R"({"group":"bench",)" + bodyTail);
    const std::string vmAddress = "127.0.0.1:" + std::to_string(server.port());

    // Warm-up that opens the connections to the endpoints.
    measureLoad(vmAddress, proxied, 8, std::chrono::milliseconds(300));
    constexpr uint32_t lowLoadConnections = 2; // so few that no request waits for another
    const LoadResult directLow
        = measureLoad(endpoints[1].address(), direct, lowLoadConnections, benchSettings.phaseDuration);
    const LoadResult proxiedLow = measureLoad(vmAddress, proxied, lowLoadConnections, benchSettings.phaseDuration);
    const LoadResult proxiedHigh
        = measureLoad(vmAddress, proxied, benchSettings.connections, benchSettings.phaseDuration);
    printResult(out, "endpoint, 2 connections", directLow);
    printResult(out, "through VM, 2 connections", proxiedLow);
    printResult(
        out, ("through VM, " + std::to_string(benchSettings.connections) + " connections").c_str(), proxiedHigh);
    out << "added median: " << proxiedLow.quantile(0.5) - directLow.quantile(0.5) << " us\n";
    server.stop();
}

} // namespace Lavendervane
