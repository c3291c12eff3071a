#include "StandIn/PlatformServer.h"

#include "Runtime/BootTime.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace Lavendervane::StandIn {

static HttpServerSettings serverSettings(const std::string& address)
{
    HttpServerSettings settings;
    settings.address = address;
    settings.bodyLimit = 64 * 1024 * 1024; // bytes; bounds the size of a configuration snapshot
    return settings;
}

static HttpResponse errorResponse(unsigned status, const std::string& message)
{
    return makeJsonResponse(status, Json { { "error", message } }.dump());
}

class PlatformServer::Connection : public HttpHandler {
public:
    explicit Connection(PlatformServer& server)
        : server(server)
    {
    }

    void handle(HttpRequest request, HttpRespond respond) override
    {
        if (request.target() == "/control") {
            respond(this->server.serve(request));
            return;
        }
        if (this->server.switches.outage)
            return;
        const auto delay = this->server.switches.delay;
        if (!delay.count()) {
            finish(this->server, request, respond);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(this->server.context, delay);
        timer->async_wait([timer, &server = this->server, request = std::move(request), respond = std::move(respond)](
                              boost::system::error_code) {
            if (!server.switches.outage)
                finish(server, request, respond);
        });
    }

    HttpResponse makeErrorResponse(unsigned status, const std::string& reason) override
    {
        return errorResponse(status, reason);
    }

private:
    static void finish(PlatformServer& server, const HttpRequest& request, const HttpRespond& respond)
    {
        HttpResponse response = server.serve(request);
        // Destroying `respond` without calling it closes the connection.
        if (!server.switches.loseAnswers)
            respond(std::move(response));
    }

    PlatformServer& server;
};

PlatformServer::PlatformServer(boost::asio::io_context& context, const std::string& address, Json vms)
    : context(context)
    , server(context, serverSettings(address), [this] { return std::make_shared<Connection>(*this); })
{
    this->state.setVms(std::move(vms), bootTimeNow());
}

PlatformServer::~PlatformServer() { this->server.closeAll(); }

HttpResponse PlatformServer::serve(const HttpRequest& request)
{
    const std::string path(request.target());
    const std::string objects = "/objects/";
    try {
        if (path.starts_with(objects))
            return this->serveObject(request, path.substr(objects.size()));
        if (path == "/vms")
            return makeJsonResponse(200, this->state.vms(bootTimeNow(), this->switches.vmListLag).dump());

        const Json body = request.body().empty() ? Json::object() : Json::parse(request.body());
        if (path == "/table/read")
            return makeJsonResponse(200, this->state.read(body).dump());
        if (path == "/table/scan")
            return makeJsonResponse(200, this->state.scan(body).dump());
        if (path == "/table/transact")
            return makeJsonResponse(200, this->state.transact(body).dump());
        if (path == "/control")
            return makeJsonResponse(200, this->control(body).dump());
    } catch (const Json::exception& error) {
        return errorResponse(400, error.what());
    }
    return errorResponse(404, "unknown path " + path);
}

HttpResponse PlatformServer::serveObject(const HttpRequest& request, const std::string& name)
{
    if (request.method() == boost::beast::http::verb::put) {
        this->state.putObject(name, request.body());
        return makeJsonResponse(200, "{}");
    }
    const std::string* content = this->state.findObject(name);
    return content ? makeJsonResponse(200, *content) : errorResponse(404, "no object " + name);
}

Json PlatformServer::control(const Json& request)
{
    PlatformSwitches& switches = this->switches;
    switches.outage = request.value("outage", switches.outage);
    switches.loseAnswers = request.value("lose_answers", switches.loseAnswers);
    switches.delay = std::chrono::milliseconds(request.value("delay_ms", int64_t { switches.delay.count() }));
    switches.vmListLag
        = std::chrono::milliseconds(request.value("vm_list_lag_ms", int64_t { switches.vmListLag.count() }));
    if (request.contains("vms"))
        this->state.setVms(request["vms"], bootTimeNow());
    return { { "outage", switches.outage }, { "lose_answers", switches.loseAnswers },
        { "delay_ms", switches.delay.count() }, { "vm_list_lag_ms", switches.vmListLag.count() } };
}

} // namespace Lavendervane::StandIn
