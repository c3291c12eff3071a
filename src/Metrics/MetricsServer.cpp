#include "Metrics/MetricsServer.h"

#include "Http/HttpServer.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Lavendervane {

static HttpResponse makeText(unsigned status, std::string text)
{
    HttpResponse response = makeJsonResponse(status, std::move(text));
    response.set(boost::beast::http::field::content_type, "text/plain; charset=utf-8");
    return response;
}

namespace {

class MetricsHandler : public HttpHandler {
public:
    MetricsHandler(prometheus::Registry& registry, const std::function<bool()>& isReady)
        : registry(registry)
        , isReady(isReady)
    {
    }

    void handle(HttpRequest request, HttpRespond respond) override
    {
        if (request.target() == "/metrics")
            respond(makeText(200, prometheus::TextSerializer().Serialize(this->registry.Collect())));
        else if (request.target() == "/healthz")
            respond(makeText(200, "ok\n"));
        else if (request.target() == "/readyz")
            respond(this->isReady() ? makeText(200, "ready\n") : makeText(503, "not ready\n"));
        else
            respond(makeText(404, "not found\n"));
    }

    HttpResponse makeErrorResponse(unsigned status, const std::string& reason) override
    {
        return makeText(status, reason + "\n");
    }

private:
    prometheus::Registry& registry;
    const std::function<bool()>& isReady;
};

} // namespace

class MetricsServer::Implementation {
public:
    Implementation(boost::asio::io_context& context, const std::string& address, prometheus::Registry& registry,
        std::function<bool()> readyCheck)
        : isReady(std::move(readyCheck))
        , server(context, { .address = address, .idleTimeout = std::chrono::seconds(60) },
              [this, &registry] { return std::make_shared<MetricsHandler>(registry, this->isReady); })
    {
    }

    std::function<bool()> isReady;
    HttpServer server;
};

MetricsServer::MetricsServer(boost::asio::io_context& context, const std::string& address,
    prometheus::Registry& registry, std::function<bool()> isReady)
    : implementation(std::make_unique<Implementation>(context, address, registry, std::move(isReady)))
{
}

MetricsServer::~MetricsServer() = default;

} // namespace Lavendervane
