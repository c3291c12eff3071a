#include "StandIn/FaultProxy.h"

#include "Core/Error.h"

#include <utility>

namespace Lavendervane::StandIn {

using Json = nlohmann::json;

class FaultProxy::Connection : public HttpHandler {
public:
    explicit Connection(FaultProxy& proxy)
        : proxy(proxy)
    {
    }

    void handle(HttpRequest request, HttpRespond respond) override
    {
        if (request.target() != "/control") {
            respond(this->makeErrorResponse(404, "unknown path"));
            return;
        }
        HttpResponse response;
        try {
            const Json body = request.body().empty() ? Json::object() : Json::parse(request.body());
            response = makeJsonResponse(200, this->proxy.control(body).dump());
        } catch (const std::exception& error) {
            response = this->makeErrorResponse(400, error.what());
        }
        respond(std::move(response));
    }

    HttpResponse makeErrorResponse(unsigned status, const std::string& reason) override
    {
        return makeJsonResponse(status, Json { { "error", reason } }.dump());
    }

private:
    FaultProxy& proxy;
};

static HttpServerSettings makeControlSettings(const std::string& address)
{
    HttpServerSettings settings;
    settings.address = address;
    return settings;
}

static FaultSettings applyChange(FaultSettings faults, const Json& change)
{
    if (change.value("heal", false))
        faults = {};
    faults.delay = std::chrono::milliseconds(change.value("delay_ms", int64_t { faults.delay.count() }));
    faults.cutToTarget = change.value("cut_to_target", faults.cutToTarget);
    faults.cutToClient = change.value("cut_to_client", faults.cutToClient);
    faults.freeze = change.value("freeze", faults.freeze);
    faults.refuseNew = change.value("refuse_new", faults.refuseNew);
    return faults;
}

FaultProxy::FaultProxy(
    boost::asio::io_context& context, const std::string& controlAddress, const std::vector<FaultPairSettings>& settings)
    : server(context, makeControlSettings(controlAddress), [this] { return std::make_shared<Connection>(*this); })
{
    for (const FaultPairSettings& pair : settings)
        this->pairs.push_back(std::make_unique<FaultPair>(context, pair));
}

FaultProxy::~FaultProxy() { this->server.closeAll(); }

std::vector<FaultPair*> FaultProxy::select(const std::string& name) const
{
    std::vector<FaultPair*> selected;
    for (const auto& pair : this->pairs) {
        if (name == "*" || pair->name() == name)
            selected.push_back(pair.get());
    }
    if (selected.empty())
        throw Error("control", "", "unknown pair \"" + name + "\"");
    return selected;
}

Json FaultProxy::control(const Json& request)
{
    if (request.value("heal", false)) {
        for (const auto& pair : this->pairs)
            pair->setFaults({});
    }
    const Json changes = request.value("pairs", Json::object());
    for (const auto& [name, change] : changes.items()) {
        for (FaultPair* pair : this->select(name)) {
            pair->setFaults(applyChange(pair->faults(), change));
            if (change.value("silent", false))
                pair->silenceExisting();
        }
    }
    return this->state();
}

Json FaultProxy::state() const
{
    Json pairs = Json::object();
    for (const auto& pair : this->pairs) {
        const FaultSettings& faults = pair->faults();
        pairs[pair->name()] = { { "listen", pair->listenAddress() }, { "connections", pair->connectionCount() },
            { "delay_ms", faults.delay.count() }, { "cut_to_target", faults.cutToTarget },
            { "cut_to_client", faults.cutToClient }, { "freeze", faults.freeze }, { "refuse_new", faults.refuseNew } };
    }
    return { { "pairs", std::move(pairs) } };
}

std::string FaultProxy::listenAddress(const std::string& pair) const
{
    return this->select(pair).front()->listenAddress();
}

} // namespace Lavendervane::StandIn
