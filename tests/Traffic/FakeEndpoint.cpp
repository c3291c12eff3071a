#include "Traffic/FakeEndpoint.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>

#include <future>
#include <sstream>

namespace Lavendervane {

using nlohmann::json;

class FakeEndpoint::Handler : public HttpHandler {
public:
    explicit Handler(FakeEndpoint& endpoint)
        : endpoint(endpoint)
    {
    }

    void handle(HttpRequest request, HttpRespond respond) override
    {
        this->endpoint.handle(std::move(request), std::move(respond));
    }

    HttpResponse makeErrorResponse(unsigned status, const std::string& reason) override
    {
        return makeJsonResponse(status, reason);
    }

private:
    FakeEndpoint& endpoint;
};

FakeEndpoint::FakeEndpoint()
    : work(boost::asio::make_work_guard(this->context))
    , server(std::make_unique<HttpServer>(this->context, HttpServerSettings { .address = "127.0.0.1:0" },
          [this] { return std::make_shared<Handler>(*this); }))
    , ownAddress("127.0.0.1:" + std::to_string(this->server->port()))
    , thread([this] { this->context.run(); })
{
}

FakeEndpoint::~FakeEndpoint()
{
    this->context.stop();
    this->thread.join();
    this->polls.clear();
    this->unanswered.clear();
    this->server.reset();
}

void FakeEndpoint::setTerm(uint64_t counter, bool isPrimary)
{
    const std::lock_guard lock(this->mutex);
    const Term next { counter, VmId("vm-1") };
    if (next != this->term)
        this->firstPosition = ++this->position;
    this->term = next;
    this->primary = isPrimary;
    boost::asio::post(this->context, [this] { this->answerPolls(); });
}

void FakeEndpoint::setPosition(uint64_t newPosition)
{
    const std::lock_guard lock(this->mutex);
    this->position = newPosition;
    boost::asio::post(this->context, [this] { this->answerPolls(); });
}

void FakeEndpoint::setNextModes(std::vector<ResponseMode> modes)
{
    const std::lock_guard lock(this->mutex);
    this->nextModes.assign(modes.begin(), modes.end());
}

void FakeEndpoint::setDefaultMode(ResponseMode mode)
{
    const std::lock_guard lock(this->mutex);
    this->nextModes.clear();
    this->defaultMode = mode;
}

void FakeEndpoint::stopListening()
{
    std::promise<void> stopped;
    boost::asio::post(this->context, [this, &stopped] {
        this->server->stopAccepting();
        this->server->closeAll();
        stopped.set_value();
    });
    stopped.get_future().wait();
}

void FakeEndpoint::onRequest(std::function<void(const std::string&, const json&)> newObserver)
{
    const std::lock_guard lock(this->mutex);
    this->observer = std::move(newObserver);
}

std::vector<json> FakeEndpoint::requests(const std::string& path)
{
    const std::lock_guard lock(this->mutex);
    return this->seen[path];
}

std::string FakeEndpoint::allRequestText()
{
    const std::lock_guard lock(this->mutex);
    return this->requestText;
}

size_t FakeEndpoint::writesRun()
{
    const std::lock_guard lock(this->mutex);
    return this->recordedWrites.size();
}

size_t FakeEndpoint::connections()
{
    std::promise<size_t> count;
    boost::asio::post(this->context, [this, &count] { count.set_value(this->server->connectionCount()); });
    return count.get_future().get();
}

void FakeEndpoint::handle(HttpRequest request, HttpRespond respond)
{
    const std::string path(request.target());
    const json body = json::parse(request.body());
    std::ostringstream text;
    text << request;
    std::function<void(const std::string&, const json&)> observe;
    {
        const std::lock_guard lock(this->mutex);
        this->requestText += text.str();
        this->seen[path].push_back(body);
        observe = this->observer;
    }
    if (path == "/await") {
        this->polls.push_back({ body, std::move(respond) });
        this->answerPolls();
        return;
    }
    if (observe)
        observe(path, body);
    const std::lock_guard lock(this->mutex);
    this->handleTraffic(path, body, respond);
}

void FakeEndpoint::answerPolls()
{
    const std::lock_guard lock(this->mutex);
    std::vector<Poll> waiting;
    for (Poll& poll : this->polls) {
        const bool reached = poll.request["term"]["counter"] == this->term.counter
            && poll.request["position"].get<uint64_t>() <= this->position;
        if (reached)
            poll.respond(makeJsonResponse(200, this->makeAnswer(poll.request, "done", "").dump()));
        else
            waiting.push_back(std::move(poll));
    }
    this->polls = std::move(waiting);
}

json FakeEndpoint::makeAnswer(const json& request, const std::string& outcome, const std::string& code) const
{
    return { { "exchange_id", request["exchange_id"] }, { "outcome", outcome }, { "code", code },
        { "results", json::array({ "result" }) },
        { "term", { { "counter", this->term.counter }, { "vm", this->term.vm.str() } } },
        { "position", this->position }, { "first_position", this->firstPosition },
        { "role", this->primary ? "primary" : "replica" }, { "primary", this->primary ? this->ownAddress : "" },
        { "replayed", false }, { "lag_ms", 0 } };
}

json FakeEndpoint::runRequest(const std::string& path, const json& request)
{
    const bool write = request.value("access", "") == "write";
    if (write && path != "/statement" && request["term"]["counter"] != this->term.counter)
        return this->makeAnswer(request, "not_run", "wrong_term");
    if (write && !this->primary)
        return this->makeAnswer(request, "not_run", "not_primary");
    if (write && (path == "/execute" || path == "/commit")) {
        const auto [entry, added] = this->recordedWrites.try_emplace(request["idempotency_key"], this->position + 1);
        if (added)
            ++this->position;
    }
    return this->makeAnswer(request, "done", "");
}

void FakeEndpoint::handleTraffic(const std::string& path, const json& request, const HttpRespond& respond)
{
    ResponseMode mode = this->defaultMode;
    if (!this->nextModes.empty()) {
        mode = this->nextModes.front();
        this->nextModes.pop_front();
    }
    json answer;
    switch (mode) {
    case ResponseMode::NoResponse:
        this->unanswered.push_back(respond);
        return;
    case ResponseMode::CloseBeforeRunning:
        return;
    case ResponseMode::CloseAfterRunning:
        this->runRequest(path, request);
        return;
    case ResponseMode::Malformed:
        respond(makeJsonResponse(200, "{\"outcome\":"));
        return;
    case ResponseMode::WrongTerm:
        answer = this->makeAnswer(request, "not_run", "wrong_term");
        break;
    case ResponseMode::NotCovered:
        answer = this->makeAnswer(request, "not_run", "not_covered");
        break;
    case ResponseMode::Busy:
        answer = this->makeAnswer(request, "not_run", "busy");
        break;
    case ResponseMode::WrongExchangeId:
        answer = this->runRequest(path, request);
        answer["exchange_id"] = "another";
        break;
    case ResponseMode::Normal:
        answer = this->runRequest(path, request);
        break;
    }
    respond(makeJsonResponse(200, answer.dump()));
}

} // namespace Lavendervane
