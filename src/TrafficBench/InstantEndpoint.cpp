#include "TrafficBench/InstantEndpoint.h"

namespace Lavendervane {

namespace {

class InstantHandler : public HttpHandler {
public:
    explicit InstantHandler(bool isPrimary)
        : responseTail(
            std::string(R"(","outcome":"done","code":"","results":[{"value":1}],"term":{"counter":1,"vm":"vm-1"},)")
            + R"("position":10,"first_position":1,"primary":"","replayed":false,"lag_ms":0,"role":")"
            + (isPrimary ? "primary\"}" : "replica\"}"))
    {
    }

    void handle(HttpRequest request, HttpRespond respond) override
    {
        static constexpr std::string_view member = "\"exchange_id\":\"";
        const std::string& body = request.body();
        const size_t start = body.find(member);
        std::string id;
        if (start != std::string::npos) {
            const size_t first = start + member.size();
            id = body.substr(first, body.find('"', first) - first);
        }
        respond(makeJsonResponse(200, "{\"exchange_id\":\"" + id + this->responseTail));
    }

    HttpResponse makeErrorResponse(unsigned status, const std::string& reason) override
    {
        return makeJsonResponse(status, reason);
    }

private:
    std::string responseTail; ///< response body after the exchange id
};

} // namespace

InstantEndpoint::InstantEndpoint(bool isPrimary)
    : context(1)
    , server(std::make_unique<HttpServer>(this->context, HttpServerSettings { .address = "127.0.0.1:0" },
          [isPrimary] { return std::make_shared<InstantHandler>(isPrimary); }))
    , thread([this] { this->context.run(); })
{
}

InstantEndpoint::~InstantEndpoint()
{
    this->context.stop();
    this->thread.join();
    this->server.reset();
}

std::string InstantEndpoint::address() const { return "127.0.0.1:" + std::to_string(this->server->port()); }

} // namespace Lavendervane
