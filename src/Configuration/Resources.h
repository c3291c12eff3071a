#pragma once

#include "Configuration/Labels.h"
#include "Configuration/Selector.h"
#include "Core/Identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lavendervane {

/// Request limit of an organisation over all VMs: at most `burst + rate * w` requests in any window of w seconds.
struct RateLimit {
    uint32_t rate = 0; ///< requests per second
    uint32_t burst = 0; ///< requests

    friend bool operator==(const RateLimit&, const RateLimit&) = default;
};

/// A tenant: owner of keys, of a namespace of data, of a limit and of a share of contended endpoints.
struct Organisation {
    OrganisationId name;
    Labels labels;
    RateLimit limit;
    uint32_t weight = 1; ///< share in fair queues, relative to other organisations

    friend bool operator==(const Organisation&, const Organisation&) = default;
};

/// Caller's key. Only the keyed digest of the secret is stored (docs/design.md, 5.8).
struct ApiKey {
    KeyId id;
    OrganisationId organisation;
    std::string digest; ///< HMAC-SHA256 of the secret, lower-case hexadecimal

    friend bool operator==(const ApiKey&, const ApiKey&) = default;
};

/// One database of a group.
struct Endpoint {
    EndpointId name;
    std::string address; ///< "IP:port"
    DataCentre dataCentre;
    uint32_t slots = 1; ///< statements that run at the same time
    uint32_t connections = 1; ///< connections that the endpoint accepts in total
    Labels labels;

    /// True if labelled `leaving=true`: gets no new work.
    bool isLeaving() const;

    friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// Asynchronously replicated database group.
struct DatabaseGroup {
    GroupId name;
    Labels labels;
    std::vector<Endpoint> endpoints;

    friend bool operator==(const DatabaseGroup&, const DatabaseGroup&) = default;
};

/// What a route lets callers do.
enum class Access {
    Read,
    Write, ///< includes reading
};

std::string_view toString(Access);

/// Parses "read" or "write". Throws Error for any other text.
Access parseAccess(std::string_view);

/// Allows the selected organisations to use the selected groups.
struct Route {
    std::string name;
    Selector organisations;
    Selector groups;
    Access access = Access::Read;
    /// Organisation as which requests without a key run; empty if the route needs a key.
    OrganisationId openAs;

    friend bool operator==(const Route&, const Route&) = default;
};

} // namespace Lavendervane
