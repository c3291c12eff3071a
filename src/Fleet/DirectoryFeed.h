#pragma once

#include "Fleet/Directory.h"
#include "Fleet/FeedMonitor.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavendervane {

/// Step of following a table, for logs.
struct FeedStep {
    /// "table_read": all rows were read. "resumed": changes are requested again after failed calls. "history_lost": the
    /// store no longer keeps the changes after the known revision. "restored": the store was restored from an older
    /// copy. "unanswered": a feed request got no answer that can be used.
    std::string name;
    std::string table;
    uint64_t after = 0; ///< revision after which changes are known to be missing
    uint64_t revision = 0; ///< newest revision of the store; 0 if it has not answered
    uint64_t generation = 0; ///< generation of the store's content; 0 if it is not reported
    Duration waited {}; ///< for "unanswered": time since the request was made
};

/// Entry of an endpoint in the registry.
struct RegistryEntry {
    RegisteredEndpoint endpoint;
    uint64_t sequence = 0; ///< rises with each renewal of the entry by the same run of the endpoint
    Duration coldRemaining {}; ///< time for which the endpoint stays slow, counted from the renewal

    friend bool operator==(const RegistryEntry&, const RegistryEntry&) = default;
};

/// Content of the registry.
struct RegistryRead {
    std::vector<RegistryEntry> entries;
    uint64_t generation = 0; ///< generation of the store's content; 0 if it is not reported
    /// Earliest times, by this VM's clock, at which the entries can have got their present content. Entries whose time
    /// is unknown are missing, such as all that a VM finds when it starts.
    std::map<EndpointId, Instant> earliestChanges {};
};

/// Data centres that operators have told the VMs to evacuate.
struct EvacuationsRead {
    std::set<DataCentre> dataCentres;
    uint64_t generation = 0; ///< generation of the store's content; 0 if it is not reported
    /// Earliest times, by this VM's clock, at which the evacuations can have begun. Evacuations whose time is unknown
    /// are missing, such as all that a VM finds when it starts.
    std::map<DataCentre, Instant> earliestStarts {};
    std::set<DataCentre> ended {}; ///< evacuations whose end the feed has reported since the last call
};

/// Receives configuration and registry. Called on the control thread.
class DirectoryListener {
public:
    virtual ~DirectoryListener() = default;

    /// A version of the configuration has been read. Versions can arrive in any order; the listener keeps the newest.
    virtual void onConfigurationRead(SessionConfiguration) = 0;

    /// The evacuations have been read or have changed. Called before the configuration of the same read is reported.
    virtual void onEvacuationsRead(const EvacuationsRead&) = 0;

    /// The registry has been read. Returns true if it is to be read again within seconds, although nothing may change.
    virtual bool onRegistryRead(const RegistryRead&) = 0;

    /// The source has become unavailable (`reason` says why) or available again (`reason` is empty).
    virtual void onSourceAvailabilityChanged(const std::string& reason) = 0;

    virtual void onFeedStep(const FeedStep&) = 0;

    /// The store has answered a read of a table or a feed request for it. Called after the changes were reported.
    virtual void onTableAnswered(const TableAnswered&) = 0;
};

/// Source of configuration and registry.
class DirectoryFeed {
public:
    virtual ~DirectoryFeed() = default;

    /// Starts reading; continues until destruction.
    virtual void start(DirectoryListener&) = 0;

    /// Asks for changes of a table at once, if a request is waiting for them. All changes up to `confirmedAt` are known
    /// to this VM. Returns false if no request is waiting.
    virtual bool recheck(const std::string& table, Instant confirmedAt) = 0;

    /// Limits the time for which a feed request waits for changes; without a value, it waits as long as the store
    /// allows.
    virtual void limitWait(std::optional<Duration>) = 0;
};

} // namespace Lavendervane
