#pragma once

#include "Fleet/Directory.h"

#include <string>
#include <vector>

namespace Lavendervane {

/// Receives configuration and registry. Called on the control thread.
class DirectoryListener {
public:
    virtual ~DirectoryListener() = default;

    /// A version of the configuration has been read. Versions can arrive in any order; the listener keeps the newest.
    virtual void onConfigurationRead(SessionConfiguration) = 0;

    /// The registry has been read; the argument contains all registered endpoints.
    virtual void onRegistryRead(std::vector<RegisteredEndpoint>) = 0;

    /// The source has become unavailable (`reason` says why) or available again (`reason` is empty).
    virtual void onSourceAvailabilityChanged(const std::string& reason) = 0;
};

/// Source of configuration and registry.
class DirectoryFeed {
public:
    virtual ~DirectoryFeed() = default;

    /// Starts reading; continues until destruction.
    virtual void start(DirectoryListener&) = 0;
};

} // namespace Lavendervane
