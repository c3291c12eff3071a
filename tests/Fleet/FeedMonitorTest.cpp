#include "Fleet/FeedMonitor.h"
#include "Fleet/ConfirmationPeers.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

constexpr Duration applyTime = 3s;

Instant at(Duration time) { return Instant(time); }

uint64_t storeMs(Instant time)
{
    return static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

/// Monitor of a VM that is not the first, whose two tables the store has answered for at 100 s with revision 40.
struct FeedMonitorFixture {
    FeedMonitorFixture()
    {
        this->collect(this->monitor.handle(MonitorRankChanged { 2 }, at(100s)));
        this->answer("configuration", at(100s), 40, 38);
        this->answer("registry", at(100s), 40, 40);
    }

    void answer(const std::string& table, Instant now, uint64_t revision, uint64_t lastChange, uint64_t generation = 1)
    {
        const TableClock clock { storeMs(now), now - 4ms, now };
        this->collect(this->monitor.handle(TableAnswered { table, revision, lastChange, generation, clock }, now));
    }

    /// Another VM has confirmed both tables for the time `confirmed`.
    void hear(
        Instant now, Instant confirmed, uint64_t configurationChange, uint64_t registryChange, uint64_t generation = 1)
    {
        const TablesConfirmed message { generation,
            { { "configuration", configurationChange, storeMs(confirmed) },
                { "registry", registryChange, storeMs(confirmed) } } };
        this->collect(this->monitor.handle(ConfirmationReceived { message }, now));
    }

    void collect(const std::vector<FeedMonitorEffect>& effects)
    {
        for (const FeedMonitorEffect& effect : effects) {
            if (const auto* recheck = std::get_if<RecheckTable>(&effect))
                this->rechecks.push_back(*recheck);
            else if (const auto* timer = std::get_if<SetFeedMonitorTimer>(&effect))
                this->timer = timer->when;
            else if (const auto* confirmation = std::get_if<SpreadConfirmation>(&effect))
                this->spread.push_back(confirmation->message);
            else
                this->waitLimit = std::get<LimitFeedWait>(effect).limit;
        }
    }

    /// Runs the timers that are due until `end`.
    void runUntil(Instant end)
    {
        while (this->timer && *this->timer <= end) {
            const Instant due = *std::exchange(this->timer, std::nullopt);
            this->collect(this->monitor.handle(FeedMonitorTimerFired {}, due));
        }
    }

    bool hasRechecked(const std::string& table) const
    {
        return std::any_of(this->rechecks.begin(), this->rechecks.end(),
            [&table](const RecheckTable& recheck) { return recheck.table == table; });
    }

    FeedMonitorSettings settings = FeedMonitorSettings::makeFor(applyTime);
    FeedMonitor monitor { settings, 1 };
    std::vector<RecheckTable> rechecks;
    std::vector<TablesConfirmed> spread;
    std::optional<Instant> timer;
    std::optional<Duration> waitLimit;
};

/// Fleet of VMs that follow two tables of one store and pass confirmations on. One datagram in 50 is lost.
class SimulatedFleet {
public:
    static constexpr Duration step = 10ms;

    explicit SimulatedFleet(size_t size)
        : vms(size)
    {
        std::vector<FleetMember> members;
        for (size_t index = 0; index < size; ++index) {
            const DataCentre dataCentre("dc-" + std::to_string(index % 6));
            members.push_back({ VmId("vm-" + std::to_string(index)), dataCentre, std::to_string(index), 100 });
        }
        for (size_t index = 0; index < size; ++index) {
            Vm& vm = this->vms[index];
            vm.monitor.emplace(FeedMonitorSettings::makeFor(applyTime), index);
            vm.peers.emplace(members[index].vm, index);
            vm.peers->setMembers(members);
            for (const char* table : { "configuration", "registry" })
                this->callStore(vm, table);
            this->run(vm, MonitorRankChanged { vm.peers->rank() });
        }
        this->calls = 0;
    }

    void runFor(Duration duration)
    {
        for (const Instant end = this->now + duration; this->now < end; this->now += step) {
            const auto arrived = std::exchange(this->datagrams, {});
            for (const auto& [receiver, message] : arrived) {
                if (this->vms[receiver].isAlive)
                    this->run(this->vms[receiver], ConfirmationReceived { message });
            }
            for (Vm& vm : this->vms) {
                if (vm.isAlive)
                    this->runTimers(vm);
            }
        }
    }

    /// Ends the VMs that may confirm tables first.
    void endFirstVms(uint32_t count)
    {
        for (Vm& vm : this->vms)
            vm.isAlive = vm.peers->rank() >= count;
    }

    /// The configuration changes, and the feed of no VM reports it.
    void changeUnnoticed() { this->lastChange = ++this->revision; }

    size_t countUpToDate() const
    {
        return static_cast<size_t>(std::count_if(this->vms.begin(), this->vms.end(),
            [this](const Vm& vm) { return vm.isAlive && vm.knownRevision >= this->lastChange; }));
    }

    size_t calls = 0; ///< calls to the store

private:
    struct Vm {
        std::optional<FeedMonitor> monitor;
        std::optional<ConfirmationPeers> peers;
        std::optional<Instant> timer;
        std::optional<Duration> waitLimit;
        std::map<std::string, Instant> waitingSince; ///< feed requests that wait for changes
        uint64_t knownRevision = 0; ///< of the configuration
        bool isAlive = true;
    };

    void callStore(Vm& vm, const std::string& table)
    {
        ++this->calls;
        if (table == "configuration")
            vm.knownRevision = this->revision;
        vm.waitingSince[table] = this->now;
        this->run(vm,
            TableAnswered { table, this->revision, table == "configuration" ? this->lastChange : 1, 1,
                { storeMs(this->now), this->now, this->now } });
    }

    void runTimers(Vm& vm)
    {
        if (vm.timer && *vm.timer <= this->now) {
            vm.timer.reset();
            this->run(vm, FeedMonitorTimerFired {});
        }
        if (!vm.waitLimit)
            return;
        for (const char* table : { "configuration", "registry" }) {
            if (vm.waitingSince.at(table) + *vm.waitLimit <= this->now)
                this->callStore(vm, table);
        }
    }

    void run(Vm& vm, const FeedMonitorEvent& event)
    {
        for (const FeedMonitorEffect& effect : vm.monitor->handle(event, this->now)) {
            if (const auto* recheck = std::get_if<RecheckTable>(&effect)) {
                ++this->calls; // the request that waited is given up, and another one will wait after the answer
                this->callStore(vm, recheck->table);
            } else if (const auto* timer = std::get_if<SetFeedMonitorTimer>(&effect)) {
                vm.timer = timer->when;
            } else if (const auto* confirmation = std::get_if<SpreadConfirmation>(&effect)) {
                for (const std::string& address : vm.peers->choose()) {
                    if (this->random.below(uint64_t { 50 }))
                        this->datagrams.emplace_back(std::stoul(address), confirmation->message);
                }
            } else {
                vm.waitLimit = std::get<LimitFeedWait>(effect).limit;
            }
        }
    }

    std::vector<Vm> vms;
    std::vector<std::pair<size_t, TablesConfirmed>> datagrams; ///< on their way, by receiver
    RandomGenerator random { 5 };
    Instant now { 100s };
    uint64_t revision = 7;
    uint64_t lastChange = 5;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FeedMonitorTest, FeedMonitorFixture)

// Guards against a feed that has gone silent unnoticed.
BOOST_AUTO_TEST_CASE(Table_NotConfirmed_IsRecheckedBeforeChangesMustApply)
{
    this->runUntil(at(100s) + this->settings.maxAge - 1ms);
    BOOST_TEST(this->rechecks.empty());
    this->runUntil(at(100s) + applyTime);
    BOOST_TEST(this->hasRechecked("configuration"));
    BOOST_TEST(this->hasRechecked("registry"));
    BOOST_TEST((this->rechecks.front().confirmedAt <= at(100s)));
}

// Guards against calls of every VM to the store while one VM's calls would do.
BOOST_AUTO_TEST_CASE(Table_ConfirmedByOtherVm_IsNotRechecked)
{
    for (Duration time = 100s; time < 120s; time += this->settings.confirmInterval) {
        this->hear(at(time), at(time) - 20ms, 38, 40);
        this->runUntil(at(time));
    }
    BOOST_TEST(this->rechecks.empty());
}

// Guards against a VM that trusts its silent feed although another VM knows a newer change.
BOOST_AUTO_TEST_CASE(Change_UnknownToThisVm_IsRecheckedAfterDeliveryTime)
{
    this->hear(at(101s), at(101s), 45, 40);
    this->runUntil(at(101s) + this->settings.deliveryTime);
    BOOST_TEST(this->hasRechecked("configuration"));
    BOOST_TEST(!this->hasRechecked("registry"));
    BOOST_TEST(this->rechecks.front().reason == "behind");
}

// Guards against calls for a change that arrives through the feed a moment after the confirmation.
BOOST_AUTO_TEST_CASE(Change_ArrivesWithinDeliveryTime_IsNotRechecked)
{
    this->hear(at(101s), at(101s), 45, 40);
    this->answer("configuration", at(101s) + 100ms, 45, 45);
    this->runUntil(at(101s) + this->settings.deliveryTime + 100ms);
    BOOST_TEST(this->rechecks.empty());
}

// Guards against a VM that gives up after one call that was not answered either.
BOOST_AUTO_TEST_CASE(Recheck_Unanswered_IsRepeated)
{
    this->runUntil(at(110s));
    BOOST_TEST(this->rechecks.size() >= 10U);
    BOOST_TEST(this->rechecks.size() <= 20U);
}

// Guards against revisions of a store that has been restored from an older copy taken for those of the present one.
BOOST_AUTO_TEST_CASE(Confirmation_OfOtherGeneration_ConfirmsNothing)
{
    this->answer("configuration", at(101s), 20, 18, 2);
    this->answer("registry", at(101s), 20, 18, 2);
    for (Duration time = 101s; time < 104s; time += 200ms)
        this->hear(at(time), at(time), 10, 10, 1);
    this->runUntil(at(104s));
    BOOST_TEST(this->hasRechecked("configuration"));
    this->answer("configuration", at(106s), 20, 18, 2);
    this->answer("registry", at(106s), 20, 18, 2);
    this->rechecks.clear();
    this->hear(at(106s), at(106s), 4, 4, 3);
    this->runUntil(at(106s) + this->settings.deliveryTime);
    BOOST_TEST(this->rechecks.size() == 2U);
}

// Guards against a confirmation that counts for longer because it was delayed on its way.
BOOST_AUTO_TEST_CASE(Confirmation_Delayed_CountsFromTimeOfStore)
{
    this->hear(at(102s), at(100s) + 200ms, 38, 40);
    this->runUntil(at(100s) + applyTime);
    BOOST_TEST(this->hasRechecked("configuration"));
}

// Guards against a first VM whose requests wait so long that it confirms nothing for the others.
BOOST_AUTO_TEST_CASE(FirstVm_Requests_WaitForConfirmInterval)
{
    BOOST_TEST(!this->waitLimit.has_value());
    this->collect(this->monitor.handle(MonitorRankChanged { 0 }, at(100s)));
    BOOST_TEST((this->waitLimit == this->settings.confirmInterval));
    const size_t before = this->spread.size();
    this->answer("configuration", at(101s), 40, 38);
    this->answer("registry", at(101s), 40, 40);
    BOOST_REQUIRE(this->spread.size() > before);
    BOOST_TEST(this->spread.back().tables.size() == 2U);
    BOOST_TEST(this->spread.back().tables.front().lastChange == 38U);
}

// Guards against calls to the store that grow with the fleet.
BOOST_AUTO_TEST_CASE(Fleet_OfAnySize_CallsStoreAboutEquallyOften)
{
    for (const size_t size : { 6, 18, 300 }) {
        SimulatedFleet fleet(size);
        fleet.runFor(60s);
        // Two tables, once a second.
        BOOST_TEST(fleet.calls >= 110U);
        BOOST_TEST(fleet.calls <= 200U, size << " VMs made " << fleet.calls << " calls");
    }
}

// Guards against a change that some VMs learn too late, although no feed works and the first VMs have ended.
BOOST_AUTO_TEST_CASE(Fleet_FirstVmsEndedAndFeedsSilent_AllLearnChangeInTime)
{
    for (const size_t size : { 18, 300 }) {
        SimulatedFleet fleet(size);
        fleet.runFor(5s);
        fleet.endFirstVms(4);
        fleet.runFor(100ms);
        for (int change = 0; change < 20; ++change) {
            fleet.changeUnnoticed();
            fleet.runFor(applyTime + 130ms);
            BOOST_TEST(fleet.countUpToDate() == size - 4);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
