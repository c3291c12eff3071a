#pragma once

#include "Http/HttpMessages.h"
#include "StandIn/EndpointServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Lavendervane::StandIn {

/// One client connection of an endpoint, with its open interactive transaction, if any.
class EndpointConnection : public HttpHandler, public std::enable_shared_from_this<EndpointConnection> {
public:
    explicit EndpointConnection(EndpointServer&);

    void handle(HttpRequest, HttpRespond) override;
    void handleClosed() override;
    HttpResponse makeErrorResponse(unsigned status, const std::string& reason) override;

private:
    struct Exchange;
    using ExchangePointer = std::shared_ptr<Exchange>;

    void dispatch(const std::string& path, const ExchangePointer&);
    bool dispatchInternal(const std::string& path, const ExchangePointer&);
    bool tryCountConnection();
    void admitTraffic(const std::string& path, const ExchangePointer&);
    void waitForRequiredPosition(const std::string& path, const ExchangePointer&);
    void acquireSlot(const std::string& path, const ExchangePointer&);
    void runInSlot(const std::string& path, const ExchangePointer&);
    RequestResult runOperation(const std::string& path, const Json& request);
    RequestResult beginTransaction(const Json& request);
    RequestResult runStatement(const Json& request);
    RequestResult finishTransaction(const std::string& path, const Json& request);
    void handleAwait(const ExchangePointer&);
    void sendResult(const ExchangePointer&, RequestResult);
    void sendTrafficResponse(const ExchangePointer&, std::string body);
    static void reply(const ExchangePointer&, Json body, unsigned status = 200);

    EndpointServer& server;
    std::weak_ptr<const bool> serverLifetime;
    bool isCounted = false; ///< true if included in EndpointServer::trafficConnections
    bool isClosed = false; ///< true once the connection has closed
    std::unique_ptr<Transaction> transaction;
};

} // namespace Lavendervane::StandIn
