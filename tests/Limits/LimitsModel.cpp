#include "Limits/LimitsModel.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace Lavendervane {

using namespace std::chrono_literals;

double TrafficCounts::refusedShare() const
{
    return this->arrived ? static_cast<double>(this->refused) / static_cast<double>(this->arrived) : 0;
}

double TrafficCounts::staticRefusedShare() const
{
    return this->arrived ? static_cast<double>(this->staticRefused) / static_cast<double>(this->arrived) : 0;
}

LimitsModel::LimitsModel(ModelSettings modelSettings)
    : settings(std::move(modelSettings))
    , random(this->settings.seed)
    , arrivalRandom(this->settings.seed + 1'000'003)
{
    const size_t count = this->settings.dataCentres * this->settings.vmsPerDataCentre;
    for (size_t index = 0; index < this->settings.dataCentres; ++index)
        this->dataCentres.emplace_back("dc-" + std::to_string(index));
    for (const auto& limit : this->settings.limits)
        this->traffic.push_back({ limit, 0, {}, 0, {}, 0, {} });
    this->vms.resize(count);
    for (size_t index = 0; index < count; ++index) {
        Vm& vm = this->vms[index];
        vm.id = VmId("vm-" + std::to_string(index));
        vm.dataCentre = index / this->settings.vmsPerDataCentre;
        for (const auto& limit : this->settings.limits)
            vm.staticBuckets.emplace_back(
                Capacity { limit.limit.rate * 1000ULL / count, limit.limit.burst * 1000ULL / count }, this->time);
        vm.unreachableSince = this->time - this->settings.failureDetectionDelay;
    }
    for (size_t index = 0; index < count; ++index)
        this->start(index);
}

void LimitsModel::run(Duration duration)
{
    const Instant end = this->time + duration;
    while (!this->events.empty() && this->events.top().at <= end) {
        const Event event = this->events.top();
        this->events.pop();
        this->time = event.at;
        event.run();
    }
    this->time = end;
}

void LimitsModel::schedule(Duration delay, std::function<void()> run)
{
    this->events.push({ this->time + delay, ++this->nextEventSequence, std::move(run) });
}

void LimitsModel::runOn(size_t vm, std::function<void()> run)
{
    Vm& target = this->vms[vm];
    if (!target.process)
        return;
    if (target.suspended)
        target.deferredEvents.push_back(std::move(run));
    else
        run();
}

void LimitsModel::send(size_t from, const VmId& to, const std::function<void(size_t)>& deliver)
{
    const auto found = std::find_if(this->vms.begin(), this->vms.end(), [&](const Vm& vm) { return vm.id == to; });
    const auto target = static_cast<size_t>(found - this->vms.begin());
    Duration delay = std::chrono::microseconds(100 + this->random.below(400));
    size_t copies = 1;
    if (this->random.below(1000) < this->settings.faultyMessages)
        copies = 0;
    else if (this->random.below(1000) < this->settings.faultyMessages)
        copies = 2;
    for (; copies > 0; --copies) {
        if (this->random.below(1000) < this->settings.faultyMessages)
            delay += Duration(this->random.below(static_cast<uint64_t>(this->settings.longestDelay.count())));
        this->schedule(delay, [this, from, target, deliver] {
            const bool cut = this->vms[from].cutFromPeers || this->vms[target].cutFromPeers;
            if (from != target && cut)
                return;
            this->runOn(target, [target, deliver] { deliver(target); });
        });
    }
}

void LimitsModel::handleHolderEvent(size_t index, const HolderEvent& event, const VmId& claimant)
{
    Process& process = *this->vms[index].process;
    for (const auto& effect : process.holder.handle(event)) {
        if (const auto* request = std::get_if<SendGrantRequest>(&effect)) {
            this->send(index, request->allocator, [this, sent = request->request](size_t target) {
                this->handleAllocatorEvent(target, GrantRequested { this->time, sent });
            });
        } else if (const auto* grant = std::get_if<ApplyGrant>(&effect)) {
            process.admission.apply(*grant, this->time);
            this->checkCapacity(grant->organisation);
        } else if (const auto* lowering = std::get_if<LowerGrants>(&effect)) {
            this->handleHolderEvent(
                index, GrantsLowered { this->time, process.admission.lower(*lowering, this->time) });
        } else if (const auto* answer = std::get_if<AnswerClaim>(&effect)) {
            this->send(index, claimant, [this, report = answer->report](size_t target) {
                this->handleAllocatorEvent(target, ClaimAnswered { this->time, report });
            });
        }
    }
    if (process.holder.epoch() > process.observedEpoch) {
        process.observedEpoch = process.holder.epoch();
        this->handleAllocatorEvent(index, EpochObserved { this->time, process.observedEpoch });
    }
    this->scheduleWake(index);
}

void LimitsModel::handleAllocatorEvent(size_t index, const AllocatorEvent& event)
{
    Process& process = *this->vms[index].process;
    for (const auto& effect : process.allocator.handle(event)) {
        if (const auto* read = std::get_if<AllocatorRead>(&effect)) {
            this->callTable(index, read->operation, [this, keys = read->keys] { return this->readTable(keys); });
        } else if (const auto* write = std::get_if<AllocatorTransact>(&effect)) {
            this->callTable(index, write->operation,
                [this, transaction = write->transaction] { return this->transact(transaction); });
        } else if (const auto* claim = std::get_if<SendClaim>(&effect)) {
            this->send(index, claim->vm, [this, sent = claim->claim](size_t target) {
                this->handleHolderEvent(target, ClaimReceived { this->time, sent }, sent.allocator);
            });
        } else if (const auto* answer = std::get_if<AnswerGrant>(&effect)) {
            const auto* request = std::get_if<GrantRequested>(&event);
            const uint64_t sequence = request->request.sequence;
            this->send(index, answer->holder, [this, sent = *answer, sequence](size_t target) {
                if (sent.accepted)
                    this->handleHolderEvent(target, GrantAnswered { this->time, sent.response });
                else
                    this->handleHolderEvent(target, GrantFailed { this->time, sequence });
            });
        }
    }
}

void LimitsModel::scheduleWake(size_t index)
{
    Process& process = *this->vms[index].process;
    const auto wake = process.holder.wakeAt();
    if (!wake || (process.wake && *process.wake <= *wake && *process.wake > this->time))
        return;
    process.wake = std::max(*wake, this->time + 1ms);
    this->schedule(*process.wake - this->time, [this, index, incarnation = process.incarnation] {
        this->runOn(index, [this, index, incarnation] {
            if (this->vms[index].process->incarnation == incarnation)
                this->handleHolderEvent(index, HolderTick { this->time });
        });
    });
}

void LimitsModel::tick(size_t index, uint64_t incarnation)
{
    if (!this->vms[index].process || this->vms[index].process->incarnation != incarnation)
        return;
    this->runOn(index, [this, index, incarnation] {
        Process& process = *this->vms[index].process;
        if (process.incarnation != incarnation)
            return;
        this->updateView(index);
        this->handleHolderEvent(index, DemandMeasured { this->time, process.admission.collectDemand(this->time) });
        this->handleAllocatorEvent(index, AllocatorTick { this->time });
    });
    this->schedule(100ms, [this, index, incarnation] { this->tick(index, incarnation); });
}

void LimitsModel::updateView(size_t index)
{
    Vm& observer = this->vms[index];
    std::vector<VmId> view;
    for (size_t other = 0; other < this->vms.size(); ++other) {
        const Vm& vm = this->vms[other];
        if (vm.dataCentre != observer.dataCentre)
            continue;
        const bool cut
            = observer.cutFromPeers && this->time - *observer.unreachableSince >= this->settings.failureDetectionDelay;
        const bool dead = cut || observer.falselyDead.contains(other)
            || (vm.unreachableSince && this->time - *vm.unreachableSince >= this->settings.failureDetectionDelay);
        if (other == index || !dead)
            view.push_back(vm.id);
    }
    if (view == observer.view)
        return;
    observer.view = view;
    this->handleAllocatorEvent(index, LiveVmsChanged { this->time, view });
}

void LimitsModel::updateUnreachable(size_t index)
{
    Vm& vm = this->vms[index];
    const bool unreachable = !vm.process || vm.suspended || vm.cutFromPeers;
    if (!unreachable)
        vm.unreachableSince.reset();
    else if (!vm.unreachableSince)
        vm.unreachableSince = this->time;
}

void LimitsModel::setTraffic(size_t organisation, double requestsPerSecond, std::vector<uint64_t> weights)
{
    Traffic& changed = this->traffic[organisation];
    changed.requestsPerSecond = requestsPerSecond;
    changed.weights = std::move(weights);
    this->scheduleArrival(organisation, ++changed.generation);
}

void LimitsModel::kill(size_t index)
{
    Vm& vm = this->vms[index];
    vm.process.reset();
    vm.suspended = false;
    vm.deferredEvents.clear();
    this->updateUnreachable(index);
}

void LimitsModel::start(size_t index)
{
    Vm& vm = this->vms[index];
    const uint64_t incarnation = this->nextIncarnation++ * 1'000'000;
    const DataCentre& dataCentre = this->dataCentres[vm.dataCentre];
    vm.process.reset(new Process { incarnation, GrantHolder(this->settings.holder, vm.id, dataCentre, incarnation),
        GrantAllocator(this->settings.allocator, vm.id, incarnation, dataCentre), {}, {}, 0 });
    vm.view.clear();
    for (auto& bucket : vm.staticBuckets)
        bucket = TokenBucket(bucket.capacity(), this->time);
    this->updateUnreachable(index);
    this->handleAllocatorEvent(index, this->configuration());
    this->schedule(
        Duration(this->random.below(100'000'000)), [this, index, incarnation] { this->tick(index, incarnation); });
}

void LimitsModel::stopGracefully(size_t index)
{
    this->handleHolderEvent(index, HolderStopping { this->time });
    this->schedule(20ms, [this, index, incarnation = this->vms[index].process->incarnation] {
        this->runOn(index, [this, index, incarnation] {
            if (this->vms[index].process->incarnation == incarnation)
                this->handleAllocatorEvent(index, AllocatorStopping { this->time });
        });
    });
    this->schedule(500ms, [this, index, incarnation = this->vms[index].process->incarnation] {
        if (this->vms[index].process && this->vms[index].process->incarnation == incarnation)
            this->kill(index);
    });
}

void LimitsModel::suspend(size_t index)
{
    this->vms[index].suspended = true;
    this->updateUnreachable(index);
}

void LimitsModel::resume(size_t index)
{
    Vm& vm = this->vms[index];
    vm.suspended = false;
    this->updateUnreachable(index);
    for (const auto& run : std::exchange(vm.deferredEvents, {}))
        this->runOn(index, run);
}

void LimitsModel::setIsolation(size_t index, bool peers, bool table)
{
    this->vms[index].cutFromPeers = peers;
    this->vms[index].cutFromTable = table;
    this->updateUnreachable(index);
}

void LimitsModel::setFalselyDead(size_t observer, size_t target, bool dead)
{
    if (dead)
        this->vms[observer].falselyDead.insert(target);
    else
        this->vms[observer].falselyDead.erase(target);
}

std::optional<size_t> LimitsModel::allocatorOf(size_t dataCentre) const
{
    std::optional<size_t> best;
    for (size_t index = 0; index < this->vms.size(); ++index) {
        const Vm& vm = this->vms[index];
        if (vm.dataCentre != dataCentre || !vm.process || !vm.process->allocator.holdsLease())
            continue;
        if (!best || vm.process->allocator.epoch() > this->vms[*best].process->allocator.epoch())
            best = index;
    }
    return best;
}

void LimitsModel::resetCounts()
{
    for (auto& known : this->traffic)
        known.counts = {};
}

LimitsConfigured LimitsModel::configuration() const
{
    return { this->time, 1, this->dataCentres, this->settings.limits };
}

void LimitsModel::callTable(size_t vm, uint64_t operation, std::function<TableResult()> call)
{
    const auto answer = [this, vm, operation, incarnation = this->vms[vm].process->incarnation](
                            Duration delay, const TableResult& result) {
        this->schedule(delay, [this, vm, operation, incarnation, result] {
            this->runOn(vm, [this, vm, operation, incarnation, result] {
                if (this->vms[vm].process->incarnation == incarnation)
                    this->handleAllocatorEvent(vm, AllocatorTableAnswered { this->time, operation, result });
            });
        });
    };
    if (this->tableMode == TableMode::Down || this->vms[vm].cutFromTable) {
        const bool refused = this->random.below(2);
        answer(refused ? Duration(1ms) : this->settings.tableTimeout,
            { refused ? TableStatus::NotSent : TableStatus::Unknown, {} });
        return;
    }
    const Duration delay = std::chrono::microseconds(1000 + this->random.below(5000));
    if (this->tableMode == TableMode::Lossy && this->random.below(3) == 0) {
        const Duration late(this->random.below(static_cast<uint64_t>(this->settings.longestDelay.count())));
        if (this->random.below(3))
            this->schedule(this->random.below(2) ? late : delay, [call = std::move(call)] { call(); });
        answer(this->settings.tableTimeout, { TableStatus::Unknown, {} });
        return;
    }
    this->schedule(delay, [answer, delay, call = std::move(call)] { answer(delay, call()); });
}

TableRow LimitsModel::currentRow(const std::string& key) const
{
    const auto found = this->rows.find(key);
    return found == this->rows.end() ? TableRow { key, 0, "" } : found->second;
}

TableResult LimitsModel::readTable(const std::vector<std::string>& keys) const
{
    TableResult result { TableStatus::Done, {} };
    for (const auto& key : keys)
        result.rows.push_back(this->currentRow(key));
    return result;
}

TableResult LimitsModel::transact(const TableTransaction& transaction)
{
    TableResult conflict { TableStatus::Conflict, {} };
    bool holds = true;
    for (const auto& condition : transaction.conditions) {
        conflict.rows.push_back(this->currentRow(condition.key));
        holds = holds && conflict.rows.back().revision == condition.revision;
    }
    if (!holds)
        return conflict;
    for (const auto& write : transaction.writes)
        this->rows[write.key] = { write.key, this->currentRow(write.key).revision + 1, write.value };
    return { TableStatus::Done, {} };
}

void LimitsModel::scheduleArrival(size_t organisation, uint64_t generation)
{
    const Traffic& source = this->traffic[organisation];
    if (source.requestsPerSecond <= 0)
        return;
    const double uniform = (static_cast<double>(this->arrivalRandom.next() >> 11) + 0.5) / 9007199254740992.0;
    const double seconds = -std::log(uniform) / source.requestsPerSecond;
    this->schedule(Duration(static_cast<int64_t>(seconds * 1e9)), [this, organisation, generation] {
        if (this->traffic[organisation].generation != generation)
            return;
        this->simulateArrival(organisation);
        this->scheduleArrival(organisation, generation);
    });
}

void LimitsModel::simulateArrival(size_t organisation)
{
    Traffic& source = this->traffic[organisation];
    uint64_t total = 0;
    for (size_t index = 0; index < this->vms.size(); ++index)
        total += this->vms[index].process && !this->vms[index].suspended ? source.weights[index] : 0;
    if (!total)
        return;
    uint64_t point = this->arrivalRandom.below(total);
    size_t chosen = 0;
    for (size_t index = 0; index < this->vms.size(); ++index) {
        if (!this->vms[index].process || this->vms[index].suspended)
            continue;
        chosen = index;
        if (point < source.weights[index])
            break;
        point -= source.weights[index];
    }
    ++source.counts.arrived;
    const Request request { organisation, chosen, this->vms[chosen].process->incarnation,
        this->time + this->settings.admissionWait };
    this->attemptAdmission(request, true);
    this->attemptStaticAdmission(request);
}

void LimitsModel::attemptAdmission(const Request& request, bool first)
{
    Vm& vm = this->vms[request.vm];
    if (!vm.process || vm.suspended || vm.process->incarnation != request.incarnation)
        return; // The caller retries on another VM.
    Traffic& source = this->traffic[request.organisation];
    if (vm.process->admission.tryTakeToken(source.limit.organisation, this->time)) {
        this->recordAdmission(source);
        return;
    }
    if (first)
        this->handleHolderEvent(request.vm, ShortageObserved { this->time, source.limit.organisation });
    if (this->time >= request.deadline)
        ++source.counts.refused;
    else
        this->schedule(this->settings.retryInterval, [this, request] { this->attemptAdmission(request, false); });
}

void LimitsModel::attemptStaticAdmission(const Request& request)
{
    Vm& vm = this->vms[request.vm];
    if (!vm.process || vm.suspended || vm.process->incarnation != request.incarnation)
        return;
    if (vm.staticBuckets[request.organisation].take(1000, this->time))
        return;
    if (this->time >= request.deadline)
        ++this->traffic[request.organisation].counts.staticRefused;
    else
        this->schedule(this->settings.retryInterval, [this, request] { this->attemptStaticAdmission(request); });
}

void LimitsModel::checkCapacity(const OrganisationId& organisation)
{
    Capacity sum;
    for (const auto& vm : this->vms) {
        if (!vm.process)
            continue;
        const Capacity held = vm.process->admission.capacity(organisation, this->time);
        sum = { sum.milliRate + held.milliRate, sum.milliBurst + held.milliBurst };
    }
    const auto known = std::find_if(this->traffic.begin(), this->traffic.end(),
        [&](const Traffic& candidate) { return candidate.limit.organisation == organisation; });
    const RateLimit& limit = known->limit.limit;
    if (sum.milliRate <= limit.rate * 1000ULL && sum.milliBurst <= limit.burst * 1000ULL)
        return;
    if (this->firstViolation.empty())
        this->firstViolation = "seed " + std::to_string(this->settings.seed) + ": VMs hold a rate of "
            + std::to_string(sum.milliRate) + "/1000 per second and a burst of " + std::to_string(sum.milliBurst)
            + "/1000 of " + organisation.str() + ", more than its limit, at "
            + std::to_string((this->time.time_since_epoch() - 1h) / 1ms) + " ms";
}

void LimitsModel::recordAdmission(Traffic& source)
{
    constexpr int64_t unit = 1'000'000'000;
    const RateLimit& limit = source.limit.limit;
    // Largest excess over all windows that end now. The worst window starts either where the previous one did or at
    // this admission.
    const int64_t drained = (this->time - source.excessAt).count() * limit.rate;
    source.excess = std::max<int64_t>(0, source.excess - drained) + unit;
    source.excessAt = this->time;
    ++source.counts.admitted;
    if (source.excess <= static_cast<int64_t>(limit.burst) * unit || !this->firstViolation.empty())
        return;
    this->firstViolation = "seed " + std::to_string(this->settings.seed) + ": " + source.limit.organisation.str()
        + " exceeds its burst of " + std::to_string(limit.burst) + " by "
        + std::to_string(source.excess / unit - limit.burst) + " requests or less at "
        + std::to_string((this->time.time_since_epoch() - 1h) / 1ms) + " ms";
}

} // namespace Lavendervane
