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

/// Counts of one organisation since the last `resetCounts`.
struct TrafficCounts {
    uint64_t arrived = 0;
    uint64_t admitted = 0;
    uint64_t refused = 0;
    uint64_t staticRefused = 0; ///< by a static even split over the VMs, for the same arrivals

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
    Duration failureDetectionDelay = std::chrono::milliseconds(3100); ///< until the other VMs list a lost VM as dead
    Duration tableTimeout = std::chrono::seconds(2);
    Duration longestDelay = std::chrono::seconds(2); ///< of a late message or a late table write
    uint64_t faultyMessages = 0; ///< per 1000: each dropped, sent twice or late
    Duration admissionWait = std::chrono::milliseconds(250);
    Duration retryInterval = std::chrono::milliseconds(10);
};

enum class TableMode {
    Up,
    Down,
    Lossy, ///< a third of the calls has no answer; their writes take effect now, late or never
};

/// Simulation of the VMs of some data centres with their holders and allocators, the network and the table, on one
/// virtual clock. After each admission it checks `admitted <= burst + rate * w` for every window that ends there, and
/// after each raise of a bucket that the buckets of all VMs together are within the limit, which random traffic seldom
/// shows.
class LimitsModel {
public:
    explicit LimitsModel(ModelSettings);

    void run(Duration);
    Instant now() const { return this->time; }
    size_t vmCount() const { return this->vms.size(); }

    /// Poisson arrivals, spread over the VMs by weight. Requests go only to VMs that run.
    void setTraffic(size_t organisation, double requestsPerSecond, std::vector<uint64_t> weights);

    void kill(size_t vm);
    void start(size_t vm);
    void stopGracefully(size_t vm);
    void suspend(size_t vm);
    void resume(size_t vm);
    void setIsolation(size_t vm, bool peers, bool table);
    void setTable(TableMode mode) { this->tableMode = mode; }
    /// Makes one VM wrongly believe that another is dead.
    void setFalselyDead(size_t observer, size_t target, bool dead);

    bool isUp(size_t vm) const { return this->vms[vm].process != nullptr; }
    bool isSuspended(size_t vm) const { return this->vms[vm].suspended; }
    /// VM of the data centre that holds the lease, with the highest epoch; nothing if none does.
    std::optional<size_t> allocatorOf(size_t dataCentre) const;

    const TrafficCounts& counts(size_t organisation) const { return this->traffic[organisation].counts; }
    void resetCounts();
    /// Describes the first window that was exceeded; empty if none.
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
        std::optional<Instant> unreachableSince; ///< down, frozen or cut off
        std::set<size_t> falselyDead;
        std::vector<VmId> view;
        std::vector<std::function<void()>> deferredEvents; ///< of a frozen VM
        std::vector<TokenBucket> staticBuckets;
    };
    struct Traffic {
        OrganisationLimit limit;
        double requestsPerSecond = 0;
        std::vector<uint64_t> weights;
        uint64_t generation = 0; ///< of the arrival timer
        TrafficCounts counts;
        /// Largest excess of admitted over rate * w of all windows that end at `excessAt`, in requests * 10^9.
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
    /// Runs on the VM; later if it is frozen, never if it is down.
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
    RandomGenerator arrivalRandom; ///< apart, so that the traffic does not depend on the messages
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
