#include "Load/LoadReport.h"

#include "Load/ReferenceBucket.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace Lavendervane {

using Json = nlohmann::json;

static double seconds(int64_t nanoseconds) { return static_cast<double>(nanoseconds) / 1e9; }

static double ratio(uint64_t part, uint64_t whole)
{
    return whole ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

void LoadReport::setLimit(const std::string& organisation, const HistoryLimit& limit)
{
    this->limits[organisation] = limit;
}

void LoadReport::setKill(const std::string& group, int64_t time) { this->kills[group] = time; }

void LoadReport::add(const HistoryEvent& event)
{
    const bool done = event.outcome == Outcome::Done;
    const bool write = isWrite(event.operation);
    const bool replica = event.role == "replica";
    this->samples[event.organisation].push_back(
        { event.start, event.end, event.attempt, event.outcome, write, event.code == "rate_limited", replica });
    if (!done)
        return;
    if (write) {
        this->acknowledgedWrites[event.group].push_back(event.end);
        return;
    }
    ++this->reads;
    this->replicaReads += replica;
}

uint64_t LoadReport::countAllowedRequests(const HistoryLimit& limit, const std::vector<Sample>& samples)
{
    ReferenceBucket bucket(limit);
    uint64_t due = 0;
    for (const Sample& sample : samples) {
        if (sample.attempt == 1 && bucket.available(sample.start) >= 1) {
            bucket.take();
            ++due;
        }
    }
    return due;
}

// Takes a token from the reference bucket for every admitted attempt. A rejection while the bucket holds a token is
// wrongful: the rate and burst over all VMs together would have allowed the request.
void LoadReport::countWrongfulRejections(
    const HistoryLimit& limit, const std::vector<Sample>& samples, OrganisationFigures& figures)
{
    ReferenceBucket bucket(limit);
    for (const Sample& sample : samples) {
        const double available = bucket.available(sample.start);
        if (sample.rateLimited)
            figures.wrongfullyRateLimited += available >= 1;
        else if (sample.outcome != Outcome::NotRun)
            bucket.take();
    }
}

OrganisationFigures LoadReport::computeOrganisation(const std::string& name, std::vector<Sample> samples) const
{
    std::sort(samples.begin(), samples.end(),
        [](const Sample& left, const Sample& right) { return left.start < right.start; });
    OrganisationFigures figures;
    std::vector<int64_t> latencies;
    for (const Sample& sample : samples) {
        figures.sent += sample.attempt == 1;
        figures.rateLimited += sample.rateLimited;
        if (sample.outcome == Outcome::Done) {
            ++figures.done;
            latencies.push_back(sample.end - sample.start);
        } else if (sample.attempt == 1)
            ++(sample.outcome == Outcome::NotRun ? figures.notRun : figures.unknown);
    }
    figures.due = figures.sent;
    if (const auto limit = this->limits.find(name); limit != this->limits.end()) {
        figures.due = countAllowedRequests(limit->second, samples);
        countWrongfulRejections(limit->second, samples, figures);
    }
    if (figures.due)
        figures.servedShare = std::min(1.0, ratio(figures.done, figures.due));
    if (!latencies.empty()) {
        std::sort(latencies.begin(), latencies.end());
        figures.medianMs = seconds(latencies[latencies.size() / 2]) * 1e3;
        figures.p99Ms = seconds(latencies[latencies.size() * 99 / 100]) * 1e3;
    }
    return figures;
}

// Writes in flight at the kill may still be acknowledged after it, so the time to the next acknowledgement does not
// measure the failover. The failover gap is the longest gap that ends after the kill and begins at most 0.5 s after it.
GroupFigures LoadReport::computeGroup(const std::string& name, std::vector<int64_t> acknowledged) const
{
    constexpr int64_t maxGapStartAfterKill = 500'000'000; // ns; far above the time that one write confirmation takes
    std::sort(acknowledged.begin(), acknowledged.end());
    const auto kill = this->kills.find(name);
    GroupFigures figures;
    for (size_t index = 1; index < acknowledged.size(); ++index) {
        const int64_t begin = acknowledged[index - 1];
        const int64_t end = acknowledged[index];
        const double gap = seconds(end - begin);
        figures.longestWriteGapSeconds = std::max(figures.longestWriteGapSeconds, gap);
        if (kill == this->kills.end() || end <= kill->second || begin > kill->second + maxGapStartAfterKill)
            continue;
        if (gap > figures.failoverGapSeconds) {
            figures.failoverGapSeconds = gap;
            figures.killToRecoverySeconds = seconds(end - kill->second);
        }
    }
    return figures;
}

LoadFigures LoadReport::compute() const
{
    LoadFigures figures;
    uint64_t wrongful = 0;
    uint64_t withinLimit = 0;
    for (const auto& [name, samples] : this->samples) {
        const OrganisationFigures organisation = this->computeOrganisation(name, samples);
        wrongful += organisation.wrongfullyRateLimited;
        withinLimit += samples.size() - organisation.rateLimited + organisation.wrongfullyRateLimited;
        if (figures.worstServedOrganisation.empty() || organisation.servedShare < figures.worstServedShare) {
            figures.worstServedOrganisation = name;
            figures.worstServedShare = organisation.servedShare;
        }
        figures.organisations[name] = organisation;
    }
    for (const auto& [name, acknowledged] : this->acknowledgedWrites)
        figures.groups[name] = this->computeGroup(name, acknowledged);
    for (const auto& [name, kill] : this->kills)
        figures.groups.try_emplace(name);
    figures.replicaReadShare = ratio(this->replicaReads, this->reads);
    figures.wrongfulRefusalShare = ratio(wrongful, withinLimit);
    return figures;
}

Json toJson(const LoadFigures& figures)
{
    Json organisations = Json::object();
    for (const auto& [name, figure] : figures.organisations) {
        organisations[name] = { { "sent", figure.sent }, { "done", figure.done }, { "not_run", figure.notRun },
            { "unknown", figure.unknown }, { "rate_limited", figure.rateLimited },
            { "wrongfully_limited", figure.wrongfullyRateLimited }, { "due", figure.due },
            { "served", figure.servedShare }, { "median_ms", figure.medianMs }, { "p99_ms", figure.p99Ms } };
    }
    Json groups = Json::object();
    for (const auto& [name, figure] : figures.groups) {
        groups[name] = { { "longest_write_gap_s", figure.longestWriteGapSeconds } };
        if (figure.failoverGapSeconds >= 0)
            groups[name]["failover_gap_s"] = figure.failoverGapSeconds;
        if (figure.killToRecoverySeconds >= 0)
            groups[name]["from_kill_s"] = figure.killToRecoverySeconds;
    }
    return { { "organisations", std::move(organisations) }, { "groups", std::move(groups) },
        { "replica_read_share", figures.replicaReadShare }, { "worst_served", figures.worstServedOrganisation },
        { "worst_served_share", figures.worstServedShare }, { "wrongful_refusals", figures.wrongfulRefusalShare } };
}

std::string toText(const LoadFigures& figures)
{
    std::ostringstream text;
    text << std::fixed << std::left << std::setw(18) << "organisation" << std::right;
    for (const char* title :
        { "sent", "done", "not_run", "unknown", "limited", "wrongful", "due", "served", "p50 ms", "p99 ms" })
        text << std::setw(10) << title;
    text << "\n";
    for (const auto& [name, figure] : figures.organisations) {
        text << std::left << std::setw(18) << name << std::right;
        for (const uint64_t number : { figure.sent, figure.done, figure.notRun, figure.unknown, figure.rateLimited,
                 figure.wrongfullyRateLimited, figure.due })
            text << std::setw(10) << number;
        text << std::setw(10) << std::setprecision(3) << figure.servedShare << std::setw(10) << std::setprecision(2)
             << figure.medianMs << std::setw(10) << figure.p99Ms << "\n";
    }
    text << std::setprecision(3);
    for (const auto& [name, figure] : figures.groups) {
        text << "group " << name << ": longest write gap " << figure.longestWriteGapSeconds << " s";
        if (figure.failoverGapSeconds >= 0)
            text << ", failover gap " << figure.failoverGapSeconds << " s, from kill " << figure.killToRecoverySeconds
                 << " s";
        text << "\n";
    }
    text << std::setprecision(2) << "reads at replicas: " << figures.replicaReadShare * 100 << "%\n"
         << "worst-served organisation: " << figures.worstServedOrganisation << " with "
         << figures.worstServedShare * 100 << "% of what it was due\n"
         << std::setprecision(4) << "wrongful refusals: " << figures.wrongfulRefusalShare * 100 << "%\n";
    return text.str();
}

} // namespace Lavendervane
