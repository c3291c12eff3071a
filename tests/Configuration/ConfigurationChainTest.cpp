#include "Configuration/ConfigurationChain.h"

#include "Core/RandomGenerator.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ConfigurationChainTest)

/// In-memory implementation of the platform's table.
class FakeTable {
public:
    TableResult read(const std::vector<std::string>& keys) const
    {
        TableResult result { TableStatus::Done, {} };
        for (const std::string& key : keys) {
            const auto found = this->rows.find(key);
            result.rows.push_back(found == this->rows.end() ? TableRow { key, 0, "" } : found->second);
        }
        return result;
    }

    TableResult transact(const TableTransaction& transaction)
    {
        for (const RowCondition& condition : transaction.conditions) {
            if (this->read({ condition.key }).rows[0].revision != condition.revision)
                return { TableStatus::Conflict, {} };
        }
        for (const RowWrite& write : transaction.writes)
            this->rows[write.key] = { write.key, ++this->revision, write.value };
        return { TableStatus::Done, {} };
    }

private:
    std::map<std::string, TableRow> rows;
    uint64_t revision = 0;
};

static Change makeCommit(uint64_t base, const std::string& id)
{
    Change change;
    change.previousVersion = base;
    change.version = base + 1;
    change.id = id;
    change.author = "operator";
    change.organisations = { { OrganisationId("org-" + id), {}, { 1, 1 }, 1 } };
    return change;
}

/// Several VMs that share one table. Effects are executed in a seeded random order, and their results may be lost.
class ChainSimulation {
public:
    ChainSimulation(uint64_t seed, size_t vms, uint64_t faultPercent)
        : random(seed)
        , faultPercent(faultPercent)
        , chains(vms, ConfigurationChain(ChainSettings {}))
        , versions(vms, 0)
    {
    }

    void step()
    {
        this->now += 20ms;
        for (size_t vm = 0; vm < this->chains.size(); ++vm) {
            if (this->random.below(5) == 0)
                this->deliver(vm, ChainTick { this->now, vm == 0 });
            if (this->random.below(100) == 0)
                this->requestCommit(vm);
            if (this->random.below(10) == 0)
                this->gossip(vm);
        }
        for (size_t count = this->pending.size(); count > 0; --count)
            this->executeRandomEffect();
        this->checkInvariants();
    }

    void requestCommit(size_t vm)
    {
        const uint64_t base = this->chains[vm].current()->version;
        const uint64_t operation = ++this->operations;
        this->requested[operation] = makeCommit(base, std::to_string(operation));
        this->deliver(vm, CommitRequested { this->now, operation, this->requested[operation] });
    }

    void gossip(size_t vm)
    {
        const size_t peer = this->random.below(this->chains.size());
        this->deliver(
            vm, PeerVersionSeen { this->now, VmId(std::to_string(peer)), this->chains[peer].current()->version });
    }

    bool converged() const
    {
        for (const auto& chain : this->chains) {
            if (!(*chain.current() == *this->chains[0].current()))
                return false;
        }
        return true;
    }

    RandomGenerator random;
    uint64_t faultPercent;
    Instant now {};
    FakeTable table;
    std::vector<ConfigurationChain> chains;
    std::map<uint64_t, CommitResult> finished;
    std::map<uint64_t, Change> requested;

private:
    struct Pending {
        size_t vm;
        ChainEffect effect;
    };

    void deliver(size_t vm, const ChainEvent& event)
    {
        for (ChainEffect& effect : this->chains[vm].handle(event))
            this->pending.push_back({ vm, std::move(effect) });
    }

    bool shouldFail() { return this->random.below(100) < this->faultPercent; }

    void executeRandomEffect()
    {
        const size_t index = this->random.below(this->pending.size());
        const Pending work = this->pending[index];
        this->pending.erase(this->pending.begin() + static_cast<std::ptrdiff_t>(index));
        std::visit([this, &work](const auto& effect) { this->execute(work.vm, effect); }, work.effect);
    }

    void execute(size_t vm, const ReadChainRows& effect)
    {
        TableResult result = this->table.read(effect.keys);
        if (this->shouldFail())
            result = { TableStatus::Unknown, {} };
        this->deliver(vm, ChainRowsRead { this->now, effect.purpose, effect.operation, result });
    }

    void execute(size_t vm, const WriteChainRows& effect)
    {
        TableResult result { TableStatus::Unknown, {} };
        if (this->shouldFail()) {
            // The request is delayed in the network and takes effect after its sender has given up on it.
            if (this->random.below(2) == 0)
                this->delayedTransactions.push_back(effect.transaction);
        } else {
            result = this->table.transact(effect.transaction);
            if (this->shouldFail())
                result = { TableStatus::Unknown, {} };
        }
        if (!this->delayedTransactions.empty() && this->random.below(3) == 0) {
            this->table.transact(this->delayedTransactions.back());
            this->delayedTransactions.pop_back();
        }
        this->deliver(vm, ChainRowsWritten { this->now, effect.operation, result });
    }

    void execute(size_t vm, const ReadChainSnapshot& effect)
    {
        const auto found = this->objects.find(effect.object);
        const bool lost = this->shouldFail() || found == this->objects.end();
        this->deliver(
            vm, ChainSnapshotRead { this->now, lost ? std::nullopt : std::optional<std::string>(found->second) });
    }

    void execute(size_t, const WriteChainSnapshot& effect) { this->objects[effect.object] = effect.snapshot; }

    void execute(size_t vm, const FetchChangesFromPeer& effect)
    {
        const auto& peer = this->chains[std::stoul(effect.peer.str())];
        PeerChangesReceived answer { this->now, effect.peer, {}, std::nullopt };
        if (!this->shouldFail()) {
            if (const auto changes = peer.changesAfter(effect.fromVersion))
                answer.changes = *changes;
            else
                answer.snapshot = *peer.current();
        }
        this->deliver(vm, answer);
    }

    void execute(size_t, const ConfigurationAdvanced&) { }

    void execute(size_t, const CommitFinished& effect)
    {
        const bool first = this->finished.emplace(effect.operation, effect.result).second;
        BOOST_REQUIRE(first);
    }

    void checkInvariants()
    {
        for (size_t vm = 0; vm < this->chains.size(); ++vm) {
            const uint64_t version = this->chains[vm].current()->version;
            BOOST_REQUIRE(version >= this->versions[vm]);
            this->versions[vm] = version;
        }
    }

    std::vector<uint64_t> versions;
    std::vector<Pending> pending;
    std::vector<TableTransaction> delayedTransactions;
    std::map<std::string, std::string> objects;
    uint64_t operations = 0;
};

// Guards against a commit that is reported as failed but is in the chain, one that is reported as committed but is
// not, versions that decrease, and VMs that end with different configurations.
BOOST_AUTO_TEST_CASE(Chain_LostLateAndReorderedAnswers_KeepsAcceptedChanges)
{
    size_t committed = 0;
    size_t conflicts = 0;
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            ChainSimulation simulation(seed, 4, 20);
            for (int step = 0; step < 1500; ++step)
                simulation.step();
            simulation.faultPercent = 0;
            for (int step = 0; step < 2000; ++step)
                simulation.step();
            // Commits continue until the end of the steps above; the last ones still have to reach all VMs.
            for (int step = 0; step < 500 && !simulation.converged(); ++step)
                simulation.step();
            BOOST_TEST(simulation.converged());

            const auto& organisations = simulation.chains[0].current()->organisations;
            for (const auto& [operation, result] : simulation.finished) {
                const auto& change = simulation.requested[operation];
                const bool present = organisations.contains(change.organisations[0].name);
                if (result == CommitResult::Committed)
                    BOOST_TEST(present);
                if (result == CommitResult::Conflict || result == CommitResult::NotCommitted)
                    BOOST_TEST(!present);
                committed += result == CommitResult::Committed;
                conflicts += result == CommitResult::Conflict;
            }
        }
    }
    // The test is only meaningful if both results occurred often.
    BOOST_TEST(committed > 1000U);
    BOOST_TEST(conflicts > 100U);
}

// A VM that starts while the platform is down must fetch the newest version from its peers.
BOOST_AUTO_TEST_CASE(Chain_PlatformDown_TakesVersionFromPeer)
{
    ConfigurationChain chain { ChainSettings {} };
    const auto effects = chain.handle(PeerVersionSeen { Instant(1s), VmId("b"), 2 });
    BOOST_REQUIRE(effects.size() == 1U);
    BOOST_TEST((std::get<FetchChangesFromPeer>(effects[0]) == FetchChangesFromPeer { VmId("b"), 0 }));
    chain.handle(PeerChangesReceived { Instant(2s), VmId("b"), { makeCommit(0, "1"), makeCommit(1, "2") }, {} });
    BOOST_TEST(chain.current()->version == 2U);
}

// An outdated snapshot from a slow peer must not replace a newer configuration.
BOOST_AUTO_TEST_CASE(Chain_OlderSnapshot_IsIgnored)
{
    ConfigurationChain chain { ChainSettings {} };
    chain.handle(PeerChangesReceived { Instant(2s), VmId("b"), { makeCommit(0, "1"), makeCommit(1, "2") }, {} });
    Configuration old;
    old.version = 1;
    chain.handle(PeerChangesReceived { Instant(3s), VmId("c"), {}, old });
    BOOST_TEST(chain.current()->version == 2U);
}

// If the platform refuses connections, nothing was written, and the commit must be reported as NotCommitted.
BOOST_AUTO_TEST_CASE(Chain_PlatformRefusesConnections_ReportsNotCommitted)
{
    ConfigurationChain chain { ChainSettings {} };
    chain.handle(CommitRequested { Instant(1s), 7, makeCommit(0, "1") });
    const auto effects
        = chain.handle(ChainRowsRead { Instant(1s), ChainReadPurpose::CommitHead, 7, { TableStatus::NotSent, {} } });
    BOOST_REQUIRE(effects.size() == 1U);
    BOOST_TEST((std::get<CommitFinished>(effects[0]) == CommitFinished { 7, CommitResult::NotCommitted, 0 }));
}

// A change repeated after a lost answer must be reported as committed instead of as a conflict.
BOOST_AUTO_TEST_CASE(Chain_CommittedChangeRepeated_IsReportedAsCommitted)
{
    FakeTable table;
    table.transact({ "1", {},
        { { "configuration/head", R"({"version":1,"change_id":"1"})" },
            { changeRowKey(1), toJson(makeCommit(0, "1")) } } });
    for (const auto& [id, expected] :
        { std::pair("1", CommitResult::Committed), std::pair("2", CommitResult::Conflict) }) {
        ConfigurationChain chain { ChainSettings {} };
        chain.handle(CommitRequested { Instant(1s), 7, makeCommit(0, id) });
        chain.handle(
            ChainRowsRead { Instant(1s), ChainReadPurpose::CommitHead, 7, table.read({ "configuration/head" }) });
        const auto effects = chain.handle(
            ChainRowsRead { Instant(1s), ChainReadPurpose::CommitResolution, 7, table.read({ changeRowKey(1) }) });
        BOOST_TEST((std::get<CommitFinished>(effects.back()) == CommitFinished { 7, expected, 1 }));
    }
}

BOOST_AUTO_TEST_SUITE_END()
