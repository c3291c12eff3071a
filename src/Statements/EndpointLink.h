#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Statements/BatchOptions.h"
#include "Statements/Statement.h"
#include "Statements/StatementAnswer.h"

#include <memory>
#include <string>
#include <vector>

namespace Lavendervane {

/// Endpoint to connect to, and the organisation that the connection is opened for.
struct LinkTarget {
    GroupId group;
    EndpointId endpoint; ///< the connection is refused if another endpoint answers at the address
    std::string address; ///< "IP:port"
    OrganisationId organisation; ///< empty on routes open to all
    /// True if the link may be reported as open before the endpoint's owner VM has confirmed that it can be opened.
    bool mayOpenEarly = false;

    friend bool operator==(const LinkTarget&, const LinkTarget&) = default;
};

/// Reason why a link failed.
enum class LinkFailure {
    Refused, ///< nothing listens at the endpoint's address
    Unreachable, ///< no connection was established within the time limit
    Rejected, ///< the endpoint answered the request to open a session with an error
    Broken, ///< the connection was closed or reset
};

/// Receives the events of a link. All calls are made on the thread of the link, and never from within a call to the
/// link.
class LinkListener {
public:
    virtual ~LinkListener() = default;

    /// The endpoint's host has accepted the TCP connection; the endpoint has not yet opened a session.
    virtual void linkConnected() = 0;

    /// The endpoint has opened a session, or is expected to; statements may be sent.
    virtual void linkOpened() = 0;

    /// A link that was reported as open early has been confirmed.
    virtual void linkConfirmed() { }

    /// Called with the answers to all statements of one `send`, in order.
    virtual void linkAnswered(std::vector<EndpointAnswer>) = 0;

    /// The endpoint has sent an answer again, which was ignored.
    virtual void linkIgnoredRepetition() { }

    /// The link has failed; no further call is made. `code` is only meaningful for LinkFailure::Rejected.
    virtual void linkFailed(LinkFailure, AnswerCode code, const std::string& message) = 0;

    /// A link that was reported as open early could not be opened; no further call is made. The batch that was sent
    /// over it has not run and will not run.
    virtual void linkNotOpened(LinkFailure failure, AnswerCode code, const std::string& message)
    {
        this->linkFailed(failure, code, message);
    }
};

/// A connection to an endpoint. It carries one batch of statements at a time.
class EndpointLink {
public:
    virtual ~EndpointLink() = default;

    /// Sends all statements in one write. The previous batch must have been answered. `guardCount` is 0 unless
    /// `guardsBatches` returns true.
    virtual void send(const std::vector<Statement>&, const BatchOptions&) = 0;

    /// True if the other end of the link sends the rest of a batch to the endpoint only after the guard has succeeded.
    /// If the guard is refused, it answers the rest as not run. If it has not sent the rest for another reason, it
    /// answers the last statement of the guard as not run too.
    virtual bool guardsBatches() const { return false; }

    /// True if the other end of the link keeps session values and prepared statements, and applies them to the
    /// connection before each batch. It does not refuse them.
    virtual bool keepsSessionValues() const { return false; }

    /// False while the link has been reported as open early and is not confirmed.
    virtual bool isConfirmed() const { return true; }

    /// Address of the VM that relays the statements; empty if the link goes to the endpoint itself.
    virtual std::string relayAddress() const { return {}; }

    /// False once the answer to a further statement could not be told from a repetition of an earlier answer. The link
    /// then serves to end an open transaction, and is closed instead of being used for other work.
    virtual bool mayCarryMore() const { return true; }

    /// Closes the link. No call to the listener follows.
    virtual void close() = 0;
};

/// Opens links to endpoints.
class EndpointConnector {
public:
    virtual ~EndpointConnector() = default;

    /// Starts connecting. The listener must either outlive the link or close it before it is destroyed.
    virtual std::shared_ptr<EndpointLink> connect(const LinkTarget&, LinkListener&) = 0;
};

} // namespace Lavendervane
