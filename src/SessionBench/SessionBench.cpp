#include "SessionBench/SessionBench.h"

#include "Bench/AllocationCounter.h"
#include "Core/Error.h"
#include "Relay/TcpRelayTransport.h"
#include "Runtime/AsioTimers.h"
#include "Statements/StatementService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <utility>

namespace Lavendervane {

namespace asio = boost::asio;

// Statements before the measurement. They open the links and connections and record the first log positions.
static constexpr uint64_t warmUpCount = 2000;

// So few sessions that no statement waits for a connection.
static constexpr size_t sessionCount = 2;

namespace {

/// Link to an endpoint of this process that answers a batch in the next turn of the event loop.
class InstantLink : public EndpointLink, public std::enable_shared_from_this<InstantLink> {
public:
    InstantLink(asio::io_context& context, LinkListener& listener)
        : context(context)
        , listener(&listener)
    {
    }

    void open()
    {
        this->post([this] {
            this->listener->linkConnected();
            this->listener->linkOpened();
        });
    }

    void send(const std::vector<Statement>& statements, const BatchOptions&) override
    {
        std::vector<EndpointAnswer> answers;
        answers.reserve(statements.size());
        for (const Statement& statement : statements)
            answers.push_back(this->answer(statement.kind));
        this->post(
            [this, answers = std::move(answers)]() mutable { this->listener->linkAnswered(std::move(answers)); });
    }

    void close() override { this->listener = nullptr; }

private:
    template <typename Action> void post(Action action)
    {
        asio::post(this->context, [self = this->shared_from_this(), action = std::move(action)]() mutable {
            if (self->listener)
                action();
        });
    }

    EndpointAnswer answer(StatementKind kind)
    {
        if (kind == StatementKind::Begin || kind == StatementKind::BeginReadOnly)
            this->state = TransactionState::Open;
        else if (kind == StatementKind::Commit || kind == StatementKind::Rollback)
            this->state = TransactionState::Idle;
        EndpointAnswer made;
        made.code = AnswerCode::Done;
        made.state = this->state;
        made.position = LogPosition { { 1, {} }, 100 };
        if (kind == StatementKind::Read)
            made.result = "row 1 of a read";
        return made;
    }

    asio::io_context& context;
    LinkListener* listener;
    TransactionState state = TransactionState::Idle;
};

class InstantConnector : public EndpointConnector {
public:
    explicit InstantConnector(asio::io_context& context)
        : context(context)
    {
    }

    std::shared_ptr<EndpointLink> connect(const LinkTarget&, LinkListener& listener) override
    {
        auto link = std::make_shared<InstantLink>(this->context, listener);
        link->open();
        return link;
    }

private:
    asio::io_context& context;
};

/// Transport to other VMs that loses all messages; statements without contention need none.
class NullPeers : public PeerTransport {
public:
    void send(const std::string&, const PeerMessage&) override { }
    void setListener(PeerListener*) override { }
};

/// Counts the messages between VMs.
class CountingTransport : public RelayTransport {
public:
    CountingTransport(asio::io_context& context, const std::string& address, uint64_t& count)
        : transport(context, address)
        , count(count)
    {
    }

    RelayChannel open(const std::string& address) override { return this->transport.open(address); }
    void send(RelayChannel channel, const RelayMessage& message) override
    {
        ++this->count;
        this->transport.send(channel, message);
    }
    void close(RelayChannel channel) override { this->transport.close(channel); }
    std::string peerAddress(RelayChannel channel) const override { return this->transport.peerAddress(channel); }
    void setListener(RelayTransportListener* target) override { this->transport.setListener(target); }

private:
    TcpRelayTransport transport;
    uint64_t& count;
};

class NullTrafficListener : public TrafficListener {
public:
    void endpointReachabilityChanged(const GroupId&, const EndpointId&, bool) override { }
    void promotionNoticeReceived(const GroupId&) override { }
    void primaryRevoked(const PrimaryRevocation&) override { }
    void memberAnnounced(const FleetMember&) override { }
    void tablesConfirmed(const TablesConfirmed&) override { }
    void acceptsCallersChanged(bool) override { }
};

class FailureCounter : public TrafficLog {
public:
    void statementFailed(const FailedStatement&) override { ++this->failures; }
    void relayFailed(const FailedRelay&) override { }
    void sentToDraining(const StatementToDraining&) override { }
    void transactionEvacuated(const EndpointId&) override { }
    void endpointHealthChanged(const EndpointHealthChange&) override { }
    void attemptMoved(std::string_view) override { }
    void attemptBudgetUsedUp(const GroupId&, const OrganisationId&) override { }
    void statementDone(bool, Duration) override { }
    void endpointChanged(const EndpointId&, std::string_view) override { }
    void connectionBroke(const BrokenConnection&) override { }
    void repeatedAnswerIgnored(const EndpointId&) override { }
    void messageRefused(const std::string&, const std::string&) override { }
    void keysWithdrawn(size_t, size_t) override { }
    void sessionsChanged(size_t) override { }

    uint64_t failures = 0;
};

struct Vm {
    Vm(asio::io_context& context, Timers& timers, EndpointConnector& connector, const FleetMember& member,
        uint64_t& messageCount)
        : transport(context, member.address, messageCount)
        , service(makeSettings(member), timers, connector, this->peers, this->transport, this->listener, this->log)
    {
    }

    static StatementServiceSettings makeSettings(const FleetMember& member)
    {
        StatementServiceSettings settings;
        settings.vm = member.vm;
        settings.dataCentre = member.dataCentre;
        return settings;
    }

    NullPeers peers;
    CountingTransport transport;
    NullTrafficListener listener;
    FailureCounter log;
    StatementService service;
};

/// Caller that sends its next statement after each answer.
class ClosedLoopCaller : public CallerLink {
public:
    ClosedLoopCaller(asio::io_context& context, StatementService& service, std::vector<Statement> cycle)
        : context(context)
        , cycle(std::move(cycle))
        , handler(service.makeHandler(*this))
    {
        this->handler->openSession("bench", "key");
    }

    ~ClosedLoopCaller() override { this->handler->handleDisconnect(); }

    void run(uint64_t cycles)
    {
        this->remaining = cycles * this->cycle.size();
        this->sendNext();
    }

    bool isFinished() const { return !this->remaining; }

    void accept() override { }
    void refuse(AnswerCode, const std::string& message) override { throw Error("open", "session", message); }
    void close() override { }
    void answer(const CallerAnswer&) override
    {
        if (--this->remaining)
            asio::post(this->context, [this] { this->sendNext(); });
    }

private:
    void sendNext()
    {
        Statement next = this->cycle[this->position];
        this->position = (this->position + 1) % this->cycle.size();
        next.id = "5c0e7a21d94b36f8";
        this->handler->handleStatement(std::move(next));
    }

    asio::io_context& context;
    std::vector<Statement> cycle;
    size_t position = 0;
    uint64_t remaining = 0;
    std::shared_ptr<CallerHandler> handler;
};

} // namespace

static const OrganisationId organisationName("bench");
static const DataCentre dataCentre("dc-1");

static std::vector<Statement> makeCycle(const std::string& kind)
{
    Statement read = makeProxyStatement(StatementKind::Read);
    read.text = "SELECT value FROM item WHERE id = 1";
    Statement write = makeProxyStatement(StatementKind::Write);
    write.text = "UPDATE item SET value = 1 WHERE id = 1";
    if (kind == "read")
        return { read };
    if (kind == "write")
        return { write };
    if (kind == "transaction")
        return { makeProxyStatement(StatementKind::Begin), read, makeProxyStatement(StatementKind::Commit) };
    throw Error("run", kind, "unknown kind of statement");
}

static std::shared_ptr<const Directory> makeDirectory(const EndpointId& endpoint, bool isRelayed)
{
    auto configuration = std::make_shared<SessionConfiguration>();
    configuration->version = 1;
    SessionRoute route;
    route.name = "bench";
    route.database = "bench";
    route.group = GroupId("bench");
    route.statementTimeout = std::chrono::seconds(2);
    configuration->routes = { route };
    configuration->groups = { { GroupId("bench"), 6, 0 } };
    configuration->organisations = { { organisationName, { "key" }, { 1000000, 1000000 }, 0 } };
    RegisteredEndpoint primary;
    primary.id = endpoint;
    primary.group = GroupId("bench");
    primary.dataCentre = dataCentre;
    primary.slots = 4;
    primary.role = EndpointRole::Primary;
    // Nine VMs are too many for six connections, so that statements are relayed.
    return std::make_shared<const Directory>(1, std::move(configuration), std::vector<RegisteredEndpoint> { primary },
        FleetPosition { 0, isRelayed ? 9U : 1U }, "secret");
}

// Returns an endpoint whose connections the second VM owns for the organisation.
static EndpointId chooseEndpoint(const std::vector<FleetMember>& members)
{
    OwnerPlacement placement;
    placement.setMembers(members);
    for (int number = 0;; ++number) {
        EndpointId endpoint("bench-" + std::to_string(number));
        if (placement.candidates(endpoint, dataCentre, organisationName).front().vm == members[1].vm)
            return endpoint;
    }
}

static double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

void runSessionBench(const SessionBenchSettings& settings, std::ostream& out)
{
    asio::io_context context(1);
    AsioTimers timers(context);
    InstantConnector connector(context);
    uint64_t messageCount = 0;
    const std::vector<FleetMember> members { { VmId("vm-1"), dataCentre, "127.0.0.1:7561" },
        { VmId("vm-2"), dataCentre, "127.0.0.1:7562" } };
    const auto directory = makeDirectory(chooseEndpoint(members), settings.isRelayed);
    std::vector<std::unique_ptr<Vm>> vms;
    for (const FleetMember& member : members) {
        vms.push_back(std::make_unique<Vm>(context, timers, connector, member, messageCount));
        StatementService& service = vms.back()->service;
        service.setPeers(members);
        service.setDirectory(directory);
        service.shares().setShare(fullShare, timers.now() + std::chrono::hours(1), timers.now());
    }
    std::vector<std::unique_ptr<ClosedLoopCaller>> callers;
    for (size_t index = 0; index < sessionCount; ++index)
        callers.push_back(std::make_unique<ClosedLoopCaller>(context, vms.front()->service, makeCycle(settings.kind)));
    const auto run = [&](uint64_t cycles) {
        for (const auto& caller : callers)
            caller->run(cycles / sessionCount);
        const auto isRunning = [](const auto& caller) { return !caller->isFinished(); };
        while (std::any_of(callers.begin(), callers.end(), isRunning))
            context.run_one();
    };
    run(warmUpCount);
    vms.front()->log.failures = 0;
    messageCount = 0;
    const uint64_t allocationsBefore = AllocationCount::current().allocations;
    const double secondsBefore = processorSeconds();
    run(settings.count);
    const double seconds = processorSeconds() - secondsBefore;
    const uint64_t allocations = AllocationCount::current().allocations - allocationsBefore;
    const auto perCycle = [&settings](double total) { return total / static_cast<double>(settings.count); };
    out << std::left << std::setw(12) << settings.kind << std::setw(9) << (settings.isRelayed ? "relayed" : "direct")
        << std::fixed << std::setprecision(2) << "processor " << perCycle(seconds * 1e6) << " us   allocations "
        << perCycle(static_cast<double>(allocations)) << "   messages between VMs "
        << perCycle(static_cast<double>(messageCount)) << "   failures " << vms.front()->log.failures << '\n';
    callers.clear();
    vms.front()->service.shutDown();
    vms.back()->service.shutDown();
    context.poll();
}

} // namespace Lavendervane
