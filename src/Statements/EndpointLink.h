#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Statements/Statement.h"
#include "Statements/StatementAnswer.h"

#include <memory>
#include <string>
#include <vector>

namespace Lavendervane {

/// Endpoint to connect to, and as whom.
struct LinkTarget {
    GroupId group;
    EndpointId endpoint; ///< another endpoint at the address refuses the connection
    std::string address; ///< "IP:port"
    OrganisationId organisation; ///< empty on routes open to all

    friend bool operator==(const LinkTarget&, const LinkTarget&) = default;
};

/// Why a link ended.
enum class LinkFailure {
    Refused, ///< nothing listens at the address
    Unreachable, ///< no connection within the time limit
    Rejected, ///< the endpoint answered the opening with an error
    Broken, ///< the connection ended or was reset
};

/// Receives what happens on a link. Calls come on the thread of the link, never from within a call to the link.
class LinkListener {
public:
    virtual ~LinkListener() = default;

    /// The endpoint's host has accepted the connection; the endpoint itself has not answered yet.
    virtual void linkConnected() = 0;

    virtual void linkOpened() = 0;

    /// Answers to the statements of one `send`, in order.
    virtual void linkAnswered(std::vector<EndpointAnswer>) = 0;

    /// The link ended; no call follows. `code` is set for Rejected.
    virtual void linkFailed(LinkFailure, AnswerCode code, const std::string& message) = 0;
};

/// One connection to an endpoint. It carries one batch of statements at a time.
class EndpointLink {
public:
    virtual ~EndpointLink() = default;

    /// Sends all statements in one write. The previous batch must have been answered. An answer after `deadline` is of
    /// no use.
    virtual void send(const std::vector<Statement>&, Instant deadline) = 0;

    /// Closes the link. No call to the listener follows.
    virtual void close() = 0;
};

/// Opens links.
class EndpointConnector {
public:
    virtual ~EndpointConnector() = default;

    /// Starts to connect; the listener must outlive the link or close it first.
    virtual std::shared_ptr<EndpointLink> connect(const LinkTarget&, LinkListener&) = 0;
};

} // namespace Lavendervane
