#pragma once

#include "History/History.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Lavendervane {

/// Request counts, service level and latency of one organisation.
struct OrganisationFigures {
    uint64_t sent = 0; ///< number of first attempts; retries are not counted
    uint64_t done = 0; ///< attempts with the outcome Done
    uint64_t notRun = 0; ///< first attempts with the outcome NotRun
    uint64_t unknown = 0; ///< first attempts with the outcome Unknown
    uint64_t rateLimited = 0; ///< attempts rejected with the code "rate_limited"
    uint64_t wrongfullyRateLimited = 0; ///< attempts rejected by the rate limit although within rate and burst
    uint64_t due = 0; ///< sent requests that an ideal limiter would have admitted; all of them without a limit
    double servedShare = 1; ///< done / due, at most 1
    double medianMs = 0; ///< median latency of the attempts with the outcome Done
    double p99Ms = 0; ///< 99th percentile of the latency of the attempts with the outcome Done
};

/// Write availability of one database group.
struct GroupFigures {
    double longestWriteGapSeconds = 0; ///< longest time between consecutive acknowledged writes
    double failoverGapSeconds = -1; ///< longest write gap around the kill; negative: no kill or no such gap
    double killToRecoverySeconds = -1; ///< from the kill to the write that ends the failover gap; negative: none
};

/// Results of a whole run.
struct LoadFigures {
    std::map<std::string, OrganisationFigures> organisations;
    std::map<std::string, GroupFigures> groups;
    double replicaReadShare = 0; ///< share of the successful reads that replicas served
    std::string worstServedOrganisation; ///< organisation with the lowest servedShare
    double worstServedShare = 1; ///< servedShare of the worst-served organisation
    double wrongfulRefusalShare = 0; ///< share of the attempts within rate and burst that the rate limit rejected
};

/// Collects request attempts and computes the service measures defined in docs/design.md, section 1.3.
class LoadReport {
public:
    void setLimit(const std::string& organisation, const HistoryLimit&);

    /// Sets the time, in ns of the boot clock, at which the primary of a group was killed.
    void setKill(const std::string& group, int64_t time);

    void add(const HistoryEvent&);

    LoadFigures compute() const;

private:
    struct Sample {
        int64_t start;
        int64_t end;
        uint32_t attempt;
        Outcome outcome;
        bool write;
        bool rateLimited;
        bool replica;
    };

    OrganisationFigures computeOrganisation(const std::string& name, std::vector<Sample>) const;
    static void countWrongfulRejections(const HistoryLimit&, const std::vector<Sample>&, OrganisationFigures&);
    static uint64_t countAllowedRequests(const HistoryLimit&, const std::vector<Sample>&);
    GroupFigures computeGroup(const std::string& name, std::vector<int64_t> acknowledged) const;

    std::map<std::string, HistoryLimit> limits;
    std::map<std::string, int64_t> kills;
    std::map<std::string, std::vector<Sample>> samples; ///< attempts by organisation
    std::map<std::string, std::vector<int64_t>> acknowledgedWrites; ///< end times in ns, by group
    uint64_t reads = 0; ///< successful reads
    uint64_t replicaReads = 0; ///< successful reads served by replicas
};

nlohmann::json toJson(const LoadFigures&);

std::string toText(const LoadFigures&);

} // namespace Lavendervane
