#pragma once

#include "Fleet/Directory.h"

#include <string>
#include <vector>

namespace Lavendervane {

/// Receives configuration and registry. Calls come on the control thread.
class DirectoryListener {
public:
    virtual ~DirectoryListener() = default;

    /// A version of the configuration, in any order; the listener keeps the newest.
    virtual void onConfigurationRead(SessionConfiguration) = 0;

    /// All endpoints that the registry has now.
    virtual void onRegistryRead(std::vector<RegisteredEndpoint>) = 0;

    /// The source does not answer (`reason`), or answers again (empty reason).
    virtual void onSourceAvailabilityChanged(const std::string& reason) = 0;
};

/// Source of configuration and registry.
class DirectoryFeed {
public:
    virtual ~DirectoryFeed() = default;

    /// Starts to read, and reads on until destruction.
    virtual void start(DirectoryListener&) = 0;
};

} // namespace Lavendervane
