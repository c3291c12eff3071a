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

/// A tenant with its own keys, namespace of data, request limit and share of contended endpoints.
struct Organisation {
    OrganisationId name;
    Labels labels;
    RateLimit limit;
    uint32_t weight = 1; ///< share in fair queues, relative to other organisations

    friend bool operator==(const Organisation&, const Organisation&) = default;
};

/// API key of a caller. Only the keyed digest of the secret is stored (docs/design.md, 5.8).
struct ApiKey {
    KeyId id;
    OrganisationId organisation;
    std::string digest; ///< HMAC-SHA256 of the secret, lower-case hexadecimal

    friend bool operator==(const ApiKey&, const ApiKey&) = default;
};

/// One database server of a group.
struct Endpoint {
    EndpointId name;
    std::string address; ///< "IP:port"
    DataCentre dataCentre;
    uint32_t slots = 1; ///< maximum number of statements that run at the same time
    uint32_t connections = 1; ///< maximum number of connections that the endpoint accepts in total
    Labels labels;

    /// True if the endpoint is labelled `leaving=true`, so that it gets no new work.
    bool isLeaving() const;

    friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// Group of databases with asynchronous replication from one primary to replicas.
struct DatabaseGroup {
    GroupId name;
    Labels labels;
    std::vector<Endpoint> endpoints;

    friend bool operator==(const DatabaseGroup&, const DatabaseGroup&) = default;
};

/// Kind of access that a route allows or a request needs.
enum class Access {
    Read,
    Write, ///< a route that allows it also allows Read
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
