#include "EntryFleet.h"

#include <nlohmann/json.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace Lavendervane::EntryProcess {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Json = nlohmann::json;

static constexpr uint16_t callerPort = 8465;
static constexpr uint16_t readinessPort = 8460;
static constexpr uint16_t firstPeerPort = 7560;
static constexpr auto readyLimit = 20s;
static constexpr auto heartbeat = 1200ms;
static constexpr auto maxStaleness = 1500ms;
static const std::vector<std::string> dataCentres { "north", "east", "south" };
static const std::vector<std::string> groupNames { "stock", "sales" };

namespace {

/// Refuses every request.
class RefusingHandler : public HttpHandler {
public:
    void handle(HttpRequest, HttpRespond respond) override { respond(makeJsonResponse(503, "{}")); }
    HttpResponse makeErrorResponse(unsigned status, const std::string&) override
    {
        return makeJsonResponse(status, "{}");
    }
};

/// Asks a VM once whether it is ready.
class ReadinessRequest : public WireChannel::Listener {
public:
    ReadinessRequest(asio::io_context& context, const asio::ip::tcp::endpoint& address)
        : channel(std::make_shared<WireChannel>(asio::ip::tcp::socket(context), *this, SeededRandom(0), 0))
    {
        this->channel->write("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        this->channel->connect(address);
    }
    ~ReadinessRequest() override { this->channel->close(); }

    void handleMessage(std::string message) override
    {
        this->isReady = this->isReady || message.starts_with("HTTP/1.1 200");
    }
    void handleEnd() override { }

    bool isReady = false;

private:
    std::shared_ptr<WireChannel> channel;
};

} // namespace

static std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "entry-process-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("cannot make a temporary folder");
    return pattern;
}

// Each process of the test has addresses of its own, so that several can run side by side.
static std::string makeIpPrefix()
{
    const auto number = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + number / 250 % 250) + "." + std::to_string(1 + number % 250) + ".";
}

EntryFleet::EntryFleet(const FleetSettings& settings)
    : settings(settings)
    , random(settings.seed)
    , folder(makeFolder())
    , ipPrefix(makeIpPrefix())
    , store(this->context)
    , renewal(this->context)
{
    HttpServerSettings promotionSettings;
    promotionSettings.address = this->ipPrefix + "201:0";
    this->promotions = std::make_unique<HttpServer>(
        this->context, promotionSettings, [] { return std::make_shared<RefusingHandler>(); });
    this->store.reportsGeneration = false;
    this->addGroups();
    this->addRoutes();
    this->renewRows();
    for (size_t index = 0; index < dataCentres.size(); ++index)
        this->startVm(dataCentres[index], this->ipPrefix + std::to_string(11 + index));
    this->callerSettings.longestPause = settings.longestPause;
    this->callerSettings.faults = settings.faults;
    for (size_t index = 0; index < settings.callers; ++index)
        this->callers.push_back(
            std::make_unique<CallerStandIn>(this->context, this->callerSettings, this->checker, this->random.split()));
}

EntryFleet::~EntryFleet()
{
    this->callers.clear();
    for (Vm& vm : this->vms)
        vm.process->kill();
    std::error_code ignored; // a folder that is left over does no harm
    if (!this->isDirectoryKept)
        std::filesystem::remove_all(this->folder, ignored);
}

void EntryFleet::addGroups()
{
    for (size_t group = 0; group < groupNames.size(); ++group) {
        for (size_t index = 0; index < dataCentres.size(); ++index) {
            EndpointSettings endpoint;
            endpoint.id = "i-" + std::to_string(group + 1) + "f3a91c" + std::to_string(index + 1);
            endpoint.group = groupNames[group];
            endpoint.isPrimary = index == group;
            endpoint.lag = std::chrono::milliseconds(this->random.between(3, 60));
            endpoint.faults = this->settings.faults;
            this->endpoints.push_back(
                std::make_unique<EndpointStandIn>(this->context, this->ipPrefix + std::to_string(100 + index), endpoint,
                    this->logs[group], this->checker, this->random.split()));
        }
    }
}

void EntryFleet::addRoutes()
{
    for (const std::string& group : groupNames) {
        for (const auto& [name, type] : { std::pair { "first", RouteType::Primary },
                 std::pair { "some", RouteType::BoundedStaleness }, std::pair { "own", RouteType::OwnWrites } }) {
            const std::string database = group + "-" + name;
            this->callerSettings.accesses.push_back({ database, group, type, maxStaleness, "k1a", "desk" });
            this->callerSettings.accesses.push_back({ database, group, type, maxStaleness, "k2b", "shop" });
        }
    }
    // Endpoints are told no organisation for callers of a public route.
    this->callerSettings.accesses.push_back({ "open", groupNames[0], RouteType::OwnWrites, maxStaleness, "none", "-" });
}

void EntryFleet::putConfiguration()
{
    Json configuration { { "version", this->sequence }, { "routes", Json::array() }, { "services", Json::array() },
        { "limits", { { "tx_idle_ms", 3000 } } }, { "tenants", Json::array() } };
    for (const auto& [organisation, key] : { std::pair { "desk", "k1a" }, std::pair { "shop", "k2b" } })
        configuration["tenants"].push_back({ { "name", organisation }, { "api_keys", { key } }, { "priority", 1 },
            { "rate_per_s", 5000 }, { "burst", 5000 } });
    for (const std::string& group : groupNames)
        configuration["services"].push_back({ { "name", group }, { "max_connections", 40 }, { "sync_replicas", 0 } });
    std::string previous;
    for (const CallerAccess& access : this->callerSettings.accesses) {
        if (access.database == std::exchange(previous, access.database))
            continue;
        const char* type = access.type == RouteType::Primary ? "primary"
            : access.type == RouteType::OwnWrites            ? "own_writes"
                                                             : "bounded_staleness";
        configuration["routes"].push_back(
            { { "name", "r-" + access.database }, { "database", access.database }, { "service", access.group },
                { "route_type", type }, { "max_staleness_ms", access.maxStaleness.count() }, { "timeout_ms", 2000 },
                { "target_latency_ms", 500 }, { "priority", 1 }, { "public", access.organisation == "-" } });
    }
    this->store.put("op", "config", configuration.dump());
}

void EntryFleet::putRegistryRows()
{
    for (size_t index = 0; index < this->endpoints.size(); ++index) {
        const EndpointStandIn& endpoint = *this->endpoints[index];
        const EndpointSettings& own = endpoint.settings;
        this->store.put("servers", own.id,
            Json { { "service", own.group }, { "address", endpoint.address() },
                { "zone", dataCentres[index % dataCentres.size()] }, { "version", "v1" }, { "slots", own.slots },
                { "state", "ready" }, { "cold_remaining_ms", 0 }, { "db_role", own.isPrimary ? "primary" : "replica" },
                { "sequence", this->sequence }, { "born", 1'790'000'000'000ULL } }
                .dump());
    }
}

void EntryFleet::renewRows()
{
    // Feed requests of the store stand-in wait until a row changes.
    if (this->sequence++ % 15 == 0)
        this->putConfiguration();
    this->putRegistryRows();
    this->renewal.expires_after(heartbeat);
    this->renewal.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            this->renewRows();
    });
}

void EntryFleet::startVm(const std::string& dataCentre, const std::string& ip)
{
    const std::string name = "front-" + dataCentre + "-1";
    const std::string path = this->folder + "/" + name + ".conf";
    std::ofstream(path) << "node_name=" << name << "\nzone=" << dataCentre << "\nip=" << ip
                        << "\nlisten_addrs.front=" << ip << ":" << callerPort << "\nlisten_addrs.ready=" << ip << ":"
                        << readinessPort << "\ninternal_ports=" << firstPeerPort << "," << firstPeerPort + 15
                        << "\nplatform.address=" << this->store.address() << "\ncloud.address=" << this->ipPrefix
                        << "201:" << this->promotions->port()
                        << "\nbounds.grace_s=6\nbounds.drain_ms=7000\nbounds.config_apply_ms=3000\n"
                           "bounds.quota_window_s=5\nbounds.quota_overage=0.1\nbounds.quota_slack=20\n"
                           "bounds.fencing_required=true\nlimits.cpu_share=1\nlimits.memory_mb="
                        << this->settings.memoryMegabytes << "\nheartbeat_ms=" << heartbeat.count() << "\n";
    this->vms.push_back({ dataCentre, ip,
        std::make_unique<ChildProcess>(this->settings.program, std::vector<std::string> { "--metrics-port=0" },
            std::map<std::string, std::string> { { "LAVENDERVANE_NODE_FILE", path } },
            this->folder + "/" + name + ".log") });
    this->callerSettings.vms.emplace_back(asio::ip::make_address(ip), callerPort);
}

bool EntryFleet::isReady(const Vm& vm)
{
    ReadinessRequest request(this->context, { asio::ip::make_address(vm.ip), readinessPort });
    this->context.run_for(100ms);
    return request.isReady;
}

bool EntryFleet::waitUntilReady()
{
    const auto end = Clock::now() + readyLimit;
    for (const Vm& vm : this->vms) {
        while (!this->isReady(vm)) {
            if (Clock::now() > end)
                return false;
        }
    }
    return true;
}

void EntryFleet::run()
{
    for (const auto& caller : this->callers)
        caller->start();
    this->context.run_for(this->settings.duration);
    for (const auto& caller : this->callers)
        caller->stop();
    const auto isIdle = [](const std::unique_ptr<CallerStandIn>& caller) { return caller->isIdle(); };
    while (!std::all_of(this->callers.begin(), this->callers.end(), isIdle))
        this->context.run_for(50ms);
    // Writes whose answers were given up may still be running.
    this->context.run_for(500ms);
    this->checker.finish();
}

size_t EntryFleet::keepValues(size_t connections, size_t values, size_t bytes)
{
    size_t highest = 0;
    std::string answer;
    // Sends a message and waits for its answer or the end of the connection.
    const auto exchange = [&](asio::ip::tcp::socket& socket, const std::string& message) {
        bool isDone = false;
        asio::async_write(socket, asio::buffer(message), [](const boost::system::error_code&, size_t) {});
        answer.clear();
        asio::async_read_until(socket, asio::dynamic_buffer(answer), "READY",
            [&isDone, &socket](const boost::system::error_code& error, size_t) {
                isDone = true;
                boost::system::error_code ignored; // the session has ended
                if (error)
                    socket.close(ignored);
            });
        while (!isDone)
            this->context.run_one_for(10ms);
        highest = std::max(highest, this->vms.front().process->residentBytes());
    };
    for (size_t index = 0; index < connections; ++index) {
        this->keepers.push_back(std::make_unique<asio::ip::tcp::socket>(this->context));
        this->keepers.back()->connect(this->callerSettings.vms.front());
        exchange(*this->keepers.back(), "CONNECT stock-first k1a\r\n");
    }
    for (size_t value = 0; value < values; ++value) {
        for (const auto& keeper : this->keepers) {
            if (keeper->is_open())
                exchange(*keeper, "QUERY 1 SET v" + std::to_string(value) + " " + std::string(bytes, 'x') + "\r\n");
        }
    }
    return highest;
}

bool EntryFleet::areAllRunning()
{
    return std::all_of(this->vms.begin(), this->vms.end(), [](const Vm& vm) { return vm.process->isRunning(); });
}

} // namespace Lavendervane::EntryProcess
