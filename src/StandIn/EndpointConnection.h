#pragma once

#include "Http/HttpMessages.h"
#include "StandIn/EndpointServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Lavendervane::StandIn {

/// One client connection of an endpoint, with its interactive transaction if one is open.
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
    bool dispatchMember(const std::string& path, const ExchangePointer&);
    bool admitConnection();
    void admitTraffic(const std::string& path, const ExchangePointer&);
    void waitForCover(const std::string& path, const ExchangePointer&);
    void takeSlot(const std::string& path, const ExchangePointer&);
    void serve(const std::string& path, const ExchangePointer&);
    Answer run(const std::string& path, const Json& request);
    Answer begin(const Json& request);
    Answer statement(const Json& request);
    Answer finishTransaction(const std::string& path, const Json& request);
    void await(const ExchangePointer&);
    void answerTraffic(const ExchangePointer&, Answer);
    void sendTraffic(const ExchangePointer&, std::string body);
    static void reply(const ExchangePointer&, Json body, unsigned status = 200);

    EndpointServer& server;
    std::weak_ptr<const bool> serverLifetime;
    bool counted = false; ///< whether the connection counts towards the limit of connections with traffic
    bool closed = false;
    std::unique_ptr<Transaction> transaction;
};

} // namespace Lavendervane::StandIn
