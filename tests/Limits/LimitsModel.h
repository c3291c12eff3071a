#pragma once

#include "Core/RandomGenerator.h"
#include "Limits/AdmissionTable.h"
#include "Limits/GrantAllocator.h"
#include "Limits/GrantHolder.h"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace Lavendervane {

/// Request counts of one organisation since the last `resetCounts`.
struct TrafficCounts {
    uint64_t arrived = 0;
    uint64_t admitted = 0;
    uint64_t refused = 0;
    uint64_t staticRefused = 0; ///< refused by a static even split over the VMs, for the same arrivals

    double refusedShare() const;
    double staticRefusedShare() const;
};

struct ModelSettings {
    uint64_t seed = 1;
    size_t dataCentres = 2;
    size_t vmsPerDataCentre = 10;
    std::vector<OrganisationLimit> limits;
    HolderSettings holder;
    AllocatorSettings allocator;
    /// Time until the other VMs consider an unreachable VM dead.
    Duration failureDetectionDelay = std::chrono::milliseconds(3100);
    Duration tableTimeout = std::chrono::seconds(2);
    Duration longestDelay = std::chrono::seconds(2); ///< bound for late messages and late table writes
    uint64_t faultyMessages = 0; ///< per 1000 messages, separately for loss, duplication and delay
    Duration admissionWait = std::chrono::milliseconds(250);
    Duration retryInterval = std::chrono::milliseconds(10);
};

enum class TableMode {
    Up,
    Down,
    Lossy, ///< a third of the calls get no response; their writes commit on time, late or never
};

/// Simulates the VMs of several data centres with their holders and allocators, the network and the table on one
/// virtual clock. After each admission it checks `admitted <= burst + rate * w` for every window of length w that ends
/// there. After each raise of a bucket it checks that the buckets of all VMs together stay within the limit, because
/// random traffic rarely exposes an excess.
class LimitsModel {
public:
    explicit LimitsModel(ModelSettings);

    /// Runs all events of the given time span.
    void run(Duration);
    Instant now() const { return this->time; }
    size_t vmCount() const { return this->vms.size(); }

    /// Starts Poisson arrivals, distributed over the running VMs by weight.
    void setTraffic(size_t organisation, double requestsPerSecond, std::vector<uint64_t> weights);

    void kill(size_t vm);
    void start(size_t vm);
    void stopGracefully(size_t vm);
    void suspend(size_t vm);
    void resume(size_t vm);
    void setIsolation(size_t vm, bool peers, bool table);
    void setTable(TableMode mode) { this->tableMode = mode; }
    /// Sets whether one VM wrongly considers another dead.
    void setFalselyDead(size_t observer, size_t target, bool dead);

    bool isUp(size_t vm) const { return this->vms[vm].process != nullptr; }
    bool isSuspended(size_t vm) const { return this->vms[vm].suspended; }
    /// VM of the data centre that acts as the allocator. If several do, the one with the highest epoch; empty if none
    /// does.
    std::optional<size_t> allocatorOf(size_t dataCentre) const;

    const TrafficCounts& counts(size_t organisation) const { return this->traffic[organisation].counts; }
    void resetCounts();
    /// Describes the first violation of a limit; empty if there was none.
    const std::string& violation() const { return this->firstViolation; }

private:
    struct Process {
        uint64_t incarnation;
        GrantHolder holder;
        GrantAllocator allocator;
        AdmissionTable admission;
        std::optional<Instant> wake;
        uint64_t observedEpoch = 0;
    };
    struct Vm {
        VmId id;
        size_t dataCentre = 0;
        std::unique_ptr<Process> process;
        bool suspended = false;
        bool cutFromPeers = false;
        bool cutFromTable = false;
        std::optional<Instant> unreachableSince; ///< set while the VM is down, suspended or cut off from its peers
        std::set<size_t> falselyDead;
        std::vector<VmId> view;
        std::vector<std::function<void()>> deferredEvents; ///< events to run after a suspended VM resumes
        std::vector<TokenBucket> staticBuckets;
    };
    struct Traffic {
        OrganisationLimit limit;
        double requestsPerSecond = 0;
        std::vector<uint64_t> weights;
        uint64_t generation = 0; ///< number of the arrival timer; older timers are ignored
        TrafficCounts counts;
        /// Largest admitted - rate * w, in requests * 10^9, over all windows of length w that end at `excessAt`.
        int64_t excess = 0;
        Instant excessAt {};
    };
    struct Event {
        Instant at;
        uint64_t sequence = 0;
        std::function<void()> run;

        bool operator<(const Event& other) const
        {
            return this->at != other.at ? this->at > other.at : this->sequence > other.sequence;
        }
    };
    struct Request {
        size_t organisation = 0;
        size_t vm = 0;
        uint64_t incarnation = 0;
        Instant deadline;
    };

    void schedule(Duration, std::function<void()>);
    /// Runs the function on the VM: after it resumes if it is suspended, never if it is down.
    void runOn(size_t vm, std::function<void()>);
    void send(size_t from, const VmId& to, const std::function<void(size_t)>&);
    void handleHolderEvent(size_t vm, const HolderEvent&, const VmId& claimant = VmId());
    void handleAllocatorEvent(size_t vm, const AllocatorEvent&);
    void scheduleWake(size_t vm);
    void tick(size_t vm, uint64_t incarnation);
    void updateView(size_t vm);
    void updateUnreachable(size_t vm);

    void callTable(size_t vm, uint64_t operation, std::function<TableResult()> call);
    TableResult readTable(const std::vector<std::string>& keys) const;
    TableResult transact(const TableTransaction&);
    TableRow currentRow(const std::string& key) const;

    void scheduleArrival(size_t organisation, uint64_t generation);
    void simulateArrival(size_t organisation);
    void attemptAdmission(const Request&, bool first);
    void attemptStaticAdmission(const Request&);
    void recordAdmission(Traffic&);
    void checkCapacity(const OrganisationId&);
    LimitsConfigured configuration() const;

    ModelSettings settings;
    RandomGenerator random;
    RandomGenerator arrivalRandom; ///< separate generator, so that the traffic does not depend on the messages
    Instant time { std::chrono::hours(1) };
    uint64_t nextEventSequence = 0;
    uint64_t nextIncarnation = 1;
    std::priority_queue<Event> events;
    std::vector<DataCentre> dataCentres;
    std::vector<Vm> vms;
    std::vector<Traffic> traffic;
    std::map<std::string, TableRow> rows;
    TableMode tableMode = TableMode::Up;
    std::string firstViolation;
};

} // namespace Lavendervane
